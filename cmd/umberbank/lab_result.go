package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"umberbank/internal/lab"
)

// printResult prints a result as text.
func printResult(w io.Writer, r *lab.Result) error {
	clock := "real processes"
	if r.Virtual {
		clock = "virtual clock"
	}
	fmt.Fprintf(w, "%s, seed %d, %s, %.0f s of load, %d requests\n", r.Scenario, r.Seed, clock, r.Seconds, r.Requests)
	if err := printClasses(w, r); err != nil {
		return err
	}
	fmt.Fprintf(w, "served %.3f, weighted %.3f, last quarter %.3f; %.2f client attempts and %.2f attempts per request\n", r.ServedShare, r.WeightedServedShare, r.LastQuarterServedShare, r.ClientAttemptsPerRequest, r.AttemptsPerRequest)
	fmt.Fprintf(w, "loader late (over 5 ms): %.4f of requests, at most %.1f ms\n", r.LoaderLateShare, r.LoaderMaxDelayMS)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "fault %s from %.1f s to %.1f s: %s\n", f.Kind, f.FromSeconds, f.ToSeconds, abbreviate(append(f.Nodes, f.Servers...)))
	}
	printRuleViolations(w, r)
	for _, f := range r.FailedExpectations {
		fmt.Fprintf(w, "NOT HELD %s\n", f)
	}
	switch {
	case r.Partial:
		fmt.Fprintln(w, "interrupted: the figures cover the run up to the interruption")
	case r.Passed():
		fmt.Fprintln(w, "all expectations met")
	}
	return nil
}

// printClasses prints a line for each class of requests.
func printClasses(w io.Writer, r *lab.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequests\tserved\tlate\trejected\tfailed\tabandoned\tshare\tp50 ms\tp90 ms\tp99 ms\t")
	for _, name := range r.ClassNames {
		c := r.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", name, c.Requests, c.Served, c.Late, c.Rejected, c.Failed, c.Abandoned, c.ServedShare, c.P50MS, c.P90MS, c.P99MS)
	}
	return t.Flush()
}

// printRuleViolations prints the first violations of the lab's rules.
func printRuleViolations(w io.Writer, r *lab.Result) {
	const maxPrinted = 5
	for i, v := range r.Violations {
		if i == maxPrinted {
			fmt.Fprintf(w, "... and %d more; --json shows up to 50\n", r.RulesBroken-i)
			break
		}
		fmt.Fprintf(w, "BROKEN %s at %v: %s %s\n", v.Rule, v.At.Round(time.Millisecond), v.Request, v.Detail)
		for _, line := range v.Trace {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
}

// abbreviate joins the first names of a list and gives the number of the others.
func abbreviate(names []string) string {
	const maxNames = 8
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], " "), len(names)-maxNames)
	}
	return strings.Join(names, " ")
}
