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
	faultKill        = "kill"    // of a unit or a controller
	faultStop        = "stop"    // by a signal
	faultCut         = "cut"     // its links, both ways
	faultOneWay      = "one-way" // its links towards the registry
	faultReplicaKill = "replica-kill"
	faultReplicaStop = "replica-stop"
	faultSlowDisk    = "slow-disk" // of a replica
	faultRestore     = "restore"   // of a backup
)

var faultKinds = []string{faultKill, faultStop, faultCut, faultOneWay, faultReplicaKill, faultReplicaStop, faultSlowDisk, faultRestore}

// isReplicaFault reports whether a fault affects one replica.
func isReplicaFault(kind string) bool {
	return kind == faultReplicaKill || kind == faultReplicaStop || kind == faultSlowDisk
}

// injectFault lets a random fault affect a process, a replica or the registry for a while. The order of the random draws
// is fixed, so that a seed gives the same faults.
func (s *site) injectFault() error {
	duration := time.Duration(200+s.random.IntN(1500)) * time.Millisecond
	p := s.controllers[s.random.IntN(len(s.controllers))]
	isUnit := s.random.IntN(2) == 0
	if isUnit {
		p = s.units[s.random.IntN(len(s.units))]
		if s.random.IntN(3) == 0 {
			duration += 3 * time.Second // long enough for everybody to notice
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
	s.noteFault(fmt.Sprintf("%s %s", kind, name), duration)
	switch kind {
	case faultReplicaKill, faultReplicaStop, faultSlowDisk, faultRestore:
		return s.registryFault(kind, replica, duration)
	}
	return s.processFault(kind, p, duration)
}

// noteFault enters a fault in the result.
func (s *site) noteFault(description string, duration time.Duration) {
	s.result.Faults = append(s.result.Faults, fmt.Sprintf("%s %v", description, duration))
	s.opt.Log("%s for %v", description, duration)
}

// after calls undo once a time has passed. The run waits for that.
func (s *site) after(d time.Duration, undo func()) {
	s.undo.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// processFault lets a fault affect a unit or a controller.
func (s *site) processFault(kind string, p *siteProcess, duration time.Duration) error {
	end := func(undo func()) {
		s.record.addNow(faultBegan, p.name)
		s.after(duration, func() {
			undo()
			s.record.addNow(faultEnded, p.name)
		})
	}
	switch kind {
	case faultKill:
		p.killed = true
		s.killNow(p)
		end(func() { restart(p) })
	case faultStop:
		p.Signal(syscall.SIGSTOP)
		end(func() { p.Signal(syscall.SIGCONT) })
	case faultCut, faultOneWay:
		silence := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: kind == faultCut}
		for _, l := range p.links {
			if err := l.Add(silence); err != nil {
				return err
			}
		}
		end(func() { removeImpairment(p.links, silence) })
	}
	return nil
}

// restart starts a process that a fault has killed. One that cannot start shows in what follows.
func restart(p *siteProcess) { _ = p.Start() }

// removeImpairment ends a stall of links. What they held arrives then; see package relay.
func removeImpairment(links []*relay.Relay, impairment *relay.Impairment) {
	for _, l := range links {
		_ = l.Remove(impairment) // it only ends a stall, which cannot fail
	}
}

// registryFault lets a fault affect a replica, or has a backup restored.
func (s *site) registryFault(kind string, replica int, duration time.Duration) error {
	apply := func(do, undo func()) {
		s.record.addNow(registryFaultBegan, "")
		do()
		s.after(duration, func() {
			undo()
			s.record.addNow(registryFaultEnded, "")
		})
	}
	switch kind {
	case faultReplicaKill:
		apply(func() { s.cluster.Kill(replica) }, func() { _ = s.cluster.Start(replica) }) // a failure shows in what follows
	case faultReplicaStop:
		apply(func() { s.cluster.Signal(replica, syscall.SIGSTOP) }, func() { s.cluster.Signal(replica, syscall.SIGCONT) })
	case faultSlowDisk:
		if err := s.cluster.SetSyncDelay(replica, time.Duration(50+s.random.IntN(300))*time.Millisecond); err != nil {
			return err
		}
		apply(func() {}, func() { _ = s.cluster.SetSyncDelay(replica, 0) }) // likewise
	case faultRestore:
		apply(func() { s.restoreBackup(duration / 2) }, func() {})
	}
	return nil
}

// restoreBackup takes a backup and restores it after a delay. Either may fail while other faults last.
func (s *site) restoreBackup(delay time.Duration) {
	s.undo.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		w, err := client.New(client.Options{Endpoints: s.cluster.Addresses()})
		if err != nil {
			return
		}
		var backup json.RawMessage
		if w.Call(ctx, "GET", api.PathBackup, nil, &backup) != nil {
			return
		}
		time.Sleep(delay)
		_ = w.Call(ctx, "POST", api.PathRestore, backup, &struct{}{})
	})
}

// killNow kills a process, and records it.
func (s *site) killNow(p *siteProcess) {
	s.record.addNow(processKilled, p.name)
	p.Kill()
}
