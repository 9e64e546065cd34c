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
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/upstream"
)

const (
	// responseWriteTimeout is how long a client may take to read a buffered response. Without it, a client that stops
	// reading would hold its connection and the response's memory indefinitely.
	responseWriteTimeout = 5 * time.Second
	// clientPauseTimeout is how long a client may stop reading during a streamed response.
	clientPauseTimeout = 10 * time.Second
)

// writeResponse writes the final response to a request.
func (f *frontend) writeResponse(w http.ResponseWriter, hr *http.Request, r *request, resp clientResponse) {
	if resp.rejection != nil {
		reject(w, resp.rejection)
		return
	}
	unread := r.streamedBody != nil && !r.streamedBody.Complete()
	if f.conns.Load() >= f.softLimit.Load() || f.drain.Draining() || unread {
		w.Header().Set("Connection", "close")
	}
	if resp.streamed != nil {
		f.streamResponse(w, hr, r, resp)
		return
	}
	writeBuffered(w, resp)
	f.metrics.CountResponse(r.className, resp.status, false)
	if unread {
		// Closing the connection while the client still writes would reset it, and the client might never read the response.
		http.NewResponseController(w).Flush()      // an error means that the client has disconnected
		_, _ = io.Copy(io.Discard, r.streamedBody) // until the body ends or the client disconnects
	}
}

// streamResponse streams a response from a server to the client.
func (f *frontend) streamResponse(w http.ResponseWriter, hr *http.Request, r *request, resp clientResponse) {
	err := copyResponse(w, hr, resp.streamed)
	resp.streamed.Finish(err)
	f.metrics.CountResponse(r.className, resp.status, err != nil)
	if err == nil {
		return
	}
	f.loop.post(func() { f.loop.ends.requestEnded(r, metrics.ResponseTruncated, f.loop.now()-r.acceptedAt) })
	if resp.streamed.Length < 0 && !hr.ProtoAtLeast(1, 1) {
		clientconn.ClientOf(hr).Reset() // a plain close would look like the end of the response
	}
	panic(http.ErrAbortHandler)
}

// copyResponse writes a response as it arrives. It returns an error if the response was not written completely.
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
		if err := control.SetWriteDeadline(time.Now().Add(clientPauseTimeout)); err != nil {
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

// writeBuffered writes a response whose body is complete.
func writeBuffered(w http.ResponseWriter, resp clientResponse) {
	// net/http removes the deadline once the response is written. An error means that the client has disconnected.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	h := w.Header()
	setContentType(h, resp.contentType)
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(resp.status)
	w.Write(resp.body) // an error means that the client has disconnected
}

// setContentType sets the Content-Type header. If contentType is empty, no header is sent, and net/http does not guess one.
func setContentType(h http.Header, contentType string) {
	h["Content-Type"] = nil
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
}

// reject sends the response to a request that is not accepted, and closes the connection so that it does not count against
// the client limit.
func reject(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), rejectionStatus(err))
}

// rejectionStatus returns the HTTP status for the reason why a request is not accepted.
func rejectionStatus(err error) int {
	tooLarge := new(http.MaxBytesError)
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, errUnknownClass):
		return http.StatusNotFound
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errExpired), errors.Is(err, errBacklogged),
		errors.Is(err, errNotReady):
		return http.StatusServiceUnavailable // the request has not been executed, and may be sent again
	}
	return http.StatusBadRequest
}
