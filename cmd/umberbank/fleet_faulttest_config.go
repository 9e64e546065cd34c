package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/coordination/faulttest"
)

// configFaultTestSummary is what came of all runs with versions of settings.
type configFaultTestSummary struct {
	Runs        int     `json:"runs"`
	Failed      int     `json:"failed"`
	Faults      int     `json:"faults"`
	Versions    int     `json:"versions"`
	Uncommitted int     `json:"versions_uncommitted"`
	AtOnceMost  int     `json:"versions_at_once_max"`
	WentBack    int     `json:"went_back"`
	ServedEarly int     `json:"served_early"`
	OldStarts   int     `json:"old_starts"`
	CalledDead  int     `json:"called_dead"`
	OutOfTouch  int     `json:"out_of_touch"`
	ZonesLost   int     `json:"zones_lost"`
	Dead        int     `json:"dead"` // runMany in which a node was killed for good
	TwoActors   int     `json:"two_actors"`
	SpreadMS    float64 `json:"spread_ms_max"`
	InForceMS   struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	} `json:"in_force_ms"`
	PauseMS float64 `json:"pause_ms_max"`
	SettleS float64 `json:"settle_s_max"`
}

// runRollouts plays versions of settings.
func (c *fleetFaultTestCmd) runRollouts(env *environment) error {
	if c.Nodes < 3 || c.Nodes > 99 {
		return fmt.Errorf("--nodes: %d is not between 3 and 99", c.Nodes)
	}
	results, err := runMany(env, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.SettingsResult, error) {
		return faulttest.RunSettings(ctx, faulttest.Options{Seed: c.Seed + uint64(i), NoFaults: c.NoFaults}, c.Nodes)
	})
	if err != nil {
		return err
	}
	var sum configFaultTestSummary
	inForce := hdrhistogram.New(1, 10*time.Minute.Milliseconds(), 3)
	for _, r := range results {
		sum.Runs++
		sum.Faults, sum.Versions, sum.Uncommitted = sum.Faults+len(r.Faults), sum.Versions+r.Versions, sum.Uncommitted+r.Uncommitted
		sum.WentBack, sum.TwoActors = sum.WentBack+r.Decreased, sum.TwoActors+r.ActsWithoutLease
		sum.AtOnceMost, sum.SpreadMS, sum.SettleS = max(sum.AtOnceMost, r.MaxContents), max(sum.SpreadMS, r.SpreadMS), max(sum.SettleS, r.SettleS)
		sum.ServedEarly, sum.OldStarts, sum.CalledDead = sum.ServedEarly+r.ServedEarly, sum.OldStarts+r.OldIncarnations, sum.CalledDead+r.WronglyOutOfSync
		sum.OutOfTouch, sum.ZonesLost, sum.PauseMS = sum.OutOfTouch+r.OutOfSync, sum.ZonesLost+r.LostZones, max(sum.PauseMS, r.LongestPauseMS)
		for _, ms := range r.InForceMS {
			if err := inForce.RecordValue(int64(ms)); err != nil {
				return err
			}
		}
		if r.KilledNode != "" {
			sum.Dead++
		}
		if len(r.Violations) > 0 {
			sum.Failed++
		}
		if err := c.print(env, r, r.Seed, r.Violations, r.Faults); err != nil {
			return err
		}
	}
	sum.InForceMS.Count, sum.InForceMS.Max = inForce.TotalCount(), inForce.Max()
	sum.InForceMS.P50, sum.InForceMS.P99 = inForce.ValueAtQuantile(50), inForce.ValueAtQuantile(99)
	if c.JSON {
		err = json.NewEncoder(env.stdout).Encode(sum)
	} else {
		q := sum.InForceMS
		_, err = fmt.Fprintf(env.stdout, `%d runs, %d failed; %d faults, a node dead for good in %d, %d zones lost, %d times out of touch; %d versions ran
uncommitted %d, contents at once %d, went back %d, served early %d, old starts %d, called dead %d, two actors %d
in force after p50 %d, p99 %d, at most %d ms (%d versions during faults), longest pause %.0f ms; all nodes on the last within %.0f ms, settled within %.1f s
`, sum.Runs, sum.Failed, sum.Faults, sum.Dead, sum.ZonesLost, sum.OutOfTouch, sum.Versions,
			sum.Uncommitted, sum.AtOnceMost, sum.WentBack, sum.ServedEarly, sum.OldStarts, sum.CalledDead, sum.TwoActors,
			q.P50, q.P99, q.Max, q.Count, sum.PauseMS, sum.SpreadMS, sum.SettleS)
	}
	if err == nil && sum.Failed > 0 {
		err = errCheckFailed
	}
	return err
}
