package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// SettingsResult describes a run with versions of nodes' settings.
type SettingsResult struct {
	Result
	Versions         int     `json:"versions"`             // versions that at least one node ran
	Uncommitted      int     `json:"versions_uncommitted"` // times that a version ran with no requested stage or no quorum
	MaxContents      int     `json:"versions_at_once_max"` // most contents that nodes in sync ran at the same time
	VersionDecreases int     `json:"went_back"`            // times that a node ran a lower version than before
	ServedEarly      int     `json:"served_early"`         // times that a node served too early, or was in sync with an old version
	OldIncarnations  int     `json:"old_starts"`           // times that a node was in sync with an earlier process's incarnation
	WronglyOutOfSync int     `json:"called_dead"`          // times that a node was out of sync while no fault affected it
	OutOfSync        int     `json:"out_of_touch"`         // times that a node logged that it was out of sync
	ZoneFaults       int     `json:"zones_lost"`           // faults that affected a whole zone
	PropagationMS    float64 `json:"spread_ms"`            // of the last version, from its last stage until all nodes ran it
	// CommitLatencyMS holds the time from proposal to commit in milliseconds, for each version that was committed while faults
	// went on.
	CommitLatencyMS []float64 `json:"in_force_ms"`
	// LongestCommitGapMS is the longest time between two commits, or from the first proposal to the first commit, while faults
	// went on, in milliseconds. It includes time in which operators had halted or withdrawn a version, or had proposed none.
	LongestCommitGapMS float64 `json:"pause_ms"`
	KilledNode         string  `json:"dead"` // the node that was killed and not started again, empty if there is none
}

// settingsContent returns settings of a node. attempts is their limit of attempts, which distinguishes them from the settings
// of other versions.
func settingsContent(attempts int) []byte {
	return fmt.Appendf(nil, `{"lanes":[{"name":"read","effect":"read_like","target-ms":100,"deadline-ms":400,"worth":1}],
 "limits":{"conn-idle-ms":30000,"connect-timeout-ms":200,"max-attempts":%d},"balancers":1,"tick-ms":5,"registry-mode":"pushed"}`, attempts)
}

const (
	firstAttempts   = 2  // of the first version, to which others can be rolled back
	invalidAttempts = 0  // of settings that no node can run
	lastAttempts    = 99 // of the settings that all nodes run at the end of the run
)

// lastHash is the hash of the settings that all nodes run at the end of the run, in the form in which they are sent.
var lastHash = func() string {
	text, err := json.Marshal(json.RawMessage(settingsContent(lastAttempts)))
	if err != nil {
		panic(err) // settingsContent returns valid JSON
	}
	return state.ContentHash(text)
}()

// RunSettings rolls out versions of settings to real nodes in three zones while it injects faults, and checks the actions of
// the processes. Violations are reported in the SettingsResult. The error is non-nil if the run could not be carried out.
func RunSettings(ctx context.Context, opt Options, nodes int) (*SettingsResult, error) {
	result := &SettingsResult{Result: Result{Seed: opt.Seed}}
	s, err := newSite(opt, &result.Result)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.startNodes(ctx, nodes); err != nil {
		return nil, err
	}
	if err := s.runSettings(ctx); err != nil {
		return nil, err
	}
	faultsEnded := time.Now()
	result.KilledNode, result.ZoneFaults = s.killedNode, s.zoneFaults
	if err := s.settleSettings(ctx, nodes); err != nil {
		result.Violations = append(result.Violations, "after the end of the faults: "+err.Error())
	}
	result.SettleS = time.Since(faultsEnded).Seconds()
	if err := s.stopAndReadLogs(); err != nil {
		return nil, err
	}
	if err := s.record.readNodeLogs(s.units); err != nil {
		return nil, err
	}
	s.record.checkSettings(result, zonesOf(nodes))
	return result, ctx.Err()
}

func nodeName(i int) string { return fmt.Sprintf("n%02d", i) }

// zonesOf returns the zones of the given number of nodes by their names.
func zonesOf(nodes int) map[string]string {
	zones := map[string]string{}
	for i := range nodes {
		zones[nodeName(i)] = string("abc"[i%3])
	}
	return zones
}

// startNodes starts the registry, nodes and controllers, and waits until all nodes have reported the version that they run.
func (s *site) startNodes(ctx context.Context, nodes int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.startRegistry(ctx); err != nil {
		return err
	}
	zones := zonesOf(nodes)
	for i := range nodes {
		command := s.command("node")
		if i == 0 && s.opt.NodeCommand != nil {
			command = s.opt.NodeCommand
		}
		if err := s.startNode(nodeName(i), zones[nodeName(i)], command); err != nil {
			return err
		}
	}
	if err := s.startControllers(); err != nil {
		return err
	}
	return s.await(ctx, "all nodes to report their version", func(v *state.CoordinationView) bool {
		return v.Rollout != nil && len(v.Rollout.Nodes) == nodes && v.Rollout.Converged() && v.Leader != nil
	})
}

// startNode starts a node with command, which receives the path of its configuration file in ROUTER_CONFIG.
func (s *site) startNode(name, zone string, command []string) error {
	p := s.newProcess(name)
	addresses, err := s.createLinks(p)
	if err != nil {
		return err
	}
	listen, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(listen)
	if err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": net.JoinHostPort(host, port), "discovery": s.cluster.Addresses()[0], "seed": "1",
		"limits": map[string]any{"memory_mb": 64, "sockets": 256}, "settings": json.RawMessage(settingsContent(1)),
		"agreed": map[string]any{
			"endpoints": addresses, "tier": "front", "zone": zone, "sends_to": "web", "ttl_ms": leaseTTL.Milliseconds(),
			"keep": filepath.Join(s.dir, name+".settings"),
		},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return err
	}
	p.SetCommand(append([]string{"/usr/bin/env", "ROUTER_CONFIG=" + file}, command...))
	if err := p.Start(); err != nil {
		return err
	}
	s.units = append(s.units, p)
	return nil
}

// propose proposes the settings with the given attempts as an operator does, and records the proposal or its rejection.
func (s *site) propose(ctx context.Context, attempts int, stages string) error {
	file := filepath.Join(s.dir, fmt.Sprintf("settings-%d.json", attempts))
	if err := os.WriteFile(file, settingsContent(attempts), 0o600); err != nil {
		return err
	}
	out, err := s.runFleetCommand(ctx, "config", "push", "--stages", stages, "--bake", "200ms", file)
	if err != nil {
		s.record.add(eventlog.Event{At: eventlog.Now(), Kind: versionRejected, Reason: out})
		return fmt.Errorf("%w: %s", err, out)
	}
	var version int64
	if _, err := fmt.Sscanf(out, "version %d is proposed", &version); err != nil {
		return fmt.Errorf("%q: %w", out, err)
	}
	s.record.add(eventlog.Event{At: eventlog.Now(), Kind: versionProposed, Version: strconv.FormatInt(version, 10)})
	return nil
}

// runSettings runs operators that propose versions, halt, withdraw and roll back while faults are injected. When it returns
// without an error, all faults have ended.
func (s *site) runSettings(ctx context.Context) error {
	if err := s.propose(ctx, firstAttempts, "1"); err != nil {
		return err
	}
	stopExtra, err := s.startExtraProcess()
	if err != nil {
		return err
	}
	defer stopExtra()
	if s.opt.RestartNode {
		if err := s.restartNode(ctx, s.units[0]); err != nil {
			return err
		}
	}
	end := time.Now().Add(s.opt.Duration)
	killAt := time.Now().Add(time.Duration(s.random.Int64N(int64(s.opt.Duration)))) // when killPermanently is called
	for next := firstAttempts + 1; time.Now().Before(end); {
		if !s.opt.NoFaults {
			if time.Now().After(killAt) {
				s.killPermanently()
			}
			if err := s.injectSettingsFault(); err != nil {
				return err
			}
		}
		if s.runRandomConfigCommand(ctx, next) {
			next++
		}
		if err := s.sleepRandom(ctx, 100, 400); err != nil {
			return err
		}
	}
	if !s.opt.NoFaults {
		s.killPermanently() // in case the loop has ended before killAt
	}
	s.background.Wait()
	return nil
}

// injectSettingsFault injects a random fault into a process, a replica, the registry or a whole zone.
func (s *site) injectSettingsFault() error {
	if s.random.IntN(6) == 0 {
		return s.injectZoneFault()
	}
	return s.injectFault()
}

// runRandomConfigCommand runs a random command as an operator does, and reports whether it has proposed the settings with the
// attempts next. Commands may fail because of the faults. settleSettings does not depend on their success.
func (s *site) runRandomConfigCommand(ctx context.Context, next int) (proposed bool) {
	switch n := s.random.IntN(10); {
	case n < 4:
		return s.propose(ctx, next, "0.3,1") == nil
	case n == 4:
		_ = s.propose(ctx, invalidAttempts, "1") // rejected, because the content is invalid
	case n == 5:
		s.tryFleetCommand(ctx, "config", "halt")
	case n == 6:
		s.tryFleetCommand(ctx, "config", "withdraw")
	case n == 7:
		s.tryFleetCommand(ctx, "config", "rollback")
	}
	return false
}

// settleSettings ends all faults, and rolls out one more version to every node, whatever version is pending.
func (s *site) settleSettings(ctx context.Context, nodes int) error {
	if err := s.healAll(); err != nil {
		return err
	}
	s.record.addNow(faultsOver, "")
	timeout := settleTimeout
	if s.opt.NodeCommand != nil || s.opt.ExtraProcess != nil {
		timeout = violatingTimeout
	}
	if s.killedNode != "" {
		nodes--
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	lastError := s.proposeLast(ctx)
	return s.await(ctx, "all nodes to run the last version; last error, if any: "+lastError, func(v *state.CoordinationView) bool {
		r := v.Rollout
		return r != nil && len(r.Nodes)-len(r.OutOfSync()) == nodes && r.Converged() && r.Committed.Hash == lastHash
	})
}

// proposeLast proposes the last version until the proposal succeeds or ctx ends, and returns the error of the last command that
// failed.
func (s *site) proposeLast(ctx context.Context) (lastError string) {
	for ctx.Err() == nil {
		if out, err := s.runFleetCommand(ctx, "config", "withdraw"); err != nil {
			lastError = out
			s.tryFleetCommand(ctx, "config", "rollback") // in case the pending version has started and can only be rolled back
		}
		err := s.propose(ctx, lastAttempts, "0.3,1")
		if err == nil {
			break
		}
		lastError = err.Error()
		time.Sleep(300 * time.Millisecond) // before the next attempt
	}
	return lastError
}
