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

type stateRepairCmd struct {
	Dir string `name:"dir" arg:"" help:"A folder of state whose process does not run."`
}

// Help is shown by --help.
func (stateRepairCmd) Help() string {
	return `Damaged files go to DIR/damaged. A process passes over them anyway; this is to have them out of the way, and to see them.
Exit codes: 0 done, 2 the process still runs, or a file could not be moved.

Example:
  umberbank state repair /var/lib/balancer`
}

func (c *stateRepairCmd) Run(env *environment) error {
	lock, err := durable.LockDir(c.Dir) // before the look: a process that runs changes what is there
	if err != nil {
		return err
	}
	defer lock.Close()
	files, err := stateFiles(c.Dir)
	if err != nil {
		return err
	}
	aside := filepath.Join(c.Dir, "damaged")
	moved, newest := 0, fileReport{}
	for _, path := range files {
		f := inspectFile(path)
		if f.Fault == "" {
			if f.Seq > newest.Seq {
				newest = f
			}
			continue
		}
		if err := os.Mkdir(aside, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
			return err
		}
		to := filepath.Join(aside, fmt.Sprintf("%s.%d", filepath.Base(path), time.Now().UnixNano()))
		if err := os.Rename(path, to); err != nil {
			return err
		}
		moved++
		fmt.Fprintf(env.stdout, "%s: %s: moved to %s\n", path, f.Fault, to)
	}
	if newest.File == "" {
		_, err = fmt.Fprintf(env.stdout, "%d moved; no whole state is left: the process begins anew\n", moved)
	} else {
		_, err = fmt.Fprintf(env.stdout, "%d moved; the process goes on from %s of %s\n", moved, newest.File, newest.Taken.Format(time.RFC3339))
	}
	return err
}
