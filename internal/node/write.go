package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"umberbank/internal/node/clientconn"
	"umberbank/internal/node/upstream"
)

const (
	// answerTimeout is how long a client may take to read its answer. One that has stopped reading would keep its
	// connection, and the answer's memory, forever.
	answerTimeout = 5 * time.Second
	// maxClientPause is how long a client may pause amid a long answer.
	maxClientPause = 10 * time.Second
)

// answer writes the final answer to a request.
func (f *frontend) answer(w http.ResponseWriter, hr *http.Request, r *request, a answer) {
	if a.rejection != nil {
		reject(w, a.rejection)
		return
	}
	unread := r.streamedBody != nil && !r.streamedBody.Complete()
	if f.conns.Load() >= f.softLimit.Load() || f.drain.Draining() || unread {
		w.Header().Set("Connection", "close")
	}
	if a.response != nil {
		f.streamResponse(w, hr, r, a)
		return
	}
	write(w, a)
	f.metrics.CountAnswer(r.class, a.status, false)
	if unread {
		// Closing on a client that still writes would reset the connection, and it might never read its answer.
		http.NewResponseController(w).Flush()      // an error means that the client has disconnected
		_, _ = io.Copy(io.Discard, r.streamedBody) // until its end, or the client's
	}
}

// streamResponse writes a long answer to its client as it comes.
func (f *frontend) streamResponse(w http.ResponseWriter, hr *http.Request, r *request, a answer) {
	err := copyResponse(w, hr, a.response)
	a.response.Finish(err)
	f.metrics.CountAnswer(r.class, a.status, err != nil)
	if err == nil {
		return
	}
	if a.response.Length < 0 && !hr.ProtoAtLeast(1, 1) {
		clientconn.ClientOf(hr).Reset() // the close alone would be the answer's end
	}
	panic(http.ErrAbortHandler)
}

// copyResponse writes a response as it comes, and returns why not all of it was written.
func copyResponse(w http.ResponseWriter, hr *http.Request, response *upstream.Response) error {
	defer context.AfterFunc(hr.Context(), response.Abandon)()
	setContentType(w.Header(), response.ContentType)
	if response.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	control := http.NewResponseController(w)
	buf := make([]byte, upstream.ChunkBytes)
	for {
		n, err := response.Read(buf)
		if err := control.SetWriteDeadline(time.Now().Add(maxClientPause)); err != nil {
			return err
		}
		if n > 0 {
			_, writeErr := w.Write(buf[:n])
			if writeErr = errors.Join(writeErr, control.Flush()); writeErr != nil {
				response.Abandon()
				return writeErr
			}
		}
		if err == io.EOF { //nolint:errorlint // Read ends a complete response with io.EOF itself; a wrapped one is a broken response
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write writes an answer whose body is complete.
func write(w http.ResponseWriter, a answer) {
	// net/http lifts it once the answer is out. An error means that the client has disconnected.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
	h := w.Header()
	setContentType(h, a.contentType)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error means that the client has disconnected
}

// setContentType sets the content type of an answer; "": it has none, and net/http must not guess one.
func setContentType(h http.Header, contentType string) {
	h["Content-Type"] = nil
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
}

// reject answers a request that is not accepted, and closes its connection, so that it does not count against the limit of clients.
func reject(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), rejectionStatus(err))
}

// rejectionStatus is the HTTP status that says why a request is not accepted.
func rejectionStatus(err error) int {
	tooLarge := new(http.MaxBytesError)
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, errUnknownClass):
		return http.StatusNotFound
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusServiceUnavailable // no capacity in time
	}
	return http.StatusBadRequest
}
