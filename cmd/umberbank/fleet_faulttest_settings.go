package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/coordination/faulttest"
)

// Limits of --nodes: a quorum needs three, and names of nodes have two digits.
const (
	minFaultTestNodes = 3
	maxFaultTestNodes = 99
)

// settingsFaultTestSummary sums up runs with versions of settings.
type settingsFaultTestSummary struct {
	Runs             int              `json:"runs"`
	Failed           int              `json:"failed"`
	Faults           int              `json:"faults"`
	Versions         int              `json:"versions"`
	Uncommitted      int              `json:"versions_uncommitted"` // versions that a node ran without a started stage or a quorum
	MaxContents      int              `json:"versions_at_once_max"` // different contents that nodes in sync ran at a time
	Decreased        int              `json:"went_back"`            // times that a node went to a lower version
	ServedEarly      int              `json:"served_early"`         // times that a node served before it ran the version in force
	OldIncarnations  int              `json:"old_starts"`           // times that a node counted as in sync by an earlier process
	WronglyOutOfSync int              `json:"called_dead"`
	OutOfSync        int              `json:"out_of_touch"`
	LostZones        int              `json:"zones_lost"`
	KilledNodes      int              `json:"dead"` // runs in which a node was killed for good
	ActsWithoutLease int              `json:"two_actors"`
	MaxSpreadMS      float64          `json:"spread_ms_max"` // until all nodes ran the last version
	InForceMS        latencyQuantiles `json:"in_force_ms"`   // from a proposal until it is in force, while faults occur
	MaxPauseMS       float64          `json:"pause_ms_max"`
	MaxSettleS       float64          `json:"settle_s_max"`
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
	s.Decreased += r.VersionDecreases
	s.ServedEarly += r.ServedEarly
	s.OldIncarnations += r.OldIncarnations
	s.WronglyOutOfSync += r.WronglyOutOfSync
	s.OutOfSync += r.OutOfSync
	s.LostZones += r.ZoneFaults
	s.ActsWithoutLease += r.WritesWithoutLease
	s.MaxSpreadMS = max(s.MaxSpreadMS, r.PropagationMS)
	s.MaxPauseMS = max(s.MaxPauseMS, r.LongestCommitGapMS)
	s.MaxSettleS = max(s.MaxSettleS, r.SettleS)
	if r.KilledNode != "" {
		s.KilledNodes++
	}
	if len(r.Violations) > 0 {
		s.Failed++
	}
}

func (s *settingsFaultTestSummary) print(w io.Writer) error {
	q := s.InForceMS
	_, err := fmt.Fprintf(w, `%d runs, %d failed; %d faults, a node dead for good in %d, %d zones lost, %d times out of touch; %d versions ran
uncommitted %d, contents at once %d, went back %d, served early %d, old starts %d, called dead %d, two actors %d
in force after p50 %d, p99 %d, at most %d ms (%d versions during faults), longest pause %.0f ms; all nodes on the last within %.0f ms, settled within %.1f s
`, s.Runs, s.Failed, s.Faults, s.KilledNodes, s.LostZones, s.OutOfSync, s.Versions,
		s.Uncommitted, s.MaxContents, s.Decreased, s.ServedEarly, s.OldIncarnations, s.WronglyOutOfSync, s.ActsWithoutLease,
		q.P50, q.P99, q.Max, q.Count, s.MaxPauseMS, s.MaxSpreadMS, s.MaxSettleS)
	return err
}

// inForceQuantiles returns the quantiles of all runs' latencies from a proposal until it is in force.
func inForceQuantiles(results []*faulttest.SettingsResult) (latencyQuantiles, error) {
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

// runSettings runs the tests that roll out versions of settings.
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
	if summary.InForceMS, err = inForceQuantiles(results); err != nil {
		return err
	}
	return c.printSummary(env, &summary, summary.Failed)
}
