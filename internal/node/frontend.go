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
	// requestTimeout limits the time to read a request head. It starts when the client connects or, for a later request on
	// the connection, at the first byte. Until it expires, a peer that sends nothing or no valid request counts against the
	// client limit. It also limits the wait for memory for a body, and the reading of a body that net/http discards.
	// clientconn.Body limits the reading of a forwarded body.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a client connection may be idle.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of a request head.
	maxHeaderBytes = 8 << 10

	// closePollInterval is the interval at which a stopping frontend checks for open connections, and maxCloseWait is how
	// long it waits for them.
	closePollInterval = 20 * time.Millisecond
	maxCloseWait      = time.Minute

	// readinessPath is the path of the platform's readiness check.
	readinessPath = "/health/ready"
)

// frontend reads client requests, posts them to the event loop and writes their responses. net/http calls it on the
// goroutines of the connections.
type frontend struct {
	loop      *loop
	metrics   *metrics.Metrics
	readiness *readiness

	conns     atomic.Int64 // open client connections
	softLimit atomic.Int64 // at this number of connections, connections are closed after their response
	idle      *clientconn.IdleConns
	drain     *clientconn.Drainer
}

func newFrontend(l *loop) *frontend {
	idle := clientconn.NewIdleConns()
	return &frontend{
		loop:      l,
		metrics:   l.metrics,
		readiness: newReadiness(),
		idle:      idle,
		drain:     clientconn.NewDrainer(idle),
	}
}

// setConnectionLimit sets softLimit to 3/4 of the connection limit, so that room is left for new connections.
func (f *frontend) setConnectionLimit(limit int) { f.softLimit.Store(int64(limit) * 3 / 4) }

// server returns the HTTP server of the frontend. The caller starts it.
func (f *frontend) server() *http.Server {
	return &http.Server{
		Handler:        f,
		ReadTimeout:    requestTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    clientconn.WithClient,
		ConnState:      f.connStateChanged,
		// Without this, net/http answers "OPTIONS *" with status 200 and does not call the handler.
		DisableGeneralOptionsHandler: true,
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

// awaitClosed waits until every connection is closed, for at most maxCloseWait. The frontend must be draining. open
// returns the number of accepted connections that are not fully closed. Unlike f.conns, it includes connections that
// net/http has closed but that still discard what the client sends; see clientconn.Conn.Close.
func (f *frontend) awaitClosed(open func() int) {
	for end := time.Now().Add(maxCloseWait); (f.conns.Load() > 0 || open() > 0) && time.Now().Before(end); {
		time.Sleep(closePollInterval)
	}
}

// ServeHTTP serves one request. The frontend does not use http.ServeMux, which redirects requests whose path is not clean.
func (f *frontend) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	clientconn.ClientOf(hr).HeadRead()
	if hr.Method == http.MethodGet && hr.URL.Path == readinessPath {
		f.serveReadiness(w)
		return
	}
	if hasAmbiguousEnd(hr) {
		w.Header().Set("Connection", "close")
	}
	r, release, err := f.read(w, hr)
	if err != nil {
		f.loop.ends.notAccepted(hr, err)
		if class := className(hr); rejectionStatus(err) == http.StatusServiceUnavailable && f.loop.classes.Load().has(class) {
			f.metrics.CountResponse(class, http.StatusServiceUnavailable, false)
		}
		reject(w, err)
		return
	}
	defer release()
	client := clientconn.ClientOf(hr)
	disconnected := make(chan struct{})
	disconnect := sync.OnceFunc(func() { r.disconnected.Store(true); close(disconnected) })
	if r.streamedBody == nil { // with a streamed body, reading it or calling connected detects a disconnect
		defer client.WatchDisconnect(disconnect)()
	}
	r.connected = func() bool {
		if client.Disconnected() {
			disconnect()
		}
		return !r.disconnected.Load() && hr.Context().Err() == nil
	}
	f.loop.post(func() { f.loop.accept(r) })
	f.awaitResponse(w, hr, r, disconnected)
}

// serveReadiness reports whether the node accepts requests. It closes the connection, which would otherwise count against
// the client limit.
func (f *frontend) serveReadiness(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if f.drain.Draining() || !f.readiness.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	} // otherwise 200
}

// awaitResponse writes the final response to a request once the loop provides it, or ends the request if its client
// disconnects first.
func (f *frontend) awaitResponse(w http.ResponseWriter, hr *http.Request, r *request, disconnected <-chan struct{}) {
	var bodyFailed <-chan struct{} // never closed for a request whose body is buffered
	if r.streamedBody != nil {
		bodyFailed = r.streamedBody.Failed()
	}
	select {
	case resp := <-r.response:
		f.writeResponse(w, hr, r, resp)
	case <-bodyFailed:
		f.loop.post(func() { f.loop.clientDisconnected(r) })
		f.loop.ends.notAccepted(hr, r.streamedBody.Err())
		reject(w, r.streamedBody.Err())
	case <-disconnected:
		f.loop.post(func() { f.loop.clientDisconnected(r) })
		panic(http.ErrAbortHandler)
	case <-hr.Context().Done():
		r.disconnected.Store(true)
		f.loop.post(func() { f.loop.clientDisconnected(r) })
		if r.streamedBody != nil && !r.streamedBody.Complete() {
			// The body failed: net/http cancels the context before the body's Read returns.
			<-r.streamedBody.Failed()
			reject(w, r.streamedBody.Err())
			return
		}
		// Returning would send an empty 200 response to a client that still reads.
		panic(http.ErrAbortHandler)
	}
}

// hasAmbiguousEnd reports whether the body may end at a different position than net/http assumes. net/http ignores a
// Content-Length next to a Transfer-Encoding, and a Transfer-Encoding in HTTP/1.0, and does not report that it has done so.
// The end is therefore ambiguous in every request with a Transfer-Encoding and in every HTTP/1.0 request. The bytes that
// follow on the connection may belong to the body, so they must not be read as a request.
func hasAmbiguousEnd(hr *http.Request) bool {
	return len(hr.TransferEncoding) > 0 || !hr.ProtoAtLeast(1, 1)
}
