package replica

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"umberbank/internal/httpclient"
)

// requestTimeout bounds the time until raft accepts a write, a request that is forwarded to the leader, and the time in which a
// client must send its headers.
const requestTimeout = 5 * time.Second

// Replica is a running replica of the registry. [New] starts one, and Close must be called to stop it.
type Replica struct {
	cfg            Config
	fsm            *fsm
	raft           *raft.Raft
	trans          *raft.NetworkTransport
	store          *raftboltdb.BoltStore // stores the votes of raft, and the log entries that logStore writes
	logStore       *checksumStore
	listener       net.Listener // for clients
	http           *http.Server
	forward        *http.Client // to the leader
	forwardWaiting *http.Client // watches and polls to the leader
	watches        watchSet
	metrics        *metrics
	renewals       chan renewRequest // to leaderLoop

	serving    atomic.Bool
	failed     chan error    // the reason is sent on it when this replica fails
	closing    chan struct{} // closed by the first call of Close
	closeOnce  sync.Once     // closes closing
	leaderDone chan struct{} // closed when leaderLoop has returned
}

// New starts a replica. If its data directory contains data, the replica continues from it. If not, it bootstraps a cluster of
// the configured peers, or without peers waits until it is added to a cluster.
func New(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	r := &Replica{
		cfg:            cfg,
		fsm:            newFSM(),
		forward:        &http.Client{Timeout: requestTimeout, CheckRedirect: httpclient.ReturnRedirect},
		forwardWaiting: newForwardWaitingClient(),
		renewals:       make(chan renewRequest),
		failed:         make(chan error, 1),
		closing:        make(chan struct{}),
		leaderDone:     make(chan struct{}),
	}
	r.metrics = newMetrics(r)
	r.fsm.onApplied = r.metrics.countWrite
	if err := r.start(); err != nil {
		r.closeResources()
		return nil, err
	}
	return r, nil
}

// start opens the resources of the replica and begins to serve. After an error closeResources must be called.
func (r *Replica) start() error {
	if err := os.MkdirAll(r.cfg.DataDir, 0o700); err != nil {
		return err
	}
	var err error
	if r.listener, err = net.Listen("tcp", r.cfg.ClientAddress); err != nil {
		return err
	}
	raftLogger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: slogWriter{r.cfg.Logger}})
	if err := r.openTransport(raftLogger); err != nil {
		return err
	}
	if err := r.openLogStore(); err != nil {
		return err
	}
	if err := r.startRaft(raftLogger); err != nil {
		return err
	}
	go r.runLeaderLoop()
	r.http = &http.Server{
		Handler:           r.handler(),
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       r.cfg.readTimeout,
		IdleTimeout:       r.cfg.idleTimeout,
		// Without this, net/http answers "OPTIONS *" with status 200 and does not call the handler.
		DisableGeneralOptionsHandler: true,
	}
	go r.http.Serve(r.listener) //nolint:errcheck // Serve returns after Close or fail
	r.serving.Store(true)
	return nil
}

// fail stops the communication of this replica with peers and clients, and sends the reason on the channel that Failed returns.
// Before the replica serves, it only sends the reason.
func (r *Replica) fail(err error) {
	select {
	case r.failed <- err:
	default: // it has failed already
		return
	}
	if !r.serving.Load() {
		return
	}
	r.cfg.Logger.Error("replica failed and stops", "error", err)
	r.trans.Close()
	r.http.Close()
	r.watches.close()
}

// Failed returns a channel on which the reason is sent if this replica fails. Close may then block on a disk that hangs.
func (r *Replica) Failed() <-chan error { return r.failed }

// Addr returns the host:port where clients connect.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Close stops the replica and waits for raft, the leader loop and the watches. Its data remains in the data directory.
func (r *Replica) Close() error {
	r.closeOnce.Do(func() { close(r.closing) })
	r.http.Close()
	r.watches.close()
	err := r.raft.Shutdown().Error()
	<-r.leaderDone
	r.watches.wait()
	r.closeResources()
	return err
}

func (r *Replica) closeResources() {
	r.forwardWaiting.CloseIdleConnections()
	if r.listener != nil {
		r.listener.Close()
	}
	if r.trans != nil {
		r.trans.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
}

// slogWriter writes the log lines of raft to a slog.Logger.
type slogWriter struct{ logger *slog.Logger }

// Write logs one line as a warning.
func (w slogWriter) Write(line []byte) (int, error) {
	w.logger.Warn("message from the raft library", "line", strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}
