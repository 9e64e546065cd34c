package node

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/node/config"
	"umberbank/internal/node/nodetest"
)

// completeConfig returns a complete configuration, as the platform writes it, for a node with one server.
func completeConfig(server string) map[string]any {
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "key-scope": "all", "target-ms": 2000.0,
			"deadline-ms": 5000.0, "window-ms": 10000.0, "worth": 1.0, "stream": false, "late-share": 0.0}
	}
	read := class("read", "read_like")
	read["aim-stretch"] = 1.5 // an optional key
	return map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "control": "127.0.0.1:0", "seed": "1f",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 0.0, "sockets": 256.0},
		"known": map[string]any{"rev": 1.0, "all": true, "targets": []any{
			map[string]any{"uid": "s", "endpoint": server, "state": "SERVING"}}},
		"settings": map[string]any{"lanes": []any{read, class("order", "non_idempotent")},
			"limits":        map[string]any{"max-attempts": 3.0, "conn-idle-ms": 30000.0, "connect-timeout-ms": 20000.0},
			"registry-mode": "on_request", "fees": map[string]any{"waste": 0.25}},
	}
}

func settingsOf(file map[string]any) map[string]any { return file["settings"].(map[string]any) }

func classesOf(file map[string]any) []any { return settingsOf(file)["lanes"].([]any) }

// writeFile writes a configuration, given as text or as a value to encode, and returns its path.
func writeFile(t *testing.T, file any) string {
	t.Helper()
	text, ok := file.(string)
	if !ok {
		b, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		text = string(b)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func startFromFile(t *testing.T, file any) *Node {
	t.Helper()
	cfg, err := config.Load(writeFile(t, file))
	if err != nil {
		t.Fatal(err)
	}
	return startWithControl(t, cfg)
}

// awaitApplied waits until the node has applied this number of reloads.
func (n *Node) awaitApplied(t *testing.T, reloads int) {
	t.Helper()
	for end := time.Now().Add(nodetest.Timeout); vars(t, n).SighupApplied < reloads; {
		if time.Now().After(end) {
			t.Fatalf("%d reloads are not applied in time", reloads)
		}
	}
}

// After a reload, requests of a new class are served, those of a removed class are rejected, and a changed effect of a class
// applies.
func TestReloadAppliesNewSettings(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", false)
	file := completeConfig(addr)
	n := startFromFile(t, file)
	if s := requestStatus(t, n, "GET", "/fresh/1"); s != http.StatusNotFound || len(got) > 0 {
		t.Fatalf("new class before the reload: got status %d", s)
	}
	classes := classesOf(file)
	classes[0].(map[string]any)["name"] = "fresh"
	delete(classes[0].(map[string]any), "aim-stretch")
	classes[1].(map[string]any)["effect"] = "idempotency_key"
	if err := n.ReloadFile(writeFile(t, file)); err != nil {
		t.Fatal(err)
	}
	n.awaitApplied(t, 1)
	if s := requestStatus(t, n, "GET", "/read/1"); s != http.StatusNotFound || len(got) > 0 {
		t.Errorf("removed class: got status %d", s)
	}
	if s := requestStatus(t, n, "POST", "/order/1"); s != http.StatusBadRequest || len(got) > 0 {
		t.Errorf("class that now requires an idempotency key, without one: got status %d", s)
	}
	requestStatus(t, n, "GET", "/fresh/1")
	if len(got) == 0 {
		t.Error("a request of the new class reached no server")
	}
	if f := vars(t, n); f.SighupRejected != 0 || len(f.Results) != 3 {
		t.Errorf("vars: got %+v", f)
	}
}

// An invalid file changes nothing and is counted as rejected.
func TestReloadRejectsBrokenFiles(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startFromFile(t, completeConfig(addr))
	complete, err := json.Marshal(completeConfig(addr))
	if err != nil {
		t.Fatal(err)
	}
	invalid := map[string]any{"empty": "", "truncated": string(complete[:len(complete)-40]), "a list": "[]", "null": "null"}
	change := func(name string, f func(file map[string]any)) {
		file := completeConfig(addr)
		file["discovery"] = "127.0.0.1:2"
		classesOf(file)[0].(map[string]any)["name"] = "fresh"
		f(file)
		invalid[name] = file
	}
	for key := range completeConfig(addr) {
		change("no "+key, func(file map[string]any) { delete(file, key) })
	}
	for key := range settingsOf(completeConfig(addr)) {
		change("no settings."+key, func(file map[string]any) { delete(settingsOf(file), key) })
	}
	for key := range classesOf(completeConfig(addr))[1].(map[string]any) {
		change("no lanes[1]."+key, func(file map[string]any) { delete(classesOf(file)[1].(map[string]any), key) })
	}
	for _, key := range []string{"deadline-ms", "target-ms"} {
		for _, v := range []float64{0, -5} {
			change(key+" not over 0", func(file map[string]any) { classesOf(file)[1].(map[string]any)[key] = v })
		}
	}
	for _, v := range []any{0, -1, "6", nil} {
		change("attempts not over 0", func(file map[string]any) {
			settingsOf(file)["limits"].(map[string]any)["max-attempts"] = v
		})
	}
	change("no lanes", func(file map[string]any) { settingsOf(file)["lanes"] = []any{} })
	change("a name twice", func(file map[string]any) { classesOf(file)[1].(map[string]any)["name"] = "fresh" })
	for name, file := range invalid {
		if err := n.ReloadFile(writeFile(t, file)); err == nil {
			t.Errorf("%s: the file was accepted", name)
		}
	}
	if f := vars(t, n); f.SighupApplied != 0 || f.SighupRejected != len(invalid) {
		t.Errorf("%d invalid files: got %+v", len(invalid), f)
	}
	if s := requestStatus(t, n, "GET", "/read/1"); s != http.StatusOK {
		t.Errorf("old class after invalid files: got status %d", s)
	}
	n.loop.post(func() {
		if n.loop.watcher.client.Addr != "127.0.0.1:1" || n.loop.maxAttempts != 3 {
			t.Errorf("after invalid files: discovery %s, %d attempts", n.loop.watcher.client.Addr, n.loop.maxAttempts)
		}
	})
}

// A request that the loop accepted before a reload keeps its maximum number of attempts. A request that the frontend read
// before the reload and the loop accepts after it is subject to the new settings.
func TestReloadBetweenFrontendAndLoop(t *testing.T) {
	t.Parallel()
	cfg := testConfig("127.0.0.1:1")
	n := startWithControl(t, cfg)
	r := &request{className: "read", deadline: n.loop.now() + nodetest.Timeout, fallbackAt: n.loop.now() + nodetest.Timeout,
		outgoing: newRequest(t, n, "GET", "/read/1", ""), response: make(chan clientResponse, 1)}
	late := &request{className: "read", outgoing: newRequest(t, n, "GET", "/read/1", ""), response: make(chan clientResponse, 1)}
	n.loop.post(func() { n.loop.accept(r) })
	cfg.Settings.MaxAttempts, cfg.Settings.Classes = 2, cfg.Settings.Classes[1:]
	if err := n.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	n.loop.post(func() {
		n.loop.accept(late)
		if r.maxAttempts != 6 || n.loop.maxAttempts != 2 {
			t.Errorf("got %d attempts for the old request, %d for new ones, want 6 and 2", r.maxAttempts, n.loop.maxAttempts)
		}
	})
	if resp := nodetest.Wait(t, late.response); resp.rejection == nil || !strings.Contains(resp.rejection.Error(), "not in the settings") {
		t.Errorf("removed class: got %+v", resp)
	}
}
