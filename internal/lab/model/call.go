package model

import "time"

// Call is a request to a node, by a client or by a server that calls the next tier. A client's retry is another call.
type Call struct {
	ID      string // unique in the run
	Class   int
	Tier    int           // that serves it
	Node    int           // that it is sent to
	Key     string        // idempotency key; "": none
	Work    time.Duration // time that a reference core needs for it
	SentAt  time.Duration
	Timeout time.Duration // how long the sender waits, from SentAt
	IsRetry bool          // the sender marks it as a retry
}

// CallResult is the result of a call as its sender sees it.
type CallResult int

// Replies.
const (
	Served         CallResult = iota
	Rejected                  // the node promises that the call was not processed
	Failed                    // an error
	Unreachable               // no connection was established
	ConnectionLost            // the connection ended without a complete answer
)

// String returns the reply in one word, as traces show it.
func (r CallResult) String() string {
	return [...]string{"served", "refused", "failed", "unreached", "lost"}[r]
}

// Response is what the sender of a call gets.
type Response struct {
	Result     CallResult
	RetryAfter time.Duration // 0: none was given
	Body       string        // of a served call
	SendDelay  time.Duration // from SentAt until the call was written
}

// Outcome is how an attempt ended at its server.
type Outcome int

// Outcomes.
const (
	Completed       Outcome = iota
	ServerError             // it ran and failed
	ServerRejected          // it did not run
	ConnectionReset         // the server crashed
	Abandoned               // its sender stopped waiting
)

// String returns the outcome in one or two words, as traces show it.
func (o Outcome) String() string {
	return [...]string{"done", "error", "turned away", "reset", "dropped"}[o]
}

// ResponseBody returns the body of a server's response to a call. It shows whether a response belongs to a call.
func ResponseBody(c *Call, server string) string { return c.ID + "@" + server }
