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
	// absent is the text of a value that is not told.
	absent = "-"
	// maxNumber bounds times in milliseconds and other numbers.
	maxNumber = 1e12
	// maxQuoted bounds how much of a name an error quotes, in bytes.
	maxQuoted = 40
)

// fields reads the values of one line and keeps the first error. After an error the values are of no use.
type fields struct {
	name  string
	parts []string
	err   error
}

// fail keeps the error that value i is wrong, unless there is an earlier one.
func (f *fields) fail(i int, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: value %d %s", f.name, i+1, reason)
	}
}

// optionalText returns "" if the value is not told.
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
		f.fail(i, "is no whole number")
	}
	return v
}

// optionalInteger returns 0 if the value is not told.
func (f *fields) optionalInteger(i int) int {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.integer(i)
}

// seed accepts numbers of 64 bits, with a sign or without.
func (f *fields) seed(i int) uint64 {
	s := f.text(i)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(i, "is no whole number")
	}
	return uint64(v)
}

func (f *fields) milliseconds(i int) time.Duration {
	v, err := strconv.ParseFloat(f.text(i), 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > maxNumber {
		f.fail(i, "is no time in milliseconds")
		return 0
	}
	return fromMilliseconds(v)
}

// optionalMilliseconds returns 0 if the value is not told.
func (f *fields) optionalMilliseconds(i int) time.Duration {
	if f.optionalText(i) == "" {
		return 0
	}
	return f.milliseconds(i)
}

// optionalNumber returns 0 if the value is not told.
func (f *fields) optionalNumber(i int) float64 {
	s := f.optionalText(i)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(math.Abs(v) <= maxNumber) { // true for NaN
		f.fail(i, "is no number")
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
	f.fail(i, "is no state")
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
		f.fail(i, "is no ending")
	}
	return r
}

// loadReport reads pairs name:value; nil: not told. Unknown names are ignored.
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
			f.fail(i, "is no load report")
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

// quote quotes a name from the input, cut if it is long.
func quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	return strconv.Quote(s)
}

func fromMilliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v * float64(time.Millisecond)))
}
