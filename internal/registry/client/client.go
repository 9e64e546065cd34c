// Package client reads and writes the registry over several replicas. A Reader goes on from the last list that it held
// for as long as the registry is away, never applies an older revision or half a list, and leaves a replica
// that is silent, behind or gone back. A Writer repeats a write until it is answered; repeats are harmless.
package client

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"umberbank/internal/registry/state"
)

// WatchEvent is news from the registry: the whole list, or the entries that have changed, Deleted ones among them.
type WatchEvent = message

// message is a line of a watch, or a whole list.
type message struct {
	Revision  int64             `json:"rev"`
	FullList  bool              `json:"all"`
	Instances []*state.Instance `json:"targets"`
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Options say which registry, and how patient a client is.
type Options struct {
	Endpoints      []string                         // host:port of the replicas
	CacheDir       string                           // a folder that keeps the last list over restarts, for this client alone; "": none
	Log            func(format string, args ...any) // what is wrong with the cache; nil: nobody hears
	IdleTimeout    time.Duration                    // a watch that says nothing for so long is given up; 0: 5 s, over two heartbeats
	InitialBackoff time.Duration                    // between tries, doubled up to MaxBackoff, half of it by chance; 0: 50 ms
	MaxBackoff     time.Duration                    // 0: 2 s
	Dial           DialFunc                         // with connections of its own then; nil: the system's
}

func (o *Options) complete() error {
	if len(o.Endpoints) == 0 {
		return errors.New("no endpoint of a registry")
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	for _, d := range []struct {
		v  *time.Duration
		to time.Duration
	}{{&o.IdleTimeout, 5 * time.Second}, {&o.InitialBackoff, 50 * time.Millisecond}, {&o.MaxBackoff, 2 * time.Second}} {
		if *d.v == 0 {
			*d.v = d.to
		}
	}
	return nil
}

func (o *Options) rests() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = o.InitialBackoff, o.MaxBackoff, 0.5
	b.Reset()
	return b
}

// Why a watch was left.
var (
	errSilent   = errors.New("the registry is silent")
	errWentBack = errors.New("the registry has gone back to an older revision")
)

// Watcher follows the registry. Its methods may be called by any goroutine; Run by one.
type Watcher struct {
	opt  Options
	http *http.Client

	mu      sync.Mutex
	rev     int64
	entries map[string]*state.Instance
	heard   time.Time // when a replica last said something; zero: never, the list is from the cache
	wholes  int       // whole lists taken
	lines   int       // and changes
	cache   *cache    // nil: none
}

// NewWatcher returns a Reader that holds what its cache has, if that is whole.
func NewWatcher(opt Options) (*Watcher, error) {
	if err := opt.complete(); err != nil {
		return nil, err
	}
	r := &Watcher{opt: opt, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: opt.Dial}}, entries: map[string]*state.Instance{}}
	if opt.CacheDir != "" {
		c := newCache(opt.CacheDir)
		c.load(r)
		r.cache, r.wholes, r.lines = c, 0, 0
	}
	return r, nil
}

// View is what a Reader holds.
type View struct {
	Revision    int64
	Instances   []*state.Instance // in the order of their uids
	LastContact time.Time         // when the registry last said something; zero: not since the start
	FullLists   int               // whole lists taken since the start
	Changes     int               // and changes
}

// View is what the Reader holds now.
func (r *Watcher) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{Revision: r.rev, LastContact: r.heard, FullLists: r.wholes, Changes: r.lines}
	v.Instances = r.sorted()
	return v
}

// sorted is the list in the order of uids.
func (r *Watcher) sorted() []*state.Instance {
	return slices.SortedFunc(maps.Values(r.entries), func(a, b *state.Instance) int { return strings.Compare(a.UID, b.UID) })
}

// Run follows the registry until ctx ends, and calls changed with each change, once it is applied. Whatever ends a watch, it goes on at
// another replica after a rest.
func (r *Watcher) Run(ctx context.Context, changed func(WatchEvent)) error {
	if r.cache != nil {
		var keeping sync.WaitGroup
		keeping.Go(func() { r.cache.run(ctx, r) })
		defer keeping.Wait()
	}
	at := mrand.IntN(len(r.opt.Endpoints))
	rests := r.opt.rests()
	for ctx.Err() == nil {
		began := time.Now()
		r.watch(ctx, r.opt.Endpoints[at%len(r.opt.Endpoints)], changed) // its end is what follows, whatever the cause
		at++
		if time.Since(began) > r.opt.MaxBackoff {
			rests.Reset()
		}
		select {
		case <-time.After(rests.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// watch follows one replica and returns why that ended.
func (r *Watcher) watch(ctx context.Context, endpoint string, changed func(WatchEvent)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(r.opt.IdleTimeout, func() { cancel(errSilent) })
	defer quiet.Stop()
	r.mu.Lock()
	since := r.rev
	r.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+"/registry/instances?follow=1&since="+strconv.FormatInt(since, 10), nil)
	if err != nil {
		return err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", endpoint, resp.Status)
	}
	for lines := bufio.NewReader(resp.Body); ; {
		text, err := lines.ReadBytes('\n')
		if err != nil {
			return err // and what came of a line without its end is dropped
		}
		quiet.Reset(r.opt.IdleTimeout)
		var m message
		news := len(bytes.TrimSpace(text)) > 0
		if news {
			if err := json.Unmarshal(text, &m); err != nil {
				return err
			}
			if m.Instances == nil {
				return errors.New("a list without targets")
			}
			if !r.take(m) {
				return errWentBack
			}
		}
		r.mu.Lock()
		r.heard = time.Now()
		r.mu.Unlock()
		if news {
			changed(m)
		}
	}
}

// take applies news; false: they are older than what is held.
func (r *Watcher) take(m message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Revision < r.rev || m.Revision == r.rev && !m.FullList {
		return false
	}
	if m.FullList {
		r.entries = make(map[string]*state.Instance, len(m.Instances))
		r.wholes++
	} else {
		r.lines++
	}
	for _, e := range m.Instances {
		if e.State == state.Deleted {
			delete(r.entries, e.UID)
		} else {
			r.entries[e.UID] = e
		}
	}
	r.rev = m.Revision
	if r.cache != nil {
		r.cache.add(m)
	}
	return true
}

// ---- Writing ----

// Client writes over several replicas.
type Client struct {
	opt  Options
	http *http.Client
	mu   sync.Mutex
	at   int // the replica that answered last
}

// callWithin is how long one replica may take over a call.
const callWithin = 4 * time.Second

// New returns a Writer.
func New(opt Options) (*Client, error) {
	if err := opt.complete(); err != nil {
		return nil, err
	}
	w := &Client{opt: opt, http: &http.Client{Timeout: callWithin}, at: mrand.IntN(len(opt.Endpoints))}
	if opt.Dial != nil {
		own := http.DefaultTransport.(*http.Transport).Clone() // nobody puts another there
		own.DialContext = opt.Dial
		w.http.Transport = own
	}
	return w, nil
}

// Write has ops carried out, in their order and each once, and gives what became of each. It repeats them until a
// replica answers or ctx ends; in the latter case whether they were carried out is not known.
func (w *Client) Write(ctx context.Context, ops ...state.Op) ([]state.Result, error) {
	for i := range ops {
		if ops[i].ID == "" {
			ops[i].ID = newID()
		}
	}
	var got struct {
		Answers []state.Result `json:"answers"`
	}
	if err := w.Call(ctx, http.MethodPost, "/registry/write", map[string]any{"ops": ops}, &got); err != nil {
		return nil, err
	}
	if len(got.Answers) != len(ops) {
		return nil, fmt.Errorf("%d answers to %d writes", len(got.Answers), len(ops))
	}
	return got.Answers, nil
}

func newID() string {
	var b [12]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// refused is an answer that another try does not change.
type refused struct{ error }

// Call calls replicas in turn until one answers other than that it cannot now, or ctx ends.
func (w *Client) Call(ctx context.Context, method, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	rests := w.opt.rests()
	for {
		w.mu.Lock()
		at := w.at
		w.mu.Unlock()
		err := w.once(ctx, w.opt.Endpoints[at%len(w.opt.Endpoints)], method, path, text, into)
		var no refused
		if err == nil || errors.As(err, &no) {
			return err
		}
		w.mu.Lock()
		if w.at == at {
			w.at++
		}
		w.mu.Unlock()
		select {
		case <-time.After(rests.NextBackOff()):
		case <-ctx.Done():
			return fmt.Errorf("%w; the last answer: %w", ctx.Err(), err)
		}
	}
}

func (w *Client) once(ctx context.Context, endpoint, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+endpoint+path, bytes.NewReader(body))
	if err != nil {
		return refused{err}
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var said struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(text, &said) != nil || said.Error == "" {
			said.Error = resp.Status
		}
		err := fmt.Errorf("%s: %s", endpoint, said.Error)
		if resp.StatusCode >= 400 && resp.StatusCode < 500 {
			return refused{err}
		}
		return err
	}
	return json.Unmarshal(text, into)
}

// ---- Holding ----

// LeaseHolder keeps servers registered: it renews their leases together, and registers again what the registry does not
// know.
type LeaseHolder struct {
	w      *Client
	mu     sync.Mutex
	held   map[string]*state.Instance
	tokens map[string]int64
	sent   time.Time     // when the last renewal was sent that was answered
	span   time.Duration // see Span
}

// NewLeaseHolder returns a Holder of nothing.
func NewLeaseHolder(w *Client) *LeaseHolder {
	return &LeaseHolder{w: w, held: map[string]*state.Instance{}, tokens: map[string]int64{}}
}

// ErrFenced says that another process has taken an entry over.
var ErrFenced = errors.New("another process holds the entry")

// Register registers entries and keeps them from then on.
func (h *LeaseHolder) Register(ctx context.Context, entries ...*state.Instance) error {
	var ops []state.Op
	for _, e := range entries {
		ops = append(ops, state.Op{Kind: state.OpRegister, Instance: e})
	}
	answers, err := h.w.Write(ctx, ops...)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, a := range answers {
		uid := entries[i].UID
		switch a.Code {
		case "":
			h.held[uid], h.tokens[uid] = entries[i], a.Token
		case state.CodeFenced:
			delete(h.held, uid)
			delete(h.tokens, uid)
			err = errors.Join(err, fmt.Errorf("%s: %w", uid, ErrFenced))
		default:
			err = errors.Join(err, fmt.Errorf("%s: %s", uid, a.Code))
		}
	}
	return err
}

// Token is what an entry is held by; 0: it is not held.
func (h *LeaseHolder) Token(uid string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tokens[uid]
}

// Renew renews all leases once. What the registry does not know is registered again.
func (h *LeaseHolder) Renew(ctx context.Context) error {
	type lease struct {
		UID   string `json:"uid"`
		Token int64  `json:"token"`
	}
	var all []lease
	h.mu.Lock()
	for uid, token := range h.tokens {
		all = append(all, lease{uid, token})
	}
	h.mu.Unlock()
	if len(all) == 0 {
		return nil
	}
	var got struct {
		Unknown []string `json:"unknown"`
	}
	sent := time.Now()
	if err := h.w.Call(ctx, http.MethodPost, "/registry/renew", map[string]any{"leases": all}, &got); err != nil {
		return err
	}
	var again []*state.Instance
	h.mu.Lock()
	if !h.sent.IsZero() {
		h.span = max(h.span, time.Since(h.sent))
	}
	h.sent = sent
	for _, uid := range got.Unknown {
		if e := h.held[uid]; e != nil {
			again = append(again, e)
		}
	}
	h.mu.Unlock()
	if len(again) == 0 {
		return nil
	}
	return h.Register(ctx, again...)
}

// MaxRenewalGap is the longest time, since it was last asked for, from sending one renewal to the answer to the next, or to now. A registry
// that ended a lease of a longer time than that, less the time between its looks, has erred.
func (h *LeaseHolder) MaxRenewalGap() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	span := h.span
	if !h.sent.IsZero() {
		span = max(span, time.Since(h.sent))
	}
	h.span = 0
	return span
}

// Run renews every now and then until ctx ends: about each third of ttl, by chance sooner or later so that many holders
// do not call together.
func (h *LeaseHolder) Run(ctx context.Context, ttl time.Duration) {
	for {
		wait := time.Duration((0.8 + 0.4*mrand.Float64()) * float64(ttl) / 3)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		renewing, cancel := context.WithTimeout(ctx, ttl)
		h.Renew(renewing) // what failed is tried again with the next
		cancel()
	}
}
