package state

// Result is what came of a write.
type Result struct {
	Revision int64  `json:"rev"` // of the State after the write
	Token    int64  `json:"token,omitempty"`
	Code     string `json:"fault,omitempty"` // why the write was not applied, one of the Codes; empty: it was
	Reason   string `json:"why,omitempty"`   // details of the code
}

// Codes of results.
const (
	CodeFenced   = "fenced"    // another process holds the instance, or the fence's instance
	CodeConflict = "conflict"  // the instance or record has another modification revision
	CodeNotFound = "not-found" // there is no such instance or record
	CodeInvalid  = "bad"       // the write is malformed

	CodeOverBudget = "over-budget" // the reason has the figures
	CodeHalted     = "halted"      // the permit's release is halted
	CodeNoPermit   = "no-permit"
	CodeNotReady   = "not-yet" // a write about versions; the reason says what is missing
)
