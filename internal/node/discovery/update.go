package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"umberbank/balancer"
)

// Update is a message from discovery: the complete endpoint list, or the entries that changed. It must
// not be modified after it was parsed.
type Update struct {
	Revision int64   `json:"rev"` // revision of the list after this update
	Full     bool    `json:"all"` // the list is complete: endpoints without an entry were removed
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
	StartTimeMS float64 `json:"boot_ms"` // Unix time in milliseconds; zero if unknown
}

// endpointStates maps the states in messages to those of the balancer.
var endpointStates = map[string]balancer.EndpointState{
	"SERVING": balancer.Ready, "DRAINING": balancer.Draining, "DELETED": balancer.Removed,
}

// ParseUpdate parses one message. An invalid entry makes the whole message invalid, because a list
// without that entry could be mistaken for a complete one.
func ParseUpdate(text []byte) (Update, error) {
	var u Update
	if err := json.Unmarshal(text, &u); err != nil {
		return Update{}, err
	}
	if u.Entries == nil {
		// Without this check, a complete list without this key would remove every endpoint.
		return Update{}, errors.New("no targets")
	}
	for i, e := range u.Entries {
		if err := e.validate(i); err != nil {
			return Update{}, err
		}
	}
	return u, nil
}

// validate returns an error if the entry is invalid. index is the entry's position in its message.
func (e Entry) validate(index int) error {
	if e.UID == "" {
		return fmt.Errorf("target %d has no uid", index)
	}
	if _, known := endpointStates[e.State]; !known {
		return fmt.Errorf("target %d has the unknown state %q", index, e.State)
	}
	_, _, err := net.SplitHostPort(e.Address)
	if err != nil && e.State != "DELETED" { // a removed endpoint needs no address
		return fmt.Errorf("target %d: endpoint %q is no host:port", index, e.Address)
	}
	return nil
}

// Endpoint converts the entry to the balancer's type. The balancer's clock is Unix time, so only the
// unit of the start time changes.
func (e Entry) Endpoint() balancer.Endpoint {
	return balancer.Endpoint{
		ID:        e.UID,
		Zone:      e.Zone,
		Cell:      e.Cell,
		State:     endpointStates[e.State],
		Weight:    e.Weight,
		StartTime: time.Duration(e.StartTimeMS * float64(time.Millisecond)),
	}
}
