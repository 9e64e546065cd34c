package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// instanceList is a list as the registry gives it.
type instanceList struct {
	Rev     int64             `json:"rev"`
	All     bool              `json:"all"`
	Targets []*state.Instance `json:"targets"`
}

type registryGetCmd struct {
	registryFlags
	UIDs        []string `arg:"" optional:"" name:"uid" help:"Only these."`
	Consistent  bool     `name:"consistent" help:"All that was written before this call, by way of the leader; else a replica's list may be late."`
	MinRevision int64    `name:"min-revision" aliases:"at-least" help:"Wait for this revision." placeholder:"REV"`
	JSON        bool     `name:"json" help:"Print one JSON object."`
}

func (c *registryGetCmd) Run(env *environment) error {
	path := "/registry/instances?"
	if c.Consistent {
		path += "consistent=1&"
	}
	if c.MinRevision > 0 {
		path += fmt.Sprintf("at_least=%d", c.MinRevision)
	}
	var l instanceList
	if err := c.call(env.ctx, "GET", path, nil, &l); err != nil {
		return err
	}
	if len(c.UIDs) > 0 {
		l.Targets = slices.DeleteFunc(l.Targets, func(e *state.Instance) bool { return !slices.Contains(c.UIDs, e.UID) })
		l.All = false
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(l)
	}
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "uid\tendpoint\tzone\track\tkind\tstate\tcapacity\tlease ms\trevision\t")
	for _, e := range l.Targets {
		st := e.State
		if e.Suspect {
			st += " (suspect)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%.4g\t%d\t%d\t\n", e.UID, e.Endpoint, e.Zone, e.Rack, e.Kind, st, e.Capacity, e.TTLMS, e.ModRevision)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(l.Targets) < len(c.UIDs) {
		return errCheckFailed
	}
	return nil
}

type registryWatchCmd struct {
	registryFlags
	Count int `name:"count" help:"End after so many changes; 0: never." default:"0"`
}

func (c *registryWatchCmd) Run(env *environment) error {
	r, err := client.NewWatcher(client.Options{Endpoints: c.Endpoints})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(env.ctx)
	defer cancel()
	n := 0
	err = r.Run(ctx, func(client.WatchEvent) {
		v := r.View()
		fmt.Fprintf(env.stdout, "revision %d: %d entries\n", v.Revision, len(v.Instances))
		if n++; n == c.Count {
			cancel()
		}
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
