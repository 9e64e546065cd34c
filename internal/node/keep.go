package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math"
	"time"

	"umberbank/balancer"
	"umberbank/internal/durable"
)

// State says where a node keeps what it has learned, for the process after it. It is read at the start alone.
type State struct {
	Dir   string        // of this node alone, on a disk that survives; "": it keeps nothing
	Every time.Duration // between snapshots
	Age   time.Duration // what is older counts for nothing; see balancer.Settings
}

// What stands where the configuration says nothing of the times.
const (
	defaultEvery = time.Second
	defaultAge   = time.Minute
)

// parseState reads the configuration's state; keys are dir, every_ms and max_age_ms.
func parseState(text json.RawMessage) (State, error) {
	raw := struct {
		Dir   string  `json:"dir"`
		Every float64 `json:"every_ms"`
		Age   float64 `json:"max_age_ms"`
	}{Every: defaultEvery.Seconds() * 1000, Age: defaultAge.Seconds() * 1000}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &raw); err != nil {
			return State{}, fmt.Errorf("state: %w", err)
		}
	}
	for key, v := range map[string]float64{"every_ms": raw.Every, "max_age_ms": raw.Age} {
		if !(v >= 1 && v < math.MaxInt64/1e6) {
			return State{}, fmt.Errorf("state.%s: %v is no time of a millisecond or more", key, v)
		}
	}
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	s := State{Dir: raw.Dir}
	if s.Dir != "" {
		s.Every, s.Age = ms(raw.Every), ms(raw.Age)
	}
	return s, nil
}

// Kind and schema of the snapshots; another form of balancer.Memory needs another schema.
const (
	StateKind   = "node"
	stateSchema = 1
)

// maxState bounds a snapshot, in bytes: some 100 a server.
const maxState = 8 << 20

// keepShare is the most of a core's time that snapshots may take: after each the node rests for so many times as
// long as it took.
const keepShare = 200

// keeper saves what the module has learned, beside the loop.
type keeper struct {
	opt   durable.Options
	every time.Duration
	store *durable.Store // nil: the folder could not be had so far
	said  string         // the last complaint, which is not repeated
}

// newKeeper returns the node's keeper; nil: it keeps nothing.
func newKeeper(cfg Config) *keeper {
	s := cfg.State
	if s.Dir == "" {
		return nil
	}
	return &keeper{opt: durable.Options{Dir: s.Dir, Kind: StateKind, Schema: stateSchema, MaxPayload: maxState}, every: s.Every}
}

// recall is what an earlier process had learned; false: nothing that can be used. A bad file is said, and no more.
func (k *keeper) recall(now time.Time) (e balancer.Restore, ok bool) {
	found, thrown := durable.Load(k.opt, func(s durable.Snapshot) error {
		e = balancer.Restore{Age: now.Sub(s.Taken)}
		if err := json.Unmarshal(s.Payload, &e.Snapshot); err != nil {
			return err
		}
		if e.Age < 0 {
			return fmt.Errorf("taken %v from now: the clock has gone back", -e.Age)
		}
		return e.Snapshot.Validate()
	})
	for _, t := range thrown {
		log.Printf("state: passed over: %v", t)
	}
	if found != nil {
		log.Printf("state: snapshot %d, %v old, knows %d servers", found.Seq, e.Age.Round(time.Millisecond), len(e.Snapshot.Endpoints))
	}
	return e, found != nil
}

// run saves what learned gives until ctx ends.
func (k *keeper) run(ctx context.Context, learned func() (balancer.Snapshot, bool)) {
	defer func() {
		if k.store != nil {
			k.store.Close()
		}
	}()
	for rest := k.every; ; {
		select {
		case <-time.After(rest):
		case <-ctx.Done():
			return
		}
		took, err := k.save(learned)
		rest = max(k.every, keepShare*took)
		if err != nil && err.Error() != k.said {
			log.Printf("state: %v", err)
			k.said = err.Error()
		} else if err == nil {
			k.said = ""
		}
	}
}

// save saves once, and returns how long the work took that is no waiting for the disk.
func (k *keeper) save(learned func() (balancer.Snapshot, bool)) (took time.Duration, err error) {
	if k.store == nil {
		if k.store, err = durable.Open(k.opt); err != nil {
			k.store = nil // a predecessor that still ends, or the disk: it is tried again
			return 0, err
		}
	}
	m, ok := learned()
	if !ok {
		return 0, nil
	}
	began := time.Now()
	text, err := json.Marshal(m)
	took = time.Since(began)
	if err != nil {
		return took, err
	}
	return took, k.store.Save(text, began)
}

// learned asks the loop for what the module has learned; false: the loop has ended.
func (l *loop) learned() (m balancer.Snapshot, ok bool) {
	got := make(chan balancer.Snapshot, 1)
	l.post(func() { got <- l.module.Snapshot(l.clock.now()) })
	select {
	case m = <-got:
		return m, true
	case <-l.done:
		return m, false
	}
}

// ReadState words what a node's snapshot holds, for a person; the error says what is wrong with it.
func ReadState(s durable.Snapshot) ([]byte, error) {
	if s.Kind != StateKind || s.Schema > stateSchema {
		return nil, errors.New("no state of a node that this version knows")
	}
	var m balancer.Snapshot
	if err := json.Unmarshal(s.Payload, &m); err != nil {
		return nil, err
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return json.MarshalIndent(m, "", "  ")
}
