package replica

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"umberbank/internal/registry/api"
)

// maxRequestBytes is the longest body of a call.
const maxRequestBytes = 64 << 20

var errRequestTooLong = errors.New("the request is too long")

// handler serves the API.
func (r *Replica) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathInstances, r.handleInstances)
	mux.HandleFunc("GET "+api.PathCoordination, r.handleCoordination)
	mux.HandleFunc("GET "+api.PathStatus, r.handleStatus)
	mux.HandleFunc("GET "+api.PathBackup, r.handleBackup)
	mux.HandleFunc("POST "+api.PathWrite, r.onLeader(r.handleWrite))
	mux.HandleFunc("POST "+api.PathRestore, r.onLeader(r.handleRestore))
	mux.HandleFunc("POST "+api.PathMembers, r.onLeader(r.handleMembers))
	mux.HandleFunc("POST "+api.PathRenew, r.onLeader(r.handleRenew))
	mux.Handle("GET "+api.PathMetrics, r.metrics.handler())
	return mux
}

// invalidRequestError is the caller's fault.
type invalidRequestError struct{ err error }

// Error is the text of the underlying error.
func (e invalidRequestError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e invalidRequestError) Unwrap() error { return e.err }

// emptyResponse is the body of an answer that has nothing to say.
type emptyResponse struct{}

// reply answers with JSON, or with an error: 400 for a bad request, 503 for one that may succeed if it is repeated.
func reply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusServiceUnavailable
		if bad := (invalidRequestError{}); errors.As(err, &bad) {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		v = api.Error{Error: err.Error()}
	}
	json.NewEncoder(w).Encode(v) //nolint:errcheck // a caller that has disconnected needs no answer
}

// readBody reads the body of a call.
func readBody(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxRequestBytes+1))
	if err == nil && len(text) > maxRequestBytes {
		err = errRequestTooLong
	}
	return text, err
}
