// Package api defines the HTTP API between replicas of the registry and its clients: the paths, headers and JSON bodies. The
// types of writes and views of the state are in package state.
//
// Every replica serves every path. POST requests, and reads with consistent=1, are forwarded to the leader. A response with a
// status other than 200 has an Error as its body. Status 400 means that the request is invalid, 503 that it may succeed if it
// is retried. Only the responses to unknown paths and methods, with status 404 or 405, are plain text.
package api

import "umberbank/internal/registry/state"

// Paths.
const (
	// PathInstances returns the list of servers in response to a GET, in the format of a discovery service. Parameters:
	// follow=1 starts a watch, from the revision in since=REV; at_least=REV waits up to 5 s until the replica has a revision;
	// consistent=1 waits until the leader has applied everything that was committed when the request arrived.
	PathInstances = "/registry/instances"
	// PathCoordination returns the state.CoordinationView in response to a GET. Parameters: after=REV waits for a later
	// revision, for at most wait_ms=MS (default 1,000, maximum 10,000); unit=UID selects the State.UnitView; node=UID selects
	// the State.NodeView, without the contents of the versions has=N,M. In the view of everything, units=1 adds the units, and
	// lead=UID the elected controller with that UID. consistent=1 is as for PathInstances.
	PathCoordination = "/registry/agreed"
	// PathStatus returns the Status of a replica in response to a GET.
	PathStatus = "/registry/status"
	// PathBackup returns a backup of the complete state in response to a GET.
	PathBackup = "/registry/backup"
	// PathWrite takes a POST of a WriteRequest.
	PathWrite = "/registry/write"
	// PathRenew takes a POST of a RenewRequest.
	PathRenew = "/registry/renew"
	// PathRestore takes a POST of a backup, which replaces the state and begins a new epoch.
	PathRestore = "/registry/restore"
	// PathMembers takes a POST that adds or removes a replica.
	PathMembers = "/registry/members"
	// PathMetrics returns the metrics of a replica in response to a GET, in the Prometheus text format.
	PathMetrics = "/metrics"
)

// Headers.
const (
	// HeaderRevision is the revision of the state that a response contains.
	HeaderRevision = "X-Registry-Revision"
	// HeaderStaleness is the time in milliseconds since the replica last had contact with its leader, zero on the leader. A raft
	// heartbeat counts as contact, so the state can be older than that while the replica has not received or applied the latest
	// entries.
	HeaderStaleness = "X-Registry-Stale-Ms"
	// HeaderForwarded is the id of the replica that forwarded a request to the leader. Such a request is not forwarded again.
	HeaderForwarded = "X-Registry-Forwarded"
)

// WatchEvent is the response to a read of the list, or a line of a watch. It contains the full list, or the instances that
// have changed, including the deleted ones. An empty line of a watch is a heartbeat.
type WatchEvent struct {
	Revision  int64             `json:"rev"`
	FullList  bool              `json:"all"`
	Instances []*state.Instance `json:"targets"` // an event without this field is invalid
}

// WriteRequest contains writes that are applied together, in their order.
type WriteRequest struct {
	Ops []state.Op `json:"ops"`
}

// WriteResponse contains the result of each write, in the order of the request.
type WriteResponse struct {
	Results []state.Result `json:"answers"`
}

// Lease identifies a lease by its instance and the token that the registration of the instance returned.
type Lease struct {
	UID   string `json:"uid"`
	Token int64  `json:"token"`
}

// RenewRequest contains the leases to renew.
type RenewRequest struct {
	Leases []Lease `json:"leases"`
}

// RenewResponse contains the uids of those leases that the leader has not found, or has found with another token.
type RenewResponse struct {
	Unknown []string `json:"unknown"`
}

// Status describes a replica, as seen by that replica.
type Status struct {
	ID              string            `json:"id"`
	IsLeader        bool              `json:"leads"`
	LeaderID        string            `json:"leader"` // empty if there is no leader
	Term            string            `json:"term"`   // raft term, a decimal number
	Revision        int64             `json:"rev"`
	Epoch           int64             `json:"epoch"`
	Entries         int               `json:"entries"`  // number of instances, of all roles
	Suspects        int               `json:"suspects"` // instances that stay in the list although their leases have expired
	Watchers        int64             `json:"watchers"`
	StalenessMS     int64             `json:"stale_ms"` // time since the last contact with the leader; zero on the leader
	ClientAddresses map[string]string `json:"members"`  // by replica id
	RaftAddresses   map[string]string `json:"replicas"` // by replica id
}

// Error is the body of a response with status 400 or 503.
type Error struct {
	Error string `json:"error"`
}
