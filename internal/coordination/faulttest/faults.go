package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"umberbank/internal/process/relay"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
)

// Kinds of faults.
const (
	faultKill        = "kill"    // kills an agent, node or controller
	faultStop        = "stop"    // stops an agent, node or controller with SIGSTOP
	faultCut         = "cut"     // stalls the links of an agent, node or controller in both directions
	faultOneWay      = "one-way" // stalls the links of an agent, node or controller towards the registry only
	faultReplicaKill = "replica-kill"
	faultReplicaStop = "replica-stop"
	faultSlowDisk    = "slow-disk" // delays the syncs of a replica's log
	faultRestore     = "restore"   // takes a backup and restores it later
)

var faultKinds = []string{faultKill, faultStop, faultCut, faultOneWay, faultReplicaKill, faultReplicaStop, faultSlowDisk, faultRestore}

// isReplicaFault reports whether a fault affects one replica.
func isReplicaFault(kind string) bool {
	return kind == faultReplicaKill || kind == faultReplicaStop || kind == faultSlowDisk
}

// injectFault injects a random fault into a process, a replica or the registry, and schedules its end. The random draws
// have a fixed order, so that runs with the same seed inject similar faults. The faults are not always equal: their number, and
// the draw with which killPermanently selects a node, depend on time.
func (s *site) injectFault() error {
	duration := time.Duration(200+s.random.IntN(1500)) * time.Millisecond
	p := s.controllers[s.random.IntN(len(s.controllers))]
	isUnit := s.random.IntN(2) == 0
	if isUnit {
		p = s.units[s.random.IntN(len(s.units))]
		if s.random.IntN(3) == 0 {
			duration += 3 * time.Second // long enough for the lease to end and for controllers to act on it
		}
	}
	replica := s.random.IntN(s.cluster.Len())
	kind := faultKinds[s.random.IntN(len(faultKinds))]
	name := p.name
	if isReplicaFault(kind) {
		name = s.cluster.ID(replica)
	} else if p.killed {
		return nil
	}
	s.recordFault(fmt.Sprintf("%s %s", kind, name), duration)
	switch kind {
	case faultReplicaKill, faultReplicaStop, faultSlowDisk, faultRestore:
		return s.registryFault(kind, replica, duration)
	}
	return s.processFault(kind, p, duration)
}

// recordFault adds a fault to the result and logs it.
func (s *site) recordFault(description string, duration time.Duration) {
	s.result.Faults = append(s.result.Faults, fmt.Sprintf("%s %v", description, duration))
	s.opt.Log("%s for %v", description, duration)
}

// runAfter calls undo after d on a goroutine of s.background, so that the run waits for the call.
func (s *site) runAfter(d time.Duration, undo func()) {
	s.background.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// processFault injects a fault into an agent, a node or a controller, and schedules its end after duration.
func (s *site) processFault(kind string, p *siteProcess, duration time.Duration) error {
	scheduleEnd := func(undo func()) {
		s.record.addNow(faultBegan, p.name)
		s.runAfter(duration, func() {
			undo()
			s.record.addNow(faultEnded, p.name)
		})
	}
	switch kind {
	case faultKill:
		p.killed = true
		s.killAndRecord(p)
		scheduleEnd(func() { restart(p) })
	case faultStop:
		p.Signal(syscall.SIGSTOP)
		scheduleEnd(func() { p.Signal(syscall.SIGCONT) })
	case faultCut, faultOneWay:
		stall := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: kind == faultCut}
		for _, l := range p.links {
			if err := l.Add(stall); err != nil {
				return err
			}
		}
		scheduleEnd(func() { removeImpairment(p.links, stall) })
	}
	return nil
}

// restart starts a process that a fault has killed. It ignores the error, since healAll starts processes that are not running
// and returns its error.
func restart(p *siteProcess) { _ = p.Start() }

// removeImpairment ends a stall of links, which then deliver the bytes that they have held; see package relay.
func removeImpairment(links []*relay.Relay, impairment *relay.Impairment) {
	for _, l := range links {
		_ = l.Remove(impairment) // the end of a stall cannot fail
	}
}

// registryFault injects a fault into a replica, or restores a backup, and schedules its end after duration.
func (s *site) registryFault(kind string, replica int, duration time.Duration) error {
	apply := func(do, undo func()) {
		s.record.addNow(registryFaultBegan, "")
		do()
		s.runAfter(duration, func() {
			undo()
			s.record.addNow(registryFaultEnded, "")
		})
	}
	switch kind {
	case faultReplicaKill:
		apply(func() { s.cluster.Kill(replica) }, func() { _ = s.cluster.Start(replica) }) // healAll retries the start
	case faultReplicaStop:
		apply(func() { s.cluster.Signal(replica, syscall.SIGSTOP) }, func() { s.cluster.Signal(replica, syscall.SIGCONT) })
	case faultSlowDisk:
		if err := s.cluster.SetSyncDelay(replica, time.Duration(50+s.random.IntN(300))*time.Millisecond); err != nil {
			return err
		}
		apply(func() {}, func() { _ = s.cluster.SetSyncDelay(replica, 0) }) // a failure only leaves the disk slow
	case faultRestore:
		apply(func() { s.restoreBackup(duration / 2) }, func() {})
	}
	return nil
}

// restoreBackup takes a backup and restores it after delay, in the background. Either request may fail because of other
// faults.
func (s *site) restoreBackup(delay time.Duration) {
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		c, err := client.New(client.Options{Endpoints: s.cluster.Addresses()})
		if err != nil {
			return
		}
		var backup json.RawMessage
		if c.Call(ctx, "GET", api.PathBackup, nil, &backup) != nil {
			return
		}
		time.Sleep(delay)
		_ = c.Call(ctx, "POST", api.PathRestore, backup, &struct{}{})
	})
}

// killAndRecord records that p is killed, and kills it.
func (s *site) killAndRecord(p *siteProcess) {
	s.record.addNow(processKilled, p.name)
	p.Kill()
}
