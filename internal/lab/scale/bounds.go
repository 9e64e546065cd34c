package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a run.
const (
	MaxProcesses = 200
	maxPlays     = 20
	maxNodes     = 10_000
	// Estimates for the validation of options: memory per node in all processes together, memory without nodes, and
	// descriptors per node in this process.
	planMBPerNode    = 2
	planBaseMB       = 700
	planFilesPerNode = 8
	// guardInterval is the interval at which the guard checks the usage.
	guardInterval = 250 * time.Millisecond
)

// ErrBounds is returned if the options or a run exceed the bounds.
var ErrBounds = errors.New("exceeds the bounds of a run")

// halfMemoryMB returns half of the machine's memory.
func halfMemoryMB() (float64, error) {
	var s unix.Sysinfo_t
	if err := unix.Sysinfo(&s); err != nil {
		return 0, err
	}
	return float64(s.Totalram) * float64(s.Unit) / (1 << 20) / 2, nil
}

// Validate returns an error if a run with these options cannot be started on this machine.
func (o *Options) Validate() error {
	half, err := halfMemoryMB()
	if err != nil {
		return err
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	return o.validateWithin(half, files.Cur)
}

// validateWithin validates the options for an amount of memory and a number of open files.
func (o *Options) validateWithin(mb float64, files uint64) error {
	if len(o.Nodes) == 0 {
		return errors.New("nodes: no size is given")
	}
	if o.Plays < 1 || o.Plays > maxPlays {
		return fmt.Errorf("plays: %d is not from 1 to %d", o.Plays, maxPlays)
	}
	for i, n := range o.Nodes {
		switch {
		case n < zoneCount || n > maxNodes:
			return fmt.Errorf("nodes: %d is not from %d (a node in each zone) to %d", n, zoneCount, maxNodes)
		case i > 0 && n <= o.Nodes[i-1]:
			return fmt.Errorf("nodes: %d is not above %d", n, o.Nodes[i-1])
		case planBaseMB+planMBPerNode*float64(n) > mb:
			return fmt.Errorf("nodes: %d: %w: about %d MB are needed, and half of this machine's memory is %.0f MB", n, ErrBounds, planBaseMB+planMBPerNode*n, mb)
		case uint64(planFilesPerNode*n) > files:
			return fmt.Errorf("nodes: %d: %w: about %d open files are needed, and the limit is %d", n, ErrBounds, planFilesPerNode*n, files)
		}
	}
	return nil
}

// processorTime returns the processor time that a process has used so far, or 0 if there is no such process.
func processorTime(pid int) time.Duration {
	if pid == 0 {
		return 0
	}
	var t unix.Timespec
	const scheduled = 2 // CPUCLOCK_SCHED of a whole process, as clock_getcpuclockid(3) encodes it
	if unix.ClockGettime(int32(^pid<<3|scheduled), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// residentMB returns the resident memory of a process, or 0 if there is no such process.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages float64
	if _, err := fmt.Sscan(strings.TrimSpace(string(text)), &size, &pages); err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// guard cancels a run with ErrBounds when the run exceeds its bounds, and records the peak usage.
type guard struct {
	maxMB        float64
	maxProcesses int // number of processes allowed

	mu            sync.Mutex
	peakMB        float64
	peakProcesses int // largest number of processes at the same time
}

// peak returns the peak usage so far.
func (g *guard) peak() (mb float64, processes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peakMB, g.peakProcesses
}

// check samples the usage of processes and calls end if it exceeds the bounds.
func (g *guard) check(pids []int, end context.CancelCauseFunc) {
	mb, n := 0.0, 0
	for _, pid := range pids {
		if r := residentMB(pid); r > 0 {
			mb += r
			n++
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peakMB, g.peakProcesses = max(g.peakMB, mb), max(g.peakProcesses, n)
	if mb > g.maxMB || n > g.maxProcesses {
		end(fmt.Errorf("%w: uses %.0f MB in %d processes, and %.0f MB in %d are allowed", ErrBounds, mb, n, g.maxMB, g.maxProcesses))
	}
}

// watch checks at guardInterval until ctx ends.
func (g *guard) watch(ctx context.Context, pids func() []int, end context.CancelCauseFunc) {
	tick := time.NewTicker(guardInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.check(pids(), end)
		case <-ctx.Done():
			return
		}
	}
}
