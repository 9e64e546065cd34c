package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playRestoreTwice lets the first answer to a restore get lost. A server that is drained after the backup has been restored has to
// stay drained.
func playRestoreTwice(s *site) (violations []string, err error) {
	r, err := s.startRegistry()
	if err != nil {
		return nil, err
	}
	var targets []object
	for i := range 3 {
		v, err := s.startServer(fmt.Sprintf("s%d", i), time.Millisecond)
		if err != nil {
			return nil, err
		}
		targets = append(targets, v.target())
	}
	list, err := json.Marshal(targets)
	if err != nil {
		return nil, err
	}
	file, err := s.write("servers.json", string(list))
	if err != nil {
		return nil, err
	}
	if _, ok, err := r.command(r.endpoints(), "registry", "put", file); err != nil || !ok {
		return nil, fmt.Errorf("no servers: %w", err)
	}
	backup := s.path("backup.json")
	if _, ok, err := r.command(r.addrs[r.leader()], "registry", "backup", backup); err != nil || !ok {
		return nil, fmt.Errorf("no backup: %w", err)
	}
	var lost atomic.Bool
	lost.Store(!s.trouble) // at most one answer is lost
	var via []string
	for _, addr := range r.addrs {
		k, err := s.startLink(addr)
		if err != nil {
			return nil, err
		}
		k.loses = func() bool { return lost.CompareAndSwap(false, true) }
		via = append(via, k.addr())
	}
	epoch := r.revision() >> 40
	var restoring sync.WaitGroup
	var restored bool
	var restoreErr error
	restoring.Go(func() { _, restored, restoreErr = r.command(strings.Join(via, ","), "registry", "restore", backup) })
	if err := eventually("the restore is applied", 3*time.Second, func() bool { return r.revision()>>40 > epoch }); err != nil {
		return nil, err
	}
	if _, ok, err := r.command(r.endpoints(), "registry", "drain", "s0"); err != nil || !ok {
		return nil, fmt.Errorf("no drain: %w", err)
	}
	s.record("s0 after its drain: %q, epoch %d", r.state("s0"), r.revision()>>40)
	restoring.Wait()
	time.Sleep(time.Second)
	s.record("the restore's command succeeded: %t, %v; s0 at the end: %q, epoch %d", restored, restoreErr, r.state("s0"), r.revision()>>40)
	if got := r.state("s0"); got != "DRAINING" {
		violations = append(violations, fmt.Sprintf("s0, which was drained after the restore, is %q; epochs went from %d to %d with one restore",
			got, epoch, r.revision()>>40))
	}
	return violations, nil
}

// revision returns the highest revision that a replica tells.
func (r *registry) revision() (highest int64) {
	for _, addr := range r.addrs {
		var v struct {
			Revision int64 `json:"rev"`
		}
		if r.getJSON(addr, "/registry/status", &v) {
			highest = max(highest, v.Revision)
		}
	}
	return highest
}
