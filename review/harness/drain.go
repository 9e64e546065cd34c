package main

import (
	"fmt"
	"time"
)

// lostDrain cuts the machine of a drained server off for a while. The server must still be draining afterwards.
func lostDrain(p *play) error {
	const cutFor, watchFor = 6 * time.Second, 10 * time.Second
	s, err := p.startSite()
	if err != nil {
		return err
	}
	clients := newLoad(p, s.node)
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.run(registryInterval, 2*time.Second+toldWithin+drainGrace+cutFor+watchFor)
	}()
	time.Sleep(2 * time.Second)
	if err := s.drain("s0"); err != nil {
		return err
	}
	time.Sleep(toldWithin + drainGrace)
	before := s.servers[0].count()
	if p.trouble {
		p.logf("the machine of s0 is cut off for %v", cutFor)
		for _, k := range s.links {
			k.cut(true, true)
		}
	}
	time.Sleep(cutFor)
	p.logf("%v later the registry says %q of s0", cutFor, s.stateOf(s.registry, "s0"))
	for _, k := range s.links {
		k.cut(false, false)
	}
	<-done
	state, after := s.stateOf(s.registry, "s0"), s.servers[0].count()
	p.logf("%d requests; answers by status (0: none): %v; the registry says %q of s0, which nobody let serve again", clients.asked, clients.answers, state)
	p.logf("s0 got %d requests before the drain counted as told to the node, and %d after", before, after-before)
	if state == "SERVING" || after > before {
		return fmt.Errorf("%w: the acknowledged drain of s0 is lost: the registry says %s, and s0 got %d further requests", errBroken, state, after-before)
	}
	return nil
}
