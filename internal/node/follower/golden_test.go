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

// A process starts with the version of settings that an earlier process saved, and saves the same
// version in the same bytes.
func TestGoldenSavedVersion(t *testing.T) {
	t.Parallel()
	const stored = "testdata/kept-version.json"
	settings := settingsWith(t, 4)
	content := state.VersionContent{Number: 12, Hash: state.ContentHash(settings), Settings: settings}
	path := filepath.Join(t.TempDir(), "version.json")
	f, err := New(Options{Name: "n3", Rollout: config.Rollout{Endpoints: []string{"127.0.0.1:1"}, PersistPath: path}, Notify: func(Event) {},
		Apply: func(json.RawMessage) error { return nil }}, Version{})
	if err != nil {
		t.Fatal(err)
	}
	f.Activate(content)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.Golden(t, filepath.Base(stored), string(text))
	cfg, v := Restore(configWith(t, stored))
	if v.Number != 12 || v.Hash != content.Hash || string(v.Settings) != string(settings) || cfg.Settings.MaxAttempts != 4 {
		t.Errorf("restored %+v, %d attempts", v, cfg.Settings.MaxAttempts)
	}
}

var timeAtEnd = regexp.MustCompile(` at \d+$`)

// The golden file has the log lines about versions, which the fault-injection tests parse.
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
	view := &state.NodeSettings{Node: &rollout.Node{Incarnation: 77, Reported: true, RunningVersion: 12}}
	f.updateInSync(view, 6)
	view.Node.Unreachable = true
	f.updateInSync(view, 7)
	f.notify(Event{Kind: Validated, Version: f.running})
	nodetest.Golden(t, "version-log.golden", b.String())
}

// configWith returns a configuration with a PersistPath.
func configWith(t *testing.T, persistPath string) config.Config {
	t.Helper()
	text := strings.Replace(nodetest.Config, `"peers"`, `"agreed":{"endpoints":["127.0.0.1:1"],"tier":"front","keep":"`+persistPath+`"},"peers"`, 1)
	cfg, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// settingsWith returns the settings of nodetest.Config with a maximum number of attempts.
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
