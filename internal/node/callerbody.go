package node

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyPace is the least pace of a caller's body in bytes a second: three quarters of the slowest that
	// clients may have.
	bodyPace = 48_000
	// bodyStall is how long a caller may stand still amid its body.
	bodyStall = 2200 * time.Millisecond
	// bodyAhead is the most that a caller may be ahead of bodyPace, to stand still for later.
	bodyAhead = 4 * time.Second
	// firstBody is by when, from connecting, the first bytes of a connection's first body are there. A peer
	// that sends none is owed an error or a close within 3 s.
	firstBody = 2800 * time.Millisecond
	// leastStall is what a body may stand still at first, however late its head was.
	leastStall = 300 * time.Millisecond
)

// callerBody reads a request's body for as long as the caller keeps up its pace. Only the time spent
// waiting for the caller counts. Its readers take turns.
type callerBody struct {
	setDeadline func(time.Time) error // of reading on the connection
	failed      chan struct{}         // closed once the body cannot be read to its end

	whole atomic.Bool // the last byte was read
	spent atomic.Bool // an attempt has had what follows the held part

	mu    sync.Mutex
	r     io.Reader
	total int64
	spare time.Duration // how much longer the caller may let us wait
	err   error         // why it can't be read
}

func newCallerBody(r io.Reader, spare time.Duration, setDeadline func(time.Time) error) *callerBody {
	return &callerBody{r: r, spare: spare, setDeadline: setDeadline, failed: make(chan struct{})}
}

func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.whole.Load() {
		return 0, io.EOF
	}
	asked := time.Now()
	if err := b.setDeadline(asked.Add(min(bodyStall, b.spare))); err != nil {
		return 0, b.fail(err)
	}
	n, err := b.r.Read(p)
	earned := time.Duration(n) * time.Second / bodyPace
	b.spare = min(bodyAhead, b.spare-time.Since(asked)+earned)
	switch b.total += int64(n); {
	case b.total > maxLong:
		return n, b.fail(&http.MaxBytesError{Limit: maxLong})
	case err == io.EOF:
		b.whole.Store(true)
		// Run out once the request is in, a deadline would pass for the caller's going away.
		b.setDeadline(time.Time{})
	case err != nil:
		return n, b.fail(err)
	}
	return n, err
}

func (b *callerBody) fail(err error) error {
	b.err = err
	close(b.failed)
	return err
}

// broken says that the body cannot be read to its end.
func (b *callerBody) broken() bool {
	select {
	case <-b.failed:
		return true
	default:
		return false
	}
}
