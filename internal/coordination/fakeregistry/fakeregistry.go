// Package fakeregistry provides an in-memory registry with one replica, for tests of code that uses the registry's client.
// It applies writes to a real [state.State], but has no network and no Raft log, and leases do not expire on their own. It takes
// the time from package time, so that it can run in a testing/synctest bubble.
package fakeregistry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// ErrUnreachable is returned by calls of the client's methods while the registry is unreachable; see [Registry.SetUnreachable].
var ErrUnreachable = errors.New("registry is unreachable")

// Registry is an in-memory registry. It is safe for concurrent use.
type Registry struct {
	mu          sync.Mutex
	state       *state.State
	changed     chan struct{} // closed at the next write, or at the next call of SetUnreachable
	unreachable bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{state: state.New(), changed: make(chan struct{})}
}

// SetUnreachable sets whether calls fail with [ErrUnreachable].
func (r *Registry) SetUnreachable(unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = unreachable
	r.notify()
}

// Read calls f with the state. f must not modify the state or retain it after it returns.
func (r *Registry) Read(f func(*state.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

// notify wakes all goroutines that wait for a change. The caller must hold r.mu.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Write applies ops in order and returns one result for each, as client.Client does.
func (r *Registry) Write(_ context.Context, ops ...state.Op) ([]state.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return nil, ErrUnreachable
	}
	var results []state.Result
	for _, op := range ops {
		result, _ := r.state.Apply(op)
		results = append(results, result)
	}
	r.notify()
	return results, nil
}

// WriteOne applies one write, as client.Client does.
func (r *Registry) WriteOne(ctx context.Context, op state.Op) (state.Result, error) {
	results, err := r.Write(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	return results[0], nil
}

// PollCoordination returns the view as soon as its revision is greater than after, and otherwise the current view when wait has
// elapsed, as client.Client does. If the registry is unreachable when wait has elapsed, it returns [ErrUnreachable].
func (r *Registry) PollCoordination(ctx context.Context, query url.Values, after int64, wait time.Duration) (*state.CoordinationView, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		view, changed, err := r.view(query)
		if err == nil && view.Revision > after {
			return view, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return view, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// view returns a copy of the view that query selects, and a channel that is closed at the next change.
func (r *Registry) view(query url.Values) (*state.CoordinationView, chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return nil, r.changed, ErrUnreachable
	}
	view := r.state.CoordinationView(query.Has("units"), query.Get("lead"))
	if uid := query.Get("unit"); uid != "" {
		view = r.state.UnitView(uid)
	}
	text, err := json.Marshal(view)
	if err != nil {
		return nil, r.changed, err
	}
	var copied state.CoordinationView
	return &copied, r.changed, json.Unmarshal(text, &copied)
}

// NextStartTime returns clock in Unix milliseconds, or the unit's last start time plus 1 ms if that is later, as
// client.Client does.
func (r *Registry) NextStartTime(_ context.Context, uid string, clock time.Time) (float64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return 0, ErrUnreachable
	}
	startTime := float64(clock.UnixMilli())
	for _, instance := range r.state.UnitView(uid).Units {
		startTime = max(startTime, instance.StartTimeMS+1)
	}
	return startTime, nil
}

// Call implements the API request that renews leases. It returns an error for any other method or path.
func (r *Registry) Call(_ context.Context, method, path string, body, response any) error {
	if method != http.MethodPost || path != api.PathRenew {
		return errors.New("not supported: " + method + " " + path)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return ErrUnreachable
	}
	var request api.RenewRequest
	if err := convert(body, &request); err != nil {
		return err
	}
	unknown := []string{}
	for _, lease := range request.Leases {
		if instance := r.state.Get(lease.UID); instance == nil || instance.Token != lease.Token {
			unknown = append(unknown, lease.UID)
		}
	}
	return convert(api.RenewResponse{Unknown: unknown}, response)
}

// convert copies from into the value that to points to, through its JSON form.
func convert(from, to any) error {
	text, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}

// LeaseHolder holds the lease of one unit, as client.LeaseHolder does, but does not renew it.
type LeaseHolder struct {
	Registry *Registry

	mu    sync.Mutex
	token int64
}

// Register registers the first of instances and ignores the others. The error of a rejected write does not wrap client.ErrFenced.
func (h *LeaseHolder) Register(ctx context.Context, instances ...*state.Instance) error {
	result, err := h.Registry.WriteOne(ctx, state.Op{Kind: state.OpRegister, Instance: instances[0]})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.token = result.Token
	return result.Err()
}

// Token returns the token of the unit's registration, or 0 if the unit has been removed or registered by a later process since.
func (h *LeaseHolder) Token(uid string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := false
	h.Registry.Read(func(s *state.State) {
		instance := s.Get(uid)
		current = instance != nil && instance.Token == h.token
	})
	if !current {
		return 0
	}
	return h.token
}

// Run blocks until ctx ends. It renews nothing.
func (h *LeaseHolder) Run(ctx context.Context, _ time.Duration) { <-ctx.Done() }
