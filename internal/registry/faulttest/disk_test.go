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

// The leader's disk is full: its files cannot grow beyond a bound. The others go on without it, no acknowledged write is
// lost, and once there is capacity again it catches up.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	c, w := started(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*limit)
	defer cancel()
	written := map[string]bool{}
	write := func(name string, n int) {
		for i := range n {
			var ops []state.Op
			for k := range 20 {
				uid := fmt.Sprint(name, "-", i, "-", k)
				ops = append(ops, state.Op{Kind: state.OpRegister, Instance: &state.Instance{UID: uid, Endpoint: "a:1", State: state.Serving}})
				written[uid] = true
			}
			if _, err := w.Write(ctx, ops...); err != nil {
				t.Fatalf("%s %d: %v", name, i, err)
			}
		}
	}
	write("before", 5)
	// In blocks of 512 bytes: a little more than its log has now.
	full := c.Leader(0)
	c.Kill(full)
	c.SetCommand(full, append([]string{"/bin/sh", "-c", `ulimit -f 512; exec "$@"`, "sh"}, command(t)...))
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	write("full", 150)
	if log := c.Logs(full); !strings.Contains(log, "file too large") {
		t.Errorf("the disk was not full: %s", log)
	}
	// Whether it ended or rejected entries, it starts again with capacity.
	c.Kill(full)
	c.SetCommand(full, command(t))
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	write("after", 5)
	var all api.WatchEvent
	if err := w.Call(ctx, "GET", api.PathInstances+"?consistent=1", nil, &all); err != nil {
		t.Fatal(err)
	}
	recovered, err := client.New(client.Options{Endpoints: []string{c.Addresses()[full]}})
	if err != nil {
		t.Fatal(err)
	}
	var recoveredList api.WatchEvent
	if err := recovered.Call(ctx, "GET", fmt.Sprintf("/registry/instances?at_least=%d", all.Revision), nil, &recoveredList); err != nil {
		t.Fatalf("%v: %s", err, c.Logs(full))
	}
	for name, l := range map[string]api.WatchEvent{"the registry": all, "the replica that was full": recoveredList} {
		if len(l.Instances) != len(written) {
			t.Errorf("%s has %d entries, %d were acknowledged", name, len(l.Instances), len(written))
		}
	}
}

// meanWriteTime is the mean time of some writes, one after another.
func meanWriteTime(ctx context.Context, t *testing.T, w *client.Client, n int) time.Duration {
	t.Helper()
	began := time.Now()
	for range n {
		if _, err := w.Write(ctx, state.Op{Kind: state.OpNoop}); err != nil {
			t.Fatal(err)
		}
	}
	return time.Since(began) / time.Duration(n)
}

// The leader's disk becomes slow, and later hangs. Its heartbeats would go on and nobody stand against it; another
// leads instead, and writes take what they take there.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	for name, wait := range map[string]time.Duration{"slow": 600 * time.Millisecond, "hung": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, w := started(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*limit)
			defer cancel()
			meanWriteTime(ctx, t, w, 5)
			slow := c.Leader(0)
			ended := c.Exited(slow)
			if err := c.SetSyncDelay(slow, wait); err != nil {
				t.Fatal(err)
			}
			for c.Leader(slow) == slow { // who leads only knows its disk by writing
				meanWriteTime(ctx, t, w, 1)
			}
			if took := meanWriteTime(ctx, t, w, 10); took > wait/2 {
				t.Errorf("writes still take %v", took)
			}
			if wait == time.Hour {
				select {
				case <-ended:
				case <-ctx.Done():
					t.Errorf("the replica whose disk hangs goes on: %s", c.Logs(slow))
				}
			}
		})
	}
}

// An entry of the leader's log is corrupted while it runs, and a replica needs it. The leader ends and logs why; the others
// go on with all that was acknowledged.
func TestCorruptEntryWhileRunning(t *testing.T) {
	t.Parallel()
	c, w := started(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*limit)
	defer cancel()
	meanWriteTime(ctx, t, w, 5)
	leader := c.Leader(0)
	behind := (leader + 1) % c.Len()
	c.Kill(behind)
	ended := c.Exited(leader)
	const mark = "corrupt-this-entry"
	e := &state.Instance{UID: mark, Endpoint: "a:1", State: state.Serving}
	a, err := w.Write(ctx, state.Op{Kind: state.OpRegister, Instance: e})
	if err != nil {
		t.Fatal(err)
	}
	if n := corruptText(t, filepath.Join(c.DataDir(leader), "log.db"), mark); n == 0 {
		t.Fatal("the entry is not in the log")
	}
	if err := c.Start(behind); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatalf("the leader goes on: %s", c.Logs(leader))
	}
	if log := c.Logs(leader); !strings.Contains(log, "is not what was written") {
		t.Errorf("the leader does not log why: %s", log)
	}
	late, err := client.New(client.Options{Endpoints: []string{c.Addresses()[behind]}})
	if err != nil {
		t.Fatal(err)
	}
	var l api.WatchEvent
	if err := late.Call(ctx, "GET", fmt.Sprintf("/registry/instances?at_least=%d", a[0].Revision), nil, &l); err != nil {
		t.Fatalf("%v: %s", err, c.Logs(behind))
	}
	if len(l.Instances) != 1 || l.Instances[0].UID != mark {
		t.Errorf("the others hold %v", l.Instances)
	}
}

// corruptText flips a byte wherever a file holds a text, in place, and returns how often.
func corruptText(t *testing.T, path, mark string) (n int) {
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
		next := bytes.Index(text[at:], []byte(mark))
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
