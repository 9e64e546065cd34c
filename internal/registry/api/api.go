// Package api is the HTTP API of the registry as replicas and clients share it: paths, headers and the JSON of bodies. What
// writes and views of the state look like is in package state.
//
// Every replica serves every path. Calls that write, and reads with consistent=1, are forwarded to the leader. An answer
// other than 200 has an Error as its body: 400 for a bad request, 503 for one that may succeed if it is repeated.
package api

import "umberbank/internal/registry/state"

// Paths.
const (
	// PathInstances is the list of servers, in discovery's form. Parameters of a GET: follow=1 for a watch, since=REV for
	// where it begins; at_least=REV waits for a revision; consistent=1 reads what was committed when the call came.
	PathInstances = "/registry/instances"
	// PathCoordination is the state.CoordinationView. Parameters of a GET: after=REV waits until there is a later revision, for
	// wait_ms=MS at most; unit=UID, node=UID with has=N,M, units=1 and lead=UID select a part; consistent=1 as above.
	PathCoordination = "/registry/agreed"
	// PathStatus is a GET of a replica's Status.
	PathStatus = "/registry/status"
	// PathBackup is a GET of the whole state.
	PathBackup = "/registry/backup"
	// PathWrite takes a POST of a WriteRequest.
	PathWrite = "/registry/write"
	// PathRenew takes a POST of a RenewRequest.
	PathRenew = "/registry/renew"
	// PathRestore takes a POST of a backup, which replaces the state in a new epoch.
	PathRestore = "/registry/restore"
	// PathMembers takes a POST of a change of the replicas.
	PathMembers = "/registry/members"
	// PathMetrics is a GET of a replica's metrics, in the form of Prometheus.
	PathMetrics = "/metrics"
)

// Headers.
const (
	// HeaderRevision is the revision of what was read.
	HeaderRevision = "X-Registry-Revision"
	// HeaderStaleness is how long ago, in milliseconds, the replica last heard from its leader: what it returns is no older
	// than that and one heartbeat of raft.
	HeaderStaleness = "X-Registry-Stale-Ms"
	// HeaderForwarded is the id of the replica that forwarded a call to the leader. Such a call is not forwarded again.
	HeaderForwarded = "X-Registry-Forwarded"
)

// WatchEvent is the full list, or a line of a watch: the full list again, or the instances that have changed, deleted ones
// among them. An empty line is a heartbeat.
type WatchEvent struct {
	Revision  int64             `json:"rev"`
	FullList  bool              `json:"all"`
	Instances []*state.Instance `json:"targets"` // an event without this field is not valid
}

// WriteRequest has writes that are carried out together, in their order.
type WriteRequest struct {
	Ops []state.Op `json:"ops"`
}

// WriteResponse has what became of each write.
type WriteResponse struct {
	Results []state.Result `json:"answers"`
}

// Lease names a lease, by its instance and the token that the instance's registration got.
type Lease struct {
	UID   string `json:"uid"`
	Token int64  `json:"token"`
}

// RenewRequest has the leases to renew.
type RenewRequest struct {
	Leases []Lease `json:"leases"`
}

// RenewResponse has the uids whose leases the leader does not know by their tokens.
type RenewResponse struct {
	Unknown []string `json:"unknown"`
}

// Status is what a replica reports of itself.
type Status struct {
	ID              string            `json:"id"`
	IsLeader        bool              `json:"leads"`
	LeaderID        string            `json:"leader"` // "" without a leader
	Term            string            `json:"term"`   // of raft
	Revision        int64             `json:"rev"`
	Epoch           int64             `json:"epoch"`
	Entries         int               `json:"entries"`  // instances, of every role
	Suspects        int               `json:"suspects"` // whose leases have expired and are not believed
	Watchers        int64             `json:"watchers"`
	StalenessMS     int64             `json:"stale_ms"` // since it last heard from its leader
	ClientAddresses map[string]string `json:"members"`  // by the replicas' ids
	RaftAddresses   map[string]string `json:"replicas"` // likewise
}

// Error is the body of an answer that is an error.
type Error struct {
	Error string `json:"error"`
}
