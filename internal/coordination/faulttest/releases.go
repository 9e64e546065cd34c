package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/registry/state"
)

// startUnits starts all processes, and waits until every unit is registered and has warmed up.
func (s *site) startUnits(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.startRegistry(ctx); err != nil {
		return err
	}
	for name, text := range map[string]string{"limits.toml": limitsFile, "plan.toml": planFile} {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	if out, err := s.runFleetCommand(ctx, "budget", filepath.Join(s.dir, "limits.toml")); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	for i, u := range units() {
		p, err := s.startFleetCommand(u.id, "agent", s.agentArgs(i, u))
		if err != nil {
			return err
		}
		s.units = append(s.units, p)
	}
	if err := s.startControllers(); err != nil {
		return err
	}
	return s.await(ctx, "all units to be registered and warmed up", func(v *state.CoordinationView) bool {
		return len(v.Units) == serverCount+nodeCount && len(v.Unavailable) == 0 && v.Leader != nil
	})
}

// agentArgs returns the arguments of the agent of unit u, which has index i. The agent's clock is wrong by up to an hour.
func (s *site) agentArgs(i int, u unit) []string {
	skew := time.Duration(s.random.IntN(7200)-3600) * time.Second
	args := []string{
		"--uid", u.id, "--endpoint", fmt.Sprintf("10.0.0.%d:3000", i+1), "--tier", u.tier, "--zone", u.zone, "--rack", fmt.Sprint(i / 2),
		"--version", "v1", "--version-file", filepath.Join(s.dir, u.id+".version"), "--ttl", leaseTTL.String(), "--drain-delay", "100ms", "--clock-skew=" + skew.String(),
	}
	if u.tier == "front" {
		args = append(args, "--node", "--kind", "web")
	}
	return args
}

// runRelease runs operators that release, drain, halt and roll back while faults are injected. It reports whether the release
// was rolled back. When it returns without an error, all faults have ended.
func (s *site) runRelease(ctx context.Context) (rolledBack bool, err error) {
	s.killDeadUnits()
	if out, err := s.runFleetCommand(ctx, "release", filepath.Join(s.dir, "plan.toml")); err != nil {
		return false, fmt.Errorf("%w: %s", err, out)
	}
	stopExtra, err := s.startExtraProcess()
	if err != nil {
		return false, err
	}
	defer stopExtra()
	end := time.Now().Add(s.opt.Duration)
	operator := releaseOperator{site: s}
	for time.Now().Before(end) {
		if !s.opt.NoFaults {
			if err := s.injectFault(); err != nil {
				return operator.rolledBack, err
			}
		}
		operator.runRandomCommand(ctx)
		if err := s.sleepRandom(ctx, 100, 500); err != nil {
			return operator.rolledBack, err
		}
	}
	s.background.Wait()
	return operator.rolledBack, nil
}

// killDeadUnits kills the units of Options.DeadUnits, and waits until every decision takes their death into account.
func (s *site) killDeadUnits() {
	for _, p := range s.units {
		if slices.Contains(s.opt.DeadUnits, p.name) {
			s.killAndRecord(p)
		}
	}
	if len(s.opt.DeadUnits) > 0 {
		time.Sleep(failureDetectionTime)
	}
}

// releaseOperator is an operator who runs random commands. Commands may fail because of the faults. settleRelease once more runs
// the rollback, or else the resume, and the undrain of every server.
type releaseOperator struct {
	site               *site
	halted, rolledBack bool
}

func (o *releaseOperator) runRandomCommand(ctx context.Context) {
	s := o.site
	switch n := s.random.IntN(10); {
	case n < 3:
		s.drainTwoZones(ctx)
	case n == 3 && !o.rolledBack:
		o.halted = true
		if _, err := s.runFleetCommand(ctx, "halt", planName); err == nil {
			s.recordRelease(releaseHalted)
		}
	case n == 4 && o.halted && !o.rolledBack:
		s.recordRelease(releaseResumed)
		s.tryFleetCommand(ctx, "resume", planName)
	case n == 5 && !o.rolledBack:
		o.rolledBack = true
		s.tryFleetCommand(ctx, "rollback", planName)
	}
}

func (s *site) recordRelease(kind eventlog.Kind) {
	s.record.add(eventlog.Event{At: eventlog.Now(), Kind: kind, Plan: planName})
}

// drainTwoZones runs two operators at once, one in each zone. Each of them drains a server and undrains it after a random
// time.
func (s *site) drainTwoZones(ctx context.Context) {
	pair := s.random.IntN(serverCount / 2)
	drainedFor := time.Duration(300+s.random.IntN(1500)) * time.Millisecond
	for zone := range 2 {
		id := units()[2*pair+zone].id
		s.background.Go(func() {
			if _, err := s.runFleetCommand(ctx, "drain", id, "--holder", "zone "+string("ab"[zone])); err == nil {
				s.record.addNow(serverDrained, id)
			}
			time.Sleep(drainedFor)
			s.record.addNow(serverUndrained, id)
			s.tryFleetCommand(ctx, "undrain", id) // settleRelease runs it once more
		})
	}
}

// settleRelease ends all faults, and waits until every unit runs the version that it should and no permit is held.
func (s *site) settleRelease(ctx context.Context, rolledBack bool) error {
	if err := s.healAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := s.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	version := "v2"
	s.result.Outcome = "done"
	if rolledBack {
		version, s.result.Outcome = "v1", "taken back"
		s.tryFleetCommand(ctx, "rollback", planName) // in case the first one failed
	} else {
		s.recordRelease(releaseResumed)
		s.tryFleetCommand(ctx, "resume", planName)
	}
	for _, u := range units()[:serverCount] {
		s.background.Go(func() { s.tryFleetCommand(ctx, "undrain", u.id) })
	}
	s.background.Wait()
	return s.await(ctx, "all units to run "+version, func(v *state.CoordinationView) bool {
		for _, u := range v.Units {
			if u.Version != version {
				return false
			}
		}
		return len(v.Units) == serverCount+nodeCount && len(v.Unavailable) == 0 && len(v.Permits) == 0
	})
}
