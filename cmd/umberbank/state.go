package main

import (
	"encoding/json"
	"fmt"
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

// fileReport is what is said of one file.
type fileReport struct {
	File   string          `json:"file"`
	Kind   string          `json:"kind,omitempty"`
	Schema uint32          `json:"schema,omitempty"`
	Seq    uint64          `json:"number,omitempty"`
	Taken  time.Time       `json:"taken,omitzero"`
	Bytes  int             `json:"bytes,omitempty"`
	Holds  json.RawMessage `json:"holds,omitempty"`
	Fault  string          `json:"fault,omitempty"` // "": it is whole
}

// inspectFile reads a file; the payload of a kind that is known is read too.
func inspectFile(path string) fileReport {
	f := fileReport{File: path}
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

func (c *stateInspectCmd) Run(env *environment) error {
	f := inspectFile(c.File)
	if f.Fault != "" {
		return fmt.Errorf("%s: %s", c.File, f.Fault)
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(f)
	}
	_, err := fmt.Fprintf(env.stdout, "%s\nkind %s, form %d, number %d, taken %s, %d bytes\n%s\n", f.File, f.Kind, f.Schema, f.Seq,
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

func (c *stateVerifyCmd) Run(env *environment) error {
	bad := error(nil)
	for _, p := range c.Paths {
		files, err := stateFiles(p)
		if err != nil {
			return err
		}
		for _, path := range files {
			f := inspectFile(path)
			f.Holds = nil
			if f.Fault != "" {
				bad = errCheckFailed
			}
			if c.JSON {
				err = json.NewEncoder(env.stdout).Encode(f)
			} else if f.Fault != "" {
				_, err = fmt.Fprintf(env.stdout, "%s: DAMAGED: %s\n", path, f.Fault)
			} else {
				_, err = fmt.Fprintf(env.stdout, "%s: whole: kind %s, number %d, %d bytes of %s\n", path, f.Kind, f.Seq, f.Bytes, f.Taken.Format(time.RFC3339))
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
