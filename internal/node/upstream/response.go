package upstream

import (
	"errors"
	"io"
	"sync"
	"time"

	"umberbank/internal/node/bodybudget"
)

const (
	// gatherTimeout is how long a response of unknown length is gathered before it is passed on in pieces.
	gatherTimeout = 250 * time.Millisecond
	// maxServerPause is how long a server may pause amid a long body, either way.
	maxServerPause = 10 * time.Second
	// ChunkBytes is the most that is read or written at once of a long body.
	ChunkBytes = 32 << 10
	// minChunkBytes is the least that is read at once: most responses are shorter.
	minChunkBytes = 1 << 10
)

var (
	errAbandoned = errors.New("the reader of the response has left")
	errTooLong   = errors.New("the response is too long")
)

// Response is a server's response on its way to the client. The attempt's goroutine receives it and one other reads it; it buffers
// bodybudget.MaxBufferedBytes at the most. Until it is streamed it is only gathered: one that is complete by then is short.
type Response struct {
	ContentType string
	Length      int64 // in bytes; -1: not known

	finished chan error // how streaming it to the client went; nil: to its end
	stop     func()     // ends receiving it

	mu        sync.Mutex
	changed   *sync.Cond // any of what follows
	buffered  []byte
	streaming bool
	ended     bool
	err       error // why it ended; nil: it is complete
	abandoned bool
}

func newResponse(contentType string, length int64, stop func()) *Response {
	r := &Response{ContentType: contentType, Length: length, stop: stop, finished: make(chan error, 1)}
	r.changed = sync.NewCond(&r.mu)
	if length > 0 {
		r.buffered = make([]byte, 0, min(length, bodybudget.MaxBufferedBytes))
	}
	return r
}

// startStreaming makes the response one that is passed on as it comes. False: it is one already, or is short.
func (r *Response) startStreaming() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streaming || r.ended {
		return false
	}
	r.streaming = true
	r.changed.Broadcast()
	return true
}

// receive reads the response to its end, and returns the reason of the end; nil: it is complete. It calls start when it has
// buffered all that it may and there is more.
func (r *Response) receive(body io.Reader, start func()) error {
	buf := make([]byte, r.firstChunkBytes())
	total := int64(0)
	for {
		n, err := body.Read(buf)
		if total += int64(n); total > bodybudget.MaxBodyBytes {
			err = errTooLong
		}
		if abandoned := r.addAll(buf[:n], start); abandoned != nil {
			return r.end(abandoned)
		}
		if err == io.EOF {
			return r.end(nil)
		}
		if err != nil {
			return r.end(err)
		}
		if n == len(buf) && n < ChunkBytes {
			buf = make([]byte, min(ChunkBytes, 4*n)) // there is more of it than was thought
		}
	}
}

// firstChunkBytes is how much is read at once at first. A buffer for a long response costs more than everything else of a short one.
func (r *Response) firstChunkBytes() int64 {
	if r.Length < 0 {
		return minChunkBytes
	}
	return min(ChunkBytes, max(minChunkBytes, r.Length))
}

// addAll adds a piece of the body, and waits for its reader where it has to.
func (r *Response) addAll(piece []byte, start func()) error {
	for len(piece) > 0 {
		n, err := r.add(piece)
		if err != nil {
			return err
		}
		if piece = piece[n:]; len(piece) > 0 {
			start()
			r.awaitCapacity()
		}
	}
	return nil
}

// add adds as much of a piece as may be buffered.
func (r *Response) add(piece []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.abandoned {
		return 0, errAbandoned
	}
	n := min(len(piece), bodybudget.MaxBufferedBytes-len(r.buffered))
	r.buffered = append(r.buffered, piece[:n]...)
	r.changed.Broadcast()
	return n, nil
}

// awaitCapacity waits until more may be buffered.
func (r *Response) awaitCapacity() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buffered) >= bodybudget.MaxBufferedBytes && !r.abandoned {
		r.changed.Wait()
	}
}

func (r *Response) end(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.err = true, err
	r.changed.Broadcast()
	return err
}

// state reports whether the response is passed on as it comes, and whether its reader has left.
func (r *Response) state() (streaming, abandoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streaming, r.abandoned
}

// Read reads what has come; io.EOF says that the response is complete.
func (r *Response) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buffered) == 0 && !r.ended && !r.abandoned {
		r.changed.Wait()
	}
	switch {
	case r.abandoned:
		return 0, errAbandoned
	case len(r.buffered) > 0:
		n := copy(p, r.buffered)
		r.buffered = r.buffered[:copy(r.buffered, r.buffered[n:])]
		r.changed.Broadcast()
		return n, nil
	case r.err != nil:
		return 0, r.err
	}
	return 0, io.EOF
}

// Abandon ends receiving and reading: nobody wants what follows. Any goroutine may call it.
func (r *Response) Abandon() {
	r.mu.Lock()
	r.abandoned = true
	r.changed.Broadcast()
	r.mu.Unlock()
	r.stop()
}

// Finish says how streaming a response to the client went; nil: to its end. It must be called exactly once.
func (r *Response) Finish(err error) { r.finished <- err }

// Discard abandons a response that is streamed and that nobody is to read.
func (r *Response) Discard() {
	r.Abandon()
	r.Finish(errAbandoned)
}
