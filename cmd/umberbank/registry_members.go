package main

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/replica"
)

// registryMembersCmd is "umberbank registry members".
type registryMembersCmd struct {
	registryFlags
	Add    string `name:"add" help:"Add a replica: ID, Raft address, client address." placeholder:"ID,RAFT,ADDRESS"`
	Remove string `name:"remove" help:"Remove the replica with this ID." placeholder:"ID"`
}

// Help is shown by --help.
func (registryMembersCmd) Help() string {
	return "Replace one replica at a time: add the new one, then remove the old one.\n\nExample:\n  umberbank registry members --add r4,10.0.0.4:7401,10.0.0.4:7400"
}

// Run adds or removes a replica, or prints the members.
func (c *registryMembersCmd) Run(env *environment) error {
	change := memberChange{Remove: c.Remove}
	if c.Add != "" {
		peer, err := parsePeer(c.Add)
		if err != nil {
			return err
		}
		change.Add = peer
	}
	switch {
	case change.Add != nil && change.Remove != "":
		return errors.New("--add and --remove cannot be combined: change one replica at a time")
	case change.Add != nil || change.Remove != "":
		return c.call(env.ctx, http.MethodPost, api.PathMembers, change, &struct{}{})
	}
	return c.print(env)
}

// memberChange is the body of the request that adds or removes a replica.
type memberChange struct {
	Add    *replica.Peer `json:"add,omitempty"`
	Remove string        `json:"remove,omitempty"`
}

// parsePeer parses ID,RAFT,ADDRESS.
func parsePeer(text string) (*replica.Peer, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil, fmt.Errorf("--add: got %q, want ID,RAFT,ADDRESS", text)
	}
	return &replica.Peer{ID: parts[0], RaftAddress: parts[1], ClientAddress: parts[2]}, nil
}

// print prints the members.
func (c *registryMembersCmd) print(env *environment) error {
	var status api.Status
	if err := c.call(env.ctx, http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return err
	}
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "replica\traft\taddress\tleader\t")
	for _, id := range slices.Sorted(maps.Keys(status.RaftAddresses)) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t\n", id, status.RaftAddresses[id], status.ClientAddresses[id], id == status.LeaderID)
	}
	return t.Flush()
}
