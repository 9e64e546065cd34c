package replica

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// Settings of raft. Names that end in Ticks are durations in ticks.
const (
	heartbeatTicks        = 5
	electionTicks         = 5
	leaderLeaseTicks      = 4
	transportTimeoutTicks = 20
	snapshotCheckTicks    = 50
	commitTimeoutsPerTick = 10 // without new writes, the leader sends the commit index after one to two commit timeouts
	connectionsPerPeer    = 3
	retainedSnapshots     = 2
)

// openTransport starts to listen for the other replicas.
func (r *Replica) openTransport(logger hclog.Logger) error {
	advertised, err := net.ResolveTCPAddr("tcp", r.cfg.RaftAddress)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	tc := &raft.NetworkTransportConfig{Logger: logger, MaxPool: connectionsPerPeer, Timeout: transportTimeoutTicks * r.cfg.Tick}
	if slices.ContainsFunc(r.cfg.Peers, func(p Peer) bool { return p.DialAddress != "" }) {
		tc.ServerAddressProvider = &r.cfg
	}
	r.trans, err = raft.NewTCPTransportWithConfig(r.cfg.RaftAddress, advertised, tc)
	return err
}

// openLogStore opens the log, which it creates in a new data directory, and verifies all entries.
func (r *Replica) openLogStore() error {
	if err := checkLogPresent(r.cfg.DataDir); err != nil {
		return err
	}
	path := filepath.Join(r.cfg.DataDir, logFile)
	var err error
	if r.store, err = raftboltdb.NewBoltStore(path); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := renameio.WriteFile(filepath.Join(r.cfg.DataDir, logMarkerFile), nil, 0o600); err != nil {
		return err
	}
	r.logStore = newChecksumStore(r.store, slowSyncTicks*r.cfg.Tick, r.fail)
	if file := r.cfg.SyncDelayFile; file != "" {
		r.logStore.beforeSync = func() { time.Sleep(readSyncDelay(file)) }
	}
	if err := r.logStore.verify(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// readSyncDelay reads a duration from a file. It returns zero if the file is missing or invalid.
func readSyncDelay(path string) time.Duration {
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

// startRaft starts raft on the log and the snapshots. If there are peers, it bootstraps the cluster unless it already exists.
func (r *Replica) startRaft(logger hclog.Logger) error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(r.cfg.DataDir, retainedSnapshots, logger)
	if err != nil {
		return err
	}
	rc := r.raftConfig(logger)
	if len(r.cfg.Peers) > 0 {
		err := raft.BootstrapCluster(rc, r.logStore, r.store, snapshots, r.trans, bootstrapConfiguration(r.cfg.Peers))
		// ErrCantBootstrap means that the cluster already exists.
		if err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			return err
		}
	}
	if r.raft, err = raft.NewRaft(rc, r.fsm, r.logStore, r.store, snapshots, r.trans); err != nil {
		return fmt.Errorf("%s: %w", r.cfg.DataDir, err)
	}
	return nil
}

func (r *Replica) raftConfig(logger hclog.Logger) *raft.Config {
	tick := r.cfg.Tick
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(r.cfg.ID)
	rc.HeartbeatTimeout = heartbeatTicks * tick
	rc.ElectionTimeout = electionTicks * tick
	rc.LeaderLeaseTimeout = leaderLeaseTicks * tick
	rc.CommitTimeout = tick / commitTimeoutsPerTick
	rc.SnapshotThreshold = r.cfg.SnapshotThreshold
	rc.TrailingLogs = r.cfg.SnapshotThreshold
	rc.SnapshotInterval = snapshotCheckTicks * tick
	rc.BatchApplyCh = true
	rc.Logger = logger
	return rc
}

func bootstrapConfiguration(peers []Peer) raft.Configuration {
	var c raft.Configuration
	for _, p := range peers {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.RaftAddress)})
	}
	return c
}
