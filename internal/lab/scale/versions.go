package scale

import (
	"cmp"
	"context"
	"errors"
	"time"

	"umberbank/internal/registry/state"
)

// blockedError reports a version that did not come into force in time.
type blockedError struct{ reason string }

// Error implements error.
func (b blockedError) Error() string { return "blocked: " + b.reason }

// proposeNext proposes the next version, retries until the proposal is accepted, and waits until all reachable nodes run the
// version. If that takes longer than timeout, the error is a blockedError.
func (p *measurement) proposeNext(ctx context.Context, timeout time.Duration) (*propagation, error) {
	p.settingsMark++
	settings, err := settingsOf(p.settingsMark)
	if err != nil {
		return nil, err
	}
	return p.propose(ctx, p.versions.expect(settings, p.reachableNodes()), settings, timeout)
}

// propose writes a proposal repeatedly until it is accepted, and waits for its propagation.
func (p *measurement) propose(ctx context.Context, version *propagation, settings []byte, timeout time.Duration) (*propagation, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rejection := ""
	for {
		reason, err := p.tryPropose(ctx, settings)
		if err == nil && reason == "" {
			break
		}
		if err != nil && rejection == "" {
			reason = err.Error()
		}
		if reason != "" { // a transport error does not replace an earlier rejection, which is more informative
			rejection = reason
		}
		if sleep(ctx, proposalRetryInterval) != nil {
			return version, blockedError{rejection}
		}
	}
	select {
	case <-version.done:
		return version, nil
	case <-ctx.Done():
		return version, blockedError{p.blockedReason()}
	}
}

// tryPropose writes a proposal once. It returns the reason if the registry rejects it, or "" if it is accepted.
func (p *measurement) tryPropose(ctx context.Context, settings []byte) (rejection string, _ error) {
	results, err := p.client.Write(ctx, state.Op{
		Kind:     state.OpPropose,
		Value:    settings,
		Replaces: p.versionNumber,
		Stages:   []float64{1},
	})
	if err != nil {
		return "", err
	}
	result := results[0]
	if result.Code == "" {
		p.versionNumber = result.Token
		return "", nil
	}
	return cmp.Or(result.Reason, string(result.Code)), nil
}

// blockedReason returns the reason why the version in progress is not in force yet.
func (p *measurement) blockedReason() string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	view, err := p.coordinationView(ctx)
	switch {
	case err != nil:
		return err.Error()
	case view.Rollout == nil || view.Rollout.Pending == nil:
		return "not all nodes run the version that was sent to all"
	case view.Rollout.HaltReason != "":
		return view.Rollout.HaltReason
	}
	if err := view.Rollout.CheckReady(); err != nil {
		return err.Error()
	}
	return "no controller advances the version"
}

// recordVersion records the outcome of a version that may be blocked, and reports whether it was.
func (p *measurement) recordVersion(key Key, version *propagation, err error, took time.Duration) (isBlocked bool, _ error) {
	var blocked blockedError
	switch {
	case err == nil:
		p.figures.set(key, quantile(version.propagationTimes(), 1).Seconds())
		return false, nil
	case errors.As(err, &blocked):
		p.figures.setMissing(key, "blocked for the %.1f s that the run waited: %s", took.Seconds(), blocked.reason)
		p.figures.BlockedBy = append(p.figures.BlockedBy, blocked.reason)
		p.figures.set(KeyBlocked, max(p.figures.Values[KeyBlocked], took.Seconds()))
		return true, nil
	}
	return false, err
}

// measureSingleVersions brings versions into force one at a time and records their time and cost.
func (p *measurement) measureSingleVersions(ctx context.Context) error {
	var times []time.Duration
	var bytes, agentBytes, calls, writes, processorSeconds float64
	for range p.options.Pace.SingleVersions {
		before, agents := p.traffic()
		from, err := p.coordinationView(ctx)
		if err != nil {
			return err
		}
		processorBefore, began := p.replicaProcessorTime(), time.Now()
		version, err := p.proposeNext(ctx, p.options.Pace.VersionTimeout)
		if err != nil {
			return err
		}
		if err := p.awaitConvergence(ctx); err != nil {
			return err
		}
		took := time.Since(began).Seconds()
		after, agentsAfter := p.traffic()
		to, err := p.coordinationView(ctx)
		if err != nil {
			return err
		}
		times = append(times, version.propagationTimes()...)
		bytes += float64(after.bytes-before.bytes)/float64(p.nodes) - p.figures.Values[KeyIdleBytes]*took
		agentBytes += float64(agentsAfter.bytes-agents.bytes)/float64(p.nodes) - p.figures.Values[KeyAgentIdleBytes]*took
		calls += float64(after.calls-before.calls)/float64(p.nodes) - p.figures.Values[KeyIdleCalls]*took
		writes += float64(to.Revision - from.Revision)
		processorSeconds += (p.replicaProcessorTime() - processorBefore).Seconds() - p.idleReplicaCores*took
	}
	count := float64(p.options.Pace.SingleVersions)
	p.figures.set(KeyInForceP99, quantile(times, 0.99).Seconds())
	p.figures.set(KeyInForceMax, quantile(times, 1).Seconds())
	p.figures.set(KeyVersionBytes, bytes/count)
	p.figures.set(KeyVersionAgentBytes, agentBytes/count)
	p.figures.set(KeyVersionCalls, calls/count)
	p.figures.set(KeyVersionWrites, writes/count)
	p.figures.set(KeyVersionReplicaTime, processorSeconds/count)
	return nil
}

// measureBursts measures bursts of versions, as if several services proposed versions at the same time. The registry accepts one
// version at a time, so each version of a burst is proposed when the version before it is in force.
func (p *measurement) measureBursts(ctx context.Context) error {
	for i, size := range p.options.Pace.Bursts {
		key := []Key{KeyBurst10, KeyBurst40}[min(i, 1)]
		if before := p.figures.Values[KeyBurstRate]; i > 0 && float64(size)/before > p.options.Pace.VersionTimeout.Seconds() {
			p.figures.setMissing(key, "skipped: at %.2f versions/s, as in the burst of %d, it would take %.0f s, more than %v",
				before, p.options.Pace.Bursts[i-1], float64(size)/before, p.options.Pace.VersionTimeout)
			break
		}
		p.measureBurst(ctx, key, size)
		if err := p.awaitConvergence(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureBurst brings size versions into force, each directly after the one before, within VersionTimeout.
func (p *measurement) measureBurst(ctx context.Context, key Key, size int) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Pace.VersionTimeout)
	defer cancel()
	began, inForce := time.Now(), 0
	var err error
	for inForce < size {
		if _, err = p.proposeNext(ctx, p.options.Pace.VersionTimeout); err != nil {
			break
		}
		inForce++
	}
	took := time.Since(began).Seconds()
	p.figures.set(KeyBurstRate, float64(inForce)/took)
	if err != nil {
		p.figures.setMissing(key, "%d of %d versions were in force after %.1f s (%v)", inForce, size, took, err)
		return
	}
	p.figures.set(key, took)
}
