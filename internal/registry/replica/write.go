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

// ErrNotLeader is returned when this replica does not lead, or cannot confirm that it leads.
var ErrNotLeader = errors.New("not the leader")

// renewRequest asks leaderLoop to renew leases. reply must be buffered.
type renewRequest struct {
	leases []api.Lease
	reply  chan<- renewReply
}

// renewReply has the UIDs for which the leader has no lease with the given token.
type renewReply struct {
	unknown []string
	err     error
}

// write commits a command and returns its results. It returns ErrNotLeader if this replica does not lead.
func (r *Replica) write(c command) ([]state.Result, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	future := r.raft.Apply(text, requestTimeout)
	if err := r.wait(future); err != nil {
		if isNotLeader(err) {
			return nil, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return nil, err
	}
	r.metrics.writeSeconds.Observe(time.Since(start).Seconds())
	result, ok := future.Response().(commandResult)
	if !ok {
		return nil, fmt.Errorf("raft returned %T for a write, want commandResult", future.Response())
	}
	return result.results, result.err
}

// isNotLeader reports whether a write failed because this replica does not lead, or no longer leads. After
// raft.ErrLeadershipLost the write may still be committed.
func isNotLeader(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) ||
		errors.Is(err, raft.ErrLeadershipLost) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// renew renews leases and returns the UIDs for which this replica has no lease with the given token.
func (r *Replica) renew(ctx context.Context, leases []api.Lease) ([]string, error) {
	reply := make(chan renewReply, 1)
	select {
	case r.renewals <- renewRequest{leases, reply}:
		result := <-reply // leaderLoop replies without waiting for anything
		return result.unknown, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.leaderDone:
		return nil, ErrNotLeader
	}
}

// catchUp waits until this replica has everything that was committed before the call. Only the leader can do this. Every error,
// including a timeout, wraps ErrNotLeader.
func (r *Replica) catchUp() error {
	if err := r.wait(r.raft.Barrier(requestTimeout)); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	return nil
}

// backup returns the state as a snapshot.
func (r *Replica) backup() (text []byte, err error) {
	r.fsm.read(func(s *state.State) { text, err = s.Snapshot() })
	return text, err
}
