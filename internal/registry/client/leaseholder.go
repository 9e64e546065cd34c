package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// The wait before each renewal is a third of the lease's time to live, times a random factor from 0.8 to 1.2.
const (
	renewalsPerTTL     = 3
	minRenewalFactor   = 0.8
	renewalFactorRange = 0.4
)

// ErrFenced is returned by Register and Renew when a later process has registered the same instance.
var ErrFenced = errors.New("another process has registered the instance")

// LeaseHolder keeps instances registered. It renews all their leases in one request, and registers an instance again when
// the registry reports its lease as unknown.
type LeaseHolder struct {
	client *Client

	mu         sync.Mutex
	instances  map[string]*state.Instance
	tokens     map[string]int64
	lastSent   time.Time     // when the last successful renewal was sent; zero before the first
	longestGap time.Duration // see MaxRenewalGap
}

// NewLeaseHolder returns a LeaseHolder that holds no leases until Register is called.
func NewLeaseHolder(c *Client) *LeaseHolder {
	return &LeaseHolder{client: c, instances: map[string]*state.Instance{}, tokens: map[string]int64{}}
}

// Register registers instances, and renews their leases from then on. The error wraps ErrFenced if a later process has
// registered one of them; that instance is no longer renewed. Instances that are registered successfully are kept even if
// others fail.
func (h *LeaseHolder) Register(ctx context.Context, instances ...*state.Instance) error {
	var ops []state.Op
	for _, e := range instances {
		ops = append(ops, state.Op{Kind: state.OpRegister, Instance: e})
	}
	results, err := h.client.Write(ctx, ops...)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, result := range results {
		uid := instances[i].UID
		switch result.Code {
		case "":
			h.instances[uid], h.tokens[uid] = instances[i], result.Token
		case state.CodeFenced:
			delete(h.instances, uid)
			delete(h.tokens, uid)
			err = errors.Join(err, fmt.Errorf("%s: %w", uid, ErrFenced))
		default:
			err = errors.Join(err, fmt.Errorf("%s: %s", uid, result.Code))
		}
	}
	return err
}

// Token returns the token of the lease of an instance, or 0 if the LeaseHolder has none.
func (h *LeaseHolder) Token(uid string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tokens[uid]
}

// Renew renews all leases once, and registers again the instances whose leases are unknown to the registry. It sends nothing
// if there are no leases.
func (h *LeaseHolder) Renew(ctx context.Context) error {
	leases := h.leases()
	if len(leases) == 0 {
		return nil
	}
	var response api.RenewResponse
	sent := time.Now()
	if err := h.client.Call(ctx, http.MethodPost, api.PathRenew, api.RenewRequest{Leases: leases}, &response); err != nil {
		return err
	}
	unknown := h.recordRenewal(sent, response.Unknown)
	if len(unknown) == 0 {
		return nil
	}
	return h.Register(ctx, unknown...)
}

// leases returns all current leases.
func (h *LeaseHolder) leases() (l []api.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for uid, token := range h.tokens {
		l = append(l, api.Lease{UID: uid, Token: token})
	}
	return l
}

// recordRenewal records a successful renewal that was sent at the given time. It returns those instances of this LeaseHolder
// whose leases the registry has reported as unknown.
func (h *LeaseHolder) recordRenewal(sent time.Time, unknown []string) (instances []*state.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastSent.IsZero() {
		h.longestGap = max(h.longestGap, time.Since(h.lastSent))
	}
	h.lastSent = sent
	for _, uid := range unknown {
		if e := h.instances[uid]; e != nil {
			instances = append(instances, e)
		}
	}
	return instances
}

// MaxRenewalGap returns the longest time from sending one successful renewal to the response to the next, or to now, since
// the previous call of MaxRenewalGap. The registry must not have let a lease expire whose time to live is longer than this
// gap plus the interval of the leader's checks.
func (h *LeaseHolder) MaxRenewalGap() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	gap := h.longestGap
	if !h.lastSent.IsZero() {
		gap = max(gap, time.Since(h.lastSent))
	}
	h.longestGap = 0
	return gap
}

// Run renews all leases until ctx is done. The wait before each renewal is about a third of ttl, with a jitter so that many
// holders do not send their renewals at the same time.
func (h *LeaseHolder) Run(ctx context.Context, ttl time.Duration) {
	for {
		wait := time.Duration((minRenewalFactor + renewalFactorRange*rand.Float64()) * float64(ttl) / renewalsPerTTL)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		renewCtx, cancel := context.WithTimeout(ctx, ttl)
		h.Renew(renewCtx) //nolint:errcheck // a failed renewal is retried by the next one
		cancel()
	}
}
