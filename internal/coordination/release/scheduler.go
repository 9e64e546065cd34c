package release

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// Write is a write to the registry that a [Scheduler] requests.
type Write struct {
	state.Op
	Reason string // why the write is sent; if empty, the write causes no log message
}

// Scheduler decides which writes advance the active releases. It belongs to one controller and must not be used by several
// goroutines at once. Its own state is not stored: after a change of controllers, bake times, recovery timeouts and the counts
// of granted permits start at zero, which only delays the next stage or a halt. The zero value with a Holder is ready for use.
type Scheduler struct {
	Holder string // of the permits that it requests

	trueSince map[string]time.Duration // when a condition became true, on the controller's clock, by the condition's key
	grants    map[string]int           // number of applied writes by permitKey
}

const (
	// maxPermitsPerIncarnation limits the permits of one incarnation of a unit. A release halts, instead of requesting another
	// permit, once it has been granted this number and the unit still runs another version. The permits have then
	// ended because the unit was fully available again without a restart, or expired because its agent did not begin them.
	maxPermitsPerIncarnation = 20
	// maxConcurrentPermits limits the number of permits that a release holds at the same time if its plan sets no limit.
	maxConcurrentPermits = 256
)

// WriteApplied records that the registry has applied a write of NextWrites. If the write requested a permit, the Scheduler adds
// the permit to its count for the unit's incarnation.
func (s *Scheduler) WriteApplied(w Write) { s.grants[permitKey(w.Plan, w.UID, w.Incarnation)]++ }

// permitKey returns the key of an incarnation of a unit in Scheduler.grants.
func permitKey(plan, unit string, incarnation int64) string {
	return fmt.Sprintf("%s %s %d", plan, unit, incarnation)
}

// NextWrites returns the writes to send now, in order. now is the time on a monotonic clock of the controller. It is safe to send
// a write more than once. The caller must add its fence to each write, so that the registry applies only those of the leader.
func (s *Scheduler) NextWrites(v View, now time.Duration) []Write {
	if s.trueSince == nil {
		s.trueSince, s.grants = map[string]time.Duration{}, map[string]int{}
	}
	var writes []Write
	for _, p := range ActivePlans(v) {
		writes = append(writes, s.nextWritesOf(p, &v, now)...)
	}
	return writes
}

// trueFor returns for how long a condition has been true at every poll of this Scheduler, or 0 if it is not true now.
func (s *Scheduler) trueFor(condition string, isTrue bool, now time.Duration) time.Duration {
	if !isTrue {
		delete(s.trueSince, condition)
		return 0
	}
	since, known := s.trueSince[condition]
	if !known {
		s.trueSince[condition], since = now, now
	}
	return now - since
}

// planEvaluation is the state of one release at one poll, from which its next writes are computed.
type planEvaluation struct {
	scheduler   *Scheduler
	plan        *Plan
	now         time.Duration
	progress    Progress
	modRevision int64 // of the progress record; state.Absent if there is none or it cannot be decoded
	units       map[string]*state.Instance
	unavailable map[string]disruption.UnavailableUnit
	permits     map[string]*disruption.Permit // by unit
	heldPermits int                           // number of permits of this plan, including those that are about to be requested
}

func newPlanEvaluation(s *Scheduler, p *Plan, v *View, now time.Duration) *planEvaluation {
	r := &planEvaluation{
		scheduler: s, plan: p, now: now,
		units: map[string]*state.Instance{}, unavailable: map[string]disruption.UnavailableUnit{}, permits: map[string]*disruption.Permit{},
	}
	var decoded bool
	if r.modRevision, decoded = v.record(ProgressKeyPrefix+p.Name, &r.progress); !decoded {
		r.modRevision = state.Absent
	}
	for _, u := range v.Units {
		r.units[u.UID] = u
	}
	for _, u := range v.Unavailable {
		r.unavailable[u.Unit] = u
	}
	for _, permit := range v.Permits {
		r.permits[permit.Unit] = permit
		if permit.Plan == p.Name {
			r.heldPermits++
		}
	}
	return r
}

// nextWritesOf returns the writes of one active release.
func (s *Scheduler) nextWritesOf(p *Plan, v *View, now time.Duration) []Write {
	r := newPlanEvaluation(s, p, v, now)
	if r.progress.Stage >= len(p.Stages) {
		r.progress.Done = true
		return []Write{r.writeProgress("all stages finished")}
	}
	requestable, unfinished, haltReason := r.unfinishedSteps()
	if haltReason != "" {
		return r.halt(haltReason)
	}
	stage := fmt.Sprintf("%s stage %d", p.Name, r.progress.Stage)
	finishedFor := s.trueFor(stage, unfinished == 0, now)
	if unfinished == 0 {
		return r.finishStage(finishedFor)
	}
	return r.requestPermits(requestable)
}

// unfinishedSteps returns the steps of the current stage for which a permit can be requested now, and the number of steps that
// are not finished. haltReason is not empty if a unit's begun permit has lasted longer than the plan's recovery timeout.
func (r *planEvaluation) unfinishedSteps() (requestable []Step, unfinished int, haltReason string) {
	for _, step := range r.plan.Stages[r.progress.Stage] {
		permit := r.permits[step.Unit]
		inProgress := permit != nil && permit.Plan == r.plan.Name && permit.Begun
		timeout := time.Duration(r.plan.RecoveryTimeoutMS) * time.Millisecond
		if r.scheduler.trueFor(r.plan.Name+" "+step.Unit, inProgress, r.now) > timeout {
			return nil, 0, fmt.Sprintf("%s has not come back within %d ms", step.Unit, r.plan.RecoveryTimeoutMS)
		}
		if r.isFinished(step) {
			continue
		}
		unfinished++
		if r.canRequest(step) {
			requestable = append(requestable, step)
		}
	}
	return requestable, unfinished, ""
}

// isFinished reports whether a step's unit is decommissioned, or runs its new version, has no permit and is fully available.
func (r *planEvaluation) isFinished(step Step) bool {
	u, permit := r.units[step.Unit], r.permits[step.Unit]
	return u == nil || permit == nil && u.Version == step.ToVersion && r.unavailable[step.Unit].Fraction == 0
}

// canRequest reports whether a permit can be requested for an unfinished step. Either the unit has no permit, is reachable and
// runs another version, or its permit has begun and belongs to the release that this plan rolls back. A unit that staff have
// drained has a permit that belongs to no release; its step waits until it serves again.
func (r *planEvaluation) canRequest(step Step) bool {
	permit := r.permits[step.Unit]
	if permit == nil {
		return r.units[step.Unit].Version != step.ToVersion && r.unavailable[step.Unit].Reason != disruption.ReasonUnreachable
	}
	return r.plan.RollsBack != "" && permit.Plan == r.plan.RollsBack && permit.Begun
}

// finishStage returns the write that ends the current stage, once its steps have been finished for the bake time.
func (r *planEvaluation) finishStage(finishedFor time.Duration) []Write {
	if finishedFor < time.Duration(r.plan.BakeMS)*time.Millisecond {
		return nil
	}
	r.progress.Stage++
	r.progress.Done = r.progress.Stage == len(r.plan.Stages)
	return []Write{r.writeProgress(fmt.Sprintf("stage %d finished", r.progress.Stage-1))}
}

// requestPermits returns the writes that request permits for steps, up to the number of permits that the plan may hold, after
// the write that adds their units to the progress. It returns only a halt if a unit has had too many permits.
func (r *planEvaluation) requestPermits(steps []Step) []Write {
	var writes []Write
	requested := slices.Clone(r.progress.Requested)
	for _, step := range steps {
		if r.heldPermits >= cmp.Or(r.plan.MaxConcurrent, maxConcurrentPermits) {
			break
		}
		u := r.units[step.Unit]
		if r.scheduler.grants[permitKey(r.plan.Name, step.Unit, u.Token)] >= maxPermitsPerIncarnation {
			return r.halt(fmt.Sprintf("%s was given %d permits and still runs %q", step.Unit, maxPermitsPerIncarnation, u.Version))
		}
		r.heldPermits++
		if !slices.Contains(requested, step.Unit) {
			requested = append(requested, step.Unit)
		}
		writes = append(writes, r.requestPermit(step, u))
	}
	if len(requested) > len(r.progress.Requested) {
		// The progress is written before any permit is requested: a rollback must include every unit that may have changed.
		r.progress.Requested = requested
		writes = append([]Write{r.writeProgress("")}, writes...)
	}
	return writes
}

// requestPermit returns the write that requests a permit for a step.
func (r *planEvaluation) requestPermit(step Step, u *state.Instance) Write {
	op := state.Op{
		Kind: state.OpGrantPermit, UID: step.Unit, Incarnation: u.Token, Holder: r.scheduler.Holder,
		Plan: r.plan.Name, TargetVersion: step.ToVersion, ReplacesPlan: r.plan.RollsBack,
	}
	return Write{Op: op, Reason: fmt.Sprintf("%s from %q to %q", step.Unit, step.FromVersion, step.ToVersion)}
}

// writeProgress returns the write that stores the progress. The write fails if the progress record has changed since it was read.
func (r *planEvaluation) writeProgress(reason string) Write {
	op := state.Op{Kind: state.OpPutRecord, Key: ProgressKeyPrefix + r.plan.Name, Value: encode(r.progress), IfModRevision: r.modRevision}
	return Write{Op: op, Reason: reason}
}

// halt returns the write that halts the release.
func (r *planEvaluation) halt(reason string) []Write {
	return []Write{{Op: HaltOp(r.plan.Name, reason), Reason: reason}}
}
