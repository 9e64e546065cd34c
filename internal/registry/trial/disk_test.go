package trial

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"hollyspur/internal/registry/client"
	"hollyspur/internal/registry/state"
)

// The leader's disk is full: its files cannot grow beyond a bound. The others go on without it, nothing that was answered
// is lost, and once there is room again it catches up.
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
				ops = append(ops, state.Op{Kind: state.Register, Entry: &state.Entry{UID: uid, Endpoint: "a:1", State: state.Serving}})
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
	c.Command(full, append([]string{"/bin/sh", "-c", `ulimit -f 512; exec "$@"`, "sh"}, command(t)...))
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	write("full", 150)
	if log := c.Logs(full); !strings.Contains(log, "file too large") {
		t.Errorf("the disk was not full: %s", log)
	}
	// Whether it died of it or turned entries down, it begins anew with room.
	c.Kill(full)
	c.Command(full, command(t))
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	write("after", 5)
	var all list
	if err := w.Call(ctx, "GET", "/registry/instances?consistent=1", nil, &all); err != nil {
		t.Fatal(err)
	}
	healed, err := client.NewWriter(client.Options{Endpoints: []string{c.Addresses()[full]}})
	if err != nil {
		t.Fatal(err)
	}
	var its list
	if err := healed.Call(ctx, "GET", fmt.Sprintf("/registry/instances?at_least=%d", all.Rev), nil, &its); err != nil {
		t.Fatalf("%v: %s", err, c.Logs(full))
	}
	for name, l := range map[string]list{"the registry": all, "the replica that was full": its} {
		if len(l.Targets) != len(written) {
			t.Errorf("%s has %d entries, %d were answered", name, len(l.Targets), len(written))
		}
	}
}
