package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// history is what users saw. Any goroutine may add to it.
type history struct {
	began time.Time

	mu      sync.Mutex
	ops     []porcupine.Operation
	acks    []ack
	states  map[int64]string // what watchers held, by the revision that they said
	lastRev map[int]int64
	views   []client.View
	broken  []string
	next    float64
	result  Result
}

// ack is a write that was answered.
type ack struct {
	uid string
	mod int64
}

func newHistory() *history {
	return &history{began: time.Now(), states: map[int64]string{}, lastRev: map[int]int64{}}
}

// input and output of an operation on one entry, for porcupine.
type input struct {
	uid   string
	write bool
	value float64
	ifMod int64 // 0: whatever it is
}

type output struct {
	known bool // false: no answer came, it may have been carried out or not, and at any time from then on
	fault state.Code
	value float64
	mod   int64
}

// registered is an entry as porcupine follows it. mod is -1 after a write whose revision is not known.
type registered struct {
	value float64
	mod   int64
}

// model is what one entry may do.
var model = porcupine.Model{
	Partition: func(l []porcupine.Operation) [][]porcupine.Operation {
		byUID := map[string][]porcupine.Operation{}
		for _, op := range l {
			u := op.Input.(input).uid
			byUID[u] = append(byUID[u], op)
		}
		var parts [][]porcupine.Operation
		for k := range keys {
			parts = append(parts, byUID[uid(k)])
		}
		return parts
	},
	Init: func() any { return registered{0, -1} },
	Step: func(s, in, out any) (bool, any) {
		st, i, o := s.(registered), in.(input), out.(output)
		fits := i.ifMod == 0 || st.mod == i.ifMod || st.mod == -1
		switch {
		case !i.write:
			ok := st.value == o.value && (st.mod == o.mod || st.mod == -1)
			return ok, registered{o.value, o.mod}
		case !o.known:
			if fits {
				return true, registered{i.value, -1}
			}
			return true, st
		case o.fault == state.CodeConflict:
			return i.ifMod != 0 && (st.mod != i.ifMod || st.mod == -1), st
		}
		return fits, registered{i.value, o.mod}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// opWithin is how long a user waits for one operation.
const opWithin = 1500 * time.Millisecond

// use writes and reads until ctx ends. Each write has a value of its own.
func (h *history) use(ctx context.Context, user int, seed uint64, endpoints []string) {
	w, err := client.New(client.Options{Endpoints: endpoints, InitialBackoff: 10 * time.Millisecond, MaxBackoff: 200 * time.Millisecond})
	if err != nil {
		return // there are endpoints
	}
	r := rand.New(rand.NewPCG(seed, uint64(user)))
	seen := map[string]int64{}
	for ctx.Err() == nil {
		u := uid(r.IntN(keys))
		if r.IntN(2) == 0 {
			h.read(ctx, w, user, u, seen)
			continue
		}
		in := input{uid: u, write: true, value: h.value()}
		if r.IntN(2) == 0 {
			in.ifMod = seen[u]
		}
		call := time.Since(h.began)
		one, cancel := context.WithTimeout(ctx, opWithin)
		answers, err := w.Write(one, state.Op{Kind: state.OpUpdate, UID: u, Capacity: &in.value, IfModRevision: in.ifMod})
		cancel()
		out, back := output{}, time.Since(h.began)
		if err != nil {
			back = 1 << 60 // pending for good
		} else {
			out = output{known: true, fault: answers[0].Code, mod: answers[0].Revision}
		}
		h.add(user, in, out, call, back)
	}
}

func (h *history) value() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	return h.next
}

// read reads one entry consistently. A read without an answer says nothing.
func (h *history) read(ctx context.Context, w *client.Client, user int, u string, seen map[string]int64) {
	call := time.Since(h.began)
	one, cancel := context.WithTimeout(ctx, opWithin)
	defer cancel()
	var l list
	if w.Call(one, "GET", "/registry/instances?consistent=1", nil, &l) != nil {
		return
	}
	for _, e := range l.Targets {
		if e.UID == u {
			seen[u] = e.ModRevision
			h.add(user, input{uid: u}, output{known: true, value: e.Capacity, mod: e.ModRevision}, call, time.Since(h.began))
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broken = append(h.broken, fmt.Sprintf("%s is missing from the list at revision %d", u, l.Rev))
}

func (h *history) add(user int, in input, out output, call, back time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: user, Input: in, Output: out, Call: int64(call), Return: int64(back)})
	switch {
	case !in.write:
		h.result.Reads++
	case !out.known:
		h.result.Writes++
		h.result.UnknownWrites++
	default:
		h.result.Writes++
		if out.fault == "" {
			h.acks = append(h.acks, ack{in.uid, out.mod})
		}
	}
}

// watched notes what a watcher has come to.
func (h *history) watched(watcher int, v client.View) {
	text, err := json.Marshal(v.Instances)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.WatchEvents++
	if last := h.lastRev[watcher]; err != nil || v.Revision < last {
		h.broken = append(h.broken, fmt.Sprintf("watcher %d went from revision %d back to %d (%v)", watcher, last, v.Revision, err))
	}
	h.lastRev[watcher] = v.Revision
	if held, known := h.states[v.Revision]; known && held != string(text) {
		h.broken = append(h.broken, fmt.Sprintf("two watchers hold different lists at revision %d", v.Revision))
	}
	h.states[v.Revision] = string(text)
	h.views = append(h.views, v)
}

// maxJudging bounds porcupine's search.
const maxJudging = 20 * time.Second

// judge completes a result.
func (h *history) judge(res *Result, final *list) {
	h.mu.Lock()
	defer h.mu.Unlock()
	res.Writes, res.UnknownWrites, res.Reads, res.WatchEvents = h.result.Writes, h.result.UnknownWrites, h.result.Reads, h.result.WatchEvents
	switch porcupine.CheckOperationsTimeout(model, h.ops, maxJudging) {
	case porcupine.Illegal:
		res.Violations = append(res.Violations, "writes and consistent reads are not linearizable")
	case porcupine.Unknown:
		res.Violations = append(res.Violations, "whether they are linearizable could not be told in time")
	}
	res.Violations = append(res.Violations, h.gaps(final)...)
	res.Violations = append(res.Violations, h.broken...)
	if len(res.Violations) > 5 {
		res.Violations = append(res.Violations[:5], fmt.Sprintf("and %d more", len(res.Violations)-5))
	}
}

// gaps finds answered writes that a watcher passed without seeing, and lists that are not those of the registry.
func (h *history) gaps(final *list) (found []string) {
	for _, v := range h.views {
		mods := map[string]int64{}
		for _, e := range v.Instances {
			mods[e.UID] = e.ModRevision
			if e.ModRevision > v.Revision {
				found = append(found, fmt.Sprintf("a watcher at revision %d holds %s of %d", v.Revision, e.UID, e.ModRevision))
			}
		}
		for _, a := range h.acks {
			if a.mod <= v.Revision && mods[a.uid] < a.mod {
				found = append(found, fmt.Sprintf("a watcher at revision %d has missed the write of %s at %d", v.Revision, a.uid, a.mod))
			}
		}
	}
	if final == nil {
		return found
	}
	text, err := json.Marshal(final.Targets)
	if held, known := h.states[final.Rev]; err != nil || known && held != string(text) {
		found = append(found, fmt.Sprintf("at revision %d the registry and a watcher hold different lists", final.Rev))
	}
	return found
}
