package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// limit is how long anything may take that has to happen.
const limit = 30 * time.Second

// A node follows the registry as its discovery service: it takes servers from it, serves on while all replicas are
// unreachable, and is sent what has changed once they are back.
func TestNodeFollowsRegistry(t *testing.T) {
	t.Parallel()
	c, w := started(t)
	server := func(name string) *state.Instance {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, name) }))
		t.Cleanup(s.Close)
		return &state.Instance{UID: name, Endpoint: strings.TrimPrefix(s.URL, "http://"), Zone: "a", State: state.Serving, Capacity: 1}
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	if _, err := w.Write(ctx, state.Op{Kind: state.OpRegister, Instance: server("one")}); err != nil {
		t.Fatal(err)
	}
	follow := map[string]map[string]any{
		"as discovery": {"discovery": c.Addresses()[0]},
		"as registry":  {"discovery": "127.0.0.1:1", "registry": map[string]any{"endpoints": c.Addresses()}},
	}
	nodes := map[string]string{}
	for name, keys := range follow {
		nodes[name] = startNode(t, keys)
		await(t, nodes[name], "one")
	}
	// One with all endpoints is sent changes while any replica serves.
	c.Kill(0)
	if _, err := w.Write(ctx, state.Op{Kind: state.OpRemove, UID: "one"}, state.Op{Kind: state.OpRegister, Instance: server("more")}); err != nil {
		t.Fatal(err)
	}
	await(t, nodes["as registry"], "more")
	for i := range c.Len() {
		c.Kill(i)
	}
	for range 20 {
		for name, want := range map[string]string{"as discovery": "200 one", "as registry": "200 more"} {
			if got := get(nodes[name]); got != want {
				t.Fatalf("%s, without a registry: %q", name, got)
			}
		}
	}
	for i := range c.Len() {
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.Write(ctx, state.Op{Kind: state.OpRemove, UID: "more"}, state.Op{Kind: state.OpRegister, Instance: server("two")}); err != nil {
		t.Fatal(err)
	}
	for name := range follow {
		await(t, nodes[name], "two")
	}
}

// startNode runs bin/umberbank-node's program with the keys that say whom it follows, and gives where it listens.
func startNode(t *testing.T, follow map[string]any) string {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "umberbank-node")
	if out, err := exec.Command("go", "build", "-o", bin, "umberbank/cmd/umberbank-node").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	listen, err := cluster.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	keys := map[string]any{"name": "n0", "listen": listen, "seed": "1f",
		"settings": map[string]any{"registry-mode": "pushed", "lanes": []any{map[string]any{"name": "read", "effect": "read_like", "target-ms": 1000, "deadline-ms": 2000}},
			"limits": map[string]any{"max-attempts": 3}}}
	maps.Copy(keys, follow)
	config, err := json.Marshal(keys)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(bin)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait() //nolint:errcheck // it was killed
	})
	return listen
}

func get(listen string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+listen+"/read/1", nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Correlation-Id", "c-1")
	req.Header.Set("X-Time-Left", "2000m")
	resp, err := (&http.Client{Timeout: limit}).Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, b)
}

// await asks until a server's answer comes.
func await(t *testing.T, listen, name string) {
	t.Helper()
	got := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if got = get(listen); got == "200 "+name {
			return
		}
	}
	t.Fatalf("the node never came to %s: %q", name, got)
}
