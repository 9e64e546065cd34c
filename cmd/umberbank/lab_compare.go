package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
	"time"

	"umberbank/internal/lab"
	"umberbank/internal/lab/compare"
	"umberbank/internal/lab/report"
)

// labCompareCmd is "umberbank lab compare".
type labCompareCmd struct {
	A         string        `name:"a" arg:"" help:"Variant: a file, KEY=VALUE overrides, clock=virtual or clock=real, node=COMMAND with commas for spaces. An empty string is the default scenario."`
	B         string        `name:"b" arg:"" help:"The other variant."`
	More      []string      `name:"more" arg:"" optional:"" help:"Further variants, each compared with the first."`
	Seeds     int           `name:"seeds" help:"Number of seeds." default:"10"`
	Seed      uint64        `name:"seed" help:"First seed." default:"1"`
	Virtual   bool          `name:"virtual" help:"Use the virtual clock for variants that do not name a clock."`
	Duration  time.Duration `name:"duration" help:"Override the scenarios' duration."`
	Tolerance float64       `name:"tolerance" aliases:"within" help:"Exit with 1 if the mean served shares differ by more than this." placeholder:"SHARE"`
	Plot      string        `name:"plot" help:"Write a plot of the requests that each variant serves over time, averaged over the seeds, to this file (SVG)." placeholder:"FILE"`
	JSON      bool          `name:"json" help:"Print a JSON object for each variant after the first."`
}

// Help is shown by --help.
func (labCompareCmd) Help() string {
	return `All variants run on the same seeds, with the same requests at the same times. The differences by seed give the confidence
intervals (95%, bootstrap). Runs on the machine's clock are made one at a time, for each seed all variants in turn.
Exit codes: 0 compared, 1 the difference exceeds --tolerance or a rule was broken, 2 could not be run.

Examples:
  umberbank lab compare "labs/flap.toml" "labs/flap.toml limits.second_copies=false" --virtual
  umberbank lab compare "labs/calm.toml clock=real" "labs/calm.toml clock=virtual" --tolerance 0.05
  umberbank lab compare "node=bin/earlier" "node=bin/umberbank-node" --seeds 6
  umberbank lab compare "labs/crash-many.toml state.keep=false" labs/crash-many.toml --virtual --plot crash.svg`
}

// comparison is what lab compare --json prints for each variant after the first.
type comparison struct {
	A           string               `json:"a"`
	B           string               `json:"b"`
	Seeds       int                  `json:"seeds"`
	InvalidRuns int                  `json:"invalid_runs"` // repeated, or left out of the comparison
	Differences []compare.Difference `json:"differences"`
}

// variantRuns is a variant with its results, one for each seed on which all variants have a valid run.
type variantRuns struct {
	*variant
	results []*lab.Result
}

// Run runs all variants on the same seeds and prints the differences.
func (c *labCompareCmd) Run(env *environment) error {
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds: %d is below 1", c.Seeds)
	}
	var variants []*variantRuns
	for _, description := range append([]string{c.A, c.B}, c.More...) {
		v, err := c.parseVariant(description)
		if err != nil {
			return err
		}
		variants = append(variants, &variantRuns{variant: v})
	}
	invalid, err := c.runVariants(env, variants)
	if err != nil {
		return err
	}
	toleranceExceeded := false
	for _, other := range variants[1:] {
		exceeded, err := c.compare(env, variants[0], other, invalid)
		if err != nil {
			return err
		}
		toleranceExceeded = toleranceExceeded || exceeded
	}
	if c.Plot != "" {
		if err := plotServed(c.Plot, variants); err != nil {
			return fmt.Errorf("%s: %w", c.Plot, err)
		}
	}
	if toleranceExceeded || anyRuleBroken(variants) {
		return errCheckFailed
	}
	return nil
}

// compare prints the differences between two variants. It reports whether a tolerance is set and their mean served shares differ
// by more than it.
func (c *labCompareCmd) compare(env *environment, a, b *variantRuns, invalidRuns int) (toleranceExceeded bool, err error) {
	differences, err := compare.Compare(a.results, b.results)
	if err != nil {
		return false, err
	}
	if c.JSON {
		err = json.NewEncoder(env.stdout).Encode(comparison{
			A:           a.description,
			B:           b.description,
			Seeds:       len(b.results),
			InvalidRuns: invalidRuns,
			Differences: differences,
		})
	} else {
		err = printComparison(env.stdout, a, b, invalidRuns, differences)
	}
	servedDifference := differences[0].Mean
	return c.Tolerance > 0 && math.Abs(servedDifference) > c.Tolerance, err
}

func printComparison(w io.Writer, a, b *variantRuns, invalidRuns int, differences []compare.Difference) error {
	fmt.Fprintf(w, "A: %s\nB: %s\n%d seeds", a.name(), b.name(), len(b.results))
	if invalidRuns > 0 {
		fmt.Fprintf(w, ", %d invalid runs", invalidRuns)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "metric\tA\tB\tB minus A\t95% from\tto\tlargest\t")
	for _, d := range differences {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t%.4g\t%s\n", d.Metric, d.A, d.B, d.Mean, d.Low, d.High, d.LargestDifference, d.Verdict)
	}
	return t.Flush()
}

// anyRuleBroken reports whether a rule was broken in some run.
func anyRuleBroken(variants []*variantRuns) bool {
	for _, v := range variants {
		for _, r := range v.results {
			if r.RulesBroken > 0 {
				return true
			}
		}
	}
	return false
}

// plotServed plots the requests that each variant serves over time.
func plotServed(path string, variants []*variantRuns) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	var names []string
	var results [][]*lab.Result
	for _, v := range variants {
		names = append(names, v.name())
		results = append(results, v.results)
	}
	return errors.Join(report.DrawServed(f, names, results), f.Close())
}
