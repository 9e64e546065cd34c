package state

import (
	"errors"
	"fmt"
)

// States of an instance, as discovery names them.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED" // only in changes: the instance is no longer there
)

// Roles of instances. The role of a server is empty. Instances with a role are not in the endpoint list.
const (
	RoleNode       = "node"       // a process of the load balancer; its Kind is the tier that it sends to
	RoleController = "controller" // the elected controller; see Op.Fence
)

// Instance is a server, a node or the elected controller. It never changes once it is in a State.
type Instance struct {
	// The form that nodes read; they ignore the fields below.
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"` // host:port
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Rack        int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	StartTimeMS float64 `json:"boot_ms"` // when its process started, by its own clock, in Unix milliseconds

	Role        string `json:"role,omitempty"`
	Tier        string `json:"tier,omitempty"` // the tier whose disruption budget it counts in; empty: none
	Region      string `json:"region,omitempty"`
	Version     string `json:"version,omitempty"`
	TTLMS       int64  `json:"ttl_ms,omitempty"`  // of its lease, in milliseconds; 0: no lease, it stays until it is removed
	Token       int64  `json:"token,omitempty"`   // fencing token: the revision at which its process registered
	ModRevision int64  `json:"mod,omitempty"`     // revision of its last change
	Suspect     bool   `json:"suspect,omitempty"` // its lease has ended together with too many others to believe it

	WarmUpDeficit float64 `json:"cold,omitempty"` // fraction of its capacity that it lacks while it warms up
}

// maxText bounds the texts of an instance and the keys of records, in bytes.
const maxText = 256

// Validate returns an error that names what is wrong with an instance as it registers.
func (i *Instance) Validate() error {
	switch {
	case i.UID == "" || len(i.UID) > maxText:
		return errors.New("uid: missing or too long")
	case i.Endpoint == "" || len(i.Endpoint) > maxText:
		return errors.New("endpoint: missing or too long")
	case i.State != Serving && i.State != Draining:
		return fmt.Errorf("state: %q is neither %s nor %s", i.State, Serving, Draining)
	case i.Role != "" && i.Role != RoleNode && i.Role != RoleController:
		return fmt.Errorf("role: %q is none", i.Role)
	case len(i.Tier) > maxText || len(i.Zone) > maxText || len(i.Region) > maxText || len(i.Kind) > maxText || len(i.Version) > maxText:
		return errors.New("a text is too long")
	case i.Capacity < 0 || i.TTLMS < 0 || i.StartTimeMS < 0:
		return errors.New("capacity, ttl and boot time cannot be negative")
	}
	return nil
}

// isUnit reports whether an instance counts in a disruption budget.
func (i *Instance) isUnit() bool { return i.Tier != "" && i.Role != RoleController }
