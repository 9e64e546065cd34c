package node

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// holdBack is how long an answer of unknown length is gathered before it is passed on in pieces.
	holdBack = 250 * time.Millisecond
	// serverStall is how long a server may stand still amid a long body, either way.
	serverStall = 10 * time.Second
	// piece is the most that is read or written at once of a long body.
	piece = 32 << 10
)

var (
	errAbandoned = errors.New("the answer's reader has left")
	errTooLong   = errors.New("the answer is too long")
)

// download is a server's answer on its way to the caller. One goroutine fills it and another reads it, so
// that it holds maxBody at the most. Until it has begun it is only gathered: an answer that is whole by
// then is a short one.
type download struct {
	contentType string
	length      int64      // -1: not told
	done        chan error // once it has begun: how passing it on went; nil: whole
	stop        func()     // ends what fills it

	mu        sync.Mutex
	moved     *sync.Cond // any of what follows has changed
	held      []byte
	begun     bool
	ended     bool
	err       error // why it ended; nil: it is whole
	abandoned bool
}

func newDownload(contentType string, length int64, stop func()) *download {
	d := &download{contentType: contentType, length: length, stop: stop, done: make(chan error, 1)}
	d.moved = sync.NewCond(&d.mu)
	if length > 0 {
		d.held = make([]byte, 0, min(length, maxBody))
	}
	return d
}

// begin makes the answer one that is passed on as it comes. False: it has begun before, or is short.
func (d *download) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun || d.ended {
		return false
	}
	d.begun = true
	d.moved.Broadcast()
	return true
}

// fill reads the answer to its end, which it returns the reason of; nil: it is whole. It calls begin when
// it holds all that it may and there is more.
func (d *download) fill(r io.Reader, begin func()) error {
	buf := make([]byte, d.firstPiece())
	total := int64(0)
	for {
		n, err := r.Read(buf)
		if total += int64(n); total > maxLong {
			err = errTooLong
		}
		for rest := buf[:n]; len(rest) > 0; {
			took, gone := d.add(rest)
			if gone != nil {
				return d.end(gone)
			}
			if rest = rest[took:]; len(rest) > 0 {
				begin()
				d.awaitRoom()
			}
		}
		if err == io.EOF {
			return d.end(nil)
		}
		if err != nil {
			return d.end(err)
		}
		if n == len(buf) && n < piece {
			buf = make([]byte, min(piece, 4*n)) // there is more of it than was thought
		}
	}
}

// leastPiece is the least that is read at once: most answers are shorter.
const leastPiece = 1 << 10

// firstPiece is how much is read at once at first. A buffer for a long answer costs more than all the rest of a
// short one.
func (d *download) firstPiece() int64 {
	if d.length < 0 {
		return leastPiece
	}
	return min(piece, max(leastPiece, d.length))
}

// add takes what there is room for.
func (d *download) add(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.abandoned {
		return 0, errAbandoned
	}
	n := min(len(p), maxBody-len(d.held))
	d.held = append(d.held, p[:n]...)
	d.moved.Broadcast()
	return n, nil
}

// awaitRoom waits until something was read.
func (d *download) awaitRoom() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.held) >= maxBody && !d.abandoned {
		d.moved.Wait()
	}
}

func (d *download) end(err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended, d.err = true, err
	d.moved.Broadcast()
	return err
}

// state says whether the answer is passed on as it comes, and whether its reader has left.
func (d *download) state() (begun, abandoned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begun, d.abandoned
}

// Read reads what has come; io.EOF says that the answer is whole.
func (d *download) Read(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.held) == 0 && !d.ended && !d.abandoned {
		d.moved.Wait()
	}
	switch {
	case d.abandoned:
		return 0, errAbandoned
	case len(d.held) > 0:
		n := copy(p, d.held)
		d.held = d.held[:copy(d.held, d.held[n:])]
		d.moved.Broadcast()
		return n, nil
	case d.err != nil:
		return 0, d.err
	}
	return 0, io.EOF
}

// abandon ends reading and filling: nobody wants the rest.
func (d *download) abandon() {
	d.mu.Lock()
	d.abandoned = true
	d.moved.Broadcast()
	d.mu.Unlock()
	d.stop()
}
