package node

import (
	"path/filepath"
	"strings"
	"testing"

	"umberbank/internal/node/config"
	"umberbank/internal/node/nodetest"
)

// Guards against a node that is never ready after a restart, because its file has a key that the version in force lacks.
func TestVersionLacksKeyOfFile(t *testing.T) {
	t.Parallel()
	r, addr := newFakeRegistry(t)
	r.commitVersion(t, settingsWithAttempts(t, 5))
	text := rolloutConfigText(addr, filepath.Join(t.TempDir(), "saved"))
	cfg, err := config.Parse([]byte(strings.Replace(text, `"settings":{`, `"settings":{"new-key":1,`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	n := newUnstartedNode(t, cfg)
	runNode(t, n)
	nodetest.Eventually(t, "the node is ready", n.serving.Load)
	if inSync, running := r.node("n3"); !inSync || running != 1 || n.currentMaxAttempts(t) != 5 {
		t.Errorf("in sync %v with version %d, %d attempts, want version 1 with 5", inSync, running, n.currentMaxAttempts(t))
	}
}
