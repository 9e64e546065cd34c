package replica

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/hashicorp/raft"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// maxOpsPerWrite is the maximum number of ops in one write request.
const maxOpsPerWrite = 10_000

var (
	errOpCount = errors.New("a write wants 1 to 10,000 ops")
	errNoPeer  = errors.New("want add (id, raft, address) or remove (id)")
)

// handleWrite applies the ops of a request in their order.
func (r *Replica) handleWrite(_ context.Context, body []byte) (any, error) {
	var c api.WriteRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalidRequestError{err}
	}
	if len(c.Ops) == 0 || len(c.Ops) > maxOpsPerWrite {
		return nil, invalidRequestError{errOpCount}
	}
	results, err := r.write(command{Ops: c.Ops})
	return api.WriteResponse{Results: results}, err
}

// handleRestore replaces the state by a backup.
func (r *Replica) handleRestore(_ context.Context, body []byte) (any, error) {
	if _, err := state.Load(body); err != nil {
		return nil, invalidRequestError{err}
	}
	_, err := r.write(command{Restore: body})
	return emptyResponse{}, err
}

func (r *Replica) handleRenew(ctx context.Context, body []byte) (any, error) {
	var c api.RenewRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalidRequestError{err}
	}
	unknown, err := r.renew(ctx, c.Leases)
	return api.RenewResponse{Unknown: unknown}, err
}

// membersRequest is the body of a request to add or remove a replica.
type membersRequest struct {
	Add    *Peer  `json:"add"`
	Remove string `json:"remove"`
}

// handleMembers adds or removes a replica.
func (r *Replica) handleMembers(_ context.Context, body []byte) (any, error) {
	var c membersRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalidRequestError{err}
	}
	switch p := c.Add; {
	case p != nil && p.ID != "" && p.RaftAddress != "" && p.ClientAddress != "":
		return emptyResponse{}, r.addMember(p)
	case c.Remove != "":
		return emptyResponse{}, r.removeMember(c.Remove)
	}
	return nil, invalidRequestError{errNoPeer}
}

func (r *Replica) addMember(p *Peer) error {
	if err := r.wait(r.raft.AddVoter(raft.ServerID(p.ID), raft.ServerAddress(p.RaftAddress), 0, requestTimeout)); err != nil {
		return err
	}
	_, err := r.write(command{Ops: []state.Op{{Kind: state.OpSetMember, UID: p.ID, Address: p.ClientAddress}}})
	return err
}

func (r *Replica) removeMember(id string) error {
	if _, err := r.write(command{Ops: []state.Op{{Kind: state.OpSetMember, UID: id}}}); err != nil {
		return err
	}
	return r.wait(r.raft.RemoveServer(raft.ServerID(id), 0, requestTimeout))
}

// onLeader returns a handler that calls do with the body of the request if this replica leads, and otherwise forwards the
// request to the leader.
func (r *Replica) onLeader(do func(ctx context.Context, body []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		body, err := readBody(req.Body)
		if err != nil {
			reply(w, nil, invalidRequestError{err})
			return
		}
		if r.raft.State() != raft.Leader {
			r.forwardToLeader(w, req, body)
			return
		}
		v, err := do(req.Context(), body)
		reply(w, v, err)
	}
}
