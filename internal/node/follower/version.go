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

// Version is a version of settings, and the form in which a node keeps the one that it runs on its disk. Number 0 is what the
// node was started with, and has no settings.
type Version struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash"` // of Settings
	Settings json.RawMessage `json:"settings"`
}

var errWrongHash = errors.New("its hash is another")

// verify says that the settings are not those of the version; nil: they are.
func (v Version) verify() error {
	if state.ContentHash(v.Settings) != v.Hash {
		return errWrongHash
	}
	return nil
}

// save writes the version to a file, which holds either it or what it held before, whenever the process dies.
func (v Version) save(path string) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// load reads a version that was saved. The error wraps os.ErrNotExist if there is none.
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

// Restore returns the configuration with the version that an earlier process of the node kept, and that version. One that
// cannot be read or run is logged and passed over: then the configuration is returned as it is, with the zero Version.
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
