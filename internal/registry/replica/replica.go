// Package replica is one replica of the registry: a State kept alike on all of them by hashicorp/raft, leases kept by
// the leader, and HTTP for writers and readers.
package replica

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// Peer is a replica as a cluster begins.
type Peer struct {
	ID            string `toml:"id" json:"ID"`
	RaftAddress   string `toml:"raft" json:"Raft"`       // where the others call it
	ClientAddress string `toml:"address" json:"Address"` // where writers and readers do
	DialAddress   string `toml:"via" json:"Via"`         // where this replica calls it, if not at Raft
}

// ServerAddr is where to call a replica; raft asks for it before each connection.
func (c *Config) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range c.Peers {
		if p.ID == string(id) {
			return raft.ServerAddress(cmp.Or(p.DialAddress, p.RaftAddress)), nil
		}
	}
	return "", fmt.Errorf("no other address of %s", id) // raft then takes the one it has
}

// Config is what a replica is told.
type Config struct {
	ID            string
	DataDir       string // where it keeps its data
	RaftAddress   string // where it listens for the others
	ClientAddress string // and for writers and readers
	Peers         []Peer // all that a new cluster begins with, this one included; none: it waits to be taken in by one
	Guard         ExpiryGuard
	// Tick is what raft's times are multiples of; 0: 100 ms. An election takes five to ten.
	Tick time.Duration
	// SnapshotThreshold is how many entries of the log make a snapshot; 0: 8,192.
	SnapshotThreshold uint64
	// SyncDelayFile is a file for trials of slow disks: each sync of the log first waits for as long as it says; "" or no such
	// file: not at all.
	SyncDelayFile string
	Logger        *slog.Logger
}

// Replica is one that runs.
type Replica struct {
	cfg      Config
	raft     *raft.Raft
	fsm      *fsm
	store    *raftboltdb.BoltStore
	log      *checked
	running  atomic.Bool
	failed   chan error // gets why this replica must end by itself
	trans    *raft.NetworkTransport
	http     *http.Server
	listener net.Listener
	asks     chan func(*leases) // for the goroutine that keeps leases
	done     chan struct{}
	forward  *http.Client
	streams  streams
	meters   *meters
}

// Defaults.
const (
	defaultTick      = 100 * time.Millisecond
	defaultSnapshots = 8192
	keptSnapshots    = 2
	writeWithin      = 5 * time.Second
	poolSize         = 3
)

// A disk that is slow holds up whoever leads with it, while its heartbeats go on and nobody stands against it. In ticks:
const (
	slowSync = 5  // a sync that takes longer is slow
	hungSync = 50 // and one that takes this long hangs: the replica ends
	handRest = 300
)

// slowSyncs is how many slow syncs in a row make a leader hand over; it does so once in handRest at most, so that the
// lead does not go round where all disks are slow.
const slowSyncs = 2

// New starts a replica on the data that it finds, and begins a cluster if there is none and it was told of peers.
func New(cfg Config) (r *Replica, err error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
	}
	if cfg.SnapshotThreshold == 0 {
		cfg.SnapshotThreshold = defaultSnapshots
	}
	made := &Replica{cfg: cfg, fsm: newFSM(), asks: make(chan func(*leases)), done: make(chan struct{}), failed: make(chan error, 1),
		forward: &http.Client{Timeout: writeWithin}}
	r = made
	r.meters = newMeters(r)
	r.fsm.applied = r.meters.applied
	defer func() {
		if err != nil {
			made.closeFiles()
		}
	}()
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, err
	}
	if r.listener, err = net.Listen("tcp", cfg.ClientAddress); err != nil {
		return nil, err
	}
	advertised, err := net.ResolveTCPAddr("tcp", cfg.RaftAddress)
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	logs := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: slogWriter{cfg.Logger}})
	tc := &raft.NetworkTransportConfig{Logger: logs, MaxPool: poolSize, Timeout: 20 * cfg.Tick}
	if slices.ContainsFunc(cfg.Peers, func(p Peer) bool { return p.DialAddress != "" }) {
		tc.ServerAddressProvider = &r.cfg
	}
	r.trans, err = raft.NewTCPTransportWithConfig(cfg.RaftAddress, advertised, tc)
	if err != nil {
		return nil, err
	}
	if err := begun(cfg.DataDir); err != nil {
		return nil, err
	}
	if r.store, err = raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, "log.db")); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(cfg.DataDir, "log.db"), err)
	}
	if err := renameio.WriteFile(filepath.Join(cfg.DataDir, marker), nil, 0o600); err != nil {
		return nil, err
	}
	log := &checked{LogStore: r.store, base: time.Now(), spoilt: r.fail, limit: slowSync * cfg.Tick}
	if cfg.SyncDelayFile != "" {
		log.wait = func() { time.Sleep(syncWait(cfg.SyncDelayFile)) }
	}
	r.log = log
	if err := log.verify(); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(cfg.DataDir, "log.db"), err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(cfg.DataDir, keptSnapshots, logs)
	if err != nil {
		return nil, err
	}
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(cfg.ID)
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = 5*cfg.Tick, 5*cfg.Tick, 4*cfg.Tick
	rc.CommitTimeout = cfg.Tick / 10
	rc.SnapshotThreshold, rc.TrailingLogs, rc.SnapshotInterval = cfg.SnapshotThreshold, cfg.SnapshotThreshold, 50*cfg.Tick
	rc.BatchApplyCh, rc.Logger = true, logs
	if len(cfg.Peers) > 0 {
		var all raft.Configuration
		for _, p := range cfg.Peers {
			all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.RaftAddress)})
		}
		err := raft.BootstrapCluster(rc, log, r.store, snapshots, r.trans, all)
		if err != nil && !errors.Is(err, raft.ErrCantBootstrap) { // it has begun before
			return nil, err
		}
	}
	if r.raft, err = raft.NewRaft(rc, r.fsm, log, r.store, snapshots, r.trans); err != nil {
		return nil, fmt.Errorf("%s: %w", cfg.DataDir, err)
	}
	go r.lead()
	r.http = &http.Server{Handler: r.handler(), ReadHeaderTimeout: writeWithin}
	go r.http.Serve(r.listener) // until Close
	r.running.Store(true)
	return r, nil
}

// marker is a file that says that a folder's log was begun.
const marker = "begun"

// begun fails if a folder's log was begun and is gone. A replica that went on without would have forgotten whom it voted
// for and what it had promised to keep.
func begun(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, marker)); errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	log := filepath.Join(dir, "log.db")
	st, err := os.Stat(log)
	if err == nil && st.Size() == 0 {
		err = errors.New("it is empty")
	}
	if err != nil {
		return fmt.Errorf("%s: the log was begun and is gone: take this replica out, empty its folder and add it again: %w", log, err)
	}
	return nil
}

// fail has this replica end: it tells Failed, and neither peers nor users hear from it any more.
func (r *Replica) fail(err error) {
	select {
	case r.failed <- err:
	default: // for another reason already
		return
	}
	if r.running.Load() { // else there is nobody yet to hear from it
		r.cfg.Logger.Error("this replica ends", "error", err)
		r.trans.Close()
		r.http.Close()
		r.streams.close()
	}
}

// Failed gets why this replica cannot go on, if that happens. Close may then wait for a disk that hangs.
func (r *Replica) Failed() <-chan error { return r.failed }

// syncWait is the time that a file says; none: 0.
func syncWait(path string) time.Duration {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return d
}

// Addr is where writers and readers call.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Close ends the replica; its data stays.
func (r *Replica) Close() error {
	r.http.Close()
	r.streams.close()
	err := r.raft.Shutdown().Error()
	<-r.done
	r.closeFiles()
	return err
}

func (r *Replica) closeFiles() {
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

type slogWriter struct{ log *slog.Logger }

func (w slogWriter) Write(b []byte) (int, error) { w.log.Warn(string(b)); return len(b), nil }

// ---- Leading ----

// lookEvery is how often leases are looked at.
const lookEvery = 100 * time.Millisecond

// lead keeps the leases for as long as this replica leads. It alone touches them.
func (r *Replica) lead() {
	defer close(r.done)
	leads := r.raft.LeaderCh()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	began := time.Now()
	looked := began
	var handed time.Time // when the lead was last handed over
	var kept *leases
	var wake <-chan struct{}
	var heard int64
	for {
		select {
		case is, open := <-leads:
			if !open {
				return
			}
			kept, wake = nil, nil
			if is {
				kept, heard, wake = r.takeOver(time.Since(began))
			}
		case <-wake:
			heard, wake = r.follow(kept, heard, time.Since(began))
		case <-tick.C:
			if r.raft.State() == raft.Shutdown {
				return
			}
			if gap := time.Since(looked); gap > stalledAfter {
				r.log.stood(gap)
			}
			looked = time.Now()
			if d := r.log.hung(); d > hungSync*r.cfg.Tick {
				r.fail(fmt.Errorf("%s: a sync has not ended for %v", r.cfg.DataDir, d.Round(time.Millisecond)))
				return
			}
			if kept == nil {
				continue
			}
			if r.log.slow.Load() >= slowSyncs && time.Since(handed) > handRest*r.cfg.Tick {
				handed = time.Now()
				r.cfg.Logger.Warn("this replica's disk is slow: another shall lead")
				r.raft.LeadershipTransfer() // its end shows in leads; who cannot take over leaves things as they are
			}
			now := time.Since(began)
			held := r.agreed(kept)
			if ops := append(kept.look(now), kept.lapses(held, now)...); len(ops) > 0 {
				r.propose(ops)
			}
		case ask := <-r.asks:
			ask(kept)
		}
	}
}

// takeOver makes a new leader's leases, once it has all that was committed before it.
func (r *Replica) takeOver(now time.Duration) (*leases, int64, <-chan struct{}) {
	if r.raft.Barrier(writeWithin).Error() != nil {
		return nil, 0, nil // it leads no more
	}
	var entries []*state.Instance
	var rev int64
	var mine string
	r.fsm.read(func(s *state.State) { entries, rev, mine = s.Instances(), s.Revision(), s.Members()[r.cfg.ID] })
	if mine != r.Addr() {
		r.propose([]state.Op{{Kind: state.OpSetMember, UID: r.cfg.ID, Address: r.Addr()}})
	}
	r.fsm.hub.mu.Lock()
	wake := r.fsm.hub.wake
	r.fsm.hub.mu.Unlock()
	return newLeases(r.cfg.Guard, entries, now), rev, wake
}

// agreed tells the leases of the limits, and gives the permits that have not begun.
func (r *Replica) agreed(kept *leases) (held []*disruption.Permit) {
	r.fsm.read(func(s *state.State) {
		limits := s.Limits()
		if limits == nil {
			kept.warmFor, kept.lapse = 0, defaultLapse
			return
		}
		kept.warmFor, kept.lapse = time.Duration(limits.WarmUpMS)*time.Millisecond, time.Duration(limits.PermitExpiryMS)*time.Millisecond
		if kept.lapse == 0 {
			kept.lapse = defaultLapse
		}
		for _, p := range s.Budget().Permits() {
			if !p.Begun {
				copied := *p
				held = append(held, &copied)
			}
		}
	})
	return held
}

// follow brings the leases up to what has changed since a revision.
func (r *Replica) follow(kept *leases, since int64, now time.Duration) (int64, <-chan struct{}) {
	rev, wake, changed, whole := r.fsm.hub.entriesAfter(since)
	if whole {
		r.fsm.read(func(s *state.State) { changed, rev = s.Instances(), s.Revision() })
		*kept = *newLeases(kept.guard, changed, now)
		return rev, wake
	}
	for _, e := range changed {
		kept.hold(e, now)
	}
	return rev, wake
}

// entriesAfter is what has changed since a revision.
func (h *hub) entriesAfter(since int64) (rev int64, wake <-chan struct{}, changed []*state.Instance, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if since == h.rev {
		return h.rev, h.wake, nil, false
	}
	found := false
	for _, l := range h.lines {
		found = found || l.from == since
		if found {
			changed = append(changed, l.changed...)
		}
	}
	return h.rev, h.wake, changed, !found
}

// propose writes without waiting for what comes of it: the next look sees that. Ends of leases carry the wall clock, for people.
func (r *Replica) propose(ops []state.Op) {
	for i := range ops {
		if k := ops[i].Kind; k == state.OpExpire || k == state.OpSuspect {
			ops[i].WallTimeMS = time.Now().UnixMilli()
		}
	}
	text, err := json.Marshal(command{Ops: ops})
	if err != nil {
		r.cfg.Logger.Error("a write of the leader's own", "error", err)
		return
	}
	r.raft.Apply(text, writeWithin)
}

// errNotLeader says that another replica leads, or none.
var errNotLeader = errors.New("not the leader")

// write has a command committed and gives its answers.
func (r *Replica) write(c command) ([]state.Result, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	f := r.raft.Apply(text, writeWithin)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) || errors.Is(err, raft.ErrLeadershipTransferInProgress) {
			return nil, fmt.Errorf("%w: %w", errNotLeader, err)
		}
		return nil, err
	}
	r.meters.took.Observe(time.Since(began).Seconds())
	a, ok := f.Response().(answers)
	if !ok {
		return nil, fmt.Errorf("the log gave %T for a write", f.Response())
	}
	return a.list, a.err
}

// renew renews leases and gives the uids of those that this replica does not know so.
func (r *Replica) renew(ctx context.Context, l []Lease) (unknown []string, err error) {
	answered := make(chan struct{})
	ask := func(kept *leases) {
		defer close(answered)
		if kept == nil {
			err = errNotLeader
			return
		}
		now := kept.last
		for _, h := range l {
			if !kept.renew(h.UID, h.Token, now) {
				unknown = append(unknown, h.UID)
			}
		}
	}
	select {
	case r.asks <- ask:
		<-answered
		return unknown, err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, errNotLeader
	}
}

// upToDate waits until this replica has all that was committed when it was asked; only the leader can tell.
func (r *Replica) upToDate() error {
	if err := r.raft.Barrier(writeWithin).Error(); err != nil {
		return fmt.Errorf("%w: %w", errNotLeader, err)
	}
	return nil
}

// backup is the State as a snapshot.
func (r *Replica) backup() (text []byte, err error) {
	r.fsm.read(func(s *state.State) { text, err = s.Snapshot() })
	return text, err
}

// readAll reads a bounded body.
func readAll(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxRequest+1))
	if err == nil && len(text) > maxRequest {
		err = errors.New("the request is too long")
	}
	return text, err
}
