package model

import (
	"time"
)

// Call is one request to a node, by a client or by a server that calls the next tier. Each has an id of its own.
type Call struct {
	ID      string
	Class   int
	Tier    int // that serves it
	Node    int // that it is sent to
	Key     string
	Work    time.Duration // on a yardstick core
	Timeout time.Duration // for which the sender waits, from Sent
	SentAt  time.Duration
	IsRetry bool
}

// Reply is what became of a call, as its sender sees it.
type Reply int

// Replies. Unreached: no connection came up. Lost: the connection ended without a whole answer.
const (
	Served Reply = iota
	Rejected
	Failed
	Unreachable
	ConnectionLost
)

func (r Reply) String() string {
	return [...]string{"served", "refused", "failed", "unreached", "lost"}[r]
}

// Answer is the end of a call. Body is what a server made, for a Served one.
type Answer struct {
	Reply      Reply
	RetryAfter time.Duration
	Body       string
	SendDelay  time.Duration // how much later than Sent the call was written
}

// Outcome is how an attempt ended at the server.
type Outcome int

// Outcomes. ServerRejected proves that it never ran.
const (
	Completed Outcome = iota
	ServerError
	ServerRejected
	ConnectionReset
	Abandoned // the sender had gone
)

func (o Outcome) String() string {
	return [...]string{"done", "error", "turned away", "reset", "dropped"}[o]
}

// Body is what a server answers to a call that it has done.
func Body(c *Call, server string) string { return c.ID + "@" + server }
