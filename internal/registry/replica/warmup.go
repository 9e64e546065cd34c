package replica

import (
	"math"
	"time"

	"umberbank/internal/registry/state"
)

// warmUpStepCount is the number of writes over which a unit warms up.
const warmUpStepCount = 4

// warmUp is the warm-up of a unit that has started.
type warmUp struct {
	token   int64
	since   time.Duration // when this leader first observed it
	initial float64       // fraction of its capacity that the unit lacked when this leader first observed it
	current float64       // fraction that it lacks now according to the state
}

// trackWarmUp starts, updates or drops the warm-up of an instance from the state.
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

// warmUpSteps returns the writes that raise the capacity of units in equal steps over the warm-up time.
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
