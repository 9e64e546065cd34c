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

// rolloutConfig returns a configuration with a rollout whose registry is unreachable. The node saves its settings version
// at savedPath.
func rolloutConfig(t *testing.T, savedPath string) config.Config {
	t.Helper()
	return rolloutConfigAt(t, "127.0.0.1:1", savedPath)
}

// rolloutConfigAt is rolloutConfig for a registry at addr, with a lease of 150 ms.
func rolloutConfigAt(t *testing.T, addr, savedPath string) config.Config {
	t.Helper()
	cfg, err := config.Parse([]byte(rolloutConfigText(addr, savedPath)))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// rolloutConfigText returns the configuration file of rolloutConfigAt.
func rolloutConfigText(addr, savedPath string) string {
	text := strings.Replace(nodetest.Config, `"peers"`, `"agreed":{"endpoints":["`+addr+`"],"tier":"front","ttl_ms":150,"keep":"`+savedPath+`"},"peers"`, 1)
	return strings.Replace(text, `"127.0.0.1:3000"`, `"127.0.0.1:0"`, 1)
}

// settingsWith returns the settings of nodetest.Config with the text old replaced.
func settingsWith(t *testing.T, old, replacement string) json.RawMessage {
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

// A proposed version is validated like a reload and changes nothing. An activated version is applied and saved, and the
// next process starts with it. A damaged saved version is ignored.
func TestVersionIsValidatedAppliedAndSaved(t *testing.T) {
	t.Parallel()
	savedPath := filepath.Join(t.TempDir(), "saved")
	cfg := rolloutConfig(t, savedPath)
	cfg.Settings.MaxAttempts = 3
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	go n.loop.run(t.Context())
	for text, want := range map[string]string{`"bounds":{`: ".settings.limits is missing", `"limits":{`: "max-attempts is not over 0", `"limits":7,"l":{`: "cannot"} {
		if err := n.validateSettings(settingsWith(t, `"limits":{`, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %s", text, err, want)
		}
	}
	next := settingsWith(t, `"limits":{`, `"limits":{"max-attempts":4,`)
	if err := n.validateSettings(next); err != nil {
		t.Fatal(err)
	}
	f := n.follower
	if f.Activate(state.VersionContent{Number: 2, Hash: "another", Settings: next}); f.RunningVersion().Number != 0 {
		t.Error("the node runs a version whose hash does not match")
	}
	f.Activate(state.VersionContent{Number: 2, Hash: state.ContentHash(next), Settings: next})
	attempts := make(chan int)
	n.loop.post(func() { attempts <- n.loop.maxAttempts })
	if got := nodetest.Wait(t, attempts); got != 4 || f.RunningVersion().Number != 2 {
		t.Errorf("got version %d with %d attempts, want version 2 with 4", f.RunningVersion().Number, got)
	}
	n.listener.Close()

	restored, saved := follower.Restore(rolloutConfig(t, savedPath))
	if saved.Number != 2 || restored.Settings.MaxAttempts != 4 {
		t.Errorf("next process: got version %d with %d attempts, want version 2 with 4", saved.Number, restored.Settings.MaxAttempts)
	}
	text, err := os.ReadFile(savedPath)
	if err != nil {
		t.Fatal(err)
	}
	for name, damaged := range map[string][]byte{"truncated": text[:len(text)/2], "changed": []byte(strings.Replace(string(text), "400", "401", 1)), "empty": nil} {
		if err := os.WriteFile(savedPath, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, saved := follower.Restore(rolloutConfig(t, savedPath)); saved.Number != 0 {
			t.Errorf("%s: the node starts with version %d, want none", name, saved.Number)
		}
	}
}

// A reload keeps settings from a rollout and applies the rest of the file.
func TestReloadKeepsRolloutSettings(t *testing.T) {
	t.Parallel()
	cfg := rolloutConfig(t, "")
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.listener.Close() })
	go n.loop.run(t.Context())
	if err := n.applySettings(settingsWith(t, `"limits":{`, `"limits":{"max-attempts":4,`)); err != nil {
		t.Fatal(err)
	}
	file := strings.Replace(strings.Replace(rolloutConfigText("127.0.0.1:1", ""), `"limits":{"conn`, `"limits":{"max-attempts":9,"conn`, 1), `"127.0.0.1:8500"`, `"127.0.0.1:8600"`, 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := n.ReloadFile(path); err != nil {
		t.Fatal(err)
	}
	type configured struct {
		attempts  int
		discovery string
	}
	got := make(chan configured)
	n.loop.post(func() { got <- configured{n.loop.maxAttempts, n.loop.watcher.client.Addr} })
	if v := nodetest.Wait(t, got); v != (configured{4, "127.0.0.1:8600"}) {
		t.Errorf("got %+v", v)
	}
}

func settingsWithAttempts(t *testing.T, maxAttempts int) json.RawMessage {
	return settingsWith(t, `"limits":{`, fmt.Sprintf(`"limits":{"max-attempts":%d,`, maxAttempts))
}
