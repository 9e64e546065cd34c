package replica

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// A replica that still leads after its barrier has failed tries again. Without leases it would reject every renewal, and no lease
// would expire.
func TestLeaderRetriesFailedBarrier(t *testing.T) {
	l := &leaderLoop{Replica: startLeader(t, t.TempDir()), started: time.Now()}
	l.barrierDone(raft.ErrLeadershipTransferInProgress)
	if l.leases != nil {
		t.Fatal("the leader has leases although its barrier failed")
	}
	l.retryBarrier()
	select {
	case err := <-l.caughtUp:
		l.barrierDone(err)
	case <-time.After(testTimeout):
		t.Fatal("no second barrier")
	}
	if l.leases == nil || l.retry {
		t.Error("the leader has no leases after the second barrier")
	}
}

// A permit that has not begun expires also if the restore of a backup has left the registry without limits.
func TestPermitExpiresWithoutLimits(t *testing.T) {
	l := &leaderLoop{Replica: &Replica{fsm: newFSM()}, started: time.Now()}
	applyCommand := func(c command) {
		t.Helper()
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if result := l.fsm.Apply(&raft.Log{Type: raft.LogCommand, Data: text}).(commandResult); result.err != nil || len(result.results) > 0 && result.results[0].Code != "" {
			t.Fatalf("%+v", result)
		}
	}
	unit := &state.Instance{UID: "a", Endpoint: "x:1", State: state.Serving, Tier: "web", Capacity: 1}
	applyCommand(command{Ops: []state.Op{{Kind: state.OpRegister, Instance: unit}}})
	backup, err := l.fsm.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	all := 1.0
	applyCommand(command{Ops: []state.Op{{Kind: state.OpSetLimits, Limits: &disruption.Limits{Tiers: []disruption.Limit{{Tier: "web", Total: &all}}}}}})
	applyCommand(command{Ops: []state.Op{{Kind: state.OpGrantPermit, UID: "a", Incarnation: l.fsm.state.Get("a").Token, Holder: "staff"}}})
	applyCommand(command{Restore: backup})
	l.createLeases()
	l.leases.expirePermits(l.loadLimitsAndPermits(), 0)
	if ops := l.leases.expirePermits(l.loadLimitsAndPermits(), defaultPermitTimeout); len(ops) != 1 || ops[0].Kind != state.OpReturnPermit || ops[0].UID != "a" {
		t.Errorf("got %+v, want the return of the permit", ops)
	}
}
