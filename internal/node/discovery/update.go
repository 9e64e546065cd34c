package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"umberbank/balancer"
)

// Update is a message of discovery: the complete endpoint list, or the entries that changed. It is immutable once parsed.
type Update struct {
	Revision int64   `json:"rev"` // of the list as it is after this update
	Full     bool    `json:"all"` // what is not named is gone
	Entries  []Entry `json:"targets"`
}

// Entry is an entry of the endpoint list.
type Entry struct {
	UID         string  `json:"uid"`
	Address     string  `json:"endpoint"` // host:port
	Zone        string  `json:"az"`
	Cell        int     `json:"pod_group"`
	State       string  `json:"state"` // SERVING, DRAINING or DELETED
	Weight      float64 `json:"capacity_hint"`
	StartTimeMS float64 `json:"boot_ms"` // Unix time in milliseconds; 0: not known
}

// endpointStates are the states of targets, and what the balancer calls them.
var endpointStates = map[string]balancer.EndpointState{
	"SERVING": balancer.Ready, "DRAINING": balancer.Draining, "DELETED": balancer.Removed,
}

// ParseUpdate reads one message. A message with any bad entry is bad as a whole: half a list would pass for a complete one.
func ParseUpdate(text []byte) (Update, error) {
	var u Update
	if err := json.Unmarshal(text, &u); err != nil {
		return Update{}, err
	}
	if u.Entries == nil {
		// In a complete list, what is not named is gone.
		return Update{}, errors.New("no targets")
	}
	for i, t := range u.Entries {
		if err := t.validate(i); err != nil {
			return Update{}, err
		}
	}
	return u, nil
}

// validate says what is wrong with the target of an index; nil: nothing.
func (t Entry) validate(index int) error {
	if t.UID == "" {
		return fmt.Errorf("target %d has no uid", index)
	}
	if _, known := endpointStates[t.State]; !known {
		return fmt.Errorf("target %d has the unknown state %q", index, t.State)
	}
	_, _, err := net.SplitHostPort(t.Address)
	if err != nil && t.State != "DELETED" { // what is gone needs no address
		return fmt.Errorf("target %d: endpoint %q is no host:port", index, t.Address)
	}
	return nil
}

// Endpoint is the entry in the form of the balancer. Its clock is Unix time, so start times need no conversion but of their
// unit.
func (t Entry) Endpoint() balancer.Endpoint {
	return balancer.Endpoint{
		ID:        t.UID,
		Zone:      t.Zone,
		Cell:      t.Cell,
		State:     endpointStates[t.State],
		Weight:    t.Weight,
		StartTime: time.Duration(t.StartTimeMS * float64(time.Millisecond)),
	}
}
