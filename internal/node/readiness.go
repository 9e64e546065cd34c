package node

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"umberbank/internal/node/clientconn"
)

const (
	// startupWaitPercent is how much of its time a request waits for the node to become ready. A client whose request is
	// rejected then has time left to try another node.
	startupWaitPercent = 40
	// maxStartupWait limits that wait for a request of any time.
	maxStartupWait = 2 * time.Second
)

// errNotReady is the reason for rejecting a request whose client cannot wait until the node is ready.
var errNotReady = errors.New("the node is not ready")

// readiness reports whether the node may handle requests. It becomes ready once, and is safe for concurrent use.
type readiness struct {
	ready    chan struct{} // closed when the node becomes ready
	stopped  chan struct{} // closed when the node shuts down
	stopOnce sync.Once
}

func newReadiness() *readiness {
	return &readiness{ready: make(chan struct{}), stopped: make(chan struct{})}
}

// becomeReady allows all requests to be handled. It may be called once.
func (r *readiness) becomeReady() { close(r.ready) }

// stop ends the wait of all requests.
func (r *readiness) stop() { r.stopOnce.Do(func() { close(r.stopped) }) }

func (r *readiness) isReady() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

// await waits until the node is ready. It returns errNotReady if that takes longer than the request can wait, or if the client
// disconnects or the node shuts down first. timeLeft is how long the client waits for the response.
func (r *readiness) await(hr *http.Request, timeLeft time.Duration) error {
	if r.isReady() {
		return nil
	}
	sent := clientconn.ClientOf(hr).LastRead()
	timeout := time.NewTimer(min(maxStartupWait, timeLeft*startupWaitPercent/100) - time.Since(sent))
	defer timeout.Stop()
	select {
	case <-r.ready:
		return nil
	case <-timeout.C:
	case <-r.stopped:
	case <-hr.Context().Done():
	}
	return errNotReady
}
