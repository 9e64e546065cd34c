// Package header defines the names of the HTTP headers that clients, nodes and servers exchange, and
// the formats of their values.
package header

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Names of headers. Clients send all of them except Unprocessed. Nodes forward CorrelationID and
// IdempotencyKey to servers, and send TimeLeft with each attempt, with the time left at that moment.
const (
	CorrelationID  = "X-Correlation-Id"
	TimeLeft       = "X-Time-Left"
	ClientRetry    = "X-Repeat" // 1 if the client has sent the request before
	Facts          = "X-Facts"
	IdempotencyKey = "Idempotency-Key"
	// Unprocessed is 1 in a server's response if the server has rejected the request without running
	// it.
	Unprocessed = "X-Unprocessed"
)

// maxTimeLeft is the maximum value of TimeLeft.
const maxTimeLeft = 24 * time.Hour

// ParseTimeLeft parses a value of TimeLeft: a number followed by a unit, m for milliseconds or u for
// microseconds.
func ParseTimeLeft(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, hasUnit := strings.CutSuffix(s, "m")
	if !hasUnit {
		unit = time.Microsecond
		number, hasUnit = strings.CutSuffix(s, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	d := v * float64(unit)
	if !hasUnit || err != nil || math.IsNaN(d) || d < 1 || d > float64(maxTimeLeft) {
		return 0, fmt.Errorf("X-Time-Left: %q is no time with the unit m or u", s)
	}
	return time.Duration(d), nil
}

// FormatTimeLeft formats d as a value of TimeLeft, in microseconds. The result is at least 1 µs.
func FormatTimeLeft(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10) + "u"
}

// maxCostHintMS is the exclusive upper bound of effort-ms, in milliseconds. Values at or above it are
// ignored.
const maxCostHintMS = 1e9

// ParseCostHint returns the expected cost of a request from a value of Facts, which is a
// comma-separated list of name=value pairs. The cost is the first valid effort-ms, or zero if there is
// none.
func ParseCostHint(facts string) time.Duration {
	for _, fact := range strings.Split(facts, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		if ms, err := strconv.ParseFloat(value, 64); name == "effort-ms" && err == nil && ms > 0 && ms < maxCostHintMS {
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}
