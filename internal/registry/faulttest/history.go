package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

const (
	opTimeout          = 1500 * time.Millisecond // of a user's operation
	userInitialBackoff = 10 * time.Millisecond
	userMaxBackoff     = 200 * time.Millisecond
	// neverReturned is the return time of a write without an answer: it may be carried out at any time after its call.
	neverReturned = 1 << 60
)

// history is what users and watchers saw. Any goroutine may add to it.
type history struct {
	began time.Time

	mu           sync.Mutex
	ops          []porcupine.Operation
	acknowledged []acknowledgedWrite
	lists        map[int64]string // what watchers held, by revision
	lastRevision map[int]int64    // by watcher
	views        []client.View
	violations   []string
	lastValue    float64
	writes       int
	unanswered   int // of writes
	reads        int
}

// acknowledgedWrite is a write that was carried out.
type acknowledgedWrite struct {
	uid         string
	modRevision int64
}

func newHistory() *history {
	return &history{began: time.Now(), lists: map[int64]string{}, lastRevision: map[int]int64{}}
}

// runUser writes and reads until ctx ends. Each write has a value of its own, and half of them compare the revision that the
// user has read last.
func (h *history) runUser(ctx context.Context, user int, seed uint64, endpoints []string) {
	c, err := client.New(client.Options{Endpoints: endpoints, InitialBackoff: userInitialBackoff, MaxBackoff: userMaxBackoff})
	if err != nil {
		return // there are endpoints
	}
	draw := rand.New(rand.NewPCG(seed, uint64(user)))
	seen := map[string]int64{}
	for ctx.Err() == nil {
		key := uid(draw.IntN(keyCount))
		if draw.IntN(2) == 0 {
			h.read(ctx, c, user, key, seen)
			continue
		}
		write := input{uid: key, write: true, value: h.nextValue()}
		if draw.IntN(2) == 0 {
			write.ifModRevision = seen[key]
		}
		h.write(ctx, c, user, write)
	}
}

func (h *history) nextValue() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastValue++
	return h.lastValue
}

// write writes one instance's value.
func (h *history) write(ctx context.Context, c *client.Client, user int, in input) {
	called := time.Since(h.began)
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	results, err := c.Write(ctx, state.Op{Kind: state.OpUpdate, UID: in.uid, Capacity: &in.value, IfModRevision: in.ifModRevision})
	if err != nil {
		h.add(user, in, output{}, called, neverReturned)
		return
	}
	result := output{known: true, code: results[0].Code, modRevision: results[0].Revision}
	h.add(user, in, result, called, time.Since(h.began))
}

// read reads one instance consistently, and notes its revision in seen. A read without an answer says nothing.
func (h *history) read(ctx context.Context, c *client.Client, user int, key string, seen map[string]int64) {
	called := time.Since(h.began)
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	var l api.WatchEvent
	if c.Call(ctx, http.MethodGet, api.PathInstances+"?consistent=1", nil, &l) != nil {
		return
	}
	for _, e := range l.Instances {
		if e.UID == key {
			seen[key] = e.ModRevision
			h.add(user, input{uid: key}, output{known: true, value: e.Capacity, modRevision: e.ModRevision}, called, time.Since(h.began))
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf("%s is missing from the list at revision %d", key, l.Revision))
}

// add notes a user's operation.
func (h *history) add(user int, in input, result output, called, returned time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: user, Input: in, Output: result, Call: int64(called), Return: int64(returned)})
	if !in.write {
		h.reads++
		return
	}
	h.writes++
	switch {
	case !result.known:
		h.unanswered++
	case result.code == "":
		h.acknowledged = append(h.acknowledged, acknowledgedWrite{in.uid, result.modRevision})
	}
}

// addView records a view that a watcher has reached.
func (h *history) addView(watcher int, v client.View) {
	text, err := json.Marshal(v.Instances)
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := h.lastRevision[watcher]; err != nil || v.Revision < last {
		h.violations = append(h.violations, fmt.Sprintf("watcher %d went from revision %d back to %d (%v)", watcher, last, v.Revision, err))
	}
	h.lastRevision[watcher] = v.Revision
	if held, known := h.lists[v.Revision]; known && held != string(text) {
		h.violations = append(h.violations, fmt.Sprintf("two watchers hold different lists at revision %d", v.Revision))
	}
	h.lists[v.Revision] = string(text)
	h.views = append(h.views, v)
}
