package scale

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/replica"
	"umberbank/internal/registry/state"
)

// testTimeout is the timeout of each size, and the idle timeout of the watchers.
const testTimeout = 30 * time.Second

// The number of messages and bytes that each watcher receives for a change of one server does not depend on the number of servers
// and watchers. It is counted at the sockets, with a registry in this process.
func TestChangeCostIndependentOfNodes(t *testing.T) {
	const changes = 5
	bytes := map[int]int64{}
	for _, n := range []int{10, 100} {
		bytes[n] = func() int64 {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			at, raft := free(t), free(t)
			r, err := replica.New(replica.Config{ID: "r0", DataDir: t.TempDir(), RaftAddress: raft, ClientAddress: at, Peers: []replica.Peer{{ID: "r0", RaftAddress: raft, ClientAddress: at}},
				Tick: 20 * time.Millisecond, Guard: replica.ExpiryGuard{MaxZoneFraction: 0.3, MinExpired: 5, Window: time.Second, ConfirmAfter: time.Second}})
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			var writerMeter meter
			w, err := client.New(client.Options{Endpoints: []string{at}, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond, Dial: writerMeter.dial})
			if err != nil {
				t.Fatal(err)
			}
			defer writerMeter.kill()
			var ops []state.Op
			for i := range n {
				ops = append(ops, state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: locationOf(i).server, Endpoint: fmt.Sprintf("10.1.0.%03d:3000", i), Zone: "z", State: state.Serving}})
			}
			a, err := w.Write(ctx, ops...)
			if err != nil {
				t.Fatal(err)
			}
			rev := a[len(a)-1].Revision
			meters, received := make([]meter, n), make(chan int64, n*(changes+1))
			var readers []*client.Watcher
			watching, end := context.WithCancel(ctx)
			var running sync.WaitGroup
			defer running.Wait()
			defer end()
			for i := range n {
				reader, err := client.NewWatcher(client.Options{Endpoints: []string{at}, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond, IdleTimeout: testTimeout, Dial: meters[i].dial})
				if err != nil {
					t.Fatal(err)
				}
				readers = append(readers, reader)
				running.Go(func() { _ = reader.Run(watching, func(u client.WatchEvent) { received <- u.Revision }) })
			}
			all := func(rev int64) {
				for reached := 0; reached < n; {
					select {
					case got := <-received:
						if got == rev {
							reached++
						}
					case <-ctx.Done():
						t.Fatalf("%d of %d watchers have revision %d", reached, n, rev)
					}
				}
			}
			all(rev)
			before := make([]int64, n)
			for i := range meters {
				before[i] = meters[i].traffic().bytes
			}
			for i := range changes {
				capacity := float64(2 + i)
				a, err := w.Write(ctx, state.Op{Kind: state.OpUpdate, UID: locationOf(0).server, Capacity: &capacity})
				if err != nil {
					t.Fatal(err)
				}
				all(a[0].Revision)
			}
			most := int64(0)
			for i, reader := range readers {
				most = max(most, meters[i].traffic().bytes-before[i])
				if v := reader.View(); v.Changes != changes || v.FullLists != 1 || meters[i].traffic().calls != 1 {
					t.Errorf("%d nodes: %d changes and %d full lists in %d requests", n, v.Changes, v.FullLists, meters[i].traffic().calls)
				}
			}
			return most
		}()
	}
	// On a slow machine a few heartbeats of the watch may add up to a tenth.
	if bytes[10] < changes*50 || float64(bytes[100]) > 1.1*float64(bytes[10]) {
		t.Errorf("bytes received by a watcher for %d changes, by number of nodes: %v", changes, bytes)
	}
	t.Logf("bytes received by a watcher for %d changes, by number of nodes: %v", changes, bytes)
}

func free(t *testing.T) string {
	t.Helper()
	a, err := cluster.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}
