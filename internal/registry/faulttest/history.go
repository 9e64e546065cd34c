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
	opTimeout          = 1500 * time.Millisecond // limit of one operation of a user
	userInitialBackoff = 10 * time.Millisecond
	userMaxBackoff     = 200 * time.Millisecond
	// neverReturned is the return time of a write without a response, which may be applied at any time after it was sent.
	neverReturned = 1 << 60
)

// history records what users and watchers observed. It is safe for concurrent use.
type history struct {
	start time.Time

	mu            sync.Mutex
	ops           []porcupine.Operation
	acknowledged  []acknowledgedWrite
	lists         map[int64]string // lists that watchers reached, as JSON, by revision
	lastRevision  map[int]int64    // last revision that each watcher reached
	views         []client.View
	violations    []string
	lastValue     float64
	writes        int
	unknownWrites int // number of writes without a response
	reads         int
}

// acknowledgedWrite is a write whose response says that it was applied.
type acknowledgedWrite struct {
	uid         string
	modRevision int64
}

func newHistory() *history {
	return &history{start: time.Now(), lists: map[int64]string{}, lastRevision: map[int]int64{}}
}

// runUser writes and reads until ctx is done. Each write has a unique value. Half of the writes are conditional on the
// modification revision at which the user last read the instance, if it has read the instance before.
func (h *history) runUser(ctx context.Context, user int, seed uint64, endpoints []string) {
	c, err := client.New(client.Options{Endpoints: endpoints, InitialBackoff: userInitialBackoff, MaxBackoff: userMaxBackoff})
	if err != nil {
		return // cannot happen, as there are endpoints
	}
	rng := rand.New(rand.NewPCG(seed, uint64(user)))
	lastRead := map[string]int64{}
	for ctx.Err() == nil {
		key := uid(rng.IntN(keyCount))
		if rng.IntN(2) == 0 {
			h.read(ctx, c, user, key, lastRead)
			continue
		}
		write := input{uid: key, write: true, value: h.nextValue()}
		if rng.IntN(2) == 0 {
			write.ifModRevision = lastRead[key]
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

// write sets the capacity of one instance to the value of in, and records the outcome.
func (h *history) write(ctx context.Context, c *client.Client, user int, in input) {
	called := time.Since(h.start)
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	results, err := c.Write(ctx, state.Op{Kind: state.OpUpdate, UID: in.uid, Capacity: &in.value, IfModRevision: in.ifModRevision})
	if err != nil {
		h.add(user, in, output{}, called, neverReturned)
		return
	}
	result := output{responded: true, code: results[0].Code, modRevision: results[0].Revision}
	h.add(user, in, result, called, time.Since(h.start))
}

// read reads one instance consistently and stores its modification revision in lastRead. A read without a response is not
// recorded, because it has no effect to check.
func (h *history) read(ctx context.Context, c *client.Client, user int, key string, lastRead map[string]int64) {
	called := time.Since(h.start)
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	var l api.WatchEvent
	if c.Call(ctx, http.MethodGet, api.PathInstances+"?consistent=1", nil, &l) != nil {
		return
	}
	for _, e := range l.Instances {
		if e.UID == key {
			lastRead[key] = e.ModRevision
			h.add(user, input{uid: key}, output{responded: true, value: e.Capacity, modRevision: e.ModRevision}, called, time.Since(h.start))
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf("%s is missing from the list at revision %d", key, l.Revision))
}

// add records an operation of a user.
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
	case !result.responded:
		h.unknownWrites++
	case result.code == "":
		h.acknowledged = append(h.acknowledged, acknowledgedWrite{in.uid, result.modRevision})
	}
}

// addView records a view that a watcher has reached. It records a violation if the revision is older than the watcher's last
// one, or if two lists differ at the same revision.
func (h *history) addView(watcher int, v client.View) {
	data, err := json.Marshal(v.Instances)
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := h.lastRevision[watcher]; err != nil || v.Revision < last {
		h.violations = append(h.violations, fmt.Sprintf("watcher %d went from revision %d back to %d (%v)", watcher, last, v.Revision, err))
	}
	h.lastRevision[watcher] = v.Revision
	if held, known := h.lists[v.Revision]; known && held != string(data) {
		h.violations = append(h.violations, fmt.Sprintf("two watchers have different lists at revision %d", v.Revision))
	}
	h.lists[v.Revision] = string(data)
	h.views = append(h.views, v)
}
