package replica

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// leaderCheckInterval is how often the leader checks its leases, and every replica its disk.
const leaderCheckInterval = 100 * time.Millisecond

// leaderLoop is the state of a goroutine of every replica. The goroutine monitors the disk and, while this replica leads, keeps
// the leases. No other goroutine accesses the leases.
type leaderLoop struct {
	*Replica
	started      time.Time // origin of the lease clock
	lastCheck    time.Time
	lastTransfer time.Time // when this replica last transferred leadership because of its disk

	caughtUp <-chan error    // result of the barrier of a new leader; nil if none is pending
	retry    bool            // the barrier of a new leader has failed
	leases   *leaseTable     // nil while this replica does not lead
	revision int64           // leases reflects the state at this revision
	changed  <-chan struct{} // closed at the next change
}

// runLeaderLoop returns when Close is called or this replica has failed. It never waits for raft, whose state and unanswered
// requests do not show that raft has shut down.
func (r *Replica) runLeaderLoop() {
	defer close(r.leaderDone)
	now := time.Now()
	l := &leaderLoop{Replica: r, started: now, lastCheck: now}
	leadership := r.raft.LeaderCh()
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	for {
		renewals := r.renewals
		if l.caughtUp != nil {
			renewals = nil // they wait until the new leader has its leases
		}
		select {
		case <-r.closing:
			return
		case leading := <-leadership:
			l.leases, l.changed, l.caughtUp, l.retry = nil, nil, nil, false
			if leading {
				l.caughtUp = r.startBarrier()
			}
		case err := <-l.caughtUp:
			l.barrierDone(err)
		case <-l.changed:
			l.applyChanges()
		case <-ticker.C:
			if !l.checkDisk() {
				return
			}
			l.retryBarrier()
			if l.leases != nil {
				l.runLeaderChecks()
			}
		case request := <-renewals:
			request.reply <- l.renewLeases(request.leases)
		}
	}
}

// now returns the time on the lease clock.
func (l *leaderLoop) now() time.Duration { return time.Since(l.started) }

// barrierDone handles the result of the barrier of a new leader.
func (l *leaderLoop) barrierDone(err error) {
	l.caughtUp = nil
	if l.retry = err != nil; !l.retry {
		l.becomeLeader()
	}
}

// retryBarrier starts another barrier if the last one failed and this replica still leads. Raft rejects a barrier during a
// transfer of the leadership, for example, which may then not take place.
func (l *leaderLoop) retryBarrier() {
	if l.retry && l.raft.State() == raft.Leader {
		l.retry = false
		l.caughtUp = l.startBarrier()
	}
}

// becomeLeader creates the leases of a new leader. Everything that was committed before must have been applied.
func (l *leaderLoop) becomeLeader() {
	l.createLeases()
	var address string
	l.fsm.read(func(s *state.State) { address = s.Members()[l.cfg.ID] })
	if address != l.Addr() {
		l.propose([]state.Op{{Kind: state.OpSetMember, UID: l.cfg.ID, Address: l.Addr()}})
	}
}

// createLeases creates the leases of all instances. The channel is taken before the state is read, so that it reports every
// change that the leases do not reflect.
func (l *leaderLoop) createLeases() {
	now := l.now()
	_, l.changed = l.fsm.events.current()
	var instances []*state.Instance
	l.fsm.read(func(s *state.State) { instances, l.revision = s.Instances(), s.Revision() })
	l.leases = newLeaseTable(l.cfg.Guard, instances, now)
}

// applyChanges brings the leases up to date with the state. If the history no longer has all changes, it creates a new lease
// table, in which every lease has its full duration.
func (l *leaderLoop) applyChanges() {
	now := l.now()
	revision, changed, instances, complete := l.fsm.events.instancesSince(l.revision)
	if complete {
		for _, e := range instances {
			l.leases.track(e, now)
		}
	} else {
		l.fsm.read(func(s *state.State) { instances, revision = s.Instances(), s.Revision() })
		*l.leases = *newLeaseTable(l.leases.guard, instances, now)
	}
	l.revision, l.changed = revision, changed
}

// checkDisk checks the sync in progress. It returns false if the sync hangs, which makes this replica fail.
func (l *leaderLoop) checkDisk() bool {
	if gap := time.Since(l.lastCheck); gap > suspendedAfter {
		l.logStore.syncs.discount(gap)
	}
	l.lastCheck = time.Now()
	if d := l.logStore.syncs.pending(); d > hungSyncTicks*l.cfg.Tick {
		l.fail(fmt.Errorf("%s: a sync has not ended for %v", l.cfg.DataDir, d.Round(time.Millisecond)))
		return false
	}
	return true
}

// runLeaderChecks transfers leadership if the disk of this replica is slow, and proposes the writes that leases, warm-ups and
// permits require.
func (l *leaderLoop) runLeaderChecks() {
	if l.logStore.syncs.consecutiveSlow() >= slowSyncsToTransfer && time.Since(l.lastTransfer) > transferCooldownTicks*l.cfg.Tick {
		l.lastTransfer = time.Now()
		l.cfg.Logger.Warn("this replica's disk is slow, transferring leadership")
		l.raft.LeadershipTransfer() // LeaderCh reports the change; if no replica can take over, this one keeps leading
	}
	now := l.now()
	waiting := l.loadLimitsAndPermits()
	if ops := append(l.leases.check(now), l.leases.expirePermits(waiting, now)...); len(ops) > 0 {
		l.propose(ops)
	}
}

// loadLimitsAndPermits copies the warm-up time and the permit timeout of the limits in force to l.leases. It returns copies of
// the permits that have not begun. There can be permits without limits, after the restore of a backup that has none.
func (l *leaderLoop) loadLimitsAndPermits() (waiting []*disruption.Permit) {
	l.leases.warmUpTime, l.leases.permitTimeout = 0, defaultPermitTimeout
	l.fsm.read(func(s *state.State) {
		if limits := s.Limits(); limits != nil {
			l.leases.warmUpTime = time.Duration(limits.WarmUpMS) * time.Millisecond
			if limits.PermitExpiryMS != 0 {
				l.leases.permitTimeout = time.Duration(limits.PermitExpiryMS) * time.Millisecond
			}
		}
		for _, p := range s.Budget().Permits() {
			if !p.Begun {
				c := *p
				waiting = append(waiting, &c)
			}
		}
	})
	return waiting
}

// propose proposes writes without waiting for the outcome, which the next check observes. Expiries of leases carry the wall
// clock time for display.
func (l *leaderLoop) propose(ops []state.Op) {
	for i := range ops {
		if k := ops[i].Kind; k == state.OpExpire || k == state.OpSuspect {
			ops[i].WallTimeMS = time.Now().UnixMilli()
		}
	}
	text, err := json.Marshal(command{Ops: ops})
	if err != nil {
		l.cfg.Logger.Error("cannot encode a write of the leader", "error", err)
		return
	}
	l.raft.Apply(text, requestTimeout)
}

// renewLeases renews leases as of the time of the last check. If this process was suspended since then, the next check extends
// all leases by that time, so renewing them as of now would count it twice.
func (l *leaderLoop) renewLeases(renewals []api.Lease) renewReply {
	if l.leases == nil {
		return renewReply{err: ErrNotLeader}
	}
	var unknown []string
	for _, renewal := range renewals {
		if !l.leases.renew(renewal.UID, renewal.Token, l.leases.lastCheck) {
			unknown = append(unknown, renewal.UID)
		}
	}
	return renewReply{unknown: unknown}
}
