package oracle

import "time"

// Names of the rules. They are part of the --json output and of scenarios.
const (
	RuleLost            = "lost"     // a request that a node has accepted gets a complete response in time
	RuleRepeated        = "twice"    // a non-idempotent request is repeated only if earlier attempts are proven not to have run
	RuleIdempotencyKey  = "keyed"    // a request with an idempotency key is repeated only within its scope and window
	RuleAttemptLimit    = "copies"   // no more attempts than allowed, and no hedged attempts unless hedging is enabled
	RuleRejection       = "promised" // a rejected request can be retried safely
	RuleDraining        = "drained"  // no new attempt is sent to a draining or removed server
	RuleSlowStart       = "cold"     // no server is overloaded during its warm-up
	RuleUnsolicited     = "phantom"  // every request at a server was sent to the node that forwards it, and is unchanged
	RuleCorruptResponse = "spoilt"   // a successful response is one that a server produced for this request
	RuleDisconnected    = "gone"     // no attempt begins for a client that has disconnected
	RuleCrash           = "crash"    // no node's process exits on its own or fails to start
	RuleResourceLimit   = "limits"   // no node's process exceeds its limits for memory and file descriptors
)

// Rules contains the names of all rules.
var Rules = []string{
	RuleLost, RuleRepeated, RuleIdempotencyKey, RuleAttemptLimit, RuleRejection, RuleDraining, RuleSlowStart,
	RuleUnsolicited, RuleCorruptResponse, RuleDisconnected, RuleCrash, RuleResourceLimit,
}

// Violation is one violation of a rule, with the history of the call for which it was detected, if any.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"` // since the start of the run
	Request string        `json:"request,omitempty"`
	Detail  string        `json:"detail"`
	Trace   []string      `json:"trace,omitempty"`
}

// maxRecordedViolations limits how many violations are recorded in full. Further ones are only counted.
const maxRecordedViolations = 50
