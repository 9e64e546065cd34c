package replica

import (
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// defaultPermitTimeout is how long a permit has to begin where the limits do not say.
const defaultPermitTimeout = 2 * time.Second

// waitingPermit is a permit that has not begun.
type waitingPermit struct {
	token int64
	since time.Duration // when this leader first knew of it
}

// expirePermits returns the writes that end permits which have not begun in time. waiting are all that have not begun.
func (t *leaseTable) expirePermits(waiting []*disruption.Permit, now time.Duration) (ops []state.Op) {
	known := map[string]waitingPermit{}
	for _, p := range waiting {
		w, found := t.permits[p.Unit]
		if !found || w.token != p.Token {
			w = waitingPermit{p.Token, now}
		}
		known[p.Unit] = w
		if now-w.since >= t.permitTimeout {
			ops = append(ops, state.Op{Kind: state.OpReturnPermit, UID: p.Unit, Token: p.Token})
		}
	}
	t.permits = known
	return ops
}
