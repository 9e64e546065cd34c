package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ownDelay is what the node leaves of a caller's time for its own work and the way back, so that
// the answer is there before the caller has given up.
const ownDelay = 20 * time.Millisecond

const (
	// requestTimeout is how long a request's head may take to come in, from connecting or, for a later one,
	// from its first bytes on. A peer that sends something else, or nothing, is owed an error or a close
	// within 3 s of connecting, and holds a caller's place until then. It bounds what net/http reads by itself
	// of a body that is not wanted, too; the pace of one that is wanted is callerBody's.
	requestTimeout = 2500 * time.Millisecond
	idleTimeout    = 2 * time.Minute
	maxHeader      = 16 << 10
)

// front takes callers' requests and writes their answers.
type front struct {
	loop    *loop
	metrics *metrics

	conns   atomic.Int64 // callers' connections
	crowded atomic.Int64 // from so many on they are closed after an answer, to make room
	callers callers
	drain   drainer
}

func newFront(l *loop) *front {
	f := &front{loop: l, metrics: l.metrics, callers: callers{idle: map[net.Conn]time.Time{}}}
	f.drain.callers = &f.callers
	return f
}

func (f *front) server() *http.Server {
	return &http.Server{Handler: f, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ConnContext: withCaller,
		ConnState: func(c net.Conn, s http.ConnState) {
			f.callers.note(c, s)
			switch s {
			case http.StateNew:
				f.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				f.conns.Add(-1)
			}
		}}
}

const (
	// finishPoll is how often a front that takes no more connections looks whether one is left.
	finishPoll = 20 * time.Millisecond
	// finishMost is how long it waits for the slowest of callers.
	finishMost = time.Minute
)

// finish waits until every connection is done with, while it drains: taken counts those not closed for good.
func (f *front) finish(taken func() int) {
	for end := time.Now().Add(finishMost); (f.conns.Load() > 0 || taken() > 0) && time.Now().Before(end); {
		time.Sleep(finishPoll)
	}
}

// ServeHTTP answers one request. It is no ServeMux, which would redirect paths that it cleans.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.Method == http.MethodGet && hr.URL.Path == "/health/ready" {
		// 200: the front listens only once requests can be handled. Whoever asked needs no more, and its
		// connection would take a caller's place.
		w.Header().Set("Connection", "close")
		if f.drain.draining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if ambiguous(hr) {
		w.Header().Set("Connection", "close")
	}
	r, release, err := f.read(w, hr)
	if err != nil {
		reject(w, err)
		return
	}
	defer release()
	left := make(chan struct{})
	leave := sync.OnceFunc(func() { r.departed.Store(true); close(left) })
	if r.rest == nil { // else its body's reading shows it, and while nobody reads, the next look at here
		defer callerOf(hr).watch(leave)()
	}
	r.here = func() bool {
		if callerOf(hr).left() {
			leave()
		}
		return !r.departed.Load() && hr.Context().Err() == nil
	}
	f.loop.post(func() { f.loop.accept(r) })
	var broken chan struct{} // never closed for a request that is all here
	if r.rest != nil {
		broken = r.rest.failed
	}
	select {
	case a := <-r.answer:
		f.answer(w, hr, r, a)
	case <-broken:
		f.loop.post(func() { f.loop.gone(r) })
		reject(w, r.rest.err)
	case <-left:
		f.loop.post(func() { f.loop.gone(r) })
		panic(http.ErrAbortHandler)
	case <-hr.Context().Done():
		r.departed.Store(true)
		f.loop.post(func() { f.loop.gone(r) })
		if r.rest != nil && !r.rest.whole.Load() {
			// It is the body that failed: net/http ends the context first.
			<-r.rest.failed
			reject(w, r.rest.err)
			return
		}
		// Returning would answer 200 with nothing in it, should the caller still read.
		panic(http.ErrAbortHandler)
	}
}

// answer writes the final answer to a request.
func (f *front) answer(w http.ResponseWriter, hr *http.Request, r *request, a answer) {
	if a.rejected != nil {
		reject(w, a.rejected)
		return
	}
	unread := r.rest != nil && !r.rest.whole.Load()
	if f.conns.Load() >= f.crowded.Load() || f.drain.draining() || unread {
		w.Header().Set("Connection", "close")
	}
	if a.stream == nil {
		write(w, a)
		f.metrics.answered(r.class, a.status, false)
		if unread {
			// Closing on a caller that still writes would reset the connection, and it might never read
			// its answer.
			http.NewResponseController(w).Flush() // an error means that the caller has gone
			io.Copy(io.Discard, r.rest)           // until its end, or the caller's
		}
		return
	}
	err := pass(w, hr, a.stream)
	a.stream.done <- err
	f.metrics.answered(r.class, a.status, err != nil)
	if err != nil {
		if a.stream.length < 0 && !hr.ProtoAtLeast(1, 1) {
			callerOf(hr).reset() // the close alone would be the answer's end
		}
		panic(http.ErrAbortHandler)
	}
}

// reject answers what is no request that the node takes.
func reject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		status = http.StatusRequestTimeout
	} else if errors.Is(err, errUnknownClass) {
		status = http.StatusNotFound
	} else if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusServiceUnavailable // no room in time
	}
	w.Header().Set("Connection", "close") // no caller's, so not worth a caller's place
	http.Error(w, err.Error(), status)
}

// ambiguous says that the body's end may be elsewhere than where net/http took it to be: it drops a
// Content-Length beside a Transfer-Encoding, and a Transfer-Encoding of HTTP/1.0, without a word. What
// follows on the connection may belong to the body, so it must not be read as a request.
func ambiguous(hr *http.Request) bool {
	return len(hr.TransferEncoding) > 0 || !hr.ProtoAtLeast(1, 1)
}

// read takes a request in, its body included.
func (f *front) read(w http.ResponseWriter, hr *http.Request) (r *request, release func(), err error) {
	h := hr.Header
	left, err := parseTimeLeft(h.Get("X-Time-Left"))
	if err != nil {
		return nil, nil, err
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(hr.URL.Path, "/"), "/")
	switch {
	case hr.Method != http.MethodGet && hr.Method != http.MethodPost:
		return nil, nil, fmt.Errorf("method %s is neither GET nor POST", hr.Method)
	case class == "":
		return nil, nil, errors.New("the path names no class")
	case h.Get("X-Correlation-Id") == "":
		return nil, nil, errors.New("X-Correlation-Id is missing")
	}
	if err := f.loop.classes.Load().check(class, h); err != nil {
		return nil, nil, err
	}
	if hr.ContentLength > maxLong {
		return nil, nil, &http.MaxBytesError{Limit: maxLong}
	}
	out := &http.Request{Method: hr.Method, URL: hr.URL, Host: hr.Host, Header: http.Header{"User-Agent": nil}}
	for _, name := range []string{"X-Correlation-Id", "Idempotency-Key", "Content-Type"} {
		if v := h.Values(name); len(v) > 0 {
			out.Header[name] = v
		}
	}
	r = &request{class: class, repeat: h.Get("X-Repeat") == "1", left: left, cost: costHint(h.Get("X-Facts")),
		forward: out, answer: make(chan answer, 1)}
	if release, err = f.readBody(w, hr, r); err != nil {
		return nil, nil, err
	}
	f.loop.startTime(r) // it runs from the last byte on
	return r, release, nil
}

// readBody takes a request's body in, as far as it is held. release gives its room back.
func (f *front) readBody(w http.ResponseWriter, hr *http.Request, r *request) (release func(), err error) {
	spare := callerOf(hr).bodySpare()
	control := http.NewResponseController(w)
	if hr.ContentLength == 0 {
		// requestTimeout is lifted: run out once the request is in, it would pass for the caller's going
		// away, and the request would be lost.
		return func() {}, control.SetReadDeadline(time.Time{})
	}
	waiting, cancel := context.WithTimeout(hr.Context(), requestTimeout)
	defer cancel()
	if release, err = hold(waiting, f.loop.upstream.budget.requests, hr.ContentLength); err != nil {
		return nil, fmt.Errorf("no room for the body: %w", err)
	}
	body := newCallerBody(hr.Body, spare, control.SetReadDeadline)
	held := bytes.NewBuffer(make([]byte, 0, min(max(hr.ContentLength, 0), maxBody)+bytes.MinRead))
	if _, err := held.ReadFrom(io.LimitReader(body, maxBody+1)); err != nil {
		release()
		return nil, fmt.Errorf("body: %w", err)
	}
	r.body = held.Bytes()
	r.forward.ContentLength = int64(len(r.body))
	if len(r.body) > maxBody {
		// Its answer may come, and must go out, before it is all here.
		if err := control.EnableFullDuplex(); err != nil {
			release()
			return nil, err
		}
		r.rest, r.forward.ContentLength = body, hr.ContentLength
	}
	return release, nil
}

// costHint finds the work to expect among a request's further figures, name=value pairs set apart by
// commas under the simulator's names. 0: not told.
func costHint(facts string) time.Duration {
	for _, fact := range strings.Split(facts, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		if ms, err := strconv.ParseFloat(value, 64); name == "effort-ms" && err == nil && ms > 0 && ms < 1e9 {
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}

// parseTimeLeft reads a number and a unit: m for milliseconds, u for microseconds.
func parseTimeLeft(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(s, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	d := v * float64(unit)
	if !ok || err != nil || math.IsNaN(d) || d < 1 || d > float64(24*time.Hour) {
		return 0, fmt.Errorf("X-Time-Left: %q is no time with the unit m or u", s)
	}
	return time.Duration(d), nil
}

// persistentListener survives failed accepts: on Linux they also report what befell a connection or
// the network for a moment, and http.Server gives up on most of these.
type persistentListener struct{ net.Listener }

const acceptPause = 20 * time.Millisecond

func (l persistentListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		log.Printf("accept: %v", err)
		time.Sleep(acceptPause)
	}
}

// answerTimeout is how long a caller may take to read its answer. One that has stopped reading would hold
// its place, and the answer's memory, for good.
const answerTimeout = 5 * time.Second

func write(w http.ResponseWriter, a answer) {
	// net/http lifts it once the answer is out. An error means that the caller has gone.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
	h := w.Header()
	h["Content-Type"] = nil // no guessing
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error means that the caller has gone
}
