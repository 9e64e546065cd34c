// Package node runs the decision module on real sockets: callers on one side, servers on the other,
// and discovery, which tells of them. It makes no decisions.
package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"umberbank/balancer"
	"umberbank/internal/registry/client"
)

// Node is one real node.
type Node struct {
	loop     *loop
	front    *front
	listener *limitListener
	cfg      Config   // as the node was started with
	turn     *turn    // nil: the process is not replaced while it serves
	control  *control // nil: no address was told
	known    List
	registry *client.Watcher // nil: the node follows discovery
	keeper   *keeper         // nil: it keeps nothing for the process after it
	linger   time.Duration   // how long a stopping node goes on as before
	patience atomic.Int64    // how long callers may wait for what a stopping node has taken
	follower *follower       // nil: settings are not agreed on

	reloading sync.Mutex      // of what follows, which a reload changes
	shape     any             // of the configuration in force; see Config
	now       Config          // that configuration
	agreed    json.RawMessage // settings that were agreed on, if they were

	serving  atomic.Bool // callers are served
	stopping atomic.Bool // and will not be much longer
}

// reserved descriptors are for the listener, the watch, the log and the runtime.
const reserved = 32

// New returns a node that listens.
func New(cfg Config) (*Node, error) {
	cfg, kept := withKept(cfg)
	b, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n, err := newNode(cfg, b)
	if err != nil {
		return nil, err
	}
	n.agreed = kept.Settings
	if n.follower, err = newFollower(n, kept); err != nil {
		n.listener.Close()
		return nil, fmt.Errorf("agreed: %w", err)
	}
	return n, nil
}

func newNode(cfg Config, m module) (*Node, error) {
	listener, err := listenFor(cfg)
	if err != nil {
		return nil, err
	}
	counts := &metrics{}
	l := newLoop(cfg, m, newUpstream(cfg, 1, counts, budgetFor(cfg)), newDiscovery(cfg.Discovery), counts)
	n := &Node{loop: l, front: newFront(l), cfg: cfg, known: cfg.Known, linger: linger,
		listener: newLimitListener(persistentListener{listener}, 1)}
	n.listener.makeRoom = n.front.callers.makeRoom
	n.setShare(1)
	if err := n.followRegistry(); err != nil {
		listener.Close()
		return nil, fmt.Errorf("registry: %w", err)
	}
	l.elsewhere = n.registry != nil
	if cfg.AcceptFD > 0 {
		if n.turn, err = newTurn(os.TempDir(), cfg.Name); err != nil {
			listener.Close()
			return nil, fmt.Errorf("lock of the serving process: %w", err)
		}
		n.setShare(startingShare)
	}
	n.keeper = newKeeper(cfg)
	n.patience.Store(int64(patienceFor(cfg.Settings)))
	n.shape, n.now = cfg.shape, cfg
	if cfg.Control != "" {
		if n.control, err = newControl(cfg.Control, n.calls()); err != nil {
			listener.Close()
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	return n, nil
}

func listenFor(cfg Config) (net.Listener, error) {
	if cfg.AcceptFD > 0 {
		return inherited(cfg.AcceptFD)
	}
	return net.Listen("tcp", cfg.Listen)
}

// setShare gives the process a share of the node's limits.
func (n *Node) setShare(share float64) {
	spare := n.cfg.Sockets - reserved
	if n.cfg.Control != "" {
		spare -= mostControl + 1
	}
	// A call out needs a caller, and callers hold idle connections besides: they get the larger part.
	upstreams := max(1, spare*2/5)
	callers := max(1, int(share*float64(spare-upstreams)))
	n.loop.upstream.setMost(max(1, int(share*float64(upstreams))))
	n.listener.setLimit(callers)
	n.front.crowded.Store(int64(callers) * 3 / 4)
	if n.cfg.MemoryMB > 0 {
		// Collect harder well before the limit at which the node is killed.
		debug.SetMemoryLimit(int64(share * n.cfg.MemoryMB * 0.7 * (1 << 20)))
	}
}

// calls are what operators may ask for at the second address.
func (n *Node) calls() map[string]func() string {
	return map[string]func() string{
		"check": func() string {
			if !n.serving.Load() {
				return "fail not serving"
			}
			return "ok"
		},
		"vars":     func() string { return n.loop.metrics.text() + "\neof" },
		"drain-on": func() string { n.front.drain.on(); return "ok" },
		"drain-off": func() string {
			if n.stopping.Load() {
				return "fail the process is stopping"
			}
			n.front.drain.off()
			return "ok"
		},
	}
}

// Addr is the address that the node listens on.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

const (
	// New connections come for up to 0.4 s after the signal, and closing the listener would reset those
	// not yet accepted.
	linger = 500 * time.Millisecond
	// A stopping node is killed once the longest deadline, maxPatience at the most, and killedAfter
	// more have passed. It answers everything by lastCall before that.
	maxPatience = 3 * time.Second
	killedAfter = 700 * time.Millisecond
	lastCall    = 250 * time.Millisecond
)

// firstNews is how long a node that starts waits for what its agent holds before it serves by the list in its
// configuration. The agent answers at once if it can, and what it holds counts as told from the first moment on.
const firstNews = 250 * time.Millisecond

// awaitNews waits until what the agent holds is known.
func (n *Node) awaitNews(ctx context.Context) {
	select {
	case <-n.loop.told:
	case <-time.After(firstNews):
		log.Printf("no news of the servers %v after the start; serving by the list in the configuration", firstNews)
	case <-ctx.Done():
	}
}

// Run serves until ctx ends, and then until all that was taken is answered. A long answer or body that is
// under way goes on until its end, or until the process is killed: ending before would break it off.
func (n *Node) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go n.loop.run(running)
	listed := make(chan struct{})
	if n.control != nil {
		defer n.control.close()
		go func() {
			<-listed // else the first figures would tell of no server
			n.control.serve()
		}()
	}
	var recalled balancer.Restore
	known := false
	if n.keeper != nil {
		recalled, known = n.keeper.recall(time.Now())
		go n.keeper.run(running, n.loop.learned)
	}
	n.loop.post(func() {
		if known {
			n.loop.handle(recalled)
		}
		n.loop.takeList(n.known, true)
		close(listed)
		if n.loop.pushed {
			n.loop.subscribe()
		}
	})
	if n.registry != nil {
		go n.readRegistry(running)
	}
	if n.follower != nil {
		go n.follower.run(running)
	}
	defer n.front.drain.off()
	if n.turn != nil {
		defer n.turn.close()
		go n.awaitTurn(running)
	}
	if !n.cfg.Settings.PollDiscovery && n.registry == nil {
		n.awaitNews(ctx)
	}
	if !n.awaitCaughtUp(ctx) {
		return n.listener.Close()
	}
	n.serving.Store(true)
	srv := n.front.server()
	defer srv.Close()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(n.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serving callers: %w", err)
	case <-ctx.Done():
	}

	n.serving.Store(false)
	n.stopping.Store(true)
	cutoff := time.Now().Add(time.Duration(n.patience.Load()) + killedAfter - lastCall)
	n.loop.after(time.Until(cutoff), n.loop.abandonAll)
	n.front.drain.on()
	if n.turn == nil {
		select {
		case err := <-served:
			return fmt.Errorf("serving callers: %w", err)
		case <-time.After(n.linger):
		}
	} // else the successor takes what is in the backlog
	n.listener.Close()
	<-served // returned for that, if for nothing before
	n.front.finish(n.listener.taken)
	return nil
}
