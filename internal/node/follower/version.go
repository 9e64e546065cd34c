package follower

import (
	"encoding/json"
	"errors"
	"log/slog"
	"os"

	"github.com/google/renameio/v2"

	"umberbank/internal/node/config"
	"umberbank/internal/registry/state"
)

// Version is a version of settings. A node stores its running version on disk in this format. The zero
// Version stands for the settings that the node was started with; its Settings are nil.
type Version struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash"` // of Settings
	Settings json.RawMessage `json:"settings"`
}

var errWrongHash = errors.New("hash does not match the settings")

// verify returns errWrongHash if the hash does not match the settings.
func (v Version) verify() error {
	if state.ContentHash(v.Settings) != v.Hash {
		return errWrongHash
	}
	return nil
}

// save replaces the file at path with the version. The file is replaced atomically: if the process
// dies, it has either the old or the new content.
func (v Version) save(path string) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// load reads and verifies a saved version. The error wraps os.ErrNotExist if there is none.
func load(path string) (Version, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Version{}, err
	}
	var v Version
	if err := json.Unmarshal(text, &v); err != nil {
		return Version{}, err
	}
	return v, v.verify()
}

// Restore returns the configuration with the settings of the version that an earlier process of the
// node saved, and that version. It returns cfg unchanged and the zero Version if there is no saved
// version, or if the saved one is unusable, which it logs.
func Restore(cfg config.Config) (config.Config, Version) {
	path := cfg.Rollout.PersistPath
	if path == "" {
		return cfg, Version{}
	}
	v, err := load(path)
	if errors.Is(err, os.ErrNotExist) {
		return cfg, Version{}
	}
	var restored config.Config
	if err == nil {
		restored, err = cfg.WithSettings(v.Settings)
	}
	if err != nil {
		slog.Warn("agreed: ignoring the saved version of settings", "file", path, "error", err)
		return cfg, Version{}
	}
	return restored, v
}
