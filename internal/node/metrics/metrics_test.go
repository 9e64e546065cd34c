package metrics

import (
	"strings"
	"testing"

	"umberbank/internal/node/nodetest"
)

// The report has all keys, each with a distinct value.
func TestGoldenMetrics(t *testing.T) {
	m := &Metrics{}
	m.AddClass("idle")
	for status, times := range map[int]int{200: 1, 503: 2, 502: 4} {
		for range times {
			m.CountResponse("read", status, false)
		}
	}
	m.CountResponse("read", 200, true)
	m.CountResponse("read", 429, false)
	m.InFlight.Store(11)
	m.AttemptsSent.Store(12)
	m.EndpointsListed.Store(13)
	m.EndpointsEjected.Store(14)
	m.ReloadsApplied.Store(15)
	m.ReloadsRejected.Store(16)
	m.CountAttemptEnd(AttemptEnd{Result: "timed_out", Phase: "sending"})
	m.CountRequestEnd(NoDecision)
	m.CountRequestEnd(NoDecision)
	nodetest.Golden(t, "figures.golden", m.JSON()+"\n")
}

// Without any end, the report has empty objects.
func TestMetricsWithoutEnds(t *testing.T) {
	if got := (&Metrics{}).JSON(); !strings.Contains(got, `"attempt_ends":{},"request_ends":{}`) {
		t.Errorf("got %s", got)
	}
}
