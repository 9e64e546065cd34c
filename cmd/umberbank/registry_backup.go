package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// registryBackupCmd is "umberbank registry backup".
type registryBackupCmd struct {
	registryFlags
	File string `name:"file" arg:"" help:"File to write."`
}

// Run writes a backup to a file.
func (c *registryBackupCmd) Run(env *environment) error {
	var text json.RawMessage
	if err := c.call(env.ctx, http.MethodGet, api.PathBackup, nil, &text); err != nil {
		return err
	}
	return os.WriteFile(c.File, text, 0o600)
}

// registryRestoreCmd is "umberbank registry restore".
type registryRestoreCmd struct {
	registryFlags
	File string `name:"file" arg:"" help:"Backup file."`
}

// Run replaces the content of the registry with a backup.
func (c *registryRestoreCmd) Run(env *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := state.Load(text); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.call(env.ctx, http.MethodPost, api.PathRestore, json.RawMessage(text), &struct{}{})
}
