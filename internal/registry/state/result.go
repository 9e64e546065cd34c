package state

import "fmt"

// Code is the reason why a write was not applied. It is empty if the write was applied.
type Code string

// Result is the outcome of a write.
type Result struct {
	Revision int64  `json:"rev"`             // of the State after the write
	Token    int64  `json:"token,omitempty"` // of the instance or the permit; for OpPropose, OpRollback and OpAdvance a version
	Code     Code   `json:"fault,omitempty"`
	Reason   string `json:"why,omitempty"` // details of the code
}

// Codes of results.
const (
	CodeFenced   Code = "fenced"    // the write or its fence is of a process that is not the current one
	CodeConflict Code = "conflict"  // the modification revision differs, or a release is changing the unit
	CodeNotFound Code = "not-found" // the instance or record does not exist
	CodeInvalid  Code = "bad"       // the write is malformed

	CodeOverBudget Code = "over-budget" // the permit is not granted; the reason says why
	CodeHalted     Code = "halted"      // the permit's release is halted
	CodeNoPermit   Code = "no-permit"   // no permit has the token, or the permit to return has begun
	CodeNotReady   Code = "not-yet"     // the rollout does not allow the write in its current state; the reason says why
)

// Error is the error of a write that was not applied.
type Error struct {
	Code   Code
	Reason string // empty if the code has no details
}

// Error returns the code, and the reason if there is one.
func (e *Error) Error() string {
	if e.Reason == "" {
		return string(e.Code)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Reason)
}

// Err returns an [*Error] if the write was not applied.
func (r Result) Err() error {
	if r.Code == "" {
		return nil
	}
	return &Error{Code: r.Code, Reason: r.Reason}
}
