package replica

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// callTimeout bounds a write, a call that is forwarded to the leader, and the time that a caller has to send its headers.
const callTimeout = 5 * time.Second

// Replica is a running replica.
type Replica struct {
	cfg      Config
	fsm      *fsm
	raft     *raft.Raft
	trans    *raft.NetworkTransport
	store    *raftboltdb.BoltStore // raft's votes, and below logStore its log
	logStore *checksumStore
	listener net.Listener // for clients
	http     *http.Server
	forward  *http.Client // to the leader
	watches  watchSet
	metrics  *metrics
	renewals chan renewRequest // to leaderLoop

	serving    atomic.Bool
	failed     chan error    // receives why this replica ends by itself
	leaderDone chan struct{} // closed when leaderLoop has returned
}

// New starts a replica on the data that it finds. With peers and without data it bootstraps a cluster.
func New(cfg Config) (*Replica, error) {
	cfg.setDefaults()
	r := &Replica{
		cfg:        cfg,
		fsm:        newFSM(),
		forward:    &http.Client{Timeout: callTimeout},
		renewals:   make(chan renewRequest),
		failed:     make(chan error, 1),
		leaderDone: make(chan struct{}),
	}
	r.metrics = newMetrics(r)
	r.fsm.onApplied = r.metrics.countWrite
	if err := r.start(); err != nil {
		r.closeResources()
		return nil, err
	}
	return r, nil
}

// start opens what the replica needs and begins to serve. After an error closeResources closes what is open.
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
	r.http = &http.Server{Handler: r.handler(), ReadHeaderTimeout: callTimeout}
	go r.http.Serve(r.listener) //nolint:errcheck // it ends with Close or fail
	r.serving.Store(true)
	return nil
}

// fail ends this replica: neither peers nor clients hear from it any more, and Failed receives the reason.
func (r *Replica) fail(err error) {
	select {
	case r.failed <- err:
	default: // it has failed already
		return
	}
	if !r.serving.Load() {
		return
	}
	r.cfg.Logger.Error("replica cannot go on and stops", "error", err)
	r.trans.Close()
	r.http.Close()
	r.watches.close()
}

// Failed receives the reason why this replica cannot go on, if that happens. Close may then wait for a disk that hangs.
func (r *Replica) Failed() <-chan error { return r.failed }

// Addr is the host:port that clients call.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Close stops the replica. Its data stays.
func (r *Replica) Close() error {
	r.http.Close()
	r.watches.close()
	err := r.raft.Shutdown().Error()
	<-r.leaderDone
	r.closeResources()
	return err
}

func (r *Replica) closeResources() {
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

// slogWriter hands raft's log lines to a slog.Logger.
type slogWriter struct{ logger *slog.Logger }

// Write logs one line.
func (w slogWriter) Write(line []byte) (int, error) {
	w.logger.Warn("message of the raft library", "line", strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}
