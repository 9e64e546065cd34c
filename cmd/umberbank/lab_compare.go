package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"umberbank/internal/lab"
	"umberbank/internal/lab/compare"
	"umberbank/internal/lab/report"
	"umberbank/internal/lab/scenario"
)

// variant is one way of playing, in words: a file, keys that win over it, clock=virtual, node=COMMAND.
type variant struct {
	description string
	scenario    *scenario.Scenario
	virtual     bool
	node        []string
}

func (c *labCompareCmd) parseVariant(words string) (*variant, error) {
	s := &variant{description: words, virtual: c.Virtual}
	flags, file := scenarioFlags{Duration: c.Duration}, ""
	for _, w := range strings.Fields(words) {
		key, value, set := strings.Cut(w, "=")
		switch {
		case !set:
			file = w
		case key == "clock" && (value == "virtual" || value == "real"):
			s.virtual = value == "virtual"
		case key == "clock":
			return nil, fmt.Errorf("%q: clock is virtual or real", w)
		case key == "node":
			s.node = strings.Split(value, ",")
		default:
			flags.Set = append(flags.Set, w)
		}
	}
	var err error
	if s.scenario, err = flags.load(file); err != nil {
		return nil, err
	}
	if s.virtual && s.node != nil {
		return nil, fmt.Errorf("%q: a node's command is of no use on the virtual clock", words)
	}
	return s, nil
}

// labCompareCmd is "umberbank lab compare".
type labCompareCmd struct {
	A         string        `name:"a" arg:"" help:"One way of playing: words for a file, keys, clock=virtual, node=COMMAND (its parts joined by commas). \"\": the default scenario."`
	B         string        `name:"b" arg:"" help:"The other."`
	More      []string      `name:"more" arg:"" optional:"" help:"Further ones, each compared with the first."`
	Seeds     int           `name:"seeds" help:"How many seeds both are played on." default:"10"`
	Seed      uint64        `name:"seed" help:"The first seed." default:"1"`
	Virtual   bool          `name:"virtual" help:"Play on the virtual clock where a side does not say."`
	Duration  time.Duration `name:"duration" help:"Win over the files' duration."`
	Tolerance float64       `name:"tolerance" aliases:"within" help:"Exit 1 if the mean served share of both differs by more than this." placeholder:"SHARE"`
	Plot      string        `name:"plot" help:"Draw what each side serves, second by second, mean of the seeds (SVG)." placeholder:"FILE"`
	JSON      bool          `name:"json" help:"Print one JSON object for each side after the first."`
}

// Help is shown by --help.
func (labCompareCmd) Help() string {
	return `Both sides are played on the same seeds, with the same requests at the same times, and the differences by seed give the
bounds (95%, bootstrap). On the machine's clock the runs come one after another, sides in turn.
Exit codes: 0 compared, 1 further apart than --tolerance or a rule was broken, 2 could not be run.

Examples:
  umberbank lab compare "labs/flap.toml" "labs/flap.toml limits.second_copies=false" --virtual
  umberbank lab compare "labs/calm.toml clock=real" "labs/calm.toml clock=virtual" --tolerance 0.05
  umberbank lab compare "node=bin/earlier" "node=bin/umberbank-node" --seeds 6
  umberbank lab compare "labs/crash-many.toml state.keep=false" labs/crash-many.toml --virtual --plot crash.svg`
}

// comparison is what lab compare --json prints.
type comparison struct {
	A           string               `json:"a"`
	B           string               `json:"b"`
	Seeds       int                  `json:"seeds"`
	Invalid     int                  `json:"invalid_runs"` // played once more, or left out
	Differences []compare.Difference `json:"differences"`
}

// Run plays all variants on the same seeds and prints the differences.
func (c *labCompareCmd) Run(env *environment) error {
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds: %d is below 1", c.Seeds)
	}
	words := append([]string{c.A, c.B}, c.More...)
	var sides []*variant
	for _, w := range words {
		s, err := c.parseVariant(w)
		if err != nil {
			return err
		}
		sides = append(sides, s)
	}
	results, invalid, err := c.play(env, sides)
	if err != nil {
		return err
	}
	apart := false
	for i, other := range results[1:] {
		diffs, err := compare.Compare(results[0], other)
		if err != nil {
			return err
		}
		out := comparison{c.A, words[1+i], len(other), invalid, diffs}
		if c.JSON {
			err = json.NewEncoder(env.stdout).Encode(out)
		} else {
			err = printComparison(env, out)
		}
		if err != nil {
			return err
		}
		d := diffs[0].Mean
		apart = apart || c.Tolerance > 0 && (d > c.Tolerance || d < -c.Tolerance)
	}
	if c.Plot != "" {
		if err := c.plot(words, results); err != nil {
			return fmt.Errorf("%s: %w", c.Plot, err)
		}
	}
	if apart || anyRuleBroken(results) {
		return errCheckFailed
	}
	return nil
}

// anyRuleBroken says that a rule was broken in some run.
func anyRuleBroken(results [][]*lab.Result) bool {
	for _, side := range results {
		for _, r := range side {
			if r.RulesBroken > 0 {
				return true
			}
		}
	}
	return false
}

func (c *labCompareCmd) plot(words []string, results [][]*lab.Result) error {
	f, err := os.Create(c.Plot)
	if err != nil {
		return err
	}
	var names []string
	for _, w := range words {
		names = append(names, describeVariant(w))
	}
	return errors.Join(report.Served(f, names, results), f.Close())
}

// play plays both sides on all seeds. A seed with a run that is not valid even the second time is left out.
func (c *labCompareCmd) play(env *environment, sides []*variant) (results [][]*lab.Result, invalid int, err error) {
	results = make([][]*lab.Result, len(sides))
	runs := make([][]*lab.Result, c.Seeds)
	virtual, ctx := errgroup.WithContext(env.ctx)
	virtual.SetLimit(4)
	for i := range runs {
		runs[i] = make([]*lab.Result, len(sides))
		for k, s := range sides {
			opt := lab.Options{Seed: c.Seed + uint64(i), Virtual: s.virtual, Node: s.node}
			if s.virtual {
				virtual.Go(func() (err error) {
					runs[i][k], err = lab.Run(ctx, s.scenario, opt)
					return err
				})
			}
		}
	}
	if err := virtual.Wait(); err != nil {
		return results, 0, err
	}
	for i := range runs {
		for k, s := range sides {
			opt := lab.Options{Seed: c.Seed + uint64(i), Node: s.node, Progress: progress(env.stderr, fmt.Sprintf("seed %d, %c", c.Seed+uint64(i), 'A'+k))}
			for range 2 {
				if s.virtual || runs[i][k] != nil && runs[i][k].Valid {
					continue
				}
				if runs[i][k], err = lab.Run(env.ctx, s.scenario, opt); err != nil {
					return results, 0, err
				}
				if !runs[i][k].Valid {
					invalid++
				}
			}
		}
		if slices.ContainsFunc(runs[i], func(r *lab.Result) bool { return !r.Valid }) {
			continue
		}
		for k, r := range runs[i] {
			results[k] = append(results[k], r)
		}
	}
	if len(results[0]) == 0 {
		return results, invalid, errors.New("no seed has valid runs of all sides: this machine could not send the load in time")
	}
	return results, invalid, nil
}

func printComparison(env *environment, c comparison) error {
	fmt.Fprintf(env.stdout, "A: %s\nB: %s\n%d seeds", describeVariant(c.A), describeVariant(c.B), c.Seeds)
	if c.Invalid > 0 {
		fmt.Fprintf(env.stdout, ", %d runs were not valid", c.Invalid)
	}
	fmt.Fprintln(env.stdout)
	t := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tA\tB\tB less A\t95% from\tto\tlargest\t")
	for _, d := range c.Differences {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t%.4g\t%s\n", d.Measure, d.A, d.B, d.Mean, d.Low, d.High, d.Worst, d.Verdict)
	}
	return t.Flush()
}

func describeVariant(words string) string {
	if words == "" {
		return "the default scenario"
	}
	return words
}
