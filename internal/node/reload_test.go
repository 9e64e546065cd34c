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

// completeFile is a complete configuration, as the platform writes it, for a node with one server.
func completeFile(server string) map[string]any {
	lane := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "key-scope": "all", "target-ms": 2000.0,
			"deadline-ms": 5000.0, "window-ms": 10000.0, "worth": 1.0, "stream": false, "late-share": 0.0}
	}
	aimed := lane("read", "read_like")
	aimed["aim-stretch"] = 1.5 // one of the keys that may be absent
	return map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "control": "127.0.0.1:0", "seed": "1f",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 0.0, "sockets": 256.0},
		"known": map[string]any{"rev": 1.0, "all": true, "targets": []any{
			map[string]any{"uid": "s", "endpoint": server, "state": "SERVING"}}},
		"settings": map[string]any{"lanes": []any{aimed, lane("order", "non_idempotent")},
			"limits":        map[string]any{"max-attempts": 3.0, "conn-idle-ms": 30000.0, "connect-timeout-ms": 20000.0},
			"registry-mode": "on_request", "fees": map[string]any{"waste": 0.25}},
	}
}

func settingsOf(file map[string]any) map[string]any { return file["settings"].(map[string]any) }

func lanesOf(file map[string]any) []any { return settingsOf(file)["lanes"].([]any) }

// writeFile writes a configuration and returns its path.
func writeFile(t *testing.T, file any) string {
	t.Helper()
	text, is := file.(string)
	if !is {
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
	return startControlled(t, cfg)
}

func (n *Node) awaitApplied(t *testing.T, files int) {
	t.Helper()
	for end := time.Now().Add(nodetest.Limit); vars(t, n).SighupApplied < files; {
		if time.Now().After(end) {
			t.Fatalf("%d files were never applied", files)
		}
	}
}

// A new class is served, a removed one is unknown, and a changed effect and number of attempts apply.
func TestReloadTakesNewSettings(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.Stub(t, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", false)
	file := completeFile(addr)
	n := startFromFile(t, file)
	if s := status(t, n, "GET", "/fresh/1"); s != http.StatusNotFound || len(got) > 0 {
		t.Fatalf("a class before its time: %d", s)
	}
	lanes := lanesOf(file)
	lanes[0].(map[string]any)["name"] = "fresh"
	delete(lanes[0].(map[string]any), "aim-stretch")
	lanes[1].(map[string]any)["effect"] = "idempotency_key"
	if err := n.ReloadFile(writeFile(t, file)); err != nil {
		t.Fatal(err)
	}
	n.awaitApplied(t, 1)
	if s := status(t, n, "GET", "/read/1"); s != http.StatusNotFound || len(got) > 0 {
		t.Errorf("a class that was dropped: %d", s)
	}
	if s := status(t, n, "POST", "/order/1"); s != http.StatusBadRequest || len(got) > 0 {
		t.Errorf("a class that wants a key now, without one: %d", s)
	}
	status(t, n, "GET", "/fresh/1")
	if len(got) == 0 {
		t.Error("the new class reaches no server")
	}
	if f := vars(t, n); f.SighupRejected != 0 || len(f.Results) != 3 {
		t.Errorf("figures %+v", f)
	}
}

// A file with any fault changes nothing, and is counted.
func TestReloadRejectsBrokenFiles(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.Stub(t, nodetest.OK, false)
	n := startFromFile(t, completeFile(addr))
	complete, err := json.Marshal(completeFile(addr))
	if err != nil {
		t.Fatal(err)
	}
	broken := map[string]any{"empty": "", "cut off": string(complete[:len(complete)-40]), "a list": "[]", "null": "null"}
	change := func(name string, f func(file map[string]any)) {
		file := completeFile(addr)
		file["discovery"] = "127.0.0.1:2"
		lanesOf(file)[0].(map[string]any)["name"] = "fresh"
		f(file)
		broken[name] = file
	}
	for key := range completeFile(addr) {
		change("no "+key, func(file map[string]any) { delete(file, key) })
	}
	for key := range settingsOf(completeFile(addr)) {
		change("no settings."+key, func(file map[string]any) { delete(settingsOf(file), key) })
	}
	for key := range lanesOf(completeFile(addr))[1].(map[string]any) {
		change("no lane's "+key, func(file map[string]any) { delete(lanesOf(file)[1].(map[string]any), key) })
	}
	for _, key := range []string{"deadline-ms", "target-ms"} {
		for _, v := range []float64{0, -5} {
			change(key+" not over 0", func(file map[string]any) { lanesOf(file)[1].(map[string]any)[key] = v })
		}
	}
	for _, v := range []any{0, -1, "6", nil} {
		change("attempts not over 0", func(file map[string]any) {
			settingsOf(file)["limits"].(map[string]any)["max-attempts"] = v
		})
	}
	change("no lanes", func(file map[string]any) { settingsOf(file)["lanes"] = []any{} })
	change("a name twice", func(file map[string]any) { lanesOf(file)[1].(map[string]any)["name"] = "fresh" })
	for name, file := range broken {
		if err := n.ReloadFile(writeFile(t, file)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if f := vars(t, n); f.SighupApplied != 0 || f.SighupRejected != len(broken) {
		t.Errorf("%d broken files: %+v", len(broken), f)
	}
	if s := status(t, n, "GET", "/read/1"); s != http.StatusOK {
		t.Errorf("the old class after broken files: %d", s)
	}
	n.loop.post(func() {
		if n.loop.watcher.client.Addr != "127.0.0.1:1" || n.loop.maxAttempts != 3 {
			t.Errorf("after broken files: discovery %s, %d attempts", n.loop.watcher.client.Addr, n.loop.maxAttempts)
		}
	})
}

// A request that came before a reload keeps its number of attempts; one that the frontend read before and the loop accepts
// after the reload follows the new settings.
func TestReloadBetweenFrontendAndLoop(t *testing.T) {
	t.Parallel()
	cfg := testConfig("127.0.0.1:1")
	n := startControlled(t, cfg)
	r := &request{class: "read", deadline: n.loop.now() + nodetest.Limit, fallbackAt: n.loop.now() + nodetest.Limit,
		outgoing: newRequest(t, n, "GET", "/read/1", ""), answer: make(chan answer, 1)}
	late := &request{class: "read", outgoing: newRequest(t, n, "GET", "/read/1", ""), answer: make(chan answer, 1)}
	n.loop.post(func() { n.loop.accept(r) })
	cfg.Settings.MaxAttempts, cfg.Settings.Classes = 2, cfg.Settings.Classes[1:]
	if err := n.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	n.loop.post(func() {
		n.loop.accept(late)
		if r.maxAttempts != 6 || n.loop.maxAttempts != 2 {
			t.Errorf("%d attempts for the old request, %d for new ones", r.maxAttempts, n.loop.maxAttempts)
		}
	})
	if a := nodetest.Wait(t, late.answer); a.rejection == nil || !strings.Contains(a.rejection.Error(), "not in the settings") {
		t.Errorf("a dropped class: %+v", a)
	}
}
