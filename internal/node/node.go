package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
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
	"umberbank/internal/node/sentids"
	"umberbank/internal/node/snapshotter"
	"umberbank/internal/node/upstream"
	"umberbank/internal/registry/client"
)

// Node is one node of the load balancer. New returns a node that listens. Run serves and may be called once. The other
// methods may be called by any goroutine, also before Run.
type Node struct {
	loop            *loop
	frontend        *frontend
	listener        *clientconn.Listener
	cfg             config.Config            // the configuration at startup; reloads do not change it
	lock            *processlock.Lock        // nil if the process cannot be replaced while it serves
	predecessorGone chan struct{}            // closed once the lock is acquired
	control         *control.Server          // nil if no control address is configured
	initialList     discovery.Update         // the endpoint list at startup
	registryWatcher *client.Watcher          // nil if the node follows discovery
	snapshotter     *snapshotter.Snapshotter // nil if the configuration names no snapshot directory
	follower        *follower.Follower       // nil if settings come from the configuration alone

	acceptLingerTimeout time.Duration // how long a stopping node continues to accept connections
	longestDeadline     atomic.Int64  // longestDeadlineOf the current settings, as a time.Duration

	reloadMu        sync.Mutex      // guards current and rolloutSettings
	current         config.Config   // the current configuration
	rolloutSettings json.RawMessage // nil if the settings come from the configuration

	serving  atomic.Bool // set while requests are handled
	stopping atomic.Bool // set once a shutdown has begun; accepted requests are still completed
}

// New returns a node that listens for clients but does not serve them until Run is called. It returns an error if the
// settings are invalid or if a socket or file of the configuration cannot be opened.
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
	n.rolloutSettings = version.Settings
	if n.follower, err = n.newFollower(version); err != nil {
		n.listener.Close()
		return nil, fmt.Errorf("agreed: %w", err)
	}
	return n, nil
}

// newNode returns a node that uses b for its decisions and does not follow rollouts.
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

// listen opens the client-facing socket, or uses the inherited one.
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
		MaxConnections: 1, // replaced by setQuota
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
		predecessorGone:     make(chan struct{}),
		initialList:         cfg.InitialList,
		acceptLingerTimeout: acceptLingerTimeout,
		current:             cfg,
	}
	n.setQuota(1)
	n.longestDeadline.Store(int64(longestDeadlineOf(cfg.Settings)))
	if cfg.Snapshots.Dir != "" {
		n.snapshotter = snapshotter.New(cfg.Snapshots.Dir, cfg.Snapshots.Interval)
	}
	return n
}

// openOptionalParts opens the registry client, the process lock and the control server, as far as they are configured.
func (n *Node) openOptionalParts() (err error) {
	if err := n.openRegistry(); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	n.loop.watcher.usesRegistry = n.registryWatcher != nil
	if n.cfg.AcceptFD > 0 {
		if n.lock, err = processlock.Open(os.TempDir(), n.cfg.Name); err != nil {
			return fmt.Errorf("process lock: %w", err)
		}
		n.shareSentIDs()
		n.setQuota(startingQuota)
	}
	if n.cfg.Control != "" {
		if n.control, err = control.Listen(n.cfg.Control, n.commands()); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	return nil
}

// shareSentIDs makes the node use one table of sent IDs with the process that it replaces. If that fails, it keeps a table of
// its own.
func (n *Node) shareSentIDs() {
	table, err := sentids.Open(os.TempDir(), n.cfg.Name)
	if err != nil {
		slog.Error("the IDs of requests are not shared with another process of this node", "error", err)
		return
	}
	n.loop.sentIDs = table
}

// Addr returns the address that the node listens on for clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// commands returns the commands of the control server. Their names and responses are documented in docs/oncall.
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
