package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// testTimeout bounds everything that a test waits for.
const testTimeout = 30 * time.Second

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 220+rand.IntN(30), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startReplica starts a registry of one replica on a data directory.
func startReplica(t *testing.T, dir string) (*Replica, error) {
	t.Helper()
	return New(replicaConfig(t, dir))
}

// replicaConfig returns the configuration of a registry of one replica on a data directory.
func replicaConfig(t *testing.T, dir string) Config {
	t.Helper()
	a, b := freeAddr(t), freeAddr(t)
	return Config{ID: "r0", DataDir: dir, RaftAddress: a, ClientAddress: b, Peers: []Peer{{ID: "r0", RaftAddress: a, ClientAddress: b}}, Tick: 20 * time.Millisecond,
		SnapshotThreshold: 40, Guard: ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}}
}

// write sends ops to a replica and returns their results.
func write(t *testing.T, r *Replica, ops ...state.Op) []state.Result {
	t.Helper()
	c, err := client.New(client.Options{Endpoints: []string{r.Addr()}, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	results, err := c.Write(ctx, ops...)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// register returns an op that registers server i.
func register(i int) state.Op {
	return state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: fmt.Sprint("s", i), Endpoint: "10.0.0.1:3000", Zone: "zone-of-the-test", State: state.Serving}}
}

// startLeader starts a registry of one replica on a data directory. It returns once the replica leads and has written its own
// address, which is the first write of a new leader.
func startLeader(t *testing.T, dir string) *Replica {
	t.Helper()
	return startConfiguredLeader(t, replicaConfig(t, dir))
}

// startConfiguredLeader is startLeader with a configuration.
func startConfiguredLeader(t *testing.T, cfg Config) *Replica {
	t.Helper()
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	waitFor(t, "the replica to lead and to write its address", func() (written bool) {
		r.fsm.read(func(s *state.State) { written = s.Members()[r.cfg.ID] == r.Addr() })
		return written && r.raft.State() == raft.Leader
	})
	return r
}

// waitFor polls until ok holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited %v for %s", testTimeout, what)
		}
	}
}
