package replica

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
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
