// Package fakeregistry is a registry of one replica in memory, for tests of what uses the registry's client: the same
// state, without a network, a log or leases that end by themselves. Time comes from package time, so that it can run in a
// bubble of testing/synctest.
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

// ErrUnreachable is the error of every call while the registry is unreachable.
var ErrUnreachable = errors.New("the registry is unreachable")

// Registry is a registry in memory. It may be used by several goroutines at once.
type Registry struct {
	mu          sync.Mutex
	state       *state.State
	changed     chan struct{} // closed at the next write
	unreachable bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{state: state.New(), changed: make(chan struct{})}
}

// SetUnreachable makes every call fail, or lets them succeed again.
func (r *Registry) SetUnreachable(unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = unreachable
	r.notify()
}

// Read calls f with the state, which f must neither change nor keep.
func (r *Registry) Read(f func(*state.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

// notify wakes everybody who waits for a change. r.mu is held.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Write applies writes, as client.Client does.
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

// PollCoordination returns a view later than the revision after, or the present one once wait is over, as client.Client does. While
// the registry is unreachable, it fails once wait is over.
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

// view returns a copy of the view that query asks for, and a channel that is closed at the next write.
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

// NextStartTime returns the clock's time in Unix milliseconds, or one more than the unit's last start time if that is later,
// as client.Client does.
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

// Call serves a call of the API that renews leases, and no other.
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

// convert puts the JSON of one value into another.
func convert(from, to any) error {
	text, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, to)
}

// LeaseHolder holds the lease of one unit, as client.LeaseHolder does, and never renews it.
type LeaseHolder struct {
	Registry *Registry

	mu    sync.Mutex
	token int64
}

// Register registers one instance.
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

// Token returns the token with which the unit is registered, 0 if another process has registered it since.
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

// Run waits until ctx ends.
func (h *LeaseHolder) Run(ctx context.Context, _ time.Duration) { <-ctx.Done() }
