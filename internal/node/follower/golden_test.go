package follower

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"umberbank/internal/coordination/rollout"
	"umberbank/internal/node/config"
	"umberbank/internal/node/nodetest"
	"umberbank/internal/registry/state"
)

// The version of settings that an earlier process saved is what the next one starts with, and is saved in the same bytes.
func TestGoldenKeptVersion(t *testing.T) {
	t.Parallel()
	const stored = "testdata/kept-version.json"
	settings := settingsWith(t, 4)
	content := state.VersionContent{Number: 12, Hash: state.ContentHash(settings), Settings: settings}
	keep := filepath.Join(t.TempDir(), "kept")
	f, err := New(Options{Name: "n3", Rollout: config.Rollout{Endpoints: []string{"127.0.0.1:1"}, PersistPath: keep}, Notify: func(Event) {},
		Apply: func(json.RawMessage) error { return nil }}, Version{})
	if err != nil {
		t.Fatal(err)
	}
	f.Activate(content)
	text, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.Golden(t, filepath.Base(stored), string(text))
	cfg, k := Restore(configWith(t, stored))
	if k.Number != 12 || k.Hash != content.Hash || string(k.Settings) != string(settings) || cfg.Settings.MaxAttempts != 4 {
		t.Errorf("read %+v, %d attempts", k, cfg.Settings.MaxAttempts)
	}
}

var timeAtEnd = regexp.MustCompile(` at \d+$`)

// The lines about versions in the log, which the fault-injection tests read.
func TestGoldenVersionLog(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	f, err := New(Options{Name: "n3", Rollout: config.Rollout{Endpoints: []string{"127.0.0.1:1"}},
		Notify: func(e Event) { fmt.Fprintln(&b, timeAtEnd.ReplaceAllString(e.String(), " at TIME")) },
		Apply:  func(json.RawMessage) error { return nil }}, Version{})
	if err != nil {
		t.Fatal(err)
	}
	f.notify(Event{Kind: Running, Version: f.running})
	settings := settingsWith(t, 4)
	f.Activate(state.VersionContent{Number: 12, Hash: state.ContentHash(settings), Settings: settings})
	f.reportedAt = 5
	c := &state.NodeSettings{Node: &rollout.Node{Incarnation: 77, Reported: true, RunningVersion: 12}}
	f.updateInSync(c, 6)
	c.Node.Unreachable = true
	f.updateInSync(c, 7)
	f.notify(Event{Kind: Validated, Version: f.running})
	nodetest.Golden(t, "version-log.golden", b.String())
}

// configWith is a configuration that saves its version in a file.
func configWith(t *testing.T, keep string) config.Config {
	t.Helper()
	text := strings.Replace(nodetest.Config, `"peers"`, `"agreed":{"endpoints":["127.0.0.1:1"],"tier":"front","keep":"`+keep+`"},"peers"`, 1)
	cfg, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// settingsWith are the settings of nodetest.Config with a number of attempts.
func settingsWith(t *testing.T, maxAttempts int) json.RawMessage {
	t.Helper()
	var file struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal([]byte(nodetest.Config), &file); err != nil {
		t.Fatal(err)
	}
	limits := fmt.Sprintf(`"limits":{"max-attempts":%d,`, maxAttempts)
	text, err := json.Marshal(json.RawMessage(strings.Replace(string(file.Settings), `"limits":{`, limits, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return text
}
