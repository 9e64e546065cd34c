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

// testTimeout limits the wait for any event that a test expects.
const testTimeout = 30 * time.Second

// A node gets its servers from the registry, which is configured either as its discovery service or as its registry. It keeps
// serving while no replica runs, and receives the changes when the replicas run again.
func TestNodeFollowsRegistry(t *testing.T) {
	t.Parallel()
	c, cl := startCluster(t)
	server := func(name string) *state.Instance {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, name) }))
		t.Cleanup(s.Close)
		return &state.Instance{UID: name, Endpoint: strings.TrimPrefix(s.URL, "http://"), Zone: "a", State: state.Serving, Capacity: 1}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := cl.Write(ctx, state.Op{Kind: state.OpRegister, Instance: server("one")}); err != nil {
		t.Fatal(err)
	}
	configs := map[string]map[string]any{
		"as discovery": {"discovery": c.Addresses()[0]},
		"as registry":  {"discovery": "127.0.0.1:1", "registry": map[string]any{"endpoints": c.Addresses()}},
	}
	nodes := map[string]string{}
	for name, keys := range configs {
		nodes[name] = startNode(t, keys)
		awaitResponse(t, nodes[name], "one")
	}
	// A node that is configured with the endpoints of all replicas still receives changes after one replica has died.
	c.Kill(0)
	if _, err := cl.Write(ctx, state.Op{Kind: state.OpRemove, UID: "one"}, state.Op{Kind: state.OpRegister, Instance: server("more")}); err != nil {
		t.Fatal(err)
	}
	awaitResponse(t, nodes["as registry"], "more")
	for i := range c.Len() {
		c.Kill(i)
	}
	for range 20 {
		for name, want := range map[string]string{"as discovery": "200 one", "as registry": "200 more"} {
			if got := get(nodes[name]); got != want {
				t.Fatalf("node configured %s, without a registry: got %q", name, got)
			}
		}
	}
	for i := range c.Len() {
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := cl.Write(ctx, state.Op{Kind: state.OpRemove, UID: "more"}, state.Op{Kind: state.OpRegister, Instance: server("two")}); err != nil {
		t.Fatal(err)
	}
	for name := range configs {
		awaitResponse(t, nodes[name], "two")
	}
}

// startNode builds and starts umberbank-node with discoveryKeys added to its configuration, and returns its listen address.
func startNode(t *testing.T, discoveryKeys map[string]any) string {
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
	maps.Copy(keys, discoveryKeys)
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
		cmd.Wait() //nolint:errcheck // the process was killed
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
	resp, err := (&http.Client{Timeout: testTimeout}).Do(req)
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

// awaitResponse repeats a request to a node until the response is that of the named server.
func awaitResponse(t *testing.T, listen, name string) {
	t.Helper()
	got := ""
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if got = get(listen); got == "200 "+name {
			return
		}
	}
	t.Fatalf("the node did not respond with server %s in time, last response %q", name, got)
}
