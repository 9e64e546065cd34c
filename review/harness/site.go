package main

import (
	"fmt"
	"time"
)

// The deployment of the cases with a registry: three replicas, ten servers with an agent each, and a node.
const (
	registryServers  = 10
	registryInterval = 50 * time.Millisecond // between the clients' requests
	registryService  = 20 * time.Millisecond
	// drainGrace is how long after being told a node may still send to a draining server, with the slack on sockets.
	drainGrace = 550 * time.Millisecond
	// toldWithin is the time within which what the registry has counts as told to a node.
	toldWithin = 6 * time.Second
)

// site is a registry with servers, their agents and a node that takes its list from a replica.
type site struct {
	*play
	registry []*replica
	servers  []*server
	node     string // address for clients
}

// startSite starts a site and waits until its node serves with all servers.
func (p *play) startSite() (*site, error) {
	s := &site{play: p}
	var err error
	if s.registry, err = p.startRegistry(); err != nil {
		return nil, err
	}
	for i := range registryServers {
		started, err := p.startServer(fmt.Sprintf("s%d", i), registryService, nil)
		if err != nil {
			return nil, err
		}
		s.servers = append(s.servers, started)
		if err := s.startAgent(started); err != nil {
			return nil, err
		}
	}
	if err := awaitTrue("all servers registered", readyTimeout, func() bool {
		states, err := getInstances(s.registry[0].address)
		return err == nil && len(states) == registryServers
	}); err != nil {
		return nil, err
	}
	if s.node, err = freeAddress(); err != nil {
		return nil, err
	}
	if _, err := p.startNode(newNodeConfig("n0", s.node, s.registry[0].address)); err != nil {
		return nil, err
	}
	return s, awaitOK("http://" + s.node + "/health/ready")
}

// startAgent starts the agent that holds the lease of a server.
func (s *site) startAgent(of *server) error {
	_, err := s.start("agent-"+of.name, fmt.Sprintf("exec bin/umberbank fleet agent --endpoints %s --uid %s --endpoint %s --tier web --zone amman-dc --version v1",
		endpoints(s.registry), of.name, of.addr))
	return err
}

// drain drains a server as an operator does, and waits until every node counts as told.
func (s *site) drain(uid string) error {
	if _, err := s.command("bin/umberbank registry drain --endpoints " + endpoints(s.registry) + " " + uid); err != nil {
		return err
	}
	s.logf("%s is drained: the registry says %s", uid, s.stateOf(s.registry, uid))
	return nil
}

// count returns the number of requests that have arrived.
func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}
