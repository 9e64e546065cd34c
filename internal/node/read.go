package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/clientconn"
	"umberbank/internal/node/header"
)

// errExpired is the reason for rejecting a request whose client gives up before the request can be handled.
var errExpired = errors.New("the time left is over")

// errBacklogged is the reason for rejecting a request whose client has sent so much behind it that the node cannot tell
// whether the client is still connected.
var errBacklogged = errors.New("too many bytes behind the request")

// forwardedHeaders are the headers of a client request that are forwarded to servers unchanged.
var forwardedHeaders = []string{header.CorrelationID, header.IdempotencyKey, "Content-Type"}

// read reads a request, including the part of its body that is buffered. The caller must call release once the request is
// done, to return the memory of the body to the budget.
func (f *frontend) read(w http.ResponseWriter, hr *http.Request) (r *request, release func(), err error) {
	timeLeft, err := header.ParseTimeLeft(hr.Header.Get(header.TimeLeft))
	if err != nil {
		return nil, nil, err
	}
	// The settings in force may have other classes than those that a starting node has.
	if err := f.readiness.await(hr, timeLeft); err != nil {
		return nil, nil, err
	}
	class := className(hr)
	if err := f.check(hr, class); err != nil {
		return nil, nil, err
	}
	r = &request{
		className:   class,
		clientRetry: hr.Header.Get(header.ClientRetry) == "1",
		timeLeft:    timeLeft,
		costHint:    header.ParseCostHint(hr.Header.Get(header.Facts)),
		outgoing:    newOutgoing(hr),
		response:    make(chan clientResponse, 1),
		backlogged:  clientconn.ClientOf(hr).Backlogged,
	}
	if release, err = f.readBody(w, hr, r); err != nil {
		return nil, nil, err
	}
	f.loop.setDeadlines(r)
	switch {
	case r.deadline <= f.loop.now():
		err = errExpired
	case r.streamedBody == nil && f.loop.mayHaveLeft(r):
		err = errBacklogged
	default:
		return r, release, nil
	}
	release()
	return nil, nil, err
}

// className returns the name of a request's class, which is the first part of its path.
func className(hr *http.Request) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(hr.URL.Path, "/"), "/")
	return class
}

// check returns an error if a request must be rejected because of its head.
func (f *frontend) check(hr *http.Request, class string) error {
	switch {
	case hr.Method != http.MethodGet && hr.Method != http.MethodPost:
		return fmt.Errorf("method %s is neither GET nor POST", hr.Method)
	case class == "":
		return errors.New("the path names no class")
	case hr.Header.Get(header.CorrelationID) == "":
		return errors.New("X-Correlation-Id is missing")
	}
	if err := f.loop.classes.Load().check(class, hr); err != nil {
		return err
	}
	if hr.ContentLength > bodybudget.MaxBodyBytes {
		return &http.MaxBytesError{Limit: bodybudget.MaxBodyBytes}
	}
	return nil
}

// newOutgoing returns the request that is sent to servers, without its body.
func newOutgoing(hr *http.Request) *http.Request {
	out := &http.Request{Method: hr.Method, URL: hr.URL, Host: hr.Host, Header: http.Header{"User-Agent": nil}}
	for _, name := range forwardedHeaders {
		if v := hr.Header.Values(name); len(v) > 0 {
			out.Header[name] = v
		}
	}
	return out
}

// readBody reads the part of a request's body that is buffered. release returns the memory to the budget.
func (f *frontend) readBody(w http.ResponseWriter, hr *http.Request, r *request) (release func(), err error) {
	control := http.NewResponseController(w)
	if hr.ContentLength == 0 {
		r.sentAt = constantTime(f.loop.clockTime(clientconn.ClientOf(hr).LastRead()))
		// The read deadline of requestTimeout is removed: if it passed while the request is served, it would look like a
		// client disconnect, and the request would be dropped.
		return func() {}, control.SetReadDeadline(time.Time{})
	}
	body := clientconn.NewBody(hr, control.SetReadDeadline)
	// The client's time may already be running, because the bytes of a short body arrive with the head.
	longestWait := min(requestTimeout, r.timeLeft-r.reservedTime()-time.Since(clientconn.ClientOf(hr).LastRead()))
	waiting, cancel := context.WithTimeout(hr.Context(), longestWait)
	defer cancel()
	if release, err = f.loop.pool.RequestBudget().Reserve(waiting, hr.ContentLength); err != nil {
		return nil, fmt.Errorf("no room for the body: %w", err)
	}
	if err := readBufferedBody(hr, r, body, control); err != nil {
		release()
		return nil, err
	}
	if r.streamedBody == nil {
		r.sentAt = constantTime(f.loop.clockTime(body.Sent()))
	} else {
		r.sentAt = func() time.Duration { return f.loop.clockTime(body.Sent()) }
	}
	return release, nil
}

// constantTime returns a function that always returns t.
func constantTime(t time.Duration) func() time.Duration {
	return func() time.Duration { return t }
}

// firstBodyBufferBytes is the size of the buffer for a body of unknown length before it grows.
const firstBodyBufferBytes = 4 << 10

// readPrefix reads a body to its end, or one byte more than is buffered of it. length is the length of the body, or negative
// if it is unknown. The buffer never exceeds what it may hold, unlike one that append grows.
func readPrefix(body io.Reader, length int64) ([]byte, error) {
	const limit = bodybudget.MaxBufferedBytes + 1
	if length < 0 {
		length = firstBodyBufferBytes
	}
	prefix := make([]byte, 0, min(length+1, limit))
	for {
		n, err := body.Read(prefix[len(prefix):cap(prefix)])
		prefix = prefix[:len(prefix)+n]
		if err == io.EOF {
			return prefix, nil
		}
		if err != nil || len(prefix) == limit {
			return prefix, err
		}
		if len(prefix) == cap(prefix) {
			prefix = append(make([]byte, 0, min(2*cap(prefix), limit)), prefix...)
		}
	}
}

// readBufferedBody reads the part of a body that is buffered. The rest becomes the request's streamedBody.
func readBufferedBody(hr *http.Request, r *request, body *clientconn.Body, control *http.ResponseController) error {
	var err error
	if r.body, err = readPrefix(body, hr.ContentLength); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	r.outgoing.ContentLength = int64(len(r.body))
	if len(r.body) <= bodybudget.MaxBufferedBytes {
		return nil
	}
	// The response may be written before the whole body has been read.
	if err := control.EnableFullDuplex(); err != nil {
		return err
	}
	r.streamedBody, r.outgoing.ContentLength = body, hr.ContentLength
	return nil
}
