package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberbank/internal/coordination/faulttest"
)

type fleetTrialCmd struct {
	Runs     int    `name:"runs" help:"How many runs, each with a seed of its own." default:"10"`
	Seed     uint64 `name:"seed" help:"The first seed." default:"1"`
	Parallel int    `name:"parallel" help:"How many runs at once; each is some twenty processes." default:"2"`
	Calm     bool   `name:"calm" help:"Play no faults."`
	Config   bool   `name:"config" help:"Versions of settings, on real nodes, in place of releases and drains."`
	Nodes    int    `name:"nodes" help:"With --config: how many; from 9 on one is killed for good in each run." default:"9"`
	JSON     bool   `name:"json" help:"Print one JSON object for each run, and one for all at the end."`
}

// Help is shown by --help.
func (fleetTrialCmd) Help() string {
	return `Each run is a site of real processes: three replicas of the registry, twelve servers and four nodes with their agents, three
controllers, and staff at the command line who release, halt, resume, take back and drain two zones at once. Processes are
killed, stopped, cut off both ways or one, disks are slow, backups are restored, clocks differ by up to an hour.
With --config a node is killed for good besides, zones are cut off or killed and come back, and a zone with a replica and a
controller is cut off from the rest as a region.
The judge reads what the processes did. Exit codes: 0 all held, 1 some run did not, 2 a run could not be played.

Example:
  umberbank fleet trial --runs 50 --json`
}

// fleetTrialSum is what came of all runs.
type fleetTrialSum struct {
	Runs       int     `json:"runs"`
	Failed     int     `json:"failed"`
	Faults     int     `json:"faults"`
	Permits    int     `json:"permits"`
	Acts       int     `json:"acts"`
	OverBudget int     `json:"over_budget"`
	TwoActors  int     `json:"two_actors"`
	LateBegins int     `json:"late_begins"`
	SettleS    float64 `json:"settle_s_max"`
}

// fleetConfigSum is what came of all runs with versions of settings.
type fleetConfigSum struct {
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
	Dead        int     `json:"dead"` // runs in which a node was killed for good
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

// config plays versions of settings.
func (c *fleetTrialCmd) config(a *app) error {
	if c.Nodes < 3 || c.Nodes > 99 {
		return fmt.Errorf("--nodes: %d is not between 3 and 99", c.Nodes)
	}
	results, err := runs(a, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.SettingsResult, error) {
		return faulttest.RunSettings(ctx, faulttest.Options{Seed: c.Seed + uint64(i), NoFaults: c.Calm}, c.Nodes)
	})
	if err != nil {
		return err
	}
	var sum fleetConfigSum
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
		if err := c.print(a, r, r.Seed, r.Violations, r.Faults); err != nil {
			return err
		}
	}
	sum.InForceMS.Count, sum.InForceMS.Max = inForce.TotalCount(), inForce.Max()
	sum.InForceMS.P50, sum.InForceMS.P99 = inForce.ValueAtQuantile(50), inForce.ValueAtQuantile(99)
	if c.JSON {
		err = json.NewEncoder(a.out).Encode(sum)
	} else {
		q := sum.InForceMS
		_, err = fmt.Fprintf(a.out, `%d runs, %d failed; %d faults, a node dead for good in %d, %d zones lost, %d times out of touch; %d versions ran
uncommitted %d, contents at once %d, went back %d, served early %d, old starts %d, called dead %d, two actors %d
in force after p50 %d, p99 %d, at most %d ms (%d versions during faults), longest pause %.0f ms; all nodes on the last within %.0f ms, settled within %.1f s
`, sum.Runs, sum.Failed, sum.Faults, sum.Dead, sum.ZonesLost, sum.OutOfTouch, sum.Versions,
			sum.Uncommitted, sum.AtOnceMost, sum.WentBack, sum.ServedEarly, sum.OldStarts, sum.CalledDead, sum.TwoActors,
			q.P50, q.P99, q.Max, q.Count, sum.PauseMS, sum.SpreadMS, sum.SettleS)
	}
	if err == nil && sum.Failed > 0 {
		err = errNotHeld
	}
	return err
}

// print prints one run: all of it, or what did not hold.
func (c *fleetTrialCmd) print(a *app, r any, seed uint64, broken, faults []string) (err error) {
	switch {
	case c.JSON:
		err = json.NewEncoder(a.out).Encode(r)
	case len(broken) > 0:
		_, err = fmt.Fprintf(a.out, "BROKEN seed %d: %s\n  after %s\n", seed, strings.Join(broken, "; "), strings.Join(faults, ", "))
	}
	return err
}

func (c *fleetTrialCmd) Run(a *app) error {
	if c.Config {
		return c.config(a)
	}
	results, err := runs(a, c.Runs, c.Parallel, func(ctx context.Context, i int) (*faulttest.Result, error) {
		return faulttest.Run(ctx, faulttest.Options{Seed: c.Seed + uint64(i), NoFaults: c.Calm})
	})
	if err != nil {
		return err
	}
	var sum fleetTrialSum
	for _, r := range results {
		sum.Runs++
		sum.Faults, sum.Permits, sum.Acts = sum.Faults+len(r.Faults), sum.Permits+r.Permits, sum.Acts+r.Acts
		sum.OverBudget, sum.TwoActors, sum.LateBegins = sum.OverBudget+r.OverBudget, sum.TwoActors+r.ActsWithoutLease, sum.LateBegins+r.BegunAfterHalt
		sum.SettleS = max(sum.SettleS, r.SettleS)
		if len(r.Violations) > 0 {
			sum.Failed++
		}
		if err := c.print(a, r, r.Seed, r.Violations, r.Faults); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(a.out).Encode(sum); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(a.out, "%d runs, %d failed; %d faults, %d permits, %d acts of controllers; over budget %d, two actors %d, begun after a halt %d; settled within %.1f s\n",
			sum.Runs, sum.Failed, sum.Faults, sum.Permits, sum.Acts, sum.OverBudget, sum.TwoActors, sum.LateBegins, sum.SettleS)
	}
	if sum.Failed > 0 {
		return errNotHeld
	}
	return nil
}
