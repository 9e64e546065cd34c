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

// Update is news from the registry: the whole list, or the entries that have changed, Deleted ones among them.
type Update = message

// message is a line of a watch, or a whole list.
type message struct {
	Rev     int64             `json:"rev"`
	All     bool              `json:"all"`
	Targets []*state.Instance `json:"targets"`
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Options say which registry, and how patient a client is.
type Options struct {
	Endpoints []string                         // host:port of the replicas
	Cache     string                           // a folder that keeps the last list over restarts, for this client alone; "": none
	Log       func(format string, args ...any) // what is wrong with the cache; nil: nobody hears
	Silence   time.Duration                    // a watch that says nothing for so long is given up; 0: 5 s, over two heartbeats
	RestFirst time.Duration                    // between tries, doubled up to RestMost, half of it by chance; 0: 50 ms
	RestMost  time.Duration                    // 0: 2 s
	Dial      Dial                             // with connections of its own then; nil: the system's
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
	}{{&o.Silence, 5 * time.Second}, {&o.RestFirst, 50 * time.Millisecond}, {&o.RestMost, 2 * time.Second}} {
		if *d.v == 0 {
			*d.v = d.to
		}
	}
	return nil
}

func (o *Options) rests() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = o.RestFirst, o.RestMost, 0.5
	b.Reset()
	return b
}

// Why a watch was left.
var (
	errSilent   = errors.New("the registry is silent")
	errWentBack = errors.New("the registry has gone back to an older revision")
)

// Reader follows the registry. Its methods may be called by any goroutine; Run by one.
type Reader struct {
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

// NewReader returns a Reader that holds what its cache has, if that is whole.
func NewReader(opt Options) (*Reader, error) {
	if err := opt.complete(); err != nil {
		return nil, err
	}
	r := &Reader{opt: opt, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: opt.Dial}}, entries: map[string]*state.Instance{}}
	if opt.Cache != "" {
		c := newCache(opt.Cache)
		c.load(r)
		r.cache, r.wholes, r.lines = c, 0, 0
	}
	return r, nil
}

// View is what a Reader holds.
type View struct {
	Rev     int64
	Entries []*state.Instance // in the order of their uids
	Heard   time.Time         // when the registry last said something; zero: not since the start
	Wholes  int               // whole lists taken since the start
	Lines   int               // and changes
}

// View is what the Reader holds now.
func (r *Reader) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := View{Rev: r.rev, Heard: r.heard, Wholes: r.wholes, Lines: r.lines}
	v.Entries = r.sorted()
	return v
}

// sorted is the list in the order of uids.
func (r *Reader) sorted() []*state.Instance {
	return slices.SortedFunc(maps.Values(r.entries), func(a, b *state.Instance) int { return strings.Compare(a.UID, b.UID) })
}

// Run follows the registry until ctx ends, and calls changed with each change, once it is applied. Whatever ends a watch, it goes on at
// another replica after a rest.
func (r *Reader) Run(ctx context.Context, changed func(Update)) error {
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
		if time.Since(began) > r.opt.RestMost {
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
func (r *Reader) watch(ctx context.Context, endpoint string, changed func(Update)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(r.opt.Silence, func() { cancel(errSilent) })
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
		quiet.Reset(r.opt.Silence)
		var m message
		news := len(bytes.TrimSpace(text)) > 0
		if news {
			if err := json.Unmarshal(text, &m); err != nil {
				return err
			}
			if m.Targets == nil {
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
func (r *Reader) take(m message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Rev < r.rev || m.Rev == r.rev && !m.All {
		return false
	}
	if m.All {
		r.entries = make(map[string]*state.Instance, len(m.Targets))
		r.wholes++
	} else {
		r.lines++
	}
	for _, e := range m.Targets {
		if e.State == state.Deleted {
			delete(r.entries, e.UID)
		} else {
			r.entries[e.UID] = e
		}
	}
	r.rev = m.Rev
	if r.cache != nil {
		r.cache.add(m)
	}
	return true
}

// ---- Writing ----

// Writer writes over several replicas.
type Writer struct {
	opt  Options
	http *http.Client
	mu   sync.Mutex
	at   int // the replica that answered last
}

// callWithin is how long one replica may take over a call.
const callWithin = 4 * time.Second

// NewWriter returns a Writer.
func NewWriter(opt Options) (*Writer, error) {
	if err := opt.complete(); err != nil {
		return nil, err
	}
	w := &Writer{opt: opt, http: &http.Client{Timeout: callWithin}, at: mrand.IntN(len(opt.Endpoints))}
	if opt.Dial != nil {
		own := http.DefaultTransport.(*http.Transport).Clone() // nobody puts another there
		own.DialContext = opt.Dial
		w.http.Transport = own
	}
	return w, nil
}

// Write has ops carried out, in their order and each once, and gives what became of each. It repeats them until a
// replica answers or ctx ends; in the latter case whether they were carried out is not known.
func (w *Writer) Write(ctx context.Context, ops ...state.Op) ([]state.Result, error) {
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
func (w *Writer) Call(ctx context.Context, method, path string, body, into any) error {
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

func (w *Writer) once(ctx context.Context, endpoint, method, path string, body []byte, into any) error {
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

// Holder keeps servers registered: it renews their leases together, and registers again what the registry does not
// know.
type Holder struct {
	w      *Writer
	mu     sync.Mutex
	held   map[string]*state.Instance
	tokens map[string]int64
	sent   time.Time     // when the last renewal was sent that was answered
	span   time.Duration // see Span
}

// NewHolder returns a Holder of nothing.
func NewHolder(w *Writer) *Holder {
	return &Holder{w: w, held: map[string]*state.Instance{}, tokens: map[string]int64{}}
}

// ErrFenced says that another process has taken an entry over.
var ErrFenced = errors.New("another process holds the entry")

// Hold registers entries and keeps them from then on.
func (h *Holder) Hold(ctx context.Context, entries ...*state.Instance) error {
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
func (h *Holder) Token(uid string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tokens[uid]
}

// Renew renews all leases once. What the registry does not know is registered again.
func (h *Holder) Renew(ctx context.Context) error {
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
	return h.Hold(ctx, again...)
}

// Span is the longest time, since it was last asked for, from sending one renewal to the answer to the next, or to now. A registry
// that ended a lease of a longer time than that, less the time between its looks, has erred.
func (h *Holder) Span() time.Duration {
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
func (h *Holder) Run(ctx context.Context, ttl time.Duration) {
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
