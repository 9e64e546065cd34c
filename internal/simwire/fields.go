package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"umberbank/balancer"
)

const (
	// absent is the text of a value that is not set.
	absent = "-"
	// maxNumber is the maximum magnitude of times in milliseconds and of other numbers.
	maxNumber = 1e12
	// maxQuoted is the maximum length of a name quoted in an error, in bytes.
	maxQuoted = 40
)

// fields parses the values of one line and keeps the first error. After an error, the parsed values must not be
// used.
type fields struct {
	name  string
	parts []string
	err   error
}

// fail records an error about value i, unless there is an earlier one.
func (f *fields) fail(i int, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: value %d %s", f.name, i+1, reason)
	}
}

// optionalText returns "" if the value is not set.
func (f *fields) optionalText(i int) string {
	if i >= len(f.parts) || f.parts[i] == absent {
		return ""
	}
	return f.parts[i]
}

func (f *fields) text(i int) string {
	s := f.optionalText(i)
	if s == "" {
		f.fail(i, "is missing")
	}
	return s
}

func (f *fields) integer(i int) int {
	v, err := strconv.Atoi(f.text(i))
	if err != nil {
		f.fail(i, "is not an integer")
	}
	return v
}

// optionalInteger returns zero if the value is not set.
func (f *fields) optionalInteger(i int) int {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.integer(i)
}

// seed accepts signed and unsigned integers of 64 bits.
func (f *fields) seed(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is not an integer")
	}
	return uint64(v)
}

func (f *fields) milliseconds(i int) time.Duration {
	v, err := strconv.ParseFloat(f.text(i), 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > maxNumber {
		f.fail(i, "is not a time in milliseconds")
		return 0
	}
	return fromMilliseconds(v)
}

// optionalMilliseconds returns zero if the value is not set.
func (f *fields) optionalMilliseconds(i int) time.Duration {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.milliseconds(i)
}

// optionalNumber returns zero if the value is not set.
func (f *fields) optionalNumber(i int) float64 {
	s := f.optionalText(i)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(math.Abs(v) <= maxNumber) { // also true for NaN
		f.fail(i, "is not a number")
	}
	return v
}

func (f *fields) endpointState(i int) balancer.EndpointState {
	switch f.integer(i) {
	case 0:
		return balancer.Draining
	case 1:
		return balancer.Removed
	case 2:
		return balancer.Ready
	}
	f.fail(i, "is not an endpoint state")
	return balancer.Ready
}

var results = map[string]balancer.Result{
	"success":     balancer.Success,
	"failure":     balancer.Failure,
	"overloaded":  balancer.Overloaded,
	"timed_out":   balancer.TimedOut,
	"unreachable": balancer.Unreachable,
	"broken":      balancer.ConnectionLost,
	"withdrawn":   balancer.Cancelled,
	"void":        balancer.NotSent,
}

func (f *fields) result(i int) balancer.Result {
	r, ok := results[f.text(i)]
	if !ok {
		f.fail(i, "is not a result")
	}
	return r
}

// loadReport parses pairs of the form name:value, separated by commas. It returns nil if the value is not set, and
// ignores unknown names.
func (f *fields) loadReport(i int) *balancer.LoadReport {
	s := f.optionalText(i)
	if s == "" {
		return nil
	}
	report := &balancer.LoadReport{ActiveRequests: -1, ServiceTime: -1}
	for _, pair := range strings.Split(s, ",") {
		name, text, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || math.Abs(v) > maxNumber {
			f.fail(i, "is not a load report")
			return nil
		}
		switch name {
		case "busy_reqs":
			report.ActiveRequests = v
		case "svc_ms":
			report.ServiceTime = fromMilliseconds(v)
		}
	}
	return report
}

// quote quotes a name from the input and truncates it to maxQuoted bytes.
func quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	return strconv.Quote(s)
}

func fromMilliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Millisecond)))
}
