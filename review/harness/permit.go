package main

import (
	"fmt"
	"strings"
	"time"
)

// limitsFile is a disruption budget: a quarter of the servers may be unavailable at once.
const limitsFile = `cold_from = 0.33
warm_ms = 0
lapse_ms = 2000
[[tier]]
tier = "web"
whole = 0.25
`

// lostPermit restores a backup while a server, which has joined since the backup, is drained under a permit. The permit must stay,
// and with it the drain.
func lostPermit(p *play) error {
	const (
		watchFor   = 10 * time.Second
		replicated = 2 * time.Second // until every replica has the budget: any of them answers the request for a backup
	)
	s, err := p.startSite()
	if err != nil {
		return err
	}
	limits, err := p.writeFile("limits.toml", limitsFile)
	if err != nil {
		return err
	}
	if _, err := p.command("bin/umberbank fleet budget --endpoints " + endpoints(s.registry) + " " + limits); err != nil {
		return err
	}
	time.Sleep(replicated)
	backup := p.dir + "/backup.json"
	if _, err := p.command("bin/umberbank registry backup --endpoints " + endpoints(s.registry) + " " + backup); err != nil {
		return err
	}
	joined, err := s.join("late")
	if err != nil {
		return err
	}
	clients := newLoad(p, s.node)
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.run(registryInterval, 4*time.Second+toldWithin+drainGrace+watchFor)
	}()
	time.Sleep(2 * time.Second)
	if _, err := p.command("bin/umberbank fleet drain --endpoints " + endpoints(s.registry) + " " + joined.name); err != nil {
		return err
	}
	time.Sleep(toldWithin + drainGrace)
	before := joined.count()
	p.logf("%s is drained under a permit: the registry says %s; permits: %v", joined.name, s.stateOf(s.registry, joined.name), s.permitted())
	if p.trouble {
		p.logf("the backup is restored")
		if _, err := p.command("bin/umberbank registry restore --endpoints " + endpoints(s.registry) + " " + backup); err != nil {
			return err
		}
	}
	<-done
	state, after, permits := s.stateOf(s.registry, joined.name), joined.count()-before, s.permitted()
	p.logf("%d requests; answers by status (0: none): %v", clients.asked, clients.answers)
	p.logf("the registry says %q of %s, which nobody let serve again; permits: %v; it got %d requests after the drain counted as told to the node",
		state, joined.name, permits, after)
	if after > 0 || state == "SERVING" || !strings.Contains(permits, joined.name) {
		return fmt.Errorf("%w: the permit of %s did not survive the restore: permits %s, the registry says %s, and it got %d further requests",
			errBroken, joined.name, permits, state, after)
	}
	return nil
}
