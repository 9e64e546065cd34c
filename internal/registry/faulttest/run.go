// Package faulttest injects faults into a registry of real processes while clients write, read and watch, and checks what
// these saw: writes and consistent reads by porcupine, for linearizability; watches for gaps and for going back. The faults
// and the clients' calls are drawn by a seed, but processes and networks run by the clock, so that a run does not repeat
// another exactly.
package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// Options say what a run plays.
type Options struct {
	Seed           uint64
	Replicas       int           // 1, 3 or 5
	Duration       time.Duration // of faults; 0 is 3 s
	ReplicaCommand []string      // of a replica, which takes --config FILE; without one, this program's own
	// Proxy returns an address that stands in for a replica's towards clients. Tests let it lie. nil: there is none.
	Proxy func(address string) string
	Logf  func(format string, args ...any) // may be nil
}

// Result is what came of a run.
type Result struct {
	Seed            uint64   `json:"seed"`
	Writes          int      `json:"writes"`
	UnknownWrites   int      `json:"unknown"` // that were not answered
	Reads           int      `json:"reads"`
	WatchEvents     int      `json:"watched"` // that watchers applied
	Faults          []string `json:"faults"`
	Violations      []string `json:"broken"`    // of what must hold
	RecoverySeconds float64  `json:"recover_s"` // from the end of the faults until all watchers had a write that came after it
}

const (
	keyCount         = 3 // instances that are written and read
	userCount        = 4
	watcherCount     = 3
	defaultDuration  = 3 * time.Second
	startTimeout     = 20 * time.Second
	recoveryTimeout  = 30 * time.Second
	recoveryPoll     = 20 * time.Millisecond
	watchIdleTimeout = 3 * time.Second
	watchMaxBackoff  = 300 * time.Millisecond
)

// Streams of random numbers of a run, beside its seed.
const (
	userStream  = 1
	faultStream = 2
)

var errWatcherBehind = errors.New("a watcher never came to the last revision")

func uid(key int) string { return fmt.Sprintf("s%d", key) }

func (o *Options) setDefaults() error {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if len(o.ReplicaCommand) == 0 {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.ReplicaCommand = []string{self, "registry", "serve"}
	}
	return nil
}

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

// Run plays one run. An error says that it could not be played; what did not hold is in the result.
func Run(ctx context.Context, opt Options) (*Result, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, err
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
	if err := registerKeys(ctx, w); err != nil {
		return nil, fmt.Errorf("the registry did not start: %w: %s", err, c.Logs(0))
	}
	h := newHistory()
	users := startUsers(ctx, h, opt.Seed, addresses)
	defer users.stop()
	watchers, err := startWatchers(ctx, h, addresses)
	if err != nil {
		return nil, err
	}
	defer watchers.stop()
	res := &Result{Seed: opt.Seed}
	if err := injectFaults(ctx, c, opt, res); err != nil {
		return nil, err
	}
	final := recoverAll(ctx, c, w, watchers, res)
	users.stop()
	watchers.stop()
	h.check(res, final)
	return res, ctx.Err()
}

// registerKeys registers the instances that are written and read.
func registerKeys(ctx context.Context, w *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var ops []state.Op
	for key := range keyCount {
		instance := &state.Instance{UID: uid(key), Endpoint: "10.0.0.1:3000", State: state.Serving}
		ops = append(ops, state.Op{Kind: state.OpRegister, Instance: instance})
	}
	_, err := w.Write(ctx, ops...)
	return err
}

// tasks are goroutines that are stopped together.
type tasks struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// stop ends the goroutines and waits for them.
func (t *tasks) stop() {
	t.cancel()
	t.running.Wait()
}

// startUsers lets users write and read.
func startUsers(ctx context.Context, h *history, seed uint64, addresses []string) *tasks {
	ctx, cancel := context.WithCancel(ctx)
	t := &tasks{cancel: cancel}
	seeds := rand.New(rand.NewPCG(seed, userStream))
	for user := range userCount {
		userSeed := seeds.Uint64()
		t.running.Go(func() { h.runUser(ctx, user, userSeed, addresses) })
	}
	return t
}

// watchers follow the list.
type watchers struct {
	tasks
	all []*client.Watcher
}

// startWatchers lets watchers follow the list and note what they come to.
func startWatchers(ctx context.Context, h *history, addresses []string) (*watchers, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := &watchers{tasks: tasks{cancel: cancel}}
	for i := range watcherCount {
		w, err := client.NewWatcher(client.Options{Endpoints: addresses, IdleTimeout: watchIdleTimeout, MaxBackoff: watchMaxBackoff})
		if err != nil {
			t.stop()
			return nil, err
		}
		t.all = append(t.all, w)
		t.running.Go(func() {
			w.Run(ctx, func(client.WatchEvent) { h.addView(i, w.View()) }) //nolint:errcheck // it ends with ctx
		})
	}
	return t, nil
}

// recoverAll ends what faults have left, waits until the registry serves again, and returns the list that it holds then; nil
// if it does not serve, which is a violation.
func recoverAll(ctx context.Context, c *cluster.Cluster, w *client.Client, watchers *watchers, res *Result) *api.WatchEvent {
	began := time.Now()
	c.ResumeAll()
	final, err := awaitRecovery(ctx, w, watchers.all)
	if err != nil {
		res.Violations = append(res.Violations, "after the faults: "+err.Error())
		return nil
	}
	res.RecoverySeconds = time.Since(began).Seconds()
	return final
}

// awaitRecovery waits until the registry is written to again and all watchers have that write, and returns the list that the
// registry holds.
func awaitRecovery(ctx context.Context, w *client.Client, watchers []*client.Watcher) (*api.WatchEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	last := &state.Instance{UID: "last", Endpoint: "10.0.0.9:3000", State: state.Serving}
	results, err := w.Write(ctx, state.Op{Kind: state.OpRegister, Instance: last})
	if err != nil {
		return nil, err
	}
	for !allAt(watchers, results[0].Revision) {
		select {
		case <-ctx.Done():
			return nil, errWatcherBehind
		case <-time.After(recoveryPoll):
		}
	}
	var l api.WatchEvent
	if err := w.Call(ctx, http.MethodGet, api.PathInstances+"?consistent=1", nil, &l); err != nil {
		return nil, err
	}
	return &l, nil
}

// allAt says whether all watchers have come to a revision.
func allAt(watchers []*client.Watcher, revision int64) bool {
	for _, w := range watchers {
		if w.View().Revision < revision {
			return false
		}
	}
	return true
}
