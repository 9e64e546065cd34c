package oracle

import "time"

// The rules, by the name that a Violation gives. The names are part of the --json output and of scenarios.
const (
	RuleLost            = "lost"     // an accepted request gets one final answer in time
	RuleRepeated        = "twice"    // a non-idempotent request is repeated only if the attempt before is proven not to have run
	RuleIdempotencyKey  = "keyed"    // a request with an idempotency key is repeated only within its scope and window
	RuleAttemptLimit    = "copies"   // no more attempts than allowed, and no hedged attempt where hedging is off
	RuleRejection       = "promised" // a rejected request can be retried without harm
	RuleDraining        = "drained"  // no new attempt goes to a draining or removed server
	RuleSlowStart       = "cold"     // no warming server is overloaded
	RuleUnsolicited     = "phantom"  // nothing arrives at a server that no client sent
	RuleCorruptResponse = "spoilt"   // a successful answer is the one that a server made for this request
	RuleDisconnected    = "gone"     // no attempt begins for a client that has disconnected
	RuleCrash           = "crash"    // no node's process ends by itself or fails to start
	RuleResourceLimit   = "limits"   // no node's process exceeds its limits of memory and descriptors
)

// Rules lists the names of all rules.
var Rules = []string{
	RuleLost, RuleRepeated, RuleIdempotencyKey, RuleAttemptLimit, RuleRejection, RuleDraining, RuleSlowStart,
	RuleUnsolicited, RuleCorruptResponse, RuleDisconnected, RuleCrash, RuleResourceLimit,
}

// Violation is one violation of a rule, with the history of the request that showed it.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"` // since the start of the run
	Request string        `json:"request,omitempty"`
	Detail  string        `json:"detail"`
	Trace   []string      `json:"trace,omitempty"`
}

// maxRecordedViolations bounds the violations that are recorded in full. All are counted.
const maxRecordedViolations = 50
