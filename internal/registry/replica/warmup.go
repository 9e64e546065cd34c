package replica

import (
	"math"
	"time"

	"umberbank/internal/registry/state"
)

// warmUpStepCount is in how many writes a unit warms up.
const warmUpStepCount = 4

// warmUp is a unit that has started and is not warm yet.
type warmUp struct {
	token   int64
	since   time.Duration // when this leader first knew of it
	initial float64       // share of its capacity that it lacked then
	current float64       // and lacks now, as the state has it
}

// trackWarmUp begins, or goes on with, the warm-up of an instance as the state has it.
func (t *leaseTable) trackWarmUp(e *state.Instance, now time.Duration) {
	switch w := t.warmUps[e.UID]; {
	case e.State == state.Deleted || e.WarmUpDeficit == 0:
		delete(t.warmUps, e.UID)
	case w != nil && w.token == e.Token:
		w.current = e.WarmUpDeficit
	default:
		t.warmUps[e.UID] = &warmUp{token: e.Token, since: now, initial: e.WarmUpDeficit, current: e.WarmUpDeficit}
	}
}

// warmUpSteps returns the writes by which units warm up, step by step and evenly over the warm-up time.
func (t *leaseTable) warmUpSteps(now time.Duration) (ops []state.Op) {
	for uid, w := range t.warmUps {
		fraction := 1.0
		if t.warmUpTime > 0 {
			fraction = math.Floor(warmUpStepCount*float64(now-w.since)/float64(t.warmUpTime)) / warmUpStepCount
		}
		if lacking := w.initial * (1 - min(fraction, 1)); lacking < w.current {
			ops = append(ops, state.Op{Kind: state.OpWarmUp, UID: uid, Token: w.token, WarmUpDeficit: &lacking})
		}
	}
	return ops
}
