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

// Renewals are sent every third of a lease's time to live, times a random factor from 0.8 to 1.2.
const (
	renewalsPerTTL     = 3
	minRenewalFraction = 0.8
	renewalSpread      = 0.4
)

// ErrFenced says that another process has taken an instance over.
var ErrFenced = errors.New("another process holds the entry")

// LeaseHolder keeps instances registered: it renews their leases together, and registers again what the registry does not
// know.
type LeaseHolder struct {
	client *Client

	mu         sync.Mutex
	instances  map[string]*state.Instance
	tokens     map[string]int64
	lastSent   time.Time     // when the last renewal that was answered was sent
	longestGap time.Duration // see MaxRenewalGap
}

// NewLeaseHolder returns a LeaseHolder without instances.
func NewLeaseHolder(c *Client) *LeaseHolder {
	return &LeaseHolder{client: c, instances: map[string]*state.Instance{}, tokens: map[string]int64{}}
}

// Register registers instances and keeps them from then on. ErrFenced: a later process has registered one of them.
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
	for i, a := range results {
		uid := instances[i].UID
		switch a.Code {
		case "":
			h.instances[uid], h.tokens[uid] = instances[i], a.Token
		case state.CodeFenced:
			delete(h.instances, uid)
			delete(h.tokens, uid)
			err = errors.Join(err, fmt.Errorf("%s: %w", uid, ErrFenced))
		default:
			err = errors.Join(err, fmt.Errorf("%s: %s", uid, a.Code))
		}
	}
	return err
}

// Token returns the token that an instance is held by; 0: it is not held.
func (h *LeaseHolder) Token(uid string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tokens[uid]
}

// Renew renews all leases once, and registers again what the registry does not know.
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
	unknown := h.noteRenewal(sent, response.Unknown)
	if len(unknown) == 0 {
		return nil
	}
	return h.Register(ctx, unknown...)
}

// leases are those that are held.
func (h *LeaseHolder) leases() (l []api.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for uid, token := range h.tokens {
		l = append(l, api.Lease{UID: uid, Token: token})
	}
	return l
}

// noteRenewal notes a renewal that was answered, and returns the held instances among those that the registry does not know.
func (h *LeaseHolder) noteRenewal(sent time.Time, unknown []string) (instances []*state.Instance) {
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

// MaxRenewalGap returns the longest time, since it was last called, from sending one renewal to the answer to the next, or to
// now. A lease whose time to live is longer than this plus the interval of the leader's checks must not have
// expired.
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

// Run renews until ctx ends: about each third of ttl, with a jitter so that many holders do not call together.
func (h *LeaseHolder) Run(ctx context.Context, ttl time.Duration) {
	for {
		wait := time.Duration((minRenewalFraction + renewalSpread*rand.Float64()) * float64(ttl) / renewalsPerTTL)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		renewing, cancel := context.WithTimeout(ctx, ttl)
		h.Renew(renewing) //nolint:errcheck // what failed is retried with the next renewal
		cancel()
	}
}
