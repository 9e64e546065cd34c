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

// Bounds of a run: it says so and stops before it takes more.
const (
	MostProcesses = 200
	mostPlays     = 20
	mostNodes     = 10_000
	// What a plan is reckoned with, well above what was measured: memory of a node in all processes together, of a run
	// without nodes, and descriptors of a node in this process.
	planMB      = 2
	planBaseMB  = 700
	planFiles   = 8
	boundsEvery = 250 * time.Millisecond
)

// ErrBounds says that a plan or a run is over the bounds.
var ErrBounds = errors.New("over the bounds of a run")

// halfMemoryMB is half of the machine's memory.
func halfMemoryMB() (float64, error) {
	var s unix.Sysinfo_t
	if err := unix.Sysinfo(&s); err != nil {
		return 0, err
	}
	return float64(s.Totalram) * float64(s.Unit) / (1 << 20) / 2, nil
}

// Check says why a plan cannot be run; nothing is started for it.
func (o *Options) Check() error {
	half, err := halfMemoryMB()
	if err != nil {
		return err
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	return o.checkWithin(half, files.Cur)
}

func (o *Options) checkWithin(mb float64, files uint64) error {
	if len(o.Nodes) == 0 {
		return errors.New("nodes: no size")
	}
	if o.Plays < 1 || o.Plays > mostPlays {
		return fmt.Errorf("plays: %d is not from 1 to %d", o.Plays, mostPlays)
	}
	for i, n := range o.Nodes {
		switch {
		case n < zones || n > mostNodes:
			return fmt.Errorf("nodes: %d is not from %d (a node in each zone) to %d", n, zones, mostNodes)
		case i > 0 && n <= o.Nodes[i-1]:
			return fmt.Errorf("nodes: %d is not above %d", n, o.Nodes[i-1])
		case planBaseMB+planMB*float64(n) > mb:
			return fmt.Errorf("nodes: %d: %w: some %d MB, and half of the memory here is %.0f MB", n, ErrBounds, planBaseMB+planMB*n, mb)
		case uint64(planFiles*n) > files:
			return fmt.Errorf("nodes: %d: %w: some %d open files, and %d are allowed here", n, ErrBounds, planFiles*n, files)
		}
	}
	return nil
}

// processor is the processor time that a process has used so far, to the nanosecond; 0: there is no such process.
func processor(pid int) time.Duration {
	if pid == 0 {
		return 0
	}
	var t unix.Timespec
	const scheduled = 2 // CPUCLOCK_SCHED of a whole process, as clock_getcpuclockid(3) makes it
	if unix.ClockGettime(int32(^pid<<3|scheduled), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// resident is a process's memory, in MB; 0: there is no such process.
func resident(pid int) float64 {
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

// guard ends ctx with ErrBounds when the run takes more than it may, and knows the most that it took.
type guard struct {
	mayMB float64
	may   int // processes

	mu        sync.Mutex
	mostMB    float64
	processes int // at most at a time
}

// most is the most that the run has taken so far, in MB and processes.
func (g *guard) most() (mb float64, processes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mostMB, g.processes
}

func (g *guard) look(pids []int, end context.CancelCauseFunc) {
	mb, n := 0.0, 0
	for _, pid := range pids {
		if r := resident(pid); r > 0 {
			mb += r
			n++
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mostMB, g.processes = max(g.mostMB, mb), max(g.processes, n)
	if mb > g.mayMB || n > g.may {
		end(fmt.Errorf("%w: %.0f MB in %d processes, and %.0f MB in %d are allowed", ErrBounds, mb, n, g.mayMB, g.may))
	}
}

// watch looks until ctx ends.
func (g *guard) watch(ctx context.Context, pids func() []int, end context.CancelCauseFunc) {
	tick := time.NewTicker(boundsEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.look(pids(), end)
		case <-ctx.Done():
			return
		}
	}
}
