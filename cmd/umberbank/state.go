package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/node/snapshotter"
)

type stateCmd struct {
	Inspect stateInspectCmd `name:"inspect" cmd:"" help:"Show what a file of state holds."`
	Verify  stateVerifyCmd  `name:"verify" cmd:"" help:"Say which files of state are whole."`
	Repair  stateRepairCmd  `name:"repair" cmd:"" help:"Move damaged files out of a folder of state; nothing is deleted."`
}

// stateFile is what is said of one file.
type stateFile struct {
	File   string          `json:"file"`
	Kind   string          `json:"kind,omitempty"`
	Schema uint32          `json:"schema,omitempty"`
	Seq    uint64          `json:"number,omitempty"`
	Taken  time.Time       `json:"taken,omitzero"`
	Bytes  int             `json:"bytes,omitempty"`
	Holds  json.RawMessage `json:"holds,omitempty"`
	Fault  string          `json:"fault,omitempty"` // "": it is whole
}

// look reads a file; the payload of a kind that is known is read too.
func look(path string) stateFile {
	f := stateFile{File: path}
	s, err := durable.ReadFile(path)
	if err != nil {
		f.Fault = strings.TrimPrefix(err.Error(), path+": ")
		return f
	}
	f.Kind, f.Schema, f.Seq, f.Taken, f.Bytes = s.Kind, s.Schema, s.Seq, s.Taken.UTC(), len(s.Payload)
	switch {
	case s.Kind == snapshotter.Kind:
		if f.Holds, err = snapshotter.Describe(s); err != nil {
			f.Fault = err.Error()
		}
	case json.Valid(s.Payload):
		f.Holds = s.Payload
	}
	return f
}

type stateInspectCmd struct {
	File string `name:"file" arg:"" help:"A file of state, such as node-0000000000000007.state or the cache of a registry's list."`
	JSON bool   `name:"json" help:"Print one JSON object."`
}

// Help is shown by --help.
func (stateInspectCmd) Help() string {
	return "Example:\n  umberbank state inspect /var/lib/balancer/node-0000000000000007.state"
}

func (c *stateInspectCmd) Run(a *app) error {
	f := look(c.File)
	if f.Fault != "" {
		return fmt.Errorf("%s: %s", c.File, f.Fault)
	}
	if c.JSON {
		return json.NewEncoder(a.out).Encode(f)
	}
	_, err := fmt.Fprintf(a.out, "%s\nkind %s, form %d, number %d, taken %s, %d bytes\n%s\n", f.File, f.Kind, f.Schema, f.Seq,
		f.Taken.Format(time.RFC3339Nano), f.Bytes, f.Holds)
	return err
}

type stateVerifyCmd struct {
	Paths []string `arg:"" name:"path" help:"Files of state, or folders of them."`
	JSON  bool     `name:"json" help:"Print one JSON object for each file."`
}

// Help is shown by --help.
func (stateVerifyCmd) Help() string {
	return "Exit codes: 0 all are whole, 1 some are not, 2 one could not be read.\n\nExample:\n  umberbank state verify /var/lib/balancer"
}

func (c *stateVerifyCmd) Run(a *app) error {
	bad := error(nil)
	for _, p := range c.Paths {
		files, err := stateFiles(p)
		if err != nil {
			return err
		}
		for _, path := range files {
			f := look(path)
			f.Holds = nil
			if f.Fault != "" {
				bad = errNotHeld
			}
			if c.JSON {
				err = json.NewEncoder(a.out).Encode(f)
			} else if f.Fault != "" {
				_, err = fmt.Fprintf(a.out, "%s: DAMAGED: %s\n", path, f.Fault)
			} else {
				_, err = fmt.Fprintf(a.out, "%s: whole: kind %s, number %d, %d bytes of %s\n", path, f.Kind, f.Seq, f.Bytes, f.Taken.Format(time.RFC3339))
			}
			if err != nil {
				return err
			}
		}
	}
	return bad
}

// stateFiles are the files of state in a folder, or the file itself.
func stateFiles(path string) ([]string, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !st.IsDir() {
		return []string{path}, nil
	}
	return filepath.Glob(filepath.Join(path, "*"+durable.SnapshotSuffix))
}

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

func (c *stateRepairCmd) Run(a *app) error {
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
	moved, newest := 0, stateFile{}
	for _, path := range files {
		f := look(path)
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
		fmt.Fprintf(a.out, "%s: %s: moved to %s\n", path, f.Fault, to)
	}
	if newest.File == "" {
		_, err = fmt.Fprintf(a.out, "%d moved; no whole state is left: the process begins anew\n", moved)
	} else {
		_, err = fmt.Fprintf(a.out, "%d moved; the process goes on from %s of %s\n", moved, newest.File, newest.Taken.Format(time.RFC3339))
	}
	return err
}
