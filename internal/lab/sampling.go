package lab

import (
	"fmt"
	"time"

	"umberbank/internal/lab/fault"
)

// sampleEverySecond samples the run at the end of the second that begins at the given time, and of every second after it.
func (r *run) sampleEverySecond(begin time.Duration) {
	end := begin + time.Second
	r.loop.At(end, func() {
		r.sample(r.secondAt(begin))
		if r.options.Progress != nil {
			r.options.Progress(r.loop.Now(), r.site.Duration.Std())
		}
		if end < r.site.Duration.Std() {
			r.sampleEverySecond(end)
		}
	})
}

// sample records the attempts since the last sample, the requests in flight at each server, and the usage of processes.
func (r *run) sample(second *Second) {
	second.Attempts = r.oracle.Attempts - r.attemptsCounted
	r.attemptsCounted = r.oracle.Attempts
	for _, s := range r.world.Servers {
		second.InFlight = append(second.InFlight, s.InFlight())
	}
	if r.processUsage != nil {
		r.recordUsage(second)
	}
}

// recordUsage records memory and descriptors of the nodes' processes, and reports processes that exceed a limit to the oracle.
func (r *run) recordUsage(second *Second) {
	limits, res := &r.site.Limits, r.result
	for n := range r.site.Nodes {
		usage, running := r.processUsage(n)
		descriptors := float64(usage.Descriptors)
		second.MemoryMB = append(second.MemoryMB, usage.MemoryMB)
		second.Descriptors = append(second.Descriptors, descriptors)
		res.MaxNodeMemoryMB = max(res.MaxNodeMemoryMB, usage.MemoryMB)
		res.MaxNodeDescriptors = max(res.MaxNodeDescriptors, descriptors)
		if running && (usage.MemoryMB > float64(limits.MaxMemoryMB) || usage.Descriptors > limits.MaxSockets) {
			r.oracle.RecordLimitExceeded(n, fmt.Sprintf("%.0f MB of %d and %d descriptors of %d",
				usage.MemoryMB, limits.MaxMemoryMB, usage.Descriptors, limits.MaxSockets))
		}
	}
}

// secondAt returns the entry of the series for requests that arrived at a time.
func (r *run) secondAt(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.result.Series) <= i {
		r.result.Series = append(r.result.Series, newSecond(len(r.site.Classes), len(r.site.Zones)))
	}
	return &r.result.Series[i]
}

// recordFault adds a fault that begins to the result, and logs its begin or end.
func (r *run) recordFault(e *fault.Event, begins bool) {
	state := "ends"
	if begins {
		state = "begins"
		r.result.Faults = append(r.result.Faults, r.faultSpan(e))
	}
	r.options.Log("%v fault %s %s", r.loop.Now().Round(time.Millisecond), e.Kind, state)
}

// faultSpan returns the span of a fault, with the names of its targets.
func (r *run) faultSpan(e *fault.Event) FaultSpan {
	span := FaultSpan{Kind: e.Kind, FromSeconds: e.Start.Seconds(), ToSeconds: e.End.Seconds()}
	for _, n := range e.Nodes {
		span.Nodes = append(span.Nodes, r.site.Nodes[n].Name)
	}
	for _, i := range e.Replicas {
		span.Nodes = append(span.Nodes, fmt.Sprint("r", i))
	}
	for _, s := range e.Servers {
		span.Servers = append(span.Servers, r.site.Servers[s].Name)
	}
	return span
}
