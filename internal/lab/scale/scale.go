// Package scale measures the cost of the control plane at several sizes, which are numbers of nodes. A run consists of several
// plays. A play measures every size once.
//
// The measurement of a size uses three real replicas of the registry, a real controller, two real nodes and hollow nodes. A
// hollow node has the same clients of the control plane as a real one (registration, renewal, watch, versions, acknowledgments)
// and gets no requests. All hollow nodes run in this process.
package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Options configure a run.
type Options struct {
	Nodes   []int        // sizes, in ascending order
	Plays   int          // number of plays
	Program []string     // command of this program; its own executable if empty
	Step    func(string) // receives a progress message for each step; may be nil
	Pace    Pace
}

// Pace configures the duration of the steps of a measurement.
type Pace struct {
	SettleTime     time.Duration // pause before the idle measurement
	IdleTime       time.Duration // duration of the idle measurement
	SingleVersions int           // number of versions that are proposed one at a time
	Bursts         []int         // sizes of the bursts; the first is recorded as KeyBurst10, the others as KeyBurst40
	VersionTimeout time.Duration // timeout of a version or a burst
	BlockedTimeout time.Duration // timeout of a version that may be blocked by a failure
	LossTime       time.Duration // pause between the loss of a zone or region and the next proposal
}

// DefaultPace returns a pace at which a play of four sizes of up to 920 nodes takes about three minutes. VersionTimeout is the
// operators' bound on a change.
func DefaultPace() Pace {
	return Pace{SettleTime: time.Second, IdleTime: 3 * time.Second, SingleVersions: 3, Bursts: []int{10, 40}, VersionTimeout: 19 * time.Second,
		BlockedTimeout: 19 * time.Second, LossTime: 2500 * time.Millisecond}
}

// Run measures all sizes in each play. If the options are invalid, it starts nothing and returns a nil Result. If a size fails,
// Run records it in Result.Failed and continues with the next one. It stops when the run exceeds its bounds (ErrBounds) or ctx
// ends. In all these cases it returns the Result so far with an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.Step == nil {
		o.Step = func(string) {}
	}
	if len(o.Program) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		o.Program = []string{self}
	}
	maxMB, err := halfMemoryMB()
	if err != nil {
		return nil, err
	}
	r := &Result{Machine: machine(), Plays: o.Plays, LoadAverage: loadAverage(), Bounds: fmt.Sprintf("%.0f MB, %d processes", maxMB, MaxProcesses)}
	began, stopped := time.Now(), false
	for play := range o.Plays {
		playBegan := time.Now()
		var l []*Figures
		for _, n := range o.Nodes {
			f, err := measure(ctx, o, n, maxMB, fmt.Sprintf("play %d of %d, %d nodes: ", play+1, o.Plays, n))
			if f != nil {
				l = append(l, f)
			}
			if err == nil {
				continue
			}
			r.Failed = append(r.Failed, fmt.Sprintf("play %d, %d nodes: %v", play+1, n, firstLine(err.Error())))
			if stopped = ctx.Err() != nil || errors.Is(err, ErrBounds); stopped {
				break
			}
		}
		r.ByPlay = append(r.ByPlay, l)
		r.LongestPlaySeconds = max(r.LongestPlaySeconds, time.Since(playBegan).Seconds())
		if stopped {
			break
		}
	}
	r.Seconds = time.Since(began).Seconds()
	r.summarize()
	if len(r.Failed) > 0 {
		return r, errors.New(strings.Join(r.Failed, "; "))
	}
	return r, ctx.Err()
}

// machine describes the machine of the run.
func machine() string {
	model := "processor unknown"
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		for line := range strings.Lines(string(text)) {
			if name, v, found := strings.Cut(line, ":"); found && strings.TrimSpace(name) == "model name" {
				model = strings.TrimSpace(v)
				break
			}
		}
	}
	half, err := halfMemoryMB()
	if err != nil {
		half = 0
	}
	return fmt.Sprintf("%s, %d cores for each process of the run, %.0f GB", model, min(runtime.NumCPU(), runtime.GOMAXPROCS(0)), 2*half/1024)
}

// loadAverage returns the machine's load average over the last minute, or 0 if it is unknown.
func loadAverage() float64 {
	var v float64
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		_, _ = fmt.Sscan(string(text), &v) // 0 if it has no number
	}
	return v
}

// quantile returns the quantile q (0 to 1) of durations by nearest rank, or zero if there are none.
func quantile(l []time.Duration, q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(l))
	at := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(at, 0), len(sorted)-1)]
}
