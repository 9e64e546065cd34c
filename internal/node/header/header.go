// Package header has the names of the HTTP headers that clients, nodes and servers exchange, and the forms of their values.
package header

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Names of headers. All but Unprocessed come from clients; TimeLeft goes on to servers with each attempt, with what is left then.
const (
	CorrelationID  = "X-Correlation-Id"
	TimeLeft       = "X-Time-Left"
	ClientRetry    = "X-Repeat" // 1: the client has sent the request before
	Facts          = "X-Facts"
	IdempotencyKey = "Idempotency-Key"
	// Unprocessed is 1 in a server's response if the server has rejected the request and has not run it.
	Unprocessed = "X-Unprocessed"
)

// maxTimeLeft is the longest that a client may be willing to wait.
const maxTimeLeft = 24 * time.Hour

// ParseTimeLeft reads a value of TimeLeft: a number and a unit, m for milliseconds or u for microseconds.
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

// FormatTimeLeft returns a value of TimeLeft: d in microseconds, 1 at the least.
func FormatTimeLeft(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Microseconds()), 10) + "u"
}

// maxCostHintMS is the first value of effort-ms that is too large to count.
const maxCostHintMS = 1e9

// ParseCostHint finds the work to expect in a value of Facts, name=value pairs with commas between them; 0: there is none.
func ParseCostHint(facts string) time.Duration {
	for _, fact := range strings.Split(facts, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(fact), "=")
		if ms, err := strconv.ParseFloat(value, 64); name == "effort-ms" && err == nil && ms > 0 && ms < maxCostHintMS {
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}
