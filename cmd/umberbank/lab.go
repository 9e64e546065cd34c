package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"

	"umberbank/internal/lab"
	"umberbank/internal/lab/scenario"
	"umberbank/labs"
)

type labCmd struct {
	Run     labRunCmd     `name:"run" cmd:"" help:"Play one scenario."`
	Compare labCompareCmd `name:"compare" cmd:"" help:"Play two ways on the same seeds and tell the differences."`
	Cost    labCostCmd    `name:"cost" cmd:"" help:"Measure what one node costs, beside a bare relay."`
	Scale   labScaleCmd   `name:"scale" cmd:"" help:"Measure how the control plane bears a number of nodes."`
	Report  labReportCmd  `name:"report" cmd:"" help:"Draw a run."`
	Check   labCheckCmd   `name:"check" cmd:"" help:"Check scenario files without playing them."`

	BareRelay labBareRelayCmd `name:"bare-relay" cmd:"" hidden:"" help:"The relay that lab cost measures beside the node."`
}

// scenarioFlags say what is played.
type scenarioFlags struct {
	Set      []string      `name:"set" help:"Win over a key of the file, as --set load.rate=200." placeholder:"KEY=VALUE" sep:"none"`
	Duration time.Duration `name:"duration" help:"Win over the file's duration; faults at later times are left out."`
}

// load reads a scenario; no file: the default one.
func (s scenarioFlags) load(file string) (*scenario.Scenario, error) {
	text, name := []byte(nil), file
	var err error
	if file == "" {
		name = labs.Default
		text, err = labs.Files.ReadFile(name)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	sc, err := scenario.Parse(name, text, s.Set)
	if err != nil {
		return nil, err
	}
	if s.Duration < 0 {
		return nil, fmt.Errorf("--duration: %v is negative", s.Duration)
	}
	if s.Duration > 0 {
		sc.Shorten(s.Duration)
	}
	return sc, nil
}

type labRunCmd struct {
	scenarioFlags
	File    string `name:"file" arg:"" optional:"" help:"The scenario (TOML); none: the default one, which is built in."`
	Seed    uint64 `name:"seed" help:"Draws all that the file leaves to chance." default:"1"`
	Virtual bool   `name:"virtual" help:"Play on the virtual clock, with the decision module in place of processes."`
	Node    string `name:"node" help:"Command of the node to try, such as an earlier build; none: this program's own." placeholder:"COMMAND"`
	Tries   int    `name:"tries" help:"Play again, up to so many times in all, while the run is not valid." default:"1"`
	JSON    bool   `name:"json" help:"Print one JSON object."`
	Out     string `name:"out" help:"Keep the result in this file, for lab report." placeholder:"FILE"`
}

// Help is shown by --help.
func (labRunCmd) Help() string {
	return `Without --virtual every node is a process of its own, and faults strike between them, on loopback alone.
A run whose load this machine could not send in time is not valid: it says nothing, and counts as not run.
Exit codes: 0 all held, 1 something did not hold, 2 it could not be run.

Examples:
  umberbank lab run
  umberbank lab run labs/partition.toml --seed 3 --duration 30s --json
  umberbank lab run labs/amman.toml --virtual --set load.rate=200
  umberbank lab run --node "bin/umberbank-node"`
}

func (c *labRunCmd) Run(a *app) error {
	sc, err := c.load(c.File)
	if err != nil {
		return err
	}
	opt := lab.Options{Seed: c.Seed, Virtual: c.Virtual, Progress: progress(a.err, sc.Name),
		Log: func(format string, args ...any) { a.log.Info(strings.TrimSpace(fmt.Sprintf(format, args...))) }}
	if c.Node != "" {
		opt.Node = strings.Fields(c.Node)
	}
	var res *lab.Result
	for range max(1, c.Tries) {
		res, err = lab.Run(a.ctx, sc, opt)
		if err != nil && (res == nil || !errors.Is(err, context.Canceled)) {
			return err
		}
		if res.Valid || res.Partial {
			break
		}
	}
	if c.Out != "" {
		if err := writeJSON(c.Out, res); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(a.out).Encode(res); err != nil {
			return err
		}
	} else if err := printResult(a.out, res); err != nil {
		return err
	}
	return verdict(res)
}

// verdict is what a result means for the exit code.
func verdict(r *lab.Result) error {
	switch {
	case r.Partial:
		return errors.New("the run was broken off")
	case !r.Valid:
		return errors.New("the run is not valid: this machine could not send the load in time")
	case !r.Passed():
		return errNotHeld
	}
	return nil
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// progress writes one line over and over where somebody looks, else nothing.
func progress(w io.Writer, name string) func(done, total time.Duration) {
	f, is := w.(*os.File)
	if !is || !isatty.IsTerminal(f.Fd()) {
		return nil
	}
	return func(done, total time.Duration) {
		fmt.Fprintf(f, "\r%s: %v of %v ", name, done.Round(time.Second), total)
		if done >= total {
			fmt.Fprint(f, "\r\033[K")
		}
	}
}

// printResult shows a result as a table.
func printResult(w io.Writer, r *lab.Result) error {
	clock := "real processes"
	if r.Virtual {
		clock = "virtual clock"
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, seed %d, %s, %.0f s of load, %d requests\n", r.Scenario, r.Seed, clock, r.Seconds, r.Requests)
	fmt.Fprintln(t, "class\tasked\tserved\tlate\trefused\tfailed\tleft\tshare\tp50 ms\tp90 ms\tp99 ms\t")
	for _, name := range r.ClassNames {
		c := r.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", name, c.Requests, c.Served, c.Late, c.Rejected, c.Failed, c.Abandoned, c.ServedShare, c.P50MS, c.P90MS, c.P99MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "served %.3f, worth %.3f, last quarter %.3f; %.2f tries and %.2f attempts a request\n", r.ServedShare, r.WeightedServedShare, r.LastQuarterServedShare, r.ClientAttemptsPerRequest, r.AttemptsPerRequest)
	fmt.Fprintf(w, "loader late (over 5 ms): %.4f of requests, worst %.1f ms\n", r.LoaderLateShare, r.LoaderMaxDelayMS)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "fault %s from %.1f s to %.1f s: %s\n", f.Kind, f.FromSeconds, f.ToSeconds, few(append(f.Nodes, f.Servers...)))
	}
	for i, v := range r.Violations {
		if i == 5 {
			fmt.Fprintf(w, "... and %d more; --json shows up to 50\n", r.RulesBroken-i)
			break
		}
		fmt.Fprintf(w, "BROKEN %s at %v: %s %s\n", v.Rule, v.At.Round(time.Millisecond), v.Request, v.Detail)
		for _, line := range v.Trace {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	for _, f := range r.FailedExpectations {
		fmt.Fprintf(w, "NOT HELD %s\n", f)
	}
	switch {
	case r.Partial:
		fmt.Fprintln(w, "broken off: this is what came until then")
	case r.Passed():
		fmt.Fprintln(w, "held: all that the scenario expects")
	}
	return nil
}

func few(l []string) string {
	if len(l) > 8 {
		return fmt.Sprintf("%s and %d more", strings.Join(l[:8], " "), len(l)-8)
	}
	return strings.Join(l, " ")
}

type labCheckCmd struct {
	Files []string `arg:"" name:"file" help:"Scenarios (TOML)."`
}

// Help is shown by --help.
func (labCheckCmd) Help() string {
	return "A fault is shown on one line: file, line, key and reason.\n\nExample:\n  umberbank lab check labs/*.toml"
}

func (c *labCheckCmd) Run(a *app) error {
	var bad error
	for _, f := range c.Files {
		sc, err := scenarioFlags{}.load(f)
		if err != nil {
			bad = errNotHeld
			fmt.Fprintln(a.out, err)
			continue
		}
		fmt.Fprintf(a.out, "%s: in order: %d nodes at the front, %d faults, %v\n", f, sc.Nodes, len(sc.Faults), sc.Duration.D())
	}
	return bad
}
