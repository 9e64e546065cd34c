package main

import (
	"encoding/json"
	"fmt"
	"os"

	"umberbank/internal/registry/state"
)

type registryBackupCmd struct {
	registryFlags
	File string `name:"file" arg:"" help:"Where to."`
}

func (c *registryBackupCmd) Run(env *environment) error {
	var text json.RawMessage
	if err := c.call(env.ctx, "GET", "/registry/backup", nil, &text); err != nil {
		return err
	}
	return os.WriteFile(c.File, text, 0o600)
}

type registryRestoreCmd struct {
	registryFlags
	File string `name:"file" arg:"" help:"A backup."`
}

func (c *registryRestoreCmd) Run(env *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := state.Load(text); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.call(env.ctx, "POST", "/registry/restore", json.RawMessage(text), &struct{}{})
}
