package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/coordination/faulttest"
)

// Limits of --nodes: each of the three zones has at least one node, and the names of nodes have two digits.
const (
	minFaultTestNodes = 3
	maxFaultTestNodes = 99
)

// settingsFaultTestSummary is the summary of runs with versions of settings.
type settingsFaultTestSummary struct {
	Runs               int              `json:"runs"`
	Failed             int              `json:"failed"`
	Faults             int              `json:"faults"`
	Versions           int              `json:"versions"`
	Uncommitted        int              `json:"versions_uncommitted"` // times that a version ran without a stage or a quorum
	MaxContents        int              `json:"versions_at_once_max"` // most contents that nodes in sync ran at the same time
	VersionDecreases   int              `json:"went_back"`            // times that a node ran a lower version than before
	ServedEarly        int              `json:"served_early"`         // times that a node served early or in sync with an old version
	OldIncarnations    int              `json:"old_starts"`           // times that a node was in sync by an earlier incarnation
	WronglyOutOfSync   int              `json:"called_dead"`          // times that a node was out of sync without a fault
	OutOfSync          int              `json:"out_of_touch"`
	ZoneFaults         int              `json:"zones_lost"`
	KilledNodes        int              `json:"dead"` // runs in which a node was killed and not started again
	WritesWithoutLease int              `json:"two_actors"`
	MaxPropagationMS   float64          `json:"spread_ms_max"` // from the last stage of the last version until all nodes ran it
	CommitLatencyMS    latencyQuantiles `json:"in_force_ms"`   // from a proposal until its commit, while faults occur
	LongestCommitGapMS float64          `json:"pause_ms_max"`
	MaxSettleS         float64          `json:"settle_s_max"`
}

// latencyQuantiles are quantiles of a latency in milliseconds.
type latencyQuantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (s *settingsFaultTestSummary) add(r *faulttest.SettingsResult) {
	s.Runs++
	s.Faults += len(r.Faults)
	s.Versions += r.Versions
	s.Uncommitted += r.Uncommitted
	s.MaxContents = max(s.MaxContents, r.MaxContents)
	s.VersionDecreases += r.VersionDecreases
	s.ServedEarly += r.ServedEarly
	s.OldIncarnations += r.OldIncarnations
	s.WronglyOutOfSync += r.WronglyOutOfSync
	s.OutOfSync += r.OutOfSync
	s.ZoneFaults += r.ZoneFaults
	s.WritesWithoutLease += r.WritesWithoutLease
	s.MaxPropagationMS = max(s.MaxPropagationMS, r.PropagationMS)
	s.LongestCommitGapMS = max(s.LongestCommitGapMS, r.LongestCommitGapMS)
	s.MaxSettleS = max(s.MaxSettleS, r.SettleS)
	if r.KilledNode != "" {
		s.KilledNodes++
	}
	if len(r.Violations) > 0 {
		s.Failed++
	}
}

func (s *settingsFaultTestSummary) print(w io.Writer) error {
	q := s.CommitLatencyMS
	_, err := fmt.Fprintf(w, `%d runs, %d failed; %d faults, a node killed and not restarted in %d runs, %d zone faults, %d times out of sync; %d versions ran
uncommitted %d, contents at once %d, version decreases %d, served early %d, old incarnations %d, wrongly out of sync %d, writes without the lease %d
commit latency p50 %d, p99 %d, at most %d ms (%d versions during faults), longest gap between commits %.0f ms; all nodes ran the last version within %.0f ms, settled within %.1f s
`, s.Runs, s.Failed, s.Faults, s.KilledNodes, s.ZoneFaults, s.OutOfSync, s.Versions,
		s.Uncommitted, s.MaxContents, s.VersionDecreases, s.ServedEarly, s.OldIncarnations, s.WronglyOutOfSync, s.WritesWithoutLease,
		q.P50, q.P99, q.Max, q.Count, s.LongestCommitGapMS, s.MaxPropagationMS, s.MaxSettleS)
	return err
}

// commitLatencyQuantiles returns the quantiles of the commit latencies of all runs.
func commitLatencyQuantiles(results []*faulttest.SettingsResult) (latencyQuantiles, error) {
	const significantDigits = 3
	latencies := hdrhistogram.New(1, 10*time.Minute.Milliseconds(), significantDigits)
	for _, r := range results {
		for _, ms := range r.CommitLatencyMS {
			if err := latencies.RecordValue(int64(ms)); err != nil {
				return latencyQuantiles{}, err
			}
		}
	}
	return latencyQuantiles{
		Count: latencies.TotalCount(),
		P50:   latencies.ValueAtQuantile(50),
		P99:   latencies.ValueAtQuantile(99),
		Max:   latencies.Max(),
	}, nil
}

// runSettings runs the fault-injection tests of settings rollouts and prints their results.
func (c *fleetFaultTestCmd) runSettings(env *environment) error {
	if c.Nodes < minFaultTestNodes || c.Nodes > maxFaultTestNodes {
		return fmt.Errorf("--nodes: %d is not between %d and %d", c.Nodes, minFaultTestNodes, maxFaultTestNodes)
	}
	results, err := runMany(env, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.SettingsResult, error) {
		return faulttest.RunSettings(ctx, faulttest.Options{Seed: c.Seed + uint64(i), NoFaults: c.NoFaults}, c.Nodes)
	})
	if err != nil {
		return err
	}
	var summary settingsFaultTestSummary
	for _, r := range results {
		summary.add(r)
		if err := c.printRun(env, r, r.Seed, r.Violations, r.Faults); err != nil {
			return err
		}
	}
	if summary.CommitLatencyMS, err = commitLatencyQuantiles(results); err != nil {
		return err
	}
	return c.printSummary(env, &summary, summary.Failed)
}
