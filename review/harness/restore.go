package main

import (
	"fmt"
	"sync"
	"time"
)

// repeatedRestore loses the answer to the restore of a backup, and drains a server after the restore. The drain must last.
func repeatedRestore(p *play) error {
	const cutFor = 6 * time.Second
	s, err := p.startSite()
	if err != nil {
		return err
	}
	clients := newLoad(p, s.node)
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.run(registryInterval, 28*time.Second)
	}()
	time.Sleep(time.Second)
	backup := p.dir + "/backup.json"
	if _, err := p.command("bin/umberbank registry backup --endpoints " + endpoints(s.registry) + " " + backup); err != nil {
		return err
	}

	through, err := s.operatorLinks(cutFor)
	if err != nil {
		return err
	}
	epoch, err := s.epoch()
	if err != nil {
		return err
	}
	restored := make(chan error, 1)
	go func() {
		_, err := p.command("bin/umberbank registry restore --endpoints " + through + " " + backup)
		restored <- err
	}()
	if err := awaitTrue("the restore is in force", readyTimeout, func() bool {
		now, err := s.epoch()
		return err == nil && now > epoch
	}); err != nil {
		return err
	}
	p.logf("the backup is restored: the registry's epoch is %d after %d", epoch+1, epoch)
	time.Sleep(500 * time.Millisecond)
	if err := s.drain("s1"); err != nil {
		return err
	}
	if err := <-restored; err != nil {
		return err
	}
	p.logf("the command of the restore has ended without an error")
	time.Sleep(toldWithin + drainGrace) // until the node counts as told of the drain
	before := s.servers[1].count()
	last, err := s.epoch()
	if err != nil {
		return err
	}
	state := s.stateOf(s.registry, "s1")
	<-done
	after := s.servers[1].count() - before
	p.logf("%d requests; answers by status (0: none): %v", clients.asked, clients.answers)
	p.logf("the registry's epoch is %d after one restore in epoch %d; it says %q of s1, which nobody let serve again; s1 got %d requests after the drain counted as told to the node",
		last, epoch, state, after)
	if last != epoch+1 || state != "DRAINING" || after > 0 {
		return fmt.Errorf("%w: one restore was applied %d times, the registry says %s of s1, whose drain it had acknowledged in between, and s1 got %d further requests",
			errBroken, last-epoch, state, after)
	}
	return nil
}

// operatorLinks starts links between an operator and the replicas, and returns their addresses as the commands take them. With
// the disruption, the way back from the replica that is asked first is cut for a while.
func (s *site) operatorLinks(cutFor time.Duration) (string, error) {
	var through []*replica
	var first sync.Once
	for _, r := range s.registry {
		var k *link
		var err error
		ready := make(chan struct{})
		k, err = startLink(r.address, func() {
			<-ready
			first.Do(func() {
				if !s.trouble {
					return
				}
				s.logf("the way back from %s to the operator is cut for %v", r.name, cutFor)
				k.cut(false, true)
				time.AfterFunc(cutFor, func() { k.cut(false, false) })
			})
		})
		close(ready)
		if err != nil {
			return "", err
		}
		through = append(through, &replica{address: k.addr})
	}
	return endpoints(through), nil
}
