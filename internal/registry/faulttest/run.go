// Package faulttest injects faults into a registry of real processes while clients write, read and watch, and checks what the
// clients observed. Porcupine checks that writes and consistent reads are linearizable. Watches must have no gaps and must
// never go back to an older revision. A seed determines the faults and the requests of the clients, but their timing depends
// on the scheduling of processes and the network, so two runs with the same seed can differ.
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

// Options configure a run.
type Options struct {
	Seed           uint64
	Replicas       int           // 1, 3 or 5
	Duration       time.Duration // time during which faults are injected; zero means 3 s
	ReplicaCommand []string      // runs a replica when --config FILE is added; if empty, this program with "registry serve"
	// Proxy returns the address that clients use instead of a replica's address. Tests use it to corrupt responses. If nil,
	// clients connect to the replicas.
	Proxy func(address string) string
	Logf  func(format string, args ...any) // logs each fault; may be nil
}

// Result contains the counts and violations of a run. The run has passed if there are no Violations.
type Result struct {
	Seed            uint64   `json:"seed"`
	Writes          int      `json:"writes"`
	UnknownWrites   int      `json:"unknown"` // writes without a response, which may have been applied
	Reads           int      `json:"reads"`
	WatchEvents     int      `json:"watched"`   // events that watchers applied
	Faults          []string `json:"faults"`    // kind, replica and duration of each fault
	Violations      []string `json:"broken"`    // violations of the guarantees
	RecoverySeconds float64  `json:"recover_s"` // from the end of the faults until all watchers have a later write and the list was read
}

const (
	keyCount         = 3 // number of instances that users write and read
	userCount        = 4
	watcherCount     = 3
	defaultDuration  = 3 * time.Second
	startTimeout     = 20 * time.Second
	recoveryTimeout  = 30 * time.Second
	recoveryPoll     = 20 * time.Millisecond
	watchIdleTimeout = 3 * time.Second
	watchMaxBackoff  = 300 * time.Millisecond
)

// Stream numbers, which give the random generators of a run different sequences with the same seed.
const (
	userStream  = 1
	faultStream = 2
)

var errWatcherBehind = errors.New("a watcher did not reach the revision of the last write")

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

// addresses returns the addresses that clients use, which are those of the replicas or of their proxies.
func (o *Options) addresses(c *cluster.Cluster) []string {
	l := c.Addresses()
	for i := range l {
		if o.Proxy != nil {
			l[i] = o.Proxy(l[i])
		}
	}
	return l
}

// Run runs the test once. It returns an error only if the run could not be completed; violations are in the Result.
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
	cl, err := client.New(client.Options{Endpoints: addresses})
	if err != nil {
		return nil, err
	}
	if err := registerKeys(ctx, cl); err != nil {
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
	final := recoverAll(ctx, c, cl, watchers, res)
	users.stop()
	watchers.stop()
	h.check(res, final)
	return res, ctx.Err()
}

// registerKeys registers the instances that users write and read.
func registerKeys(ctx context.Context, cl *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var ops []state.Op
	for key := range keyCount {
		instance := &state.Instance{UID: uid(key), Endpoint: "10.0.0.1:3000", State: state.Serving}
		ops = append(ops, state.Op{Kind: state.OpRegister, Instance: instance})
	}
	_, err := cl.Write(ctx, ops...)
	return err
}

// tasks is a group of goroutines that are stopped together.
type tasks struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// stop cancels the goroutines and waits for them.
func (t *tasks) stop() {
	t.cancel()
	t.running.Wait()
}

// startUsers starts users that write and read.
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

// watchers is a group of Watchers that follow the list.
type watchers struct {
	tasks
	all []*client.Watcher
}

// startWatchers starts watchers that follow the list and record their views in h.
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
			w.Run(ctx, func(client.WatchEvent) { h.addView(i, w.View()) }) //nolint:errcheck // the only error is that of ctx
		})
	}
	return t, nil
}

// recoverAll restarts or resumes all replicas, waits until the registry has recovered, and returns its list. If the registry
// does not recover in time, recoverAll records a violation and returns nil.
func recoverAll(ctx context.Context, c *cluster.Cluster, cl *client.Client, watchers *watchers, res *Result) *api.WatchEvent {
	start := time.Now()
	c.ResumeAll()
	final, err := awaitRecovery(ctx, cl, watchers.all)
	if err != nil {
		res.Violations = append(res.Violations, "after the faults: "+err.Error())
		return nil
	}
	res.RecoverySeconds = time.Since(start).Seconds()
	return final
}

// awaitRecovery waits until the registry applies a write and all watchers have reached its revision. It returns the list of the
// registry after that.
func awaitRecovery(ctx context.Context, cl *client.Client, watchers []*client.Watcher) (*api.WatchEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	last := &state.Instance{UID: "last", Endpoint: "10.0.0.9:3000", State: state.Serving}
	results, err := cl.Write(ctx, state.Op{Kind: state.OpRegister, Instance: last})
	if err != nil {
		return nil, err
	}
	for !allReached(watchers, results[0].Revision) {
		select {
		case <-ctx.Done():
			return nil, errWatcherBehind
		case <-time.After(recoveryPoll):
		}
	}
	var l api.WatchEvent
	if err := cl.Call(ctx, http.MethodGet, api.PathInstances+"?consistent=1", nil, &l); err != nil {
		return nil, err
	}
	return &l, nil
}

// allReached reports whether all watchers have reached a revision.
func allReached(watchers []*client.Watcher, revision int64) bool {
	for _, w := range watchers {
		if w.View().Revision < revision {
			return false
		}
	}
	return true
}
