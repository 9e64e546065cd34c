package balancer

import "time"

// Action is an instruction to the host, which executes actions in the order in which they are
// returned. Its implementations are the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. The number of the attempt is the number of earlier
	// Sends of the request. The attempt times out after Timeout.
	Send struct {
		ID, Endpoint string
		Timeout      time.Duration
	}
	// Cancel stops waiting for an attempt. The Outcome of the attempt still follows.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Reject is a final response. It promises the client that a retry of the request is safe.
	Reject struct {
		ID         string
		RetryAfter time.Duration // suggested wait before a retry; zero if there is no suggestion
	}
	// Fail is a final response. It makes no promise about whether a retry is safe.
	Fail struct{ ID string }
	// SetTimer requests a TimerFired event with this token at the clock time At.
	SetTimer struct {
		At    time.Duration
		Token string
	}
	// Subscribe requests the endpoint list and its changes from discovery.
	Subscribe struct{}
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
