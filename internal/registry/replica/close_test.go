package replica

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// closeTimeout bounds Close of a replica with a working disk, as raft ends within a few ticks.
const closeTimeout = 10 * time.Second

// startPair starts a registry of two replicas and waits until one of them leads.
func startPair(t *testing.T) [2]*Replica {
	t.Helper()
	var peers []Peer
	for _, id := range []string{"r0", "r1"} {
		peers = append(peers, Peer{ID: id, RaftAddress: freeAddr(t), ClientAddress: freeAddr(t)})
	}
	var pair [2]*Replica
	for i, p := range peers {
		r, err := New(Config{ID: p.ID, DataDir: t.TempDir(), RaftAddress: p.RaftAddress, ClientAddress: p.ClientAddress, Peers: peers, Tick: 20 * time.Millisecond,
			Guard: ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
		if err != nil {
			t.Fatal(err)
		}
		pair[i] = r
	}
	waitFor(t, "a leader", func() bool { return pair[0].raft.State() == raft.Leader || pair[1].raft.State() == raft.Leader })
	return pair
}

// closeInTime closes a replica and fails if that takes longer than closeTimeout.
func closeInTime(t *testing.T, r *Replica) {
	t.Helper()
	closed := make(chan error, 1)
	go func() { closed <- r.Close() }()
	select {
	case err := <-closed:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(closeTimeout):
		t.Fatalf("Close of %s has not returned after %v; raft state %v", r.cfg.ID, closeTimeout, r.raft.State())
	}
}

// A replica closes while raft holds an election, whatever state and unanswered requests raft leaves behind.
func TestCloseDuringElections(t *testing.T) {
	const pairs = 10
	const maxPause = 100 * time.Millisecond // several ticks, so that the second replica is closed at any moment of an election
	for range pairs {
		pair := startPair(t)
		first := rand.IntN(len(pair))
		pause := time.NewTimer(rand.N(maxPause))
		closeInTime(t, pair[first])
		<-pause.C
		closeInTime(t, pair[1-first])
	}
}

// A replica closes although raft stays in another state than Shutdown, which an election that crosses the shutdown sets.
func TestCloseWithoutRaftShutdownState(t *testing.T) {
	r := startLeader(t, t.TempDir())
	r.closeOnce.Do(func() { close(r.closing) })
	select {
	case <-r.leaderDone:
	case <-time.After(closeTimeout):
		t.Fatal("the leader loop has not ended")
	}
	if state := r.raft.State(); state == raft.Shutdown {
		t.Errorf("raft state %v, want one that does not show the end of this replica", state)
	}
}

// neverAnswered is a request that raft has accepted and never answers.
type neverAnswered struct{}

func (neverAnswered) Error() error { select {} }

// A request that raft never answers ends when the replica closes.
func TestCloseWithUnansweredRequest(t *testing.T) {
	r := startLeader(t, t.TempDir())
	result := make(chan error, 1)
	go func() { result <- r.wait(neverAnswered{}) }()
	closeInTime(t, r)
	select {
	case err := <-result:
		if !errors.Is(err, raft.ErrRaftShutdown) {
			t.Errorf("got %v, want %v", err, raft.ErrRaftShutdown)
		}
	case <-time.After(closeTimeout):
		t.Fatal("the request still waits")
	}
}

// The goroutines of watches have ended when Close returns, so that none reads the state of a closed replica.
func TestCloseWaitsForWatches(t *testing.T) {
	r := startLeader(t, t.TempDir())
	const watches = 10
	for range watches {
		resp, err := http.Get("http://" + r.Addr() + "/registry/instances?follow=1")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
	}
	waitFor(t, "all watches", func() bool { return r.watches.len() == watches })
	closeInTime(t, r)
	if n := r.watches.len(); n > 0 {
		t.Errorf("%d watches remain after Close", n)
	}
}
