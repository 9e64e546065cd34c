package scale

import (
	"context"
	"os"
	"time"
)

// traffic returns the total traffic so far of the hollow nodes that are alive, and of their agents.
func (p *measurement) traffic() (nodes, agents traffic) {
	for _, h := range p.hollowNodes {
		if h == nil {
			continue
		}
		nodes = nodes.plus(h.nodeTraffic())
		agents = agents.plus(h.agentMeter.traffic())
	}
	return nodes, agents
}

// usageSample is the traffic of the hollow nodes and the processor time of processes at a point in time.
type usageSample struct {
	at            time.Time
	nodes, agents traffic
	processor     map[int]time.Duration // processor time by PID
}

// sampleUsage samples the traffic and the processor time of the given processes.
func (p *measurement) sampleUsage(pids []int) usageSample {
	s := usageSample{processor: map[int]time.Duration{}}
	s.nodes, s.agents = p.traffic()
	for _, pid := range pids {
		s.processor[pid] = processorTime(pid)
	}
	s.at = time.Now()
	return s
}

// cores returns the average number of cores that a process has used since an earlier sample.
func (s usageSample) cores(since usageSample, pid int) float64 {
	return (s.processor[pid] - since.processor[pid]).Seconds() / s.at.Sub(since.at).Seconds()
}

// measureIdle measures traffic, processor time and memory while nothing changes.
func (p *measurement) measureIdle(ctx context.Context) error {
	if err := sleep(ctx, p.options.Pace.SettleTime); err != nil {
		return err
	}
	leader := p.cluster.Leader(0)
	pids := p.pids()
	before := p.sampleUsage(pids)
	if err := sleep(ctx, p.options.Pace.IdleTime); err != nil {
		return err
	}
	after := p.sampleUsage(pids)
	p.recordIdleTraffic(before, after)
	cores := func(pid int) float64 { return after.cores(before, pid) }
	p.figures.set(KeyLoaderCores, cores(os.Getpid()))
	p.figures.set(KeyLoaderMB, residentMB(os.Getpid()))
	p.figures.set(KeyControllerCores, cores(p.controller.Pid()))
	p.figures.set(KeyControllerMB, residentMB(p.controller.Pid()))
	p.figures.set(KeyIdleCPUShare, cores(p.nodeWithControl.Pid())-cores(p.nodeWithoutControl.Pid()))
	p.figures.set(KeyControlMB, residentMB(p.nodeWithControl.Pid())-residentMB(p.nodeWithoutControl.Pid()))
	p.recordIdleReplicas(leader, cores)
	return p.measureSyncs()
}

// recordIdleTraffic records the traffic of a node and of an agent between two samples.
func (p *measurement) recordIdleTraffic(before, after usageSample) {
	seconds := after.at.Sub(before.at).Seconds()
	perNode := func(from, to int64) float64 { return float64(to-from) / seconds / float64(p.nodes) }
	p.figures.set(KeyIdleBytes, perNode(before.nodes.bytes, after.nodes.bytes))
	p.figures.set(KeyIdleCalls, perNode(before.nodes.calls, after.nodes.calls))
	p.figures.set(KeyAgentIdleBytes, perNode(before.agents.bytes, after.agents.bytes))
	p.figures.set(KeyAgentIdleCalls, perNode(before.agents.calls, after.agents.calls))
	p.idleBytesPerSecond = int64(p.figures.Values[KeyIdleBytes])
}

// recordIdleReplicas records processor usage and memory of the replicas.
func (p *measurement) recordIdleReplicas(leader int, cores func(pid int) float64) {
	total, busiestFollower, largestMB := 0.0, 0.0, 0.0
	for i := range p.cluster.Len() {
		used := cores(p.cluster.PID(i))
		total += used
		if i == leader {
			p.figures.set(KeyLeaderCores, used)
		} else {
			busiestFollower = max(busiestFollower, used)
		}
		largestMB = max(largestMB, residentMB(p.cluster.PID(i)))
	}
	p.idleReplicaCores = total
	p.figures.set(KeyReplicaCores, total)
	p.figures.set(KeyFollowerCores, busiestFollower)
	p.figures.set(KeyReplicaMB, largestMB)
}

// measureSyncs measures the duration of syncs in the directory for temporary files, where the replicas keep their data, while
// the replicas are idle.
func (p *measurement) measureSyncs() error {
	syncs, err := timeSyncs(p.dir)
	if err != nil {
		return err
	}
	p.figures.set(KeySyncP50, quantile(syncs, 0.5).Seconds()*1000)
	p.figures.set(KeySyncMax, quantile(syncs, 1).Seconds()*1000)
	return nil
}

const (
	// syncSamples is the number of syncs that are timed.
	syncSamples = 40
	// syncBytes is the number of bytes that are written before each sync.
	syncBytes = 4096
)

// timeSyncs measures the duration of syncs of a file in dir.
func timeSyncs(dir string) (took []time.Duration, err error) {
	f, err := os.CreateTemp(dir, "sync-")
	if err != nil {
		return nil, err
	}
	defer os.Remove(f.Name())
	defer f.Close()
	for range syncSamples {
		if _, err := f.Write(make([]byte, syncBytes)); err != nil {
			return nil, err
		}
		began := time.Now()
		if err := f.Sync(); err != nil {
			return nil, err
		}
		took = append(took, time.Since(began))
	}
	return took, nil
}
