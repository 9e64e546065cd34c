package clientconn

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"umberbank/internal/node/bodybudget"
)

const (
	// minBodyRate is the minimum rate of a request body in bytes per second. It is three quarters of
	// the rate of the slowest clients that must be served.
	minBodyRate = 48_000
	// MaxBodyPause is the maximum duration of one pause within a request body.
	MaxBodyPause = 2200 * time.Millisecond
	// maxBodyCredit is the maximum pause time that a client can earn by sending faster than
	// minBodyRate.
	maxBodyCredit = 4 * time.Second
	// FirstBodyTimeout is the time from connecting until the first bytes of a connection's first body
	// must have arrived, unless minFirstPause allows more. A client that sends none must get an error
	// or a close within 3 s.
	FirstBodyTimeout = 2800 * time.Millisecond
	// minFirstPause is the minimum time that a body may pause before its first byte, however late the
	// head of its request arrived.
	minFirstPause = 300 * time.Millisecond
)

// Body reads a request's body and fails if the client falls below the minimum rate. Only the time spent
// waiting for the client counts. A Body is safe for concurrent use; concurrent reads are serialized.
type Body struct {
	client          *Client
	setReadDeadline func(time.Time) error // on the connection
	failed          chan struct{}

	complete atomic.Bool
	consumed atomic.Bool

	mu     sync.Mutex
	reader io.Reader
	total  int64         // bytes read
	credit time.Duration // how much longer reads may wait for the client
	err    error         // why the body cannot be read to its end; nil while it can

	sendMu   sync.Mutex // guards the fields below, also while a read waits
	progress sendProgress
	sentAt   time.Time // the final result of Sent; zero until the body is complete
}

// NewBody returns a Body that reads the body of a request from a client. setReadDeadline sets the read
// deadline of the client's connection.
func NewBody(hr *http.Request, setReadDeadline func(time.Time) error) *Body {
	client := ClientOf(hr)
	return &Body{
		client:          client,
		reader:          hr.Body,
		credit:          client.BodyAllowance(),
		setReadDeadline: setReadDeadline,
		failed:          make(chan struct{}),
		progress:        sendProgress{length: hr.ContentLength},
	}
}

// Sent returns the earliest time at which the client can have sent the last byte of the body, which is
// the current time if the client is known to be still sending. It never waits for a read, and what it
// returns never becomes earlier.
func (b *Body) Sent() time.Time {
	b.sendMu.Lock()
	defer b.sendMu.Unlock()
	if !b.sentAt.IsZero() {
		return b.sentAt
	}
	return later(b.client.nextRead(), b.progress.until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// advance records the result of a read.
func (b *Body) advance(n int, complete bool) {
	b.sendMu.Lock()
	defer b.sendMu.Unlock()
	b.progress.add(n, time.Now())
	if complete {
		b.sentAt = later(b.client.LastRead(), b.progress.until)
	}
}

// Read reads what the client has sent. The error wraps os.ErrDeadlineExceeded if the client is too
// slow, and is an *http.MaxBytesError if the body is longer than bodybudget.MaxBodyBytes. After an
// error every later call returns the same one.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.complete.Load() {
		return 0, io.EOF
	}
	began := time.Now()
	if err := b.setReadDeadline(began.Add(min(MaxBodyPause, b.credit))); err != nil {
		return 0, b.fail(err)
	}
	n, err := b.reader.Read(p)
	earned := time.Duration(n) * time.Second / minBodyRate
	b.credit = min(maxBodyCredit, b.credit-time.Since(began)+earned)
	b.advance(n, err == io.EOF)
	switch b.total += int64(n); {
	case b.total > bodybudget.MaxBodyBytes:
		return n, b.fail(&http.MaxBytesError{Limit: bodybudget.MaxBodyBytes})
	case err == io.EOF:
		b.complete.Store(true)
		// If the deadline passed while the request is being served, net/http would treat it as a
		// disconnect of the client.
		_ = b.setReadDeadline(time.Time{})
	case err != nil:
		return n, b.fail(err)
	}
	return n, err
}

// fail records err as the reason why the body cannot be read to its end. b.mu must be held.
func (b *Body) fail(err error) error {
	b.err = err
	close(b.failed)
	return err
}

// Complete reports whether the whole body has been read.
func (b *Body) Complete() bool { return b.complete.Load() }

// Consume claims the part of the body that is not buffered, which can be read only once, for an
// attempt. It returns false if an earlier attempt has claimed it.
func (b *Body) Consume() bool { return b.consumed.CompareAndSwap(false, true) }

// Consumed reports whether an attempt has claimed the part that is not buffered.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// Failed returns a channel that is closed once the body cannot be read to its end.
func (b *Body) Failed() <-chan struct{} { return b.failed }

// Broken reports whether the body cannot be read to its end.
func (b *Body) Broken() bool {
	select {
	case <-b.failed:
		return true
	default:
		return false
	}
}

// Err returns the reason why the body cannot be read to its end. It must not be called before the
// channel that Failed returns is closed.
func (b *Body) Err() error { return b.err }
