package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/replica"
	"umberbank/internal/registry/state"
)

type registryCmd struct {
	Serve   registryServeCmd   `name:"serve" cmd:"" help:"Run one replica; alone it is a whole registry."`
	Status  registryStatusCmd  `name:"status" cmd:"" help:"Show what each replica says of itself."`
	Get     registryGetCmd     `name:"get" cmd:"" help:"Show entries."`
	Watch   registryWatchCmd   `name:"watch" cmd:"" help:"Show changes as they come."`
	Put     registryPutCmd     `name:"put" cmd:"" help:"Enter servers, from a file of JSON."`
	Drain   registryDrainCmd   `name:"drain" cmd:"" help:"Tell nodes to send servers nothing new."`
	Restore registryRestoreCmd `name:"restore" cmd:"" help:"Put a backup in the place of what the registry holds, in a new epoch."`
	Backup  registryBackupCmd  `name:"backup" cmd:"" help:"Write all that the registry holds to a file."`
	Remove  registryRemoveCmd  `name:"remove" cmd:"" help:"Take servers out."`
	Members registryMembersCmd `name:"members" cmd:"" help:"Show the replicas, take one in or out."`
	Bench   registryBenchCmd   `name:"bench" cmd:"" help:"Measure a registry of three processes."`
	Trial   registryTrialCmd   `name:"trial" cmd:"" help:"Play faults on registries of real processes, and judge what their users saw."`
}

type registryServeCmd struct {
	Config string `name:"config" help:"The replica's configuration (TOML); none: a whole registry on this machine's loopback, data in ./umberbank-registry." placeholder:"FILE"`
}

// Help is shown by --help.
func (registryServeCmd) Help() string {
	return `Nodes follow it as their discovery: GET /registry/instances?follow=1&since=REV. Three or five replicas with the same [[peer]]
tables form a cluster. A replica without any waits until umberbank registry members --add takes it in.

Examples:
  umberbank registry serve
  umberbank registry serve --config r1.toml`
}

func (c *registryServeCmd) Run(a *app) error {
	return replica.Serve(a.ctx, c.Config, a.log, func(address string) { fmt.Fprintf(a.out, "serving on %s\n", address) })
}

// registryAt says which registry a command is for.
type registryAt struct {
	At     []string      `name:"at" help:"Replicas, as host:port; any that answers will do." default:"127.0.0.1:7400"`
	Within time.Duration `name:"within" help:"How long to try." default:"5s"`
}

func (r registryAt) writer() (*client.Client, error) {
	return client.New(client.Options{Endpoints: r.At})
}

// call makes one call to the registry.
func (r registryAt) call(ctx context.Context, method, path string, body, into any) error {
	w, err := r.writer()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Within)
	defer cancel()
	return w.Call(ctx, method, path, body, into)
}

// write has writes carried out, and gives the first fault.
func (r registryAt) write(a *app, ops ...state.Op) error {
	w, err := r.writer()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.ctx, r.Within)
	defer cancel()
	answers, err := w.Write(ctx, ops...)
	if err != nil {
		return err
	}
	failed := false
	for i, an := range answers {
		uid := ops[i].UID
		if ops[i].Instance != nil {
			uid = ops[i].Instance.UID
		}
		if an.Code != "" {
			failed = true
			fmt.Fprintf(a.out, "%s: %s\n", uid, an.Code)
		} else {
			fmt.Fprintf(a.out, "%s: done at revision %d\n", uid, an.Revision)
		}
	}
	if failed {
		return errNotHeld
	}
	return nil
}

type registryStatusCmd struct {
	registryAt
	JSON bool `name:"json" help:"Print one JSON object for each replica."`
}

func (c *registryStatusCmd) Run(a *app) error {
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(t, "replica\tat\tleads\tterm\trevision\tentries\tsuspect\twatchers\tstale ms\t")
	}
	var failed error
	for _, at := range c.At {
		var st replica.Status
		one := registryAt{At: []string{at}, Within: c.Within}
		if err := one.call(a.ctx, "GET", "/registry/status", nil, &st); err != nil {
			failed = fmt.Errorf("%s: %w", at, err)
			fmt.Fprintf(t, "?\t%s\tdoes not answer\t\n", at)
			continue
		}
		if c.JSON {
			if err := json.NewEncoder(a.out).Encode(st); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%d\t%d\t%d\t%d\t%d\t\n", st.ID, at, st.IsLeader, st.Term, st.Revision, st.Entries, st.Suspects, st.Watchers, st.StalenessMS)
	}
	return errors.Join(t.Flush(), failed)
}

// instances is a list as the registry gives it.
type instances struct {
	Rev     int64             `json:"rev"`
	All     bool              `json:"all"`
	Targets []*state.Instance `json:"targets"`
}

type registryGetCmd struct {
	registryAt
	UIDs       []string `arg:"" optional:"" name:"uid" help:"Only these."`
	Consistent bool     `name:"consistent" help:"All that was written before this call, by way of the leader; else a replica's list may be late."`
	AtLeast    int64    `name:"at-least" help:"Wait for this revision." placeholder:"REV"`
	JSON       bool     `name:"json" help:"Print one JSON object."`
}

func (c *registryGetCmd) Run(a *app) error {
	path := "/registry/instances?"
	if c.Consistent {
		path += "consistent=1&"
	}
	if c.AtLeast > 0 {
		path += fmt.Sprintf("at_least=%d", c.AtLeast)
	}
	var l instances
	if err := c.call(a.ctx, "GET", path, nil, &l); err != nil {
		return err
	}
	if len(c.UIDs) > 0 {
		l.Targets = slices.DeleteFunc(l.Targets, func(e *state.Instance) bool { return !slices.Contains(c.UIDs, e.UID) })
		l.All = false
	}
	if c.JSON {
		return json.NewEncoder(a.out).Encode(l)
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
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
		return errNotHeld
	}
	return nil
}

type registryWatchCmd struct {
	registryAt
	Count int `name:"count" help:"End after so many changes; 0: never." default:"0"`
}

func (c *registryWatchCmd) Run(a *app) error {
	r, err := client.NewWatcher(client.Options{Endpoints: c.At})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	n := 0
	err = r.Run(ctx, func(client.WatchEvent) {
		v := r.View()
		fmt.Fprintf(a.out, "revision %d: %d entries\n", v.Revision, len(v.Instances))
		if n++; n == c.Count {
			cancel()
		}
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

type registryPutCmd struct {
	registryAt
	File string `name:"file" arg:"" help:"Entries as JSON, one or a list: uid, endpoint, az, model, pod_group, state, capacity_hint, boot_ms. Without ttl_ms they stay until they are removed."`
}

// Help is shown by --help.
func (registryPutCmd) Help() string {
	return "Example:\n  echo '{\"uid\":\"s1\",\"endpoint\":\"10.1.0.18:3000\",\"az\":\"a\",\"state\":\"SERVING\",\"capacity_hint\":1}' > s1.json\n  umberbank registry put s1.json"
}

func (c *registryPutCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var l []*state.Instance
	if strings.HasPrefix(strings.TrimSpace(string(text)), "[") {
		err = json.Unmarshal(text, &l)
	} else {
		l = []*state.Instance{{}}
		err = json.Unmarshal(text, l[0])
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	var ops []state.Op
	for i, e := range l {
		if err := e.Validate(); err != nil {
			return fmt.Errorf("%s: entry %d: %w", c.File, i, err)
		}
		ops = append(ops, state.Op{Kind: state.OpRegister, Instance: e})
	}
	return c.write(a, ops...)
}

type registryDrainCmd struct {
	registryAt
	UIDs []string `arg:"" name:"uid" help:"The servers."`
	Off  bool     `name:"off" help:"Let them serve again."`
}

func (c *registryDrainCmd) Run(a *app) error {
	var ops []state.Op
	for _, uid := range c.UIDs {
		op := state.Op{Kind: state.OpUpdate, UID: uid, State: state.Draining}
		if c.Off {
			op.State = state.Serving
		}
		ops = append(ops, op)
	}
	return c.write(a, ops...)
}

type registryRemoveCmd struct {
	registryAt
	UIDs []string `arg:"" name:"uid" help:"The servers."`
}

func (c *registryRemoveCmd) Run(a *app) error {
	var ops []state.Op
	for _, uid := range c.UIDs {
		ops = append(ops, state.Op{Kind: state.OpRemove, UID: uid})
	}
	return c.write(a, ops...)
}

type registryMembersCmd struct {
	registryAt
	Add    string `name:"add" help:"Take a replica in: ID,RAFT,ADDRESS." placeholder:"ID,RAFT,ADDRESS"`
	Remove string `name:"remove" help:"Take a replica out." placeholder:"ID"`
}

// Help is shown by --help.
func (registryMembersCmd) Help() string {
	return "Replace one at a time: take the new one in, then the old one out.\n\nExample:\n  umberbank registry members --add r4,10.0.0.4:7401,10.0.0.4:7400"
}

func (c *registryMembersCmd) Run(a *app) error {
	change := map[string]any{}
	if c.Add != "" {
		p := strings.Split(c.Add, ",")
		if len(p) != 3 {
			return fmt.Errorf("--add: %q is no ID,RAFT,ADDRESS", c.Add)
		}
		change["add"] = replica.Peer{ID: p[0], RaftAddress: p[1], ClientAddress: p[2]}
	}
	if c.Remove != "" {
		change["remove"] = c.Remove
	}
	if len(change) > 1 {
		return errors.New("one replica at a time: --add or --remove")
	}
	if len(change) == 1 {
		return c.call(a.ctx, "POST", "/registry/members", change, &struct{}{})
	}
	var st replica.Status
	if err := c.call(a.ctx, "GET", "/registry/status", nil, &st); err != nil {
		return err
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "replica\traft\taddress\tleads\t")
	for _, id := range sortedKeys(st.RaftAddresses) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t\n", id, st.RaftAddresses[id], st.ClientAddresses[id], id == st.LeaderID)
	}
	return t.Flush()
}

func sortedKeys(m map[string]string) []string {
	var l []string
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

type registryBackupCmd struct {
	registryAt
	File string `name:"file" arg:"" help:"Where to."`
}

func (c *registryBackupCmd) Run(a *app) error {
	var text json.RawMessage
	if err := c.call(a.ctx, "GET", "/registry/backup", nil, &text); err != nil {
		return err
	}
	return os.WriteFile(c.File, text, 0o600)
}

type registryRestoreCmd struct {
	registryAt
	File string `name:"file" arg:"" help:"A backup."`
}

func (c *registryRestoreCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := state.Load(text); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.call(a.ctx, "POST", "/registry/restore", json.RawMessage(text), &struct{}{})
}
