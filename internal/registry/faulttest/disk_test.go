package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// The leader is killed and restarted with a full disk, simulated by a limit on the size of its files. The other replicas
// continue, no acknowledged write is lost, and the replica catches up when it is restarted without the limit.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	c, cl := startCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	registered := map[string]bool{}
	write := func(name string, n int) {
		for i := range n {
			var ops []state.Op
			for k := range 20 {
				uid := fmt.Sprint(name, "-", i, "-", k)
				ops = append(ops, state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "a:1", State: state.Serving}})
				registered[uid] = true
			}
			if _, err := cl.Write(ctx, ops...); err != nil {
				t.Fatalf("%s %d: %v", name, i, err)
			}
		}
	}
	write("before", 5)
	// The limit is in blocks of 512 bytes. It is larger than the current log, so that the replica starts, and smaller than the
	// log after the next writes.
	full := c.Leader(0)
	c.Kill(full)
	c.SetCommand(full, append([]string{"/bin/sh", "-c", `ulimit -f 512; exec "$@"`, "sh"}, replicaCommand(t)...))
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	write("full", 150)
	if log := c.Logs(full); !strings.Contains(log, "file too large") {
		t.Errorf("the replica's log output does not report \"file too large\": %s", log)
	}
	// The replica has either exited or rejected entries. In both cases it must start again without the limit.
	c.Kill(full)
	c.SetCommand(full, replicaCommand(t))
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	write("after", 5)
	var all api.WatchEvent
	if err := cl.Call(ctx, "GET", api.PathInstances+"?consistent=1", nil, &all); err != nil {
		t.Fatal(err)
	}
	reader, err := client.New(client.Options{Endpoints: []string{c.Addresses()[full]}})
	if err != nil {
		t.Fatal(err)
	}
	var recoveredList api.WatchEvent
	if err := reader.Call(ctx, "GET", fmt.Sprintf("/registry/instances?at_least=%d", all.Revision), nil, &recoveredList); err != nil {
		t.Fatalf("%v: %s", err, c.Logs(full))
	}
	for name, l := range map[string]api.WatchEvent{"the registry": all, "the replica that was full": recoveredList} {
		if len(l.Instances) != len(registered) {
			t.Errorf("%s has %d instances, %d were acknowledged", name, len(l.Instances), len(registered))
		}
	}
}

// meanWriteTime returns the mean time of n sequential writes.
func meanWriteTime(ctx context.Context, t *testing.T, cl *client.Client, n int) time.Duration {
	t.Helper()
	began := time.Now()
	for range n {
		if _, err := cl.Write(ctx, state.Op{Kind: state.OpNoop}); err != nil {
			t.Fatal(err)
		}
	}
	return time.Since(began) / time.Duration(n)
}

// The disk of the leader becomes slow or hangs. The leader's heartbeats continue, so no other replica would start an
// election; the leader must give up leadership itself, and writes must then be fast at the new leader. A replica whose disk
// hangs must exit.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"slow": 600 * time.Millisecond, "hung": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, cl := startCluster(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
			defer cancel()
			meanWriteTime(ctx, t, cl, 5)
			slow := c.Leader(0)
			ended := c.Exited(slow)
			if err := c.SetSyncDelay(slow, delay); err != nil {
				t.Fatal(err)
			}
			for c.Leader(slow) == slow { // the leader detects a slow disk only while it writes
				meanWriteTime(ctx, t, cl, 1)
			}
			if took := meanWriteTime(ctx, t, cl, 10); took > delay/2 {
				t.Errorf("a write takes %v after the leader's disk became slow", took)
			}
			if delay == time.Hour {
				select {
				case <-ended:
				case <-ctx.Done():
					t.Errorf("the replica whose disk hangs has not exited: %s", c.Logs(slow))
				}
			}
		})
	}
}

// An entry of the leader's log is corrupted while the leader runs, and a lagging replica needs that entry. The leader must
// exit and log the reason; the others must continue with all acknowledged writes.
func TestCorruptEntryWhileRunning(t *testing.T) {
	t.Parallel()
	c, cl := startCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	meanWriteTime(ctx, t, cl, 5)
	leader := c.Leader(0)
	lagging := (leader + 1) % c.Len()
	c.Kill(lagging)
	ended := c.Exited(leader)
	const marker = "corrupt-this-entry"
	e := &state.Instance{UID: marker, Endpoint: "a:1", State: state.Serving}
	results, err := cl.Write(ctx, state.Op{Kind: state.OpRegister, Instance: e})
	if err != nil {
		t.Fatal(err)
	}
	if n := corruptText(t, filepath.Join(c.DataDir(leader), "log.db"), marker); n == 0 {
		t.Fatal("the entry is not in the log")
	}
	if err := c.Start(lagging); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatalf("the leader has not exited: %s", c.Logs(leader))
	}
	if log := c.Logs(leader); !strings.Contains(log, "is not what was written") {
		t.Errorf("the leader has not logged the corrupt entry: %s", log)
	}
	reader, err := client.New(client.Options{Endpoints: []string{c.Addresses()[lagging]}})
	if err != nil {
		t.Fatal(err)
	}
	var l api.WatchEvent
	if err := reader.Call(ctx, "GET", fmt.Sprintf("/registry/instances?at_least=%d", results[0].Revision), nil, &l); err != nil {
		t.Fatalf("%v: %s", err, c.Logs(lagging))
	}
	if len(l.Instances) != 1 || l.Instances[0].UID != marker {
		t.Errorf("the lagging replica has %v", l.Instances)
	}
}

// corruptText flips a bit of each occurrence of marker in a file, in place, and returns the number of occurrences.
func corruptText(t *testing.T, path, marker string) (n int) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for at := 0; ; at++ {
		next := bytes.Index(text[at:], []byte(marker))
		if next < 0 {
			return n
		}
		at += next
		if _, err := f.WriteAt([]byte{text[at] ^ 1}, int64(at)); err != nil {
			t.Fatal(err)
		}
		n++
	}
}
