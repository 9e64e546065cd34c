// Package discovery is a client of a site's discovery service, which serves the endpoint list over
// HTTP. A watch is a response that does not end and that carries each change; a poll fetches the
// complete list. docs/oncall/discovery.md describes discovery for operators.
//
// A Client keeps no connections between requests and stores no list. Its caller applies the updates.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"umberbank/internal/httpclient"
)

const (
	// SilenceTimeout is how long an open watch may receive nothing before it is considered broken. It
	// is the heartbeat interval of 2 s plus a margin for a busy core.
	SilenceTimeout = 2500 * time.Millisecond
	// FetchTimeout limits the duration of one poll, including its body.
	FetchTimeout = 2 * time.Second
	// defaultLineTimeout is how long an incomplete message may pause; discovery sends each message
	// without a pause. A message that continues without a pause and never ends fails the watch after
	// SilenceTimeout, because an incomplete message does not reset the timer of SilenceTimeout.
	defaultLineTimeout = time.Second
	// overloadMemory is how long a 503 shows that discovery is alive and has more requests than it can serve. Its requests wait
	// in a queue, and a request that is given up is served all the same.
	overloadMemory = 10 * time.Second
)

// responseTimeouts limit the time until the response to a new watch begins. The index is the number of
// consecutive earlier watches that had no response in time; after the last entry, the first applies
// again. Discovery normally responds at once, so the first timeouts are short. The last one equals the
// timeout of an open watch, in case discovery sends the head of its response only with its first
// heartbeat.
var responseTimeouts = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, SilenceTimeout}

// serializedResponseTimeouts replace responseTimeouts if discovery serves the requests of all nodes one
// at a time. Discovery still serves a watch that the node has cancelled while it was queued, and the
// node's next watch is queued behind it, so with shorter timeouts no watch might ever get a response.
// Three timeouts in a row still fit into the 6 s within which a node must learn of a change.
var serializedResponseTimeouts = []time.Duration{time.Second, time.Second, time.Second, SilenceTimeout}

// Errors that end a watch or a poll.
var (
	ErrSilent    = errors.New("silent for too long")
	ErrMalformed = errors.New("malformed message")
	errTruncated = errors.New("a line was cut short")
)

// RejectedError reports a 503, with which discovery rejects a request because of its load.
type RejectedError struct {
	Status string // the status line without the protocol
}

// Error returns a message with the status.
func (e *RejectedError) Error() string { return "discovery answers " + e.Status }

// Client sends requests to discovery at one address. It is safe for concurrent use.
type Client struct {
	// Addr is the host:port of discovery.
	Addr string
	// SilenceTimeout and LineTimeout override the constants SilenceTimeout and defaultLineTimeout. They
	// must not be changed after the first request.
	SilenceTimeout, LineTimeout time.Duration

	http       *http.Client
	unanswered atomic.Int32 // consecutive watches that had no response in time
	serialized atomic.Bool  // discovery serves the requests of all nodes one at a time
	overloaded atomic.Bool  // the last response to a watch was a 503
	rejectedAt atomic.Int64 // when the last 503 arrived, in Unix nanoseconds; zero if there was none

	mu       sync.Mutex
	awaiting *time.Timer // ends the watch that awaits its response; nil if there is none
	began    time.Time   // of that watch
}

// NewClient returns a client of discovery at addr.
func NewClient(addr string) *Client {
	return &Client{
		Addr:           addr,
		SilenceTimeout: SilenceTimeout,
		LineTimeout:    defaultLineTimeout,
		http: &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true},
			CheckRedirect: httpclient.ReturnRedirect,
		},
	}
}

// SetSerialized sets whether discovery serves the requests of all nodes one at a time, as it does where
// lists are polled.
func (c *Client) SetSerialized(serialized bool) { c.serialized.Store(serialized) }

// QueueIsFull reports whether discovery serves requests one at a time and has rejected one within overloadMemory.
func (c *Client) QueueIsFull() bool {
	rejectedAt := c.rejectedAt.Load()
	return c.serialized.Load() && rejectedAt != 0 && time.Since(time.Unix(0, rejectedAt)) < overloadMemory
}

// recordRejection records a 503. If discovery serves requests one at a time, a watch that awaits its response is in its queue,
// and gets the longest timeout.
func (c *Client) recordRejection() {
	c.rejectedAt.Store(time.Now().UnixNano())
	if !c.serialized.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting != nil && c.awaiting.Stop() {
		c.awaiting.Reset(c.SilenceTimeout - time.Since(c.began))
	}
}

// beginAwaiting records the timer that ends a watch until its response begins.
func (c *Client) beginAwaiting(timer *time.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.began = timer, time.Now()
}

// endAwaiting drops the timer of a watch whose response has begun or that has failed.
func (c *Client) endAwaiting(timer *time.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting == timer { // otherwise a later watch awaits its response
		c.awaiting = nil
	}
}

// fetchTimeout returns the time limit of one poll.
func (c *Client) fetchTimeout() time.Duration {
	if c.serialized.Load() {
		return c.SilenceTimeout
	}
	return FetchTimeout
}

// responseTimeout returns the time within which the response to the next watch must begin. It is the
// longest timeout if discovery has rejected a request because of its load: discovery is alive, and
// another request after a short timeout would only add to the load.
func (c *Client) responseTimeout() time.Duration {
	switch n := int(c.unanswered.Load()); {
	case c.overloaded.Load(), c.QueueIsFull():
		return c.SilenceTimeout
	case c.serialized.Load():
		return serializedResponseTimeouts[n%len(serializedResponseTimeouts)]
	default:
		return responseTimeouts[n%len(responseTimeouts)]
	}
}

// get sends a GET request. path includes the query.
func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addr+path, nil)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// Fetch fetches the complete list with one poll. The error wraps ErrMalformed if the response is not a
// complete list, and is ErrSilent if the poll takes longer than FetchTimeout, or than SilenceTimeout if requests are
// served one at a time.
func (c *Client) Fetch(ctx context.Context) (Update, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.fetchTimeout(), ErrSilent)
	defer cancel()
	resp, err := c.get(ctx, "/registry/instances")
	if err != nil {
		return Update{}, causeOr(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.recordRejection()
		return Update{}, &RejectedError{resp.Status}
	}
	if resp.StatusCode != http.StatusOK {
		return Update{}, fmt.Errorf("discovery answers %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes+1))
	if err != nil {
		return Update{}, causeOr(ctx, err)
	}
	u, err := ParseUpdate(text)
	if err == nil && !u.Full {
		err = errors.New("not a complete list")
	}
	if err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return u, nil
}

// Handler receives the events of a watch. Its functions are called one at a time, by the goroutine that
// called Watch.
type Handler struct {
	Opened    func()       // the response to the watch has begun
	Heartbeat func()       // discovery has confirmed that nothing has changed
	Update    func(Update) // an update has arrived
}

// Watch watches the list from a revision on, until ctx ends or the watch fails. The error is never nil.
// It is ErrSilent if the watch was silent for too long, and wraps ErrMalformed if a message was not a
// valid update.
func (c *Client) Watch(ctx context.Context, revision int64, h Handler) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.responseTimeout(), func() { cancel(ErrSilent) })
	defer silence.Stop()

	c.beginAwaiting(silence)
	resp, err := c.get(ctx, "/registry/instances?follow=1&since="+strconv.FormatInt(revision, 10))
	c.endAwaiting(silence)
	if err != nil {
		if err = causeOr(ctx, err); errors.Is(err, ErrSilent) {
			c.unanswered.Add(1)
		}
		return err
	}
	c.unanswered.Store(0)
	silence.Reset(c.SilenceTimeout)
	defer resp.Body.Close()
	c.overloaded.Store(resp.StatusCode == http.StatusServiceUnavailable)
	if c.overloaded.Load() {
		c.recordRejection()
		return &RejectedError{resp.Status}
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	h.Opened()
	return c.readUpdates(ctx, resp.Body, h, silence, func() { cancel(errTruncated) })
}

// readUpdates passes the updates and heartbeats in body to h until the body ends or fails. Each update
// and heartbeat resets the silence timer. truncated is called when an incomplete message pauses for
// longer than LineTimeout.
func (c *Client) readUpdates(ctx context.Context, body io.Reader, h Handler, silence *time.Timer, truncated func()) error {
	pause := time.AfterFunc(time.Hour, truncated)
	defer pause.Stop()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxMessageBytes)
	lines.Split(splitLines(func() { pause.Reset(c.LineTimeout) }))
	var message assembler
	for lines.Scan() {
		u, complete, err := message.add(bytes.TrimSpace(lines.Bytes()))
		switch {
		case err != nil:
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		case complete:
			h.Update(u)
		case message.pending():
			pause.Reset(c.LineTimeout)
			continue
		default:
			h.Heartbeat()
		}
		silence.Reset(c.SilenceTimeout)
		pause.Stop()
	}
	if err := lines.Err(); err != nil {
		return causeOr(ctx, err)
	}
	if message.pending() {
		return errTruncated
	}
	return errors.New("discovery ended the watch")
}

// causeOr returns the cause of ctx if it has ended, and err otherwise.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
