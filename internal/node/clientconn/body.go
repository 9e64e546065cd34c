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
	// minBodyRate is the least rate of a client's body in bytes a second: three quarters of the slowest that clients may have.
	minBodyRate = 48_000
	// MaxBodyPause is how long a client may pause amid its body.
	MaxBodyPause = 2200 * time.Millisecond
	// maxBodyCredit is the most that a client may be ahead of minBodyRate, to pause for later.
	maxBodyCredit = 4 * time.Second
	// FirstBodyTimeout is by when, from connecting, the first bytes of a connection's first body are there. A peer that sends none
	// gets an error or a close within 3 s.
	FirstBodyTimeout = 2800 * time.Millisecond
	// minFirstPause is what a body may pause at first, however late its head was.
	minFirstPause = 300 * time.Millisecond
)

// Body reads a request's body for as long as the client keeps up its rate. Only the time spent waiting for the client counts. Its
// readers take turns; the other methods may be called by any goroutine.
type Body struct {
	setReadDeadline func(time.Time) error // on the connection
	failed          chan struct{}

	complete atomic.Bool
	consumed atomic.Bool

	mu     sync.Mutex
	reader io.Reader
	total  int64         // bytes read
	credit time.Duration // how much longer the client may keep its reader waiting
	err    error         // why it can't be read to its end
}

// NewBody returns a Body that reads r, whose client may pause for allowance at first.
func NewBody(r io.Reader, allowance time.Duration, setReadDeadline func(time.Time) error) *Body {
	return &Body{reader: r, credit: allowance, setReadDeadline: setReadDeadline, failed: make(chan struct{})}
}

// Read reads what the client has sent. It fails with os.ErrDeadlineExceeded, wrapped, for a client that is too slow and with an
// *http.MaxBytesError for a body over bodybudget.MaxBodyBytes; then and later.
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
	switch b.total += int64(n); {
	case b.total > bodybudget.MaxBodyBytes:
		return n, b.fail(&http.MaxBytesError{Limit: bodybudget.MaxBodyBytes})
	case err == io.EOF:
		b.complete.Store(true)
		// A deadline that passes while the request is served would look like a disconnect of the client.
		_ = b.setReadDeadline(time.Time{})
	case err != nil:
		return n, b.fail(err)
	}
	return n, err
}

// fail makes err the reason why the body cannot be read to its end; b.mu is locked.
func (b *Body) fail(err error) error {
	b.err = err
	close(b.failed)
	return err
}

// Complete reports whether the last byte was read.
func (b *Body) Complete() bool { return b.complete.Load() }

// Consume notes that an attempt gets the part of the body that is not buffered, which can be read but once; false: an earlier attempt
// has got it.
func (b *Body) Consume() bool { return b.consumed.CompareAndSwap(false, true) }

// Consumed reports whether an attempt has got the part that is not buffered.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// Failed is closed once the body cannot be read to its end.
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

// Err is why the body cannot be read to its end. It may be called once Failed is closed.
func (b *Body) Err() error { return b.err }
