package cost

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// measureThroughput keeps the process busy on all connections and computes the cost of a request.
func (p *measuredProcess) measureThroughput(ctx context.Context, d time.Duration, s *ProcessCost) error {
	l := &loader{addr: p.address}
	s.IdleMemoryMB, _ = p.usage()
	if _, err := l.runBusy(ctx, busyConnections, warmUpDuration); err != nil {
		return err
	}
	// The first load runs without the profiler, whose cost would be included.
	before, began := p.processorTime(), time.Now()
	c, err := l.runBusy(ctx, busyConnections, d)
	if err != nil {
		return err
	}
	if c.served == 0 {
		return errors.New("no request was served")
	}
	s.Throughput, s.Rejected = float64(c.served)/time.Since(began).Seconds(), c.other
	s.CPUMicros = (p.processorTime() - before).Seconds() * 1e6 / float64(c.served+c.other)
	s.MemoryMB, s.Descriptors = p.usage()

	p.cmd.Process.Signal(syscall.SIGUSR1)
	time.Sleep(100 * time.Millisecond) // the process must handle the signal before the load begins
	if c, err = l.runBusy(ctx, busyConnections, d); err != nil {
		return err
	}
	p.cmd.Process.Signal(syscall.SIGUSR2)
	st, err := p.readStats()
	if err != nil {
		return err
	}
	n := float64(c.served + c.other)
	s.AllocBytes, s.Allocs = float64(st.AllocBytes)/n, float64(st.Allocs)/n
	s.CPUSplit, s.AllocSplit = map[string]float64{}, map[string]float64{}
	for _, part := range Parts {
		s.CPUSplit[part] = st.CPUShare[part] * s.CPUMicros
		s.AllocSplit[part] = st.AllocShare[part] * s.AllocBytes
	}
	return nil
}
