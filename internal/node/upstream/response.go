package upstream

import (
	"errors"
	"io"
	"sync"
	"time"

	"umberbank/internal/node/bodybudget"
)

const (
	// gatherTimeout is how long a response of unknown length is buffered before it is streamed.
	gatherTimeout = 250 * time.Millisecond
	// maxServerPause is how long a server may pause while it sends the body of a 200 response or reads a
	// long request.
	maxServerPause = 10 * time.Second
	// ChunkBytes is the maximum size of one read or write of the body of a response.
	ChunkBytes = 16 << 10
	// minChunkBytes is the minimum size of a read buffer, and the first size for a response of unknown
	// length.
	minChunkBytes = 1 << 10
)

var (
	errAbandoned = errors.New("the response was abandoned by its reader")
	errTooLong   = errors.New("the response body exceeds the maximum length")
)

// Response is a server's response that is passed on to the client. It buffers at most
// bodybudget.MaxBufferedBytes. A response is streamed if its body is longer than that, or if its length
// is unknown and it is not complete within gatherTimeout. Streaming starts at the first byte of the body
// at the earliest: until then the attempt can time out and be retried. The attempt's goroutine receives
// the response, and one other goroutine reads it if it is streamed. Otherwise its body is in the
// AttemptResult.
type Response struct {
	ContentType string
	Length      int64 // in bytes; -1 if unknown

	finished chan error      // receives the result of streaming to the client; nil if it was complete
	stop     func()          // makes receive end
	started  func(*Response) // called when streaming starts

	mu        sync.Mutex
	changed   *sync.Cond // signalled when any field below changes
	buffered  []byte
	allowed   bool // streaming starts as soon as a byte is buffered
	streaming bool
	ended     bool
	err       error // why receiving ended; nil if the response is complete
	abandoned bool
}

func newResponse(contentType string, length int64, stop func(), started func(*Response)) *Response {
	r := &Response{ContentType: contentType, Length: length, stop: stop, started: started, finished: make(chan error, 1)}
	r.changed = sync.NewCond(&r.mu)
	if length > 0 {
		r.buffered = make([]byte, 0, min(length, bodybudget.MaxBufferedBytes))
	}
	return r
}

// allowStreaming lets the response be streamed, from the first byte of its body on.
func (r *Response) allowStreaming() {
	r.mu.Lock()
	r.allowed = true
	r.mu.Unlock()
	r.startStreaming()
}

// startStreaming starts streaming the response if that is allowed and a byte is buffered. It does nothing
// if the response is streamed already or has ended.
func (r *Response) startStreaming() {
	r.mu.Lock()
	starts := r.allowed && len(r.buffered) > 0 && !r.streaming && !r.ended
	r.streaming = r.streaming || starts
	r.mu.Unlock()
	if starts {
		r.started(r)
	}
}

// receive reads the response to its end. It returns nil if the response is complete.
func (r *Response) receive(body io.Reader) error {
	buf := make([]byte, r.firstChunkBytes())
	total := int64(0)
	for {
		n, err := body.Read(buf)
		if total += int64(n); total > bodybudget.MaxBodyBytes {
			err = errTooLong
		}
		if abandoned := r.addAll(buf[:n]); abandoned != nil {
			return r.end(abandoned)
		}
		if err == io.EOF {
			return r.end(nil)
		}
		if err != nil {
			return r.end(err)
		}
		if n == len(buf) && n < ChunkBytes {
			buf = make([]byte, min(ChunkBytes, 4*n)) // the response is longer than expected
		}
	}
}

// firstChunkBytes returns the size of the first read buffer: the length of the response, but at least
// minChunkBytes and at most ChunkBytes. With ChunkBytes for every response, a short one would need
// 16 KiB for this buffer alone.
func (r *Response) firstChunkBytes() int64 {
	if r.Length < 0 {
		return minChunkBytes
	}
	return min(ChunkBytes, max(minChunkBytes, r.Length))
}

// addAll buffers a piece of the body. While the buffer is full it waits for the reader.
func (r *Response) addAll(piece []byte) error {
	for len(piece) > 0 {
		n, err := r.add(piece)
		if err != nil {
			return err
		}
		r.startStreaming()
		if piece = piece[n:]; len(piece) > 0 {
			r.allowStreaming()
			r.awaitCapacity()
		}
	}
	return nil
}

// add buffers as much of a piece as there is capacity for, and returns how many bytes that is.
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

// awaitCapacity waits until the buffer has capacity or the response is abandoned.
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

// state reports whether the response is streamed, and whether it was abandoned.
func (r *Response) state() (streaming, abandoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streaming, r.abandoned
}

// Read implements io.Reader. It waits until bytes are buffered, and returns io.EOF only if the response
// is complete.
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

// Abandon ends receiving and reading the response. The rest of the response is discarded. It may be
// called from any goroutine.
func (r *Response) Abandon() {
	r.mu.Lock()
	r.abandoned = true
	r.changed.Broadcast()
	r.mu.Unlock()
	r.stop()
}

// Finish reports the result of streaming the response to the client, nil if it was complete. It must be
// called exactly once.
func (r *Response) Finish(err error) { r.finished <- err }

// Discard abandons and finishes a streamed response that is not going to be read.
func (r *Response) Discard() {
	r.Abandon()
	r.Finish(errAbandoned)
}
