package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"umberbank/internal/registry/replica"
)

type registryMembersCmd struct {
	registryFlags
	Add    string `name:"add" help:"Take a replica in: ID,RAFT,ADDRESS." placeholder:"ID,RAFT,ADDRESS"`
	Remove string `name:"remove" help:"Take a replica out." placeholder:"ID"`
}

// Help is shown by --help.
func (registryMembersCmd) Help() string {
	return "Replace one at a time: take the new one in, then the old one out.\n\nExample:\n  umberbank registry members --add r4,10.0.0.4:7401,10.0.0.4:7400"
}

func (c *registryMembersCmd) Run(env *environment) error {
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
		return c.call(env.ctx, "POST", "/registry/members", change, &struct{}{})
	}
	var st replica.Status
	if err := c.call(env.ctx, "GET", "/registry/status", nil, &st); err != nil {
		return err
	}
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
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
