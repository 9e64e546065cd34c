// Package discovery follows the endpoint list of a site's discovery service over HTTP: by a watch, an answer that never ends and
// brings each change, and by polls, which fetch the complete list. docs/oncall/discovery.md describes it for operators.
//
// A Client keeps no connection between calls and holds no list; what an update means for the node is its caller's to decide.
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
	"sync/atomic"
	"time"
)

const (
	// SilenceTimeout is how long an open watch may be silent: one heartbeat, every 2 s, and some for a busy core. A watch that
	// is silent for longer is broken.
	SilenceTimeout = 2500 * time.Millisecond
	// FetchTimeout is how long one poll may take to its last byte.
	FetchTimeout = 2 * time.Second
	// defaultLineTimeout is how long a message that has begun may pause: discovery writes one in one go. One that goes on without
	// an end is given up after SilenceTimeout, as a part of a message resets no timer but this.
	defaultLineTimeout = time.Second
)

// responseTimeouts are how long a new watch may take to begin its answer, by the number of watches before it that never
// did. The agent answers at once, so the first timeouts are short. The last equals that of an open watch, for an agent whose
// answer begins with its first heartbeat; then the first applies again.
var responseTimeouts = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, SilenceTimeout}

// serializedResponseTimeouts are the same where discovery serves the calls of all nodes one after the other. A watch that is given
// up while it waits has still to be served, and the next one waits behind it, so that none would ever be answered. Three in a
// row still leave the 6 s within which a change has to be known.
var serializedResponseTimeouts = []time.Duration{time.Second, time.Second, time.Second, SilenceTimeout}

// Why a watch or a poll ended.
var (
	ErrSilent    = errors.New("silent for too long")
	ErrMalformed = errors.New("malformed message")
	errTruncated = errors.New("a line was cut short")
)

// Client calls discovery at one address. Any goroutine may use it.
type Client struct {
	// Addr is the host:port of discovery.
	Addr string
	// SilenceTimeout and LineTimeout end a watch; see the constants. They may be changed before the first call alone.
	SilenceTimeout, LineTimeout time.Duration

	http       *http.Client
	unanswered atomic.Int32 // watches in a row that never began to answer
	serialized atomic.Bool  // discovery serves the calls of all nodes one after the other
	overloaded atomic.Bool  // it has rejected a watch for its load, and none has been answered since
}

// NewClient returns a client of discovery at an address.
func NewClient(addr string) *Client {
	return &Client{
		Addr:           addr,
		SilenceTimeout: SilenceTimeout,
		LineTimeout:    defaultLineTimeout,
		http:           &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// SetSerialized says whether discovery serves the calls of all nodes one after the other, as it does where lists are polled.
func (c *Client) SetSerialized(serialized bool) { c.serialized.Store(serialized) }

// responseTimeout is how long the next watch may take to begin its answer. A discovery that has rejected a call for its load is
// given all the time that there is: it is alive, and a call given up early would only add to the load.
func (c *Client) responseTimeout() time.Duration {
	switch n := int(c.unanswered.Load()); {
	case c.overloaded.Load():
		return c.SilenceTimeout
	case c.serialized.Load():
		return serializedResponseTimeouts[n%len(serializedResponseTimeouts)]
	default:
		return responseTimeouts[n%len(responseTimeouts)]
	}
}

// get sends a GET request for a path with its query.
func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addr+path, nil)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// Fetch polls for the complete list, once. The error wraps ErrMalformed if what came is none.
func (c *Client) Fetch(ctx context.Context) (Update, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, FetchTimeout, ErrSilent)
	defer cancel()
	resp, err := c.get(ctx, "/registry/instances")
	if err != nil {
		return Update{}, causeOr(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Update{}, fmt.Errorf("discovery answers %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes+1))
	if err != nil {
		return Update{}, causeOr(ctx, err)
	}
	u, err := ParseUpdate(text)
	if err == nil && !u.Full {
		err = errors.New("not the whole list")
	}
	if err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return u, nil
}

// Handler takes what a watch brings. Its functions are called one at a time, by the goroutine that called Watch.
type Handler struct {
	Opened    func()       // discovery has begun to answer
	Heartbeat func()       // it has confirmed that nothing has changed
	Update    func(Update) // in the order of the watch
}

// Watch follows the list from a revision on until ctx ends or the watch does. The error is never nil: it is the reason of the end,
// which is ErrSilent after a silence and wraps ErrMalformed if what came was no update.
func (c *Client) Watch(ctx context.Context, revision int64, h Handler) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.responseTimeout(), func() { cancel(ErrSilent) })
	defer silence.Stop()

	resp, err := c.get(ctx, "/registry/instances?follow=1&since="+strconv.FormatInt(revision, 10))
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
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	h.Opened()
	return c.readUpdates(ctx, resp.Body, h, silence, func() { cancel(errTruncated) })
}

// readUpdates passes on the updates and heartbeats in body until it ends. Each resets the silence timer; truncated is called
// when a message that has begun pauses for too long.
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

// causeOr is why ctx ended, if it has, else err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
