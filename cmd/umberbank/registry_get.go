package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// registryGetCmd is "umberbank registry get".
type registryGetCmd struct {
	registryFlags
	UIDs        []string `arg:"" optional:"" name:"uid" help:"Only these instances."`
	Consistent  bool     `name:"consistent" help:"Linearizable read through the leader. Without it the list may be stale."`
	MinRevision int64    `name:"min-revision" aliases:"at-least" help:"Wait until the replica has applied this revision." placeholder:"REV"`
	JSON        bool     `name:"json" help:"Print a JSON object."`
}

// Run prints the instances. Without --json it returns errCheckFailed if a requested one is missing.
func (c *registryGetCmd) Run(env *environment) error {
	path := api.PathInstances + "?"
	if c.Consistent {
		path += "consistent=1&"
	}
	if c.MinRevision > 0 {
		path += fmt.Sprintf("at_least=%d", c.MinRevision)
	}
	var list api.WatchEvent
	if err := c.call(env.ctx, http.MethodGet, path, nil, &list); err != nil {
		return err
	}
	if len(c.UIDs) > 0 {
		list.Instances = slices.DeleteFunc(list.Instances, func(e *state.Instance) bool { return !slices.Contains(c.UIDs, e.UID) })
		list.FullList = false
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(list)
	}
	if err := printInstances(env.stdout, list.Instances); err != nil {
		return err
	}
	if len(list.Instances) < len(c.UIDs) {
		return errCheckFailed
	}
	return nil
}

func printInstances(w io.Writer, instances []*state.Instance) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "uid\tendpoint\tzone\track\tkind\tstate\tcapacity\tlease ms\trevision\t")
	for _, e := range instances {
		status := e.State
		if e.Suspect {
			status += " (suspect)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%.4g\t%d\t%d\t\n", e.UID, e.Endpoint, e.Zone, e.Rack, e.Kind, status, e.Capacity, e.TTLMS, e.ModRevision)
	}
	return t.Flush()
}

// registryWatchCmd is "umberbank registry watch".
type registryWatchCmd struct {
	registryFlags
	Count int `name:"count" help:"Stop after this many changes. 0 means no limit." default:"0"`
}

// Run prints a line for each change until the context is done or c.Count lines are printed.
func (c *registryWatchCmd) Run(env *environment) error {
	watcher, err := client.NewWatcher(client.Options{Endpoints: c.Endpoints})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(env.ctx)
	defer cancel()
	printed := 0
	err = watcher.Run(ctx, func(client.WatchEvent) {
		v := watcher.View()
		fmt.Fprintf(env.stdout, "revision %d: %d entries\n", v.Revision, len(v.Instances))
		if printed++; printed == c.Count {
			cancel()
		}
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
