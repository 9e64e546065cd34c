package release

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// Write is a write that a [Scheduler] wants sent to the registry.
type Write struct {
	state.Op
	Reason string // for the log; empty: not worth a line
}

// Scheduler decides which writes carry the active releases on. It belongs to one controller and must not be used by
// several goroutines at once. What it remembers is not stored: after a change of controllers, a stage bakes and a unit
// recovers for longer, and nothing else changes. The zero value with a Holder is ready for use.
type Scheduler struct {
	Holder string // of the permits that it asks for

	since   map[string]time.Duration // on the controller's clock: when a condition became true
	permits map[string]int           // applied writes, by plan, unit and incarnation
}

const (
	// maxPermitsPerIncarnation is how many permits one incarnation of a unit is given before the release halts: the unit
	// returns with the old version each time, or its agent does not begin.
	maxPermitsPerIncarnation = 20
	// maxConcurrentPermits bounds the permits that a release holds at once where its plan does not.
	maxConcurrentPermits = 256
)

// WriteApplied records a write that the registry has applied: it counts the permits that each incarnation was granted.
func (s *Scheduler) WriteApplied(w Write) { s.permits[permitKey(w.Plan, w.UID, w.Incarnation)]++ }

func permitKey(plan, unit string, incarnation int64) string {
	return fmt.Sprintf("%s %s %d", plan, unit, incarnation)
}

// NextWrites returns the writes to send now, in order. now is the time on a monotonic clock of the controller. Every write
// may be repeated, and sent beside those of another controller: the caller adds its fence, which lets only the leader's
// through.
func (s *Scheduler) NextWrites(v View, now time.Duration) []Write {
	if s.since == nil {
		s.since, s.permits = map[string]time.Duration{}, map[string]int{}
	}
	var writes []Write
	for _, p := range ActivePlans(v) {
		writes = append(writes, s.nextWritesOf(p, &v, now)...)
	}
	return writes
}

// trueFor returns for how long a condition has been true at every call, as far as this Scheduler has seen.
func (s *Scheduler) trueFor(condition string, isTrue bool, now time.Duration) time.Duration {
	if !isTrue {
		delete(s.since, condition)
		return 0
	}
	since, known := s.since[condition]
	if !known {
		s.since[condition], since = now, now
	}
	return now - since
}

// planEvaluation is the decision about one release at one time.
type planEvaluation struct {
	scheduler   *Scheduler
	plan        *Plan
	now         time.Duration
	progress    Progress
	modRevision int64 // of the progress record, or state.Absent
	units       map[string]*state.Instance
	unavailable map[string]disruption.UnavailableUnit
	permits     map[string]*disruption.Permit // by unit
	concurrent  int                           // permits of this plan
}

func newPlanEvaluation(s *Scheduler, p *Plan, v *View, now time.Duration) *planEvaluation {
	r := &planEvaluation{
		scheduler: s, plan: p, now: now,
		units: map[string]*state.Instance{}, unavailable: map[string]disruption.UnavailableUnit{}, permits: map[string]*disruption.Permit{},
	}
	var found bool
	if r.modRevision, found = v.record(ProgressKeyPrefix+p.Name, &r.progress); !found {
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
			r.concurrent++
		}
	}
	return r
}

func (s *Scheduler) nextWritesOf(p *Plan, v *View, now time.Duration) []Write {
	r := newPlanEvaluation(s, p, v, now)
	if r.progress.Stage >= len(p.Stages) {
		r.progress.Done = true
		return []Write{r.writeProgress("all stages stand")}
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

// unfinishedSteps returns the steps of the present stage for which a permit can be requested now, and how many are not
// finished. haltReason is not empty if a unit has not recovered in time.
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

// isFinished reports whether a step's unit is decommissioned, or fully available in its new version.
func (r *planEvaluation) isFinished(step Step) bool {
	u, permit := r.units[step.Unit], r.permits[step.Unit]
	return u == nil || permit == nil && u.Version == step.ToVersion && r.unavailable[step.Unit].Fraction == 0
}

// canRequest reports whether a permit for an unfinished step can be requested: the unit has none, is reachable and runs
// another version, or it is changing to the version that this plan rolls back.
func (r *planEvaluation) canRequest(step Step) bool {
	permit := r.permits[step.Unit]
	if permit == nil {
		return r.units[step.Unit].Version != step.ToVersion && r.unavailable[step.Unit].Reason != disruption.ReasonUnreachable
	}
	return permit.Plan == r.plan.RollsBack && permit.Begun
}

// finishStage moves on to the next stage once the present one has been finished for the bake time.
func (r *planEvaluation) finishStage(finishedFor time.Duration) []Write {
	if finishedFor < time.Duration(r.plan.BakeMS)*time.Millisecond {
		return nil
	}
	r.progress.Stage++
	r.progress.Done = r.progress.Stage == len(r.plan.Stages)
	return []Write{r.writeProgress(fmt.Sprintf("stage %d stands", r.progress.Stage-1))}
}

// requestPermits returns writes that ask for the permits of steps, as many as the plan allows to be held.
func (r *planEvaluation) requestPermits(steps []Step) []Write {
	var writes []Write
	requested := slices.Clone(r.progress.Requested)
	for _, step := range steps {
		if r.concurrent >= cmp.Or(r.plan.MaxConcurrent, maxConcurrentPermits) {
			break
		}
		u := r.units[step.Unit]
		if r.scheduler.permits[permitKey(r.plan.Name, step.Unit, u.Token)] > maxPermitsPerIncarnation {
			return r.halt(fmt.Sprintf("%s was given %d permits and still runs %q", step.Unit, maxPermitsPerIncarnation, u.Version))
		}
		r.concurrent++
		if !slices.Contains(requested, step.Unit) {
			requested = append(requested, step.Unit)
		}
		writes = append(writes, r.requestPermit(step, u))
	}
	if len(requested) > len(r.progress.Requested) {
		// Written before any permit is asked for: a rollback must know every unit that may have changed.
		r.progress.Requested = requested
		writes = append([]Write{r.writeProgress("")}, writes...)
	}
	return writes
}

func (r *planEvaluation) requestPermit(step Step, u *state.Instance) Write {
	op := state.Op{
		Kind: state.OpGrantPermit, UID: step.Unit, Incarnation: u.Token, Holder: r.scheduler.Holder,
		Plan: r.plan.Name, TargetVersion: step.ToVersion, ReplacesPlan: r.plan.RollsBack,
	}
	return Write{Op: op, Reason: fmt.Sprintf("%s from %q to %q", step.Unit, step.FromVersion, step.ToVersion)}
}

// writeProgress stores the progress, unless another controller has stored one since.
func (r *planEvaluation) writeProgress(reason string) Write {
	op := state.Op{Kind: state.OpPutRecord, Key: ProgressKeyPrefix + r.plan.Name, Value: encode(r.progress), IfModRevision: r.modRevision}
	return Write{Op: op, Reason: reason}
}

func (r *planEvaluation) halt(reason string) []Write {
	return []Write{{Op: HaltOp(r.plan.Name, reason), Reason: reason}}
}
