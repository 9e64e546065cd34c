package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/node/snapshotter"
)

// stateCmd groups the commands for state files.
type stateCmd struct {
	Inspect stateInspectCmd `name:"inspect" cmd:"" help:"Print the content of a state file."`
	Verify  stateVerifyCmd  `name:"verify" cmd:"" help:"Check whether state files are intact."`
	Repair  stateRepairCmd  `name:"repair" cmd:"" help:"Move damaged state files aside. Nothing is deleted."`
}

// fileReport describes a state file.
type fileReport struct {
	File     string          `json:"file"`
	Kind     string          `json:"kind,omitempty"`
	Schema   uint32          `json:"schema,omitempty"`
	Sequence uint64          `json:"number,omitempty"`
	Taken    time.Time       `json:"taken,omitzero"`
	Bytes    int             `json:"bytes,omitempty"` // length of the payload
	Content  json.RawMessage `json:"holds,omitempty"` // the payload as JSON, empty if it is in another format
	Damage   string          `json:"fault,omitempty"` // why the file cannot be used, empty if it is intact
}

// inspectFile reads and checks a state file. The report has the content if the file is a node's snapshot or its payload is JSON.
// A file that cannot be read counts as damaged.
func inspectFile(path string) fileReport {
	report := fileReport{File: path}
	snapshot, err := durable.ReadFile(path)
	if err != nil {
		report.Damage = strings.TrimPrefix(err.Error(), path+": ")
		return report
	}
	report.Kind = snapshot.Kind
	report.Schema = snapshot.Schema
	report.Sequence = snapshot.Seq
	report.Taken = snapshot.Taken.UTC()
	report.Bytes = len(snapshot.Payload)
	switch {
	case snapshot.Kind == snapshotter.Kind:
		if report.Content, err = snapshotter.Describe(snapshot); err != nil {
			report.Damage = err.Error()
		}
	case json.Valid(snapshot.Payload):
		report.Content = snapshot.Payload
	}
	return report
}

// stateInspectCmd is "umberbank state inspect".
type stateInspectCmd struct {
	File string `name:"file" arg:"" help:"State file, such as node-0000000000000007.state or a cached registry list."`
	JSON bool   `name:"json" help:"Print a JSON object."`
}

// Help is shown by --help.
func (stateInspectCmd) Help() string {
	return "Example:\n  umberbank state inspect /var/lib/balancer/node-0000000000000007.state"
}

// Run prints the content of a state file.
func (c *stateInspectCmd) Run(env *environment) error {
	report := inspectFile(c.File)
	if report.Damage != "" {
		return fmt.Errorf("%s: %s", c.File, report.Damage)
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(report)
	}
	_, err := fmt.Fprintf(env.stdout, "%s\nkind %s, form %d, number %d, taken %s, %d bytes\n%s\n", report.File, report.Kind, report.Schema, report.Sequence,
		report.Taken.Format(time.RFC3339Nano), report.Bytes, report.Content)
	return err
}

// stateVerifyCmd is "umberbank state verify".
type stateVerifyCmd struct {
	Paths []string `arg:"" name:"path" help:"State files, or directories of them."`
	JSON  bool     `name:"json" help:"Print a JSON object for each file."`
}

// Help is shown by --help.
func (stateVerifyCmd) Help() string {
	return "Exit codes: 0 all are intact, 1 some are damaged or cannot be read, 2 a path was not found.\n\nExample:\n  umberbank state verify /var/lib/balancer"
}

// Run prints for each state file whether it is intact.
func (c *stateVerifyCmd) Run(env *environment) error {
	var result error
	for _, path := range c.Paths {
		files, err := stateFiles(path)
		if err != nil {
			return err
		}
		for _, file := range files {
			report := inspectFile(file)
			if report.Damage != "" {
				result = errCheckFailed
			}
			if err := c.print(env.stdout, report); err != nil {
				return err
			}
		}
	}
	return result
}

// print prints a file's report without its content.
func (c *stateVerifyCmd) print(w io.Writer, report fileReport) error {
	if c.JSON {
		report.Content = nil
		return json.NewEncoder(w).Encode(report)
	}
	if report.Damage != "" {
		_, err := fmt.Fprintf(w, "%s: DAMAGED: %s\n", report.File, report.Damage)
		return err
	}
	_, err := fmt.Fprintf(w, "%s: whole: kind %s, number %d, %d bytes of %s\n", report.File, report.Kind, report.Sequence, report.Bytes, report.Taken.Format(time.RFC3339))
	return err
}

// stateFiles returns the state files in a directory, or the file itself.
func stateFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	return filepath.Glob(filepath.Join(path, "*"+durable.SnapshotSuffix))
}
