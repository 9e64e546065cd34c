package node

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/clientconn"
	"umberbank/internal/node/config"
	"umberbank/internal/node/control"
	"umberbank/internal/node/discovery"
	"umberbank/internal/node/follower"
	"umberbank/internal/node/listener"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/processlock"
	"umberbank/internal/node/snapshotter"
	"umberbank/internal/node/upstream"
	"umberbank/internal/registry/client"
)

// Node is one node of the load balancer. New returns a node that listens, and Run serves, once; the other methods may be called by
// any goroutine while it runs.
type Node struct {
	loop            *loop
	frontend        *frontend
	listener        *clientconn.Listener
	cfg             config.Config            // as the node was started with
	lock            *processlock.Lock        // nil: the process is not replaced while it serves
	control         *control.Server          // nil: there is no address for operators
	initialList     discovery.Update         // the endpoint list to start with
	registryWatcher *client.Watcher          // nil: the node follows discovery
	snapshotter     *snapshotter.Snapshotter // nil: nothing is saved for the process after this one
	follower        *follower.Follower       // nil: settings come from the configuration alone

	acceptLingerTimeout time.Duration // how long a stopping node goes on to accept
	longestRequest      atomic.Int64  // a time.Duration: how long clients may wait for what a stopping node has accepted

	reloading sync.Mutex      // guards current and agreed
	current   config.Config   // the configuration in force
	agreed    json.RawMessage // settings from a rollout, if there are any

	serving  atomic.Bool // clients are served
	stopping atomic.Bool // SIGTERM has come; accepted requests are being answered
}

// New returns a node that listens and does not serve yet.
func New(cfg config.Config) (*Node, error) {
	cfg, version := follower.Restore(cfg)
	b, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n, err := newNode(cfg, b)
	if err != nil {
		return nil, err
	}
	n.agreed = version.Settings
	if n.follower, err = n.newFollower(version); err != nil {
		n.listener.Close()
		return nil, fmt.Errorf("agreed: %w", err)
	}
	return n, nil
}

// newNode is New with given decisions, and without a follower of rollouts.
func newNode(cfg config.Config, b requestBalancer) (*Node, error) {
	socket, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	n := assemble(cfg, b, socket)
	if err := n.openOptionalParts(); err != nil {
		socket.Close()
		return nil, err
	}
	return n, nil
}

// listen opens the clients' socket, or takes the one that is inherited.
func listen(cfg config.Config) (net.Listener, error) {
	if cfg.AcceptFD > 0 {
		return listener.Inherit(cfg.AcceptFD)
	}
	return net.Listen("tcp", cfg.Listen)
}

// assemble creates the parts of a node whose creation cannot fail.
func assemble(cfg config.Config, b requestBalancer, socket net.Listener) *Node {
	counters := &metrics.Metrics{}
	pool := upstream.NewPool(upstream.Options{
		Connections:    cfg.Connections,
		MaxConnections: 1, // until setQuota
		Metrics:        counters,
		Budget:         bodybudget.ForMemory(cfg.MemoryMB, cfg.AcceptFD > 0),
	})
	l := newLoop(cfg, b, pool, discovery.NewClient(cfg.Discovery), counters)
	front := newFrontend(l)
	n := &Node{
		loop:                l,
		frontend:            front,
		listener:            clientconn.NewListener(listener.Persistent{Listener: socket}, 1, front.idle.Evict),
		cfg:                 cfg,
		initialList:         cfg.InitialList,
		acceptLingerTimeout: acceptLingerTimeout,
		current:             cfg,
	}
	n.setQuota(1)
	n.longestRequest.Store(int64(longestRequestOf(cfg.Settings)))
	if cfg.Snapshots.Dir != "" {
		n.snapshotter = snapshotter.New(cfg.Snapshots.Dir, cfg.Snapshots.Interval)
	}
	return n
}

// openOptionalParts opens the registry client, the process lock and the operators' address, where the configuration asks for them.
func (n *Node) openOptionalParts() (err error) {
	if err := n.openRegistry(); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	n.loop.watcher.external = n.registryWatcher != nil
	if n.cfg.AcceptFD > 0 {
		if n.lock, err = processlock.Open(os.TempDir(), n.cfg.Name); err != nil {
			return fmt.Errorf("lock of the serving process: %w", err)
		}
		n.setQuota(startingQuota)
	}
	if n.cfg.Control != "" {
		if n.control, err = control.Listen(n.cfg.Control, n.commands()); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	return nil
}

// Addr is the address that the node listens on for clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// commands are the commands at the operators' address. Their names and answers are documented in docs/oncall.
func (n *Node) commands() control.Commands {
	return control.Commands{
		"check": func() string {
			if !n.serving.Load() {
				return "fail not serving"
			}
			return "ok"
		},
		"vars": func() string { return n.loop.metrics.JSON() + "\neof" },
		"drain-on": func() string {
			n.frontend.drain.Start()
			return "ok"
		},
		"drain-off": func() string {
			if n.stopping.Load() {
				return "fail the process is stopping"
			}
			n.frontend.drain.Stop()
			return "ok"
		},
	}
}
