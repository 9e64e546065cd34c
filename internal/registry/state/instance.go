package state

import (
	"errors"
	"fmt"
)

// States of an instance, with the names that discovery uses.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED" // only in the changes that Apply returns and watches report
)

// Roles of instances. Servers have an empty role. Instances with a role are left out of the endpoint list.
const (
	RoleNode       = "node"       // a load balancer process; its Kind is the tier that it sends requests to
	RoleController = "controller" // the elected controller; see Op.Fence
)

// Instance is a server, a node or the elected controller. It is immutable once it is in a State.
type Instance struct {
	// Fields that nodes read. They ignore the fields after this group.
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"` // host:port
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Rack        int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	StartTimeMS float64 `json:"boot_ms"` // when its process started, by its own clock, in Unix milliseconds

	Role        string `json:"role,omitempty"`
	Tier        string `json:"tier,omitempty"` // tier whose disruption budget counts it; empty if none does
	Region      string `json:"region,omitempty"`
	Version     string `json:"version,omitempty"`
	TTLMS       int64  `json:"ttl_ms,omitempty"`  // duration of its lease in milliseconds; zero if it stays until it is removed
	Token       int64  `json:"token,omitempty"`   // fencing token: the revision at which its process registered
	ModRevision int64  `json:"mod,omitempty"`     // revision of its last change
	Suspect     bool   `json:"suspect,omitempty"` // its lease expired together with so many others that it was not removed

	WarmUpDeficit float64 `json:"cold,omitempty"` // fraction of its capacity that it lacks while it warms up
}

// maxText is the maximum length in bytes of the texts of an instance and of the keys of records.
const maxText = 256

// Validate returns an error that names the first invalid fields of an instance, or nil. The state Deleted is invalid.
func (i *Instance) Validate() error {
	switch {
	case i.UID == "" || len(i.UID) > maxText:
		return errors.New("uid: missing or too long")
	case i.Endpoint == "" || len(i.Endpoint) > maxText:
		return errors.New("endpoint: missing or too long")
	case i.State != Serving && i.State != Draining:
		return fmt.Errorf("state: %q is neither %s nor %s", i.State, Serving, Draining)
	case i.Role != "" && i.Role != RoleNode && i.Role != RoleController:
		return fmt.Errorf("role: %q is unknown", i.Role)
	case len(i.Tier) > maxText || len(i.Zone) > maxText || len(i.Region) > maxText || len(i.Kind) > maxText || len(i.Version) > maxText:
		return errors.New("tier, az, region, model or version: too long")
	case i.Capacity < 0 || i.TTLMS < 0 || i.StartTimeMS < 0:
		return errors.New("capacity_hint, ttl_ms or boot_ms: negative")
	}
	return nil
}

// isUnit reports whether an instance is counted in a disruption budget.
func (i *Instance) isUnit() bool { return i.Tier != "" && i.Role != RoleController }
