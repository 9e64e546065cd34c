package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"text/tabwriter"

	"umberbank/internal/registry/api"
)

// registryStatusCmd is "umberbank registry status".
type registryStatusCmd struct {
	registryFlags
	JSON bool `name:"json" help:"Print a JSON object for each replica."`
}

// Run prints the status of each replica. A replica that does not respond has a row of its own, also with --json, and its error is
// returned. If several do not respond, the error is that of the last one.
func (c *registryStatusCmd) Run(env *environment) error {
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(t, "replica\taddress\tleader\tterm\trevision\tentries\tsuspect\twatchers\tstale ms\t")
	}
	var lastErr error
	for _, address := range c.Endpoints {
		var st api.Status
		replica := registryFlags{Endpoints: []string{address}, Timeout: c.Timeout}
		if err := replica.call(env.ctx, http.MethodGet, api.PathStatus, nil, &st); err != nil {
			lastErr = fmt.Errorf("%s: %w", address, err)
			fmt.Fprintf(t, "?\t%s\tno response\t\n", address)
			continue
		}
		if c.JSON {
			if err := json.NewEncoder(env.stdout).Encode(st); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%d\t%d\t%d\t%d\t%d\t\n", st.ID, address, st.IsLeader, st.Term, st.Revision, st.Entries, st.Suspects, st.Watchers, st.StalenessMS)
	}
	return errors.Join(t.Flush(), lastErr)
}
