package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"umberbank/internal/node/clientconn"
	"umberbank/internal/node/metrics"
)

const (
	// requestTimeout bounds the reading of a request's head, from connecting or, for a later request, from its first bytes on. A peer
	// that sends something else, or nothing, counts against the limit of clients until then. It also bounds a body that net/http drains
	// by itself; clientconn.Body bounds a body that is forwarded.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a client's connection may be idle.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the longest that a request's head may be.
	maxHeaderBytes = 16 << 10

	// closePollInterval is how often a frontend that accepts no more looks whether a connection is left, and maxCloseWait is how long it
	// waits for the slowest of clients.
	closePollInterval = 20 * time.Millisecond
	maxCloseWait      = time.Minute

	// readinessPath is where the platform asks whether the node takes requests.
	readinessPath = "/health/ready"
)

// frontend takes clients' requests, gives them to the event loop and writes their answers. net/http calls it on the goroutines of the
// connections.
type frontend struct {
	loop    *loop
	metrics *metrics.Metrics

	conns     atomic.Int64 // clients' connections
	softLimit atomic.Int64 // from so many on they are closed after an answer, to make room
	idle      *clientconn.IdleConns
	drain     *clientconn.Drainer
}

func newFrontend(l *loop) *frontend {
	idle := clientconn.NewIdleConns()
	return &frontend{loop: l, metrics: l.metrics, idle: idle, drain: clientconn.NewDrainer(idle)}
}

// setConnectionLimit follows a limit of connections: from 3/4 of it on they are closed after an answer.
func (f *frontend) setConnectionLimit(limit int) { f.softLimit.Store(int64(limit) * 3 / 4) }

// server returns the HTTP server of the frontend, which does not serve yet.
func (f *frontend) server() *http.Server {
	return &http.Server{
		Handler:        f,
		ReadTimeout:    requestTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    clientconn.WithClient,
		ConnState:      f.connStateChanged,
	}
}

func (f *frontend) connStateChanged(conn net.Conn, state http.ConnState) {
	f.idle.StateChanged(conn, state)
	switch state {
	case http.StateNew:
		f.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.conns.Add(-1)
	}
}

// awaitClosed waits until every connection is closed, for maxCloseWait at the most, while the frontend drains. open returns how
// many accepted connections have not been released yet.
func (f *frontend) awaitClosed(open func() int) {
	for end := time.Now().Add(maxCloseWait); (f.conns.Load() > 0 || open() > 0) && time.Now().Before(end); {
		time.Sleep(closePollInterval)
	}
}

// ServeHTTP answers one request. The frontend is no ServeMux, which would redirect paths that it cleans.
func (f *frontend) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.Method == http.MethodGet && hr.URL.Path == readinessPath {
		f.serveReadiness(w)
		return
	}
	if ambiguousEnd(hr) {
		w.Header().Set("Connection", "close")
	}
	r, release, err := f.read(w, hr)
	if err != nil {
		reject(w, err)
		return
	}
	defer release()
	client := clientconn.ClientOf(hr)
	disconnected := make(chan struct{})
	disconnect := sync.OnceFunc(func() { r.disconnected.Store(true); close(disconnected) })
	if r.streamedBody == nil { // else its body's reading shows it, and while nobody reads, the next call of connected
		defer client.Watch(disconnect)()
	}
	r.connected = func() bool {
		if client.Disconnected() {
			disconnect()
		}
		return !r.disconnected.Load() && hr.Context().Err() == nil
	}
	f.loop.post(func() { f.loop.accept(r) })
	f.awaitAnswer(w, hr, r, disconnected)
}

// serveReadiness says whether the node takes requests. It closes the connection, which would count against the limit of clients.
func (f *frontend) serveReadiness(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if f.drain.Draining() {
		w.WriteHeader(http.StatusServiceUnavailable)
	} // else 200: the frontend serves only once requests can be handled
}

// awaitAnswer writes the final answer to a request once the loop has it, or ends the request if its client disconnects before.
func (f *frontend) awaitAnswer(w http.ResponseWriter, hr *http.Request, r *request, disconnected <-chan struct{}) {
	var bodyFailed <-chan struct{} // never closed for a request whose body is buffered
	if r.streamedBody != nil {
		bodyFailed = r.streamedBody.Failed()
	}
	select {
	case a := <-r.answer:
		f.answer(w, hr, r, a)
	case <-bodyFailed:
		f.loop.post(func() { f.loop.clientDisconnected(r) })
		reject(w, r.streamedBody.Err())
	case <-disconnected:
		f.loop.post(func() { f.loop.clientDisconnected(r) })
		panic(http.ErrAbortHandler)
	case <-hr.Context().Done():
		r.disconnected.Store(true)
		f.loop.post(func() { f.loop.clientDisconnected(r) })
		if r.streamedBody != nil && !r.streamedBody.Complete() {
			// The body failed; net/http cancels the context before its reader returns.
			<-r.streamedBody.Failed()
			reject(w, r.streamedBody.Err())
			return
		}
		// Returning would answer 200 with nothing in it, should the client still read.
		panic(http.ErrAbortHandler)
	}
}

// ambiguousEnd reports whether the body's end may be elsewhere than where net/http took it to be: it drops a Content-Length beside a
// Transfer-Encoding, and a Transfer-Encoding of HTTP/1.0, without an error. What follows on the connection may belong to the body, so
// it must not be read as a request.
func ambiguousEnd(hr *http.Request) bool {
	return len(hr.TransferEncoding) > 0 || !hr.ProtoAtLeast(1, 1)
}
