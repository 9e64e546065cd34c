package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/replica"
	"umberbank/internal/registry/state"
)

// The leader is replaced between writes: a new replica is added, and the old leader is removed and then killed. The new replica
// must catch up, no acknowledged write may be lost, and revisions must keep increasing.
func TestReplaceMember(t *testing.T) {
	t.Parallel()
	raft, err := cluster.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	address, err := cluster.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	next, err := replica.New(replica.Config{ID: "r9", DataDir: t.TempDir(), RaftAddress: raft, ClientAddress: address, Tick: 60 * time.Millisecond,
		Guard: replica.ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	c, cl := startCluster(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	written, last := 0, int64(0)
	write := func(n int) {
		for range n {
			res, err := cl.Write(ctx, state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: fmt.Sprint("s", written), Endpoint: "a:1", State: state.Serving}})
			if err != nil || res[0].Code != "" || res[0].Revision <= last {
				t.Fatalf("write %d: %+v after %d, %v", written, res, last, err)
			}
			last = res[0].Revision
			written++
		}
	}
	write(50)
	old := c.Leader(0) // the leader, whose loss has the largest effect
	for _, change := range []map[string]any{{"add": replica.Peer{ID: "r9", RaftAddress: raft, ClientAddress: address}}, {"remove": c.ID(old)}} {
		if err := cl.Call(ctx, "POST", "/registry/members", change, &struct{}{}); err != nil {
			t.Fatal(err)
		}
		write(20)
	}
	c.Kill(old)
	if err := os.RemoveAll(filepath.Join(c.DataDir(old), "snapshots")); err != nil {
		t.Fatal(err)
	}
	write(20)
	newReplicaClient, err := client.New(client.Options{Endpoints: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	var l api.WatchEvent
	if err := newReplicaClient.Call(ctx, "GET", fmt.Sprintf("/registry/instances?at_least=%d", last), nil, &l); err != nil {
		t.Fatal(err)
	}
	if len(l.Instances) != written || l.Revision < last {
		t.Errorf("the new replica has %d instances of %d, at revision %d of %d", len(l.Instances), written, l.Revision, last)
	}
}
