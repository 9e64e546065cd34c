package main

import "fmt"

// labCheckCmd is "umberbank lab check".
type labCheckCmd struct {
	Files []string `arg:"" name:"file" help:"Scenario files (TOML)."`
}

// Help is shown by --help.
func (labCheckCmd) Help() string {
	return "Each error is printed on one line, with file, line, key and reason.\n\nExample:\n  umberbank lab check labs/*.toml"
}

// Run checks each scenario and prints its error, or its number of nodes and faults and its duration.
func (c *labCheckCmd) Run(env *environment) error {
	var result error
	for _, f := range c.Files {
		sc, err := scenarioFlags{}.load(f)
		if err != nil {
			result = errCheckFailed
			fmt.Fprintln(env.stdout, err)
			continue
		}
		fmt.Fprintf(env.stdout, "%s: valid: %d front nodes, %d faults, %v\n", f, sc.Nodes, len(sc.Faults), sc.Duration.Std())
	}
	return result
}
