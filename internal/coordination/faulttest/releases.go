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

// startUnits starts all processes, and waits until every unit is registered and warm.
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
	if out, err := s.operate(ctx, "budget", filepath.Join(s.dir, "limits.toml")); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	for i, u := range units() {
		p, err := s.start(u.id, "agent", s.agentArgs(i, u))
		if err != nil {
			return err
		}
		s.units = append(s.units, p)
	}
	if err := s.startControllers(); err != nil {
		return err
	}
	return s.await(ctx, "all units are to be registered and warm", func(v *state.CoordinationView) bool {
		return len(v.Units) == serverCount+nodeCount && len(v.Unavailable) == 0 && v.Leader != nil
	})
}

// agentArgs are the arguments of the agent of the unit with this index. Its clock is off by up to an hour.
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

// runRelease has operators release, drain, halt and roll back, while faults are injected. It reports whether the release
// was rolled back. When it returns, all faults are over.
func (s *site) runRelease(ctx context.Context) (rolledBack bool, err error) {
	s.killDeadUnits()
	if out, err := s.operate(ctx, "release", filepath.Join(s.dir, "plan.toml")); err != nil {
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
		operator.act(ctx)
		if err := s.pause(ctx, 100, 500); err != nil {
			return operator.rolledBack, err
		}
	}
	s.undo.Wait()
	return operator.rolledBack, nil
}

// killDeadUnits kills the units that are to be dead, and waits until everybody has noticed.
func (s *site) killDeadUnits() {
	for _, p := range s.units {
		if slices.Contains(s.opt.DeadUnits, p.name) {
			s.killNow(p)
		}
	}
	if len(s.opt.DeadUnits) > 0 {
		time.Sleep(noticedAfter)
	}
}

// releaseOperator is an operator who acts at random. A command that fails is settled at the end of the run.
type releaseOperator struct {
	site               *site
	halted, rolledBack bool
}

func (o *releaseOperator) act(ctx context.Context) {
	s := o.site
	switch n := s.random.IntN(10); {
	case n < 3:
		s.drainTwoZones(ctx)
	case n == 3 && !o.rolledBack:
		o.halted = true
		if _, err := s.operate(ctx, "halt", planName); err == nil {
			s.recordRelease(releaseHalted)
		}
	case n == 4 && o.halted && !o.rolledBack:
		s.recordRelease(releaseResumed)
		s.attempt(ctx, "resume", planName)
	case n == 5 && !o.rolledBack:
		o.rolledBack = true
		s.attempt(ctx, "rollback", planName)
	}
}

func (s *site) recordRelease(kind eventlog.Kind) {
	s.record.add(eventlog.Event{At: eventlog.Now(), Kind: kind, Plan: planName})
}

// drainTwoZones has two operators drain a server each, in two zones at once, and let them serve again a while later.
func (s *site) drainTwoZones(ctx context.Context) {
	pair := s.random.IntN(serverCount / 2)
	drainedFor := time.Duration(300+s.random.IntN(1500)) * time.Millisecond
	for zone := range 2 {
		id := units()[2*pair+zone].id
		s.undo.Go(func() {
			if _, err := s.operate(ctx, "drain", id, "--holder", "zone "+string("ab"[zone])); err == nil {
				s.record.addNow(serverDrained, id)
			}
			time.Sleep(drainedFor)
			s.record.addNow(serverUndrained, id)
			s.attempt(ctx, "undrain", id) // a failure is settled at the end of the run
		})
	}
}

// settleRelease ends all faults, and waits until every unit runs what it should and nobody holds a permit.
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
		s.attempt(ctx, "rollback", planName) // in case the first one failed
	} else {
		s.recordRelease(releaseResumed)
		s.attempt(ctx, "resume", planName)
	}
	for _, u := range units()[:serverCount] {
		s.undo.Go(func() { s.attempt(ctx, "undrain", u.id) })
	}
	s.undo.Wait()
	return s.await(ctx, "all units are to run "+version, func(v *state.CoordinationView) bool {
		for _, u := range v.Units {
			if u.Version != version {
				return false
			}
		}
		return len(v.Units) == serverCount+nodeCount && len(v.Unavailable) == 0 && len(v.Permits) == 0
	})
}
