package node

import (
	"log/slog"
	"net/http"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/header"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/requestlog"
	"umberbank/internal/node/upstream"
)

// endRecorder logs and counts how requests and attempts end without success. It is safe for concurrent use.
type endRecorder struct {
	log     *requestlog.Logger
	metrics *metrics.Metrics
}

func newEndRecorder(counters *metrics.Metrics) *endRecorder {
	return &endRecorder{log: requestlog.New(slog.Default()), metrics: counters}
}

// attemptEnded records the end of an attempt. elapsed is the time since its Send.
func (e *endRecorder) attemptEnded(a *attempt, result upstream.AttemptResult, elapsed time.Duration) {
	if result.Result == balancer.Success {
		return
	}
	end := metrics.AttemptEnd{Result: result.Result.String(), Phase: result.Phase.String()}
	e.metrics.CountAttemptEnd(end)
	e.log.Log("attempt ended", a.request.logID(), slog.String("class", a.request.className), slog.Int("attempt", a.index),
		slog.String("server", a.endpoint), slog.String("result", end.Result), slog.String("phase", end.Phase),
		slog.Duration("elapsed", elapsed))
}

// retrySent records that an attempt follows an earlier one of the same request.
func (e *endRecorder) retrySent(a *attempt) {
	if a.index > 0 {
		e.log.Log("retry", a.request.logID(), slog.String("class", a.request.className), slog.Int("attempt", a.index),
			slog.String("server", a.endpoint))
	}
}

// requestEnded records that a request that was accepted ended without the response of a server. elapsed is the time since it
// was accepted.
func (e *endRecorder) requestEnded(r *request, end metrics.RequestEnd, elapsed time.Duration) {
	e.metrics.CountRequestEnd(end)
	e.log.Log("request ended", r.logID(), slog.String("class", r.className), slog.String("reason", string(end)),
		slog.Int("attempts", len(r.attempts)), slog.Duration("elapsed", elapsed))
}

// notAccepted records that a request was answered without being accepted.
func (e *endRecorder) notAccepted(hr *http.Request, err error) {
	e.metrics.CountRequestEnd(metrics.NotAccepted)
	e.log.Log("request not accepted", slog.String("id", loggedID(hr.Header)), slog.String("client", hr.RemoteAddr),
		slog.Any("error", err))
}

// maxLoggedIDBytes is the maximum length of a correlation ID in the log.
const maxLoggedIDBytes = 64

// loggedID returns the correlation ID of a request, shortened for the log.
func loggedID(h http.Header) string {
	id := h.Get(header.CorrelationID)
	return id[:min(len(id), maxLoggedIDBytes)]
}

// logID returns the log field with the correlation ID of the request.
func (r *request) logID() slog.Attr { return slog.String("id", loggedID(r.outgoing.Header)) }
