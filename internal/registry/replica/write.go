package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// ErrNotLeader says that another replica leads, or none.
var ErrNotLeader = errors.New("not the leader")

// renewRequest asks leaderLoop to renew leases. reply has room for the answer.
type renewRequest struct {
	leases []api.Lease
	reply  chan<- renewReply
}

// renewReply has the uids whose leases the leader does not know by their tokens.
type renewReply struct {
	unknown []string
	err     error
}

// write has a command committed and returns its answers. ErrNotLeader: this replica does not lead.
func (r *Replica) write(c command) ([]state.Result, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	future := r.raft.Apply(text, callTimeout)
	if err := future.Error(); err != nil {
		if isNotLeader(err) {
			return nil, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return nil, err
	}
	r.metrics.writeSeconds.Observe(time.Since(began).Seconds())
	result, ok := future.Response().(commandResult)
	if !ok {
		return nil, fmt.Errorf("the log gave %T for a write", future.Response())
	}
	return result.results, result.err
}

// isNotLeader says whether raft turned a write down because this replica does not lead, or no longer.
func isNotLeader(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) ||
		errors.Is(err, raft.ErrLeadershipLost) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// renew renews leases and returns the uids of those that this replica does not know by their tokens.
func (r *Replica) renew(ctx context.Context, leases []api.Lease) ([]string, error) {
	reply := make(chan renewReply, 1)
	select {
	case r.renewals <- renewRequest{leases, reply}:
		answer := <-reply
		return answer.unknown, answer.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.leaderDone:
		return nil, ErrNotLeader
	}
}

// catchUp waits until this replica has all that was committed when it was called, which only the leader can tell.
func (r *Replica) catchUp() error {
	if err := r.raft.Barrier(callTimeout).Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	return nil
}

// backup returns the state as a snapshot.
func (r *Replica) backup() (text []byte, err error) {
	r.fsm.read(func(s *state.State) { text, err = s.Snapshot() })
	return text, err
}
