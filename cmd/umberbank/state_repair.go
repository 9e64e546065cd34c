package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"umberbank/internal/durable"
)

// stateRepairCmd is "umberbank state repair".
type stateRepairCmd struct {
	Dir string `name:"dir" arg:"" help:"Directory of state files. The process that uses it must not be running."`
}

// Help is shown by --help.
func (stateRepairCmd) Help() string {
	return `Damaged files are listed and moved to DIR/damaged. A process that starts ignores damaged files in any case.
Exit codes: 0 done, 2 the process is still running, or a file could not be moved.

Example:
  umberbank state repair /var/lib/balancer`
}

// Run moves damaged state files aside.
func (c *stateRepairCmd) Run(env *environment) error {
	lock, err := durable.LockDir(c.Dir) // taken before the files are read, as a running process changes them
	if err != nil {
		return err
	}
	defer lock.Close()
	files, err := stateFiles(c.Dir)
	if err != nil {
		return err
	}
	moved := 0
	var newest fileReport
	for _, file := range files {
		report := inspectFile(file)
		if report.Damage == "" {
			if report.Sequence > newest.Sequence {
				newest = report
			}
			continue
		}
		to, err := moveAside(file)
		if err != nil {
			return err
		}
		moved++
		fmt.Fprintf(env.stdout, "%s: %s: moved to %s\n", file, report.Damage, to)
	}
	if newest.File == "" {
		_, err = fmt.Fprintf(env.stdout, "%d moved; no intact file is left: the process will start without saved state\n", moved)
	} else {
		_, err = fmt.Fprintf(env.stdout, "%d moved; the process will start with the state in %s of %s\n", moved, newest.File, newest.Taken.Format(time.RFC3339))
	}
	return err
}

// moveAside moves a file to the directory damaged beside it, under a unique name, and returns the new path.
func moveAside(file string) (string, error) {
	dir := filepath.Join(filepath.Dir(file), "damaged")
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return "", err
	}
	to := filepath.Join(dir, fmt.Sprintf("%s.%d", filepath.Base(file), time.Now().UnixNano()))
	return to, os.Rename(file, to)
}
