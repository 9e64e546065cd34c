package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"umberbank/internal/lab/report"
)

// labReportCmd is "umberbank lab report".
type labReportCmd struct {
	Result string `name:"result" arg:"" help:"Result file, written by lab run --output."`
	Output string `name:"output" aliases:"out" help:"Page to write. Default: the name of the result file with .html." placeholder:"FILE"`
	JSON   bool   `name:"json" help:"Print the result as JSON instead of writing a page."`
}

// Help is shown by --help.
func (labReportCmd) Help() string {
	return `The page is one file: requests served, rejected and failed over time by class and zone, with the faults marked; latency; attempts
and retries; requests in flight at servers; memory and descriptors of nodes.

Example:
  umberbank lab run labs/partition.toml --output partition.json
  umberbank lab report partition.json`
}

// Run writes a page with the plots of a result.
func (c *labReportCmd) Run(env *environment) error {
	f, err := os.Open(c.Result)
	if err != nil {
		return err
	}
	defer f.Close()
	res, err := report.Read(f)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Result, err)
	}
	if c.JSON {
		return json.NewEncoder(env.stdout).Encode(res)
	}
	path := c.Output
	if path == "" {
		path = strings.TrimSuffix(c.Result, ".json") + ".html"
	}
	page, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(report.Write(page, res), page.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	_, err = fmt.Fprintln(env.stdout, path)
	return err
}
