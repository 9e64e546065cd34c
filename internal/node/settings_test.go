package node

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberbank/internal/node/config"
	"umberbank/internal/node/follower"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/registry/state"
)

// agreedConfig is a configuration with a rollout, whose registry does not answer.
func agreedConfig(t *testing.T, keep string) config.Config {
	t.Helper()
	return agreedConfigAt(t, "127.0.0.1:1", keep)
}

// agreedConfigAt is a configuration with a rollout from a registry at an address, with a short lease.
func agreedConfigAt(t *testing.T, addr, keep string) config.Config {
	t.Helper()
	cfg, err := config.Parse([]byte(agreedConfigText(addr, keep)))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// agreedConfigText is the file of agreedConfigAt.
func agreedConfigText(addr, keep string) string {
	text := strings.Replace(nodetest.Config, `"peers"`, `"agreed":{"endpoints":["`+addr+`"],"tier":"front","ttl_ms":150,"keep":"`+keep+`"},"peers"`, 1)
	return strings.Replace(text, `"127.0.0.1:3000"`, `"127.0.0.1:0"`, 1)
}

// otherSettings are the settings of nodetest.Config with a part of the text replaced.
func otherSettings(t *testing.T, old, replacement string) json.RawMessage {
	t.Helper()
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal([]byte(nodetest.Config), &file); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(json.RawMessage(strings.Replace(string(file.Settings), old, replacement, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A proposed version is validated like a reload and changes nothing. An activated one is run and saved, and the next
// process starts with it. A saved version that is damaged is ignored.
func TestVersionIsValidatedRunAndKept(t *testing.T) {
	t.Parallel()
	keep := filepath.Join(t.TempDir(), "kept")
	cfg := agreedConfig(t, keep)
	cfg.Settings.MaxAttempts = 3
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	go n.loop.run(t.Context())
	for text, want := range map[string]string{`"bounds":{`: ".settings.limits is missing", `"limits":{`: "max-attempts is not over 0", `"limits":7,"l":{`: "cannot"} {
		if err := n.validateSettings(otherSettings(t, `"limits":{`, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
	next := otherSettings(t, `"limits":{`, `"limits":{"max-attempts":4,`)
	if err := n.validateSettings(next); err != nil {
		t.Fatal(err)
	}
	f := n.follower
	if f.Activate(state.VersionContent{Number: 2, Hash: "another", Settings: next}); f.RunningVersion().Number != 0 {
		t.Error("it runs what has another hash")
	}
	f.Activate(state.VersionContent{Number: 2, Hash: state.ContentHash(next), Settings: next})
	attempts := make(chan int)
	n.loop.post(func() { attempts <- n.loop.maxAttempts })
	if got := nodetest.Wait(t, attempts); got != 4 || f.RunningVersion().Number != 2 {
		t.Errorf("version %d with %d attempts", f.RunningVersion().Number, got)
	}
	n.listener.Close()

	again, kept := follower.Restore(agreedConfig(t, keep))
	if kept.Number != 2 || again.Settings.MaxAttempts != 4 {
		t.Errorf("the next process starts with version %d, %d attempts", kept.Number, again.Settings.MaxAttempts)
	}
	text, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	for name, damaged := range map[string][]byte{"cut": text[:len(text)/2], "changed": []byte(strings.Replace(string(text), "400", "401", 1)), "empty": nil} {
		if err := os.WriteFile(keep, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, kept := follower.Restore(agreedConfig(t, keep)); kept.Number != 0 {
			t.Errorf("%s: it starts with version %d", name, kept.Number)
		}
	}
}

// A reload keeps settings from a rollout, and takes over the rest of the file.
func TestReloadKeepsRolloutSettings(t *testing.T) {
	t.Parallel()
	cfg := agreedConfig(t, "")
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.listener.Close() })
	go n.loop.run(t.Context())
	if err := n.applySettings(otherSettings(t, `"limits":{`, `"limits":{"max-attempts":4,`)); err != nil {
		t.Fatal(err)
	}
	file := strings.Replace(strings.Replace(agreedConfigText("127.0.0.1:1", ""), `"limits":{"conn`, `"limits":{"max-attempts":9,"conn`, 1), `"127.0.0.1:8500"`, `"127.0.0.1:8600"`, 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := n.ReloadFile(path); err != nil {
		t.Fatal(err)
	}
	type now struct {
		attempts  int
		discovery string
	}
	got := make(chan now)
	n.loop.post(func() { got <- now{n.loop.maxAttempts, n.loop.watcher.client.Addr} })
	if v := nodetest.Wait(t, got); v != (now{4, "127.0.0.1:8600"}) {
		t.Errorf("%+v", v)
	}
}

func settingsWithAttempts(t *testing.T, next int) json.RawMessage {
	return otherSettings(t, `"limits":{`, fmt.Sprintf(`"limits":{"max-attempts":%d,`, next))
}
