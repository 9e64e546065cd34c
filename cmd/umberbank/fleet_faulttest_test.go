package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/coordination/faulttest"
)

// A release, drains and faults on a site of real processes cause no violation, and at the end all units run their versions.
func TestFleetFaultTest(t *testing.T) {
	t.Parallel()
	r, err := faulttest.Run(t.Context(), faulttest.Options{Seed: 5, Duration: 3 * time.Second, Program: commandInMode(t, modeProgram)})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 || r.AppliedWrites == 0 {
		t.Errorf("got %+v, want no violations, and writes of controllers", r)
	}
}

// A rollout of settings to real nodes, with faults, causes no violation.
func TestFleetSettingsFaultTest(t *testing.T) {
	t.Parallel()
	r, err := faulttest.RunSettings(t.Context(), faulttest.Options{Seed: 4, Duration: 3 * time.Second, Program: commandInMode(t, modeProgram)}, 9)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 || r.Versions == 0 || r.KilledNode == "" {
		t.Errorf("got %+v, want no violations, a version that ran, and a killed node", r)
	}
}

// The checks of settings rollouts detect each kind of misbehaving process. They report nothing if no process misbehaves, even
// when a node is killed and restarts.
func TestFleetSettingsFaultTestFindsViolations(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		options faulttest.Options
		found   func(*faulttest.SettingsResult) int // nil if no violation is expected
	}{
		{modeRunsUncommitted, faulttest.Options{Duration: time.Second, NodeCommand: commandInMode(t, modeRunsUncommitted)},
			func(r *faulttest.SettingsResult) int { return r.Uncommitted }},
		{modeServesEarly, faulttest.Options{Duration: time.Second, NodeCommand: commandInMode(t, modeServesEarly)},
			func(r *faulttest.SettingsResult) int { return r.ServedEarly }},
		{modeReusesIncarnation, faulttest.Options{Duration: time.Second, NodeCommand: commandInMode(t, modeReusesIncarnation), RestartNode: true},
			func(r *faulttest.SettingsResult) int { return r.OldIncarnations }},
		{modeExpiresLiveNodes, faulttest.Options{Duration: 6 * time.Second, ExtraProcess: func(endpoints []string, _ string) []string {
			return append(commandInMode(t, modeExpiresLiveNodes), strings.Join(endpoints, ","))
		}}, func(r *faulttest.SettingsResult) int { return r.WronglyOutOfSync }},
		{"nothing", faulttest.Options{Duration: 2 * time.Second, RestartNode: true}, nil},
	} {
		t.Run(c.name, func(t *testing.T) { // not in parallel: each run starts about twenty processes
			c.options.Seed, c.options.NoFaults, c.options.Program = 4, true, commandInMode(t, modeProgram)
			r, err := faulttest.RunSettings(t.Context(), c.options, 6)
			switch {
			case err != nil:
				t.Fatal(err)
			case c.found == nil && (len(r.Violations) > 0 || r.Versions == 0):
				t.Errorf("got %+v, want no violations, and a version that ran", r)
			case c.found != nil && c.found(r) == 0:
				t.Errorf("no violation found: %+v", r)
			}
		})
	}
}

// The checks of releases detect each kind of misbehaving process. They report nothing if no process misbehaves, even if some
// units are dead: these count as unavailable as long as they are not decommissioned.
func TestFleetFaultTestFindsViolations(t *testing.T) {
	extraProcess := func(mode string) func([]string, string) []string {
		return func(endpoints []string, dir string) []string {
			return append(commandInMode(t, mode), strings.Join(endpoints, ","), filepath.Join(dir, mode+".events"))
		}
	}
	overBudget := func(r *faulttest.Result) int { return r.OverBudget }
	deadUnits := []string{"s00", "s02"}
	for _, c := range []struct {
		name    string
		options faulttest.Options
		found   func(*faulttest.Result) int // nil if no violation is expected
	}{
		{modeActsWithoutLease, faulttest.Options{ExtraProcess: extraProcess(modeActsWithoutLease)}, func(r *faulttest.Result) int { return r.WritesWithoutLease }},
		{modeDecommissionsDeadUnits, faulttest.Options{DeadUnits: deadUnits, ExtraProcess: extraProcess(modeDecommissionsDeadUnits)}, overBudget},
		{modeDrainsWithoutPermit, faulttest.Options{ExtraProcess: extraProcess(modeDrainsWithoutPermit)}, overBudget},
		{"nothing", faulttest.Options{DeadUnits: deadUnits}, nil},
	} {
		t.Run(c.name, func(t *testing.T) { // not in parallel: each run starts about twenty processes
			const lastSeed = 4 // a misbehaving process does not cause a violation with every seed
			for seed := uint64(1); seed <= lastSeed; seed++ {
				c.options.Seed, c.options.Duration, c.options.NoFaults, c.options.Program = seed, 4*time.Second, true, commandInMode(t, modeProgram)
				r, err := faulttest.Run(t.Context(), c.options)
				if err != nil {
					t.Fatal(err)
				}
				switch {
				case c.found == nil:
					if len(r.Violations) > 0 || r.Permits == 0 {
						t.Errorf("got %+v, want no violations, and permits", r)
					}
					return
				case c.found(r) > 0:
					return
				case seed == lastSeed:
					t.Errorf("no violation found: %+v", r)
				}
			}
		})
	}
}
