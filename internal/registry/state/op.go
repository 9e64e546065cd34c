package state

import (
	"encoding/json"

	"umberbank/internal/coordination/disruption"
)

// OpKind is the kind of a write.
type OpKind string

// Kinds of writes that concern instances and replicas.
const (
	OpRegister  OpKind = "register" // by the process of an instance; the result has its token
	OpUpdate    OpKind = "update"   // by the holder of the token, or by an operator without a token
	OpRemove    OpKind = "remove"   // by the holder of the token; without a token, by an operator, it also decommissions a unit
	OpExpire    OpKind = "expire"   // by the leader: a lease has expired and the instance is removed
	OpSuspect   OpKind = "suspect"  // by the leader: a lease has expired and the instance stays as a suspect
	OpTrust     OpKind = "trust"    // by the leader: a suspect has renewed its lease
	OpWarmUp    OpKind = "warm"     // by the leader: the fraction of its capacity that an instance still lacks
	OpSetMember OpKind = "member"   // sets the API address of a replica
	OpNoop      OpKind = "nothing"  // changes nothing
)

// Kinds of writes that concern disruption budgets and records. UID names the unit.
const (
	OpSetLimits     OpKind = "limits"
	OpGrantPermit   OpKind = "permit" // requests a permit to take one incarnation of a unit out of service
	OpBeginPermit   OpKind = "begin"  // the unit is taken out of service; a server drains from then on
	OpReturnPermit  OpKind = "return" // gives back a permit that has not begun
	OpDecommission  OpKind = "gone"   // removes a unit that will not return
	OpReportEjected OpKind = "avoid"  // by a node: the servers that it has ejected; nodes of this version do not send it
	OpPutRecord     OpKind = "put"    // an empty value deletes the record
)

// Kinds of writes that concern versions of the nodes' settings.
const (
	OpPropose     OpKind = "propose"
	OpAcknowledge OpKind = "ack"      // by a node: it can run the proposed version, or the reason why not
	OpReport      OpKind = "report"   // by a node: the version that it runs
	OpAdvance     OpKind = "commit"   // starts the next stage of a version; the last stage commits it
	OpWithdraw    OpKind = "withdraw" // withdraws the proposed version before any stage has started
	OpRollback    OpKind = "go-back"  // proposes the committed content as a new version
	OpHalt        OpKind = "halt"     // halts the pending version
)

// Absent is the Op.IfModRevision of an OpRegister or OpPutRecord that requires that the instance or record does not exist. An
// OpRegister ignores any other IfModRevision.
const Absent = -1

// Fence makes a write conditional on an instance being registered with a token, so that the writes of a controller whose
// lease has expired are rejected.
type Fence struct {
	UID   string `json:"uid"`
	Token int64  `json:"token"`
}

// Op is one write, as clients send it and as the log stores it. Which fields a write uses depends on its kind.
type Op struct {
	Kind          OpKind    `json:"kind"`
	ID            string    `json:"id,omitempty"` // chosen by the client; a repeated write only gets the first result
	Instance      *Instance `json:"entry,omitempty"`
	UID           string    `json:"uid,omitempty"`
	Token         int64     `json:"token,omitempty"`  // of the instance, the permit or the node; zero for a write of an operator
	IfModRevision int64     `json:"if_mod,omitempty"` // required modification revision, or Absent; zero allows any
	Fence         *Fence    `json:"fence,omitempty"`  // nil if the write is unconditional
	// WallTimeMS is when the leader found a lease expired, by its clock in Unix milliseconds. It is for display only, and
	// zero if unknown.
	WallTimeMS int64 `json:"wall_ms,omitempty"`

	// OpUpdate. A field that is not set leaves the instance's value unchanged.
	State    string   `json:"state,omitempty"`
	Capacity *float64 `json:"capacity,omitempty"`

	// OpSetMember. An empty address removes the replica.
	Address string `json:"address,omitempty"`

	// Disruption budgets and records.
	Limits        *disruption.Limits `json:"limits,omitempty"`
	Incarnation   int64              `json:"start,omitempty"`  // token of the unit's process
	Holder        string             `json:"holder,omitempty"` // who requests the permit; for OpHalt, the reason
	Plan          string             `json:"plan,omitempty"`
	TargetVersion string             `json:"to,omitempty"`
	ReplacesPlan  string             `json:"over,omitempty"` // plan of the begun permit that the new permit replaces
	WarmUpDeficit *float64           `json:"cold,omitempty"`
	Ejected       []string           `json:"avoids,omitempty"` // UIDs of servers
	Key           string             `json:"key,omitempty"`

	// Versions of settings. Token is that of the node, Value is the content.
	Number       int64           `json:"number,omitempty"`
	Hash         string          `json:"hash,omitempty"`
	Replaces     int64           `json:"replaces,omitempty"`
	Stages       []float64       `json:"stages,omitempty"`
	Stage        int             `json:"stage,omitempty"`
	BakeMS       int64           `json:"bake_ms,omitempty"`
	RejectReason string          `json:"refused,omitempty"`
	Value        json.RawMessage `json:"value,omitempty"` // also the value of a record
}

// maxValue is the maximum length in bytes of the value of a record and of the content of a version.
const maxValue = 1 << 20

// hasValidValue reports whether the value is valid JSON and not too long. An empty value is not valid JSON.
func (op *Op) hasValidValue() bool { return len(op.Value) <= maxValue && json.Valid(op.Value) }
