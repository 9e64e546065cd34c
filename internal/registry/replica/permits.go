package replica

import (
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// defaultPermitTimeout is the time within which a permit must begin if the limits do not set it.
const defaultPermitTimeout = 2 * time.Second

// waitingPermit is a permit that has not begun.
type waitingPermit struct {
	token int64
	since time.Duration // when this leader first observed it
}

// expirePermits returns a write for each permit that has not begun within permitTimeout. The write gives the permit back.
// waiting has all permits that have not begun.
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
