package main

import (
	"fmt"
	"os"
	"time"

	"umberbank/internal/lab/scenario"
	"umberbank/labs"
)

// labCmd groups the commands of the lab.
type labCmd struct {
	Run     labRunCmd     `name:"run" cmd:"" help:"Run a scenario."`
	Compare labCompareCmd `name:"compare" cmd:"" help:"Run variants on the same seeds and print the differences."`
	Cost    labCostCmd    `name:"cost" cmd:"" help:"Measure throughput, latency and CPU time of one node, compared with a bare relay."`
	Scale   labScaleCmd   `name:"scale" cmd:"" help:"Measure the control plane at several numbers of nodes."`
	Report  labReportCmd  `name:"report" cmd:"" help:"Write the result of a run as an HTML page with plots."`
	Check   labCheckCmd   `name:"check" cmd:"" help:"Check scenario files without running them."`

	BareRelay labBareRelayCmd `name:"bare-relay" cmd:"" hidden:"" help:"Run the relay with which lab cost compares the node."`
}

// scenarioFlags override parts of a scenario.
type scenarioFlags struct {
	Set      []string      `name:"set" help:"Override a key of the scenario, as in --set load.rate=200." placeholder:"KEY=VALUE" sep:"none"`
	Duration time.Duration `name:"duration" help:"Override the scenario's duration. Faults that begin later are left out."`
}

// load reads a scenario, or the built-in default if file is empty, and applies the flags to it.
func (s scenarioFlags) load(file string) (*scenario.Scenario, error) {
	name, read := file, os.ReadFile
	if file == "" {
		name, read = labs.Default, labs.Files.ReadFile
	}
	text, err := read(name)
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
