package replica

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// Headers of the API.
const (
	// HeaderRevision is the revision of what was read.
	HeaderRevision = "X-Registry-Revision"
	// HeaderStaleness is how long ago, in milliseconds, the replica last heard from its leader: what it returns is no older
	// than that and one heartbeat of raft.
	HeaderStaleness = "X-Registry-Stale-Ms"
	// headerForwarded is the id of the replica that forwarded a call to the leader.
	headerForwarded = "X-Registry-Forwarded"
)

// maxRequestBytes is the longest body of a call.
const maxRequestBytes = 64 << 20

var errRequestTooLong = errors.New("the request is too long")

// handler serves the API.
func (r *Replica) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.handleInstances)
	mux.HandleFunc("GET /registry/agreed", r.handleAgreed)
	mux.HandleFunc("GET /registry/status", r.handleStatus)
	mux.HandleFunc("GET /registry/backup", r.handleBackup)
	mux.HandleFunc("POST /registry/write", r.onLeader(r.handleWrite))
	mux.HandleFunc("POST /registry/restore", r.onLeader(r.handleRestore))
	mux.HandleFunc("POST /registry/members", r.onLeader(r.handleMembers))
	mux.HandleFunc("POST /registry/renew", r.onLeader(r.handleRenew))
	mux.Handle("GET /metrics", r.metrics.handler())
	return mux
}

// invalidRequestError is the caller's fault.
type invalidRequestError struct{ err error }

func (e invalidRequestError) Error() string { return e.err.Error() }

func (e invalidRequestError) Unwrap() error { return e.err }

// errorResponse is the body of an answer that is an error.
type errorResponse struct {
	Error string `json:"error"`
}

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
		v = errorResponse{err.Error()}
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
