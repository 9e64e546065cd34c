package state

import (
	"encoding/json"

	"umberbank/internal/coordination/disruption"
)

// OpKind says what a write does.
type OpKind string

// Kinds of writes about instances and replicas.
const (
	OpRegister  OpKind = "register" // by an instance's process, which gets a token
	OpUpdate    OpKind = "update"   // by the holder of the token, or by an operator without one
	OpRemove    OpKind = "remove"
	OpExpire    OpKind = "expire"  // by the leader: a lease has ended
	OpSuspect   OpKind = "suspect" // by the leader: a lease has ended, which is not believed
	OpTrust     OpKind = "trust"   // by the leader: a suspect has renewed its lease
	OpWarmUp    OpKind = "warm"    // by the leader: how much capacity an instance still lacks
	OpSetMember OpKind = "member"  // the API address of a replica
	OpNoop      OpKind = "nothing" // changes nothing
)

// Kinds of writes about disruption budgets. UID names the unit.
const (
	OpSetLimits     OpKind = "limits"
	OpGrantPermit   OpKind = "permit" // for one incarnation of a unit
	OpBeginPermit   OpKind = "begin"  // the unit is taken out of service from now on; a server drains with it
	OpReturnPermit  OpKind = "return" // a permit that has not begun
	OpDecommission  OpKind = "gone"   // a unit that will not come back
	OpReportEjected OpKind = "avoid"  // by a node: the servers that it has ejected; no node of this build sends it
	OpPutRecord     OpKind = "put"    // an empty value deletes the record
)

// Kinds of writes about versions of the nodes' settings.
const (
	OpPropose     OpKind = "propose"
	OpAcknowledge OpKind = "ack"      // by a node: it can run the proposed version, or why not
	OpReport      OpKind = "report"   // by a node: the version that it runs
	OpAdvance     OpKind = "commit"   // starts the next stage, and commits with the last; the result's token is the version in force
	OpWithdraw    OpKind = "withdraw" // the proposed version, before any stage has started
	OpRollback    OpKind = "go-back"  // proposes the committed content as a new version
	OpHalt        OpKind = "halt"     // the pending version
)

// Absent as Op.IfModRevision requires that there is no such instance or record.
const Absent = -1

// Fence makes a write conditional on an instance holding its lease with a token, so that a controller whose lease has
// ended writes in vain.
type Fence struct {
	UID   string `json:"uid"`
	Token int64  `json:"token"`
}

// Op is one write, as clients send it and as the log stores it. Which fields a write uses depends on its kind.
type Op struct {
	Kind          OpKind    `json:"kind"`
	ID            string    `json:"id,omitempty"` // chosen by the client; a repeat changes nothing and gets the same result
	Instance      *Instance `json:"entry,omitempty"`
	UID           string    `json:"uid,omitempty"`
	Token         int64     `json:"token,omitempty"`   // of the instance, the permit or the node; 0: an operator's write
	IfModRevision int64     `json:"if_mod,omitempty"`  // the write needs this modification revision; 0: any; or Absent
	Fence         *Fence    `json:"fence,omitempty"`   // nil: not conditional
	WallTimeMS    int64     `json:"wall_ms,omitempty"` // when the leader wrote of leases, by its clock, for display only, in Unix milliseconds; 0: unknown

	// OpUpdate. What is absent stays as it is.
	State    string   `json:"state,omitempty"`
	Capacity *float64 `json:"capacity,omitempty"`

	// OpSetMember. An empty address removes the replica.
	Address string `json:"address,omitempty"`

	// Disruption budgets and records.
	Limits        *disruption.Limits `json:"limits,omitempty"`
	Incarnation   int64              `json:"start,omitempty"`  // token of the unit's process
	Holder        string             `json:"holder,omitempty"` // of the permit; for OpHalt the reason
	Plan          string             `json:"plan,omitempty"`
	TargetVersion string             `json:"to,omitempty"`
	ReplacesPlan  string             `json:"over,omitempty"` // the plan whose begun permit this one replaces
	WarmUpDeficit *float64           `json:"cold,omitempty"`
	Ejected       []string           `json:"avoids,omitempty"` // UIDs of servers
	Key           string             `json:"key,omitempty"`

	// Versions of settings. Token is the node's, Value the content.
	Number       int64           `json:"number,omitempty"`
	Hash         string          `json:"hash,omitempty"`
	Replaces     int64           `json:"replaces,omitempty"`
	Stages       []float64       `json:"stages,omitempty"`
	Stage        int             `json:"stage,omitempty"`
	BakeMS       int64           `json:"bake_ms,omitempty"`
	RejectReason string          `json:"refused,omitempty"`
	Value        json.RawMessage `json:"value,omitempty"` // also of a record
}

// maxValue bounds the value of a record and the content of a version, in bytes.
const maxValue = 1 << 20

// hasValidValue reports whether the value is JSON and not too long. An empty value is not JSON.
func (op *Op) hasValidValue() bool { return len(op.Value) <= maxValue && json.Valid(op.Value) }
