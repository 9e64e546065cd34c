// Package faulttest plays faults on a registry of real processes while writers and readers use it, and judges what they
// saw: writes and consistent reads by porcupine, for linearizability; watches by a check of its own.
package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/process/relay"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// Options say what is played.
type Options struct {
	Seed           uint64
	Replicas       int           // 1, 3 or 5
	Duration       time.Duration // of faults; 0: 3 s
	ReplicaCommand []string      // command of a replica, which takes --config FILE; none: this program's own
	// Proxy stands in for a replica's address towards clients; nil: none does. Tests let it lie.
	Proxy func(address string) string
	Logf  func(format string, args ...any) // may be nil
}

// Result is what came of a run.
type Result struct {
	Seed            uint64   `json:"seed"`
	Writes          int      `json:"writes"`
	UnknownWrites   int      `json:"unknown"` // whose answer never came
	Reads           int      `json:"reads"`
	WatchEvents     int      `json:"watched"` // states that watchers came to
	Faults          []string `json:"faults"`
	Violations      []string `json:"broken"`    // what did not hold
	RecoverySeconds float64  `json:"recover_s"` // from the end of the faults to the first write that was answered
}

// keys is how many entries are written and read.
const keys = 3

func uid(k int) string { return fmt.Sprintf("s%d", k) }

func entry(k int) *state.Instance {
	return &state.Instance{UID: uid(k), Endpoint: "10.0.0.1:3000", State: state.Serving}
}

// Bounds of the waits.
const (
	defaultFor  = 3 * time.Second
	startWithin = 20 * time.Second
	healWithin  = 30 * time.Second
)

// addresses are where clients call: replicas, or what stands in for them.
func (o *Options) addresses(c *cluster.Cluster) []string {
	l := c.Addresses()
	for i := range l {
		if o.Proxy != nil {
			l[i] = o.Proxy(l[i])
		}
	}
	return l
}

// Run plays one run.
func Run(ctx context.Context, opt Options) (*Result, error) {
	if opt.Duration == 0 {
		opt.Duration = defaultFor
	}
	if opt.Logf == nil {
		opt.Logf = func(string, ...any) {}
	}
	if len(opt.ReplicaCommand) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		opt.ReplicaCommand = []string{self, "registry", "serve"}
	}
	c, err := cluster.New(opt.ReplicaCommand, opt.Replicas, "")
	if err != nil {
		return nil, err
	}
	defer c.Close()
	for i := range c.Len() {
		if err := c.Start(i); err != nil {
			return nil, err
		}
	}
	addresses := opt.addresses(c)
	w, err := client.New(client.Options{Endpoints: addresses})
	if err != nil {
		return nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	var ops []state.Op
	for k := range keys {
		ops = append(ops, state.Op{Kind: state.OpRegister, Instance: entry(k)})
	}
	if _, err := w.Write(starting, ops...); err != nil {
		return nil, fmt.Errorf("the registry did not start: %w: %s", err, c.Logs(0))
	}

	h := newHistory()
	res := &Result{Seed: opt.Seed}
	var users sync.WaitGroup
	busy, stop := context.WithCancel(ctx)
	defer stop()
	r := rand.New(rand.NewPCG(opt.Seed, 1))
	for i := range 4 {
		seed := r.Uint64()
		users.Go(func() { h.use(busy, i, seed, addresses) })
	}
	var watching sync.WaitGroup
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	readers := make([]*client.Watcher, 3)
	for i := range readers {
		if readers[i], err = client.NewWatcher(client.Options{Endpoints: addresses, IdleTimeout: 3 * time.Second, MaxBackoff: 300 * time.Millisecond}); err != nil {
			return nil, err
		}
		watching.Go(func() { readers[i].Run(watchCtx, func(client.WatchEvent) { h.watched(i, readers[i].View()) }) })
	}
	if err := play(ctx, c, opt, res); err != nil {
		return nil, err
	}
	healed := time.Now()
	c.ResumeAll()
	final, err := settle(ctx, w, readers)
	if err == nil {
		res.RecoverySeconds = time.Since(healed).Seconds()
	}
	stop()
	users.Wait()
	stopWatching()
	watching.Wait()
	if err != nil {
		res.Violations = append(res.Violations, "after the faults: "+err.Error())
	}
	h.judge(res, final)
	return res, ctx.Err()
}

// settle waits until the registry is written to again and all watchers hold what it holds, which it gives.
func settle(ctx context.Context, w *client.Client, readers []*client.Watcher) (*list, error) {
	ctx, cancel := context.WithTimeout(ctx, healWithin)
	defer cancel()
	a, err := w.Write(ctx, state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: "last", Endpoint: "10.0.0.9:3000", State: state.Serving}})
	if err != nil {
		return nil, err
	}
	for {
		behind := false
		for _, r := range readers {
			behind = behind || r.View().Revision < a[0].Revision
		}
		if !behind {
			break
		}
		select {
		case <-ctx.Done():
			return nil, errors.New("a watcher never came to the last revision")
		case <-time.After(20 * time.Millisecond):
		}
	}
	var l list
	return &l, w.Call(ctx, "GET", "/registry/instances?consistent=1", nil, &l)
}

// list is a list as the registry gives it.
type list struct {
	Rev     int64             `json:"rev"`
	Targets []*state.Instance `json:"targets"`
}

// play plays faults drawn by the seed, one after another and over each other.
func play(ctx context.Context, c *cluster.Cluster, opt Options, res *Result) error {
	r := rand.New(rand.NewPCG(opt.Seed, 2))
	end := time.Now().Add(opt.Duration)
	var undo sync.WaitGroup
	defer undo.Wait()
	for time.Now().Before(end) {
		i := r.IntN(c.Len())
		if r.IntN(2) == 0 {
			i = c.Leader(i) // the one whose loss hurts
		}
		lasts := time.Duration(200+r.IntN(1000)) * time.Millisecond
		kind := []string{"kill", "stop", "isolate", "deaf", "mute", "cut", "kill-all", "slow", "slow-disk"}[r.IntN(9)]
		res.Faults = append(res.Faults, fmt.Sprintf("%s %s %v", kind, c.ID(i), lasts))
		opt.Logf("%s %s for %v", kind, c.ID(i), lasts)
		after := func(do func()) {
			undo.Go(func() {
				select {
				case <-time.After(lasts):
				case <-ctx.Done():
				}
				do()
			})
		}
		switch kind {
		case "kill":
			c.Kill(i)
			after(func() { c.Start(i) })
		case "kill-all":
			for k := range c.Len() {
				c.Kill(k)
			}
			after(func() {
				for k := range c.Len() {
					c.Start(k)
				}
			})
		case "stop":
			c.Signal(i, syscall.SIGSTOP)
			after(func() { c.Signal(i, syscall.SIGCONT) })
		case "slow-disk":
			if err := c.SetSyncDelay(i, time.Duration(50+r.IntN(500))*time.Millisecond); err != nil {
				return err
			}
			after(func() { c.SetSyncDelay(i, 0) })
		default:
			e := &relay.Impairment{Stall: kind != "slow", ToTarget: true, FromTarget: true}
			if kind == "slow" {
				e.Delay, e.Jitter = 30*time.Millisecond, 50*time.Millisecond
			}
			hit := hit(c, kind, i, r.IntN(c.Len()))
			for _, l := range hit {
				if err := l.Add(e); err != nil {
					return err
				}
			}
			after(func() {
				for _, l := range hit {
					l.Remove(e) // it only lifts the silence
				}
			})
		}
		select {
		case <-time.After(time.Duration(100+r.IntN(900)) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// hit names the links of a fault: all of a replica's, only those by which it hears or calls others, or those to one.
func hit(c *cluster.Cluster, kind string, i, j int) []*relay.Relay {
	var l []*relay.Relay
	c.EachLink(func(out, in int, r *relay.Relay) {
		to, from := in == i, out == i
		switch {
		case kind == "isolate" && (to || from), kind == "slow" && (to || from), kind == "deaf" && to, kind == "mute" && from,
			kind == "cut" && (to && out == j || from && in == j):
			l = append(l, r)
		}
	})
	return l
}
