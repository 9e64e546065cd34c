package replica

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"umberbank/internal/registry/api"
)

// maxRequestBytes is the maximum length of a request body.
const maxRequestBytes = 64 << 20

var errRequestTooLong = errors.New("request body is longer than 64 MiB")

// handler returns the handler of the API.
func (r *Replica) handler() http.Handler {
	routes := router{}
	routes.get(api.PathInstances, r.handleInstances)
	routes.get(api.PathCoordination, r.handleCoordination)
	routes.get(api.PathStatus, r.handleStatus)
	routes.get(api.PathBackup, r.handleBackup)
	routes.get(api.PathMetrics, r.metrics.handler().ServeHTTP)
	routes.post(api.PathWrite, r.onLeader(r.handleWrite))
	routes.post(api.PathRestore, r.onLeader(r.handleRestore))
	routes.post(api.PathMembers, r.onLeader(r.handleMembers))
	routes.post(api.PathRenew, r.onLeader(r.handleRenew))
	return routes
}

// invalidRequestError is an error that the request itself has caused. reply sends it with status 400.
type invalidRequestError struct{ err error }

// Error returns the text of the underlying error.
func (e invalidRequestError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e invalidRequestError) Unwrap() error { return e.err }

// emptyResponse is the body of a response without content.
type emptyResponse struct{}

// reply writes v as JSON. If err is not nil, it writes an api.Error instead, with status 400 for an invalid request and 503
// for a request that may succeed if it is repeated.
func reply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusServiceUnavailable
		if invalidRequest := (invalidRequestError{}); errors.As(err, &invalidRequest) {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		v = api.Error{Error: err.Error()}
	}
	json.NewEncoder(w).Encode(v) //nolint:errcheck // a client that has disconnected needs no response
}

// readBody reads the body of a request. It returns errRequestTooLong if the body exceeds maxRequestBytes.
func readBody(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxRequestBytes+1))
	if err == nil && len(text) > maxRequestBytes {
		err = errRequestTooLong
	}
	return text, err
}
