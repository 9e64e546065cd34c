package state

import "fmt"

// Code says why a write was not applied; empty: it was.
type Code string

// Result is what came of a write.
type Result struct {
	Revision int64  `json:"rev"` // of the State after the write
	Token    int64  `json:"token,omitempty"`
	Code     Code   `json:"fault,omitempty"`
	Reason   string `json:"why,omitempty"` // details of the code
}

// Codes of results.
const (
	CodeFenced   Code = "fenced"    // another process holds the instance, or the fence's instance
	CodeConflict Code = "conflict"  // the instance or record has another modification revision
	CodeNotFound Code = "not-found" // there is no such instance or record
	CodeInvalid  Code = "bad"       // the write is malformed

	CodeOverBudget Code = "over-budget" // the reason has the figures
	CodeHalted     Code = "halted"      // the permit's release is halted
	CodeNoPermit   Code = "no-permit"
	CodeNotReady   Code = "not-yet" // a write about versions; the reason says what is missing
)

// Error is the error of a write that was not applied.
type Error struct {
	Code   Code
	Reason string // empty: the code says it all
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
