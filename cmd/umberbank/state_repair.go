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
	Dir string `name:"dir" arg:"" help:"Directory of state files whose process does not run."`
}

// Help is shown by --help.
func (stateRepairCmd) Help() string {
	return `Damaged files are moved to DIR/damaged. A process skips them anyway; this puts them out of the way and lists them.
Exit codes: 0 done, 2 the process still runs, or a file could not be moved.

Example:
  umberbank state repair /var/lib/balancer`
}

// Run moves damaged state files aside.
func (c *stateRepairCmd) Run(env *environment) error {
	lock, err := durable.LockDir(c.Dir) // before reading: a running process changes the files
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
		_, err = fmt.Fprintf(env.stdout, "%d moved; no whole state is left: the process begins anew\n", moved)
	} else {
		_, err = fmt.Fprintf(env.stdout, "%d moved; the process goes on from %s of %s\n", moved, newest.File, newest.Taken.Format(time.RFC3339))
	}
	return err
}

// moveAside moves a file to the directory damaged beside it, under a name of its own, and returns where to.
func moveAside(file string) (string, error) {
	dir := filepath.Join(filepath.Dir(file), "damaged")
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return "", err
	}
	to := filepath.Join(dir, fmt.Sprintf("%s.%d", filepath.Base(file), time.Now().UnixNano()))
	return to, os.Rename(file, to)
}
