package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	apartNodes = 24
	// notifiedWithin is when a change counts as notified at the latest.
	notifiedWithin = 6 * time.Second
	// startSpread is the time over which the nodes start, so that their watches begin at different times.
	startSpread = 2 * time.Second
)

// playReplicaApart cuts one replica of the registry off from the others and then drains a server at the others. The nodes have
// the addresses of all replicas, and can reach them.
func playReplicaApart(s *site) (violations []string, err error) {
	r, err := s.startRegistry()
	if err != nil {
		return nil, err
	}
	var servers []*server
	var targets []object
	for i := range 3 {
		v, err := s.startServer(fmt.Sprintf("s%d", i), 10*time.Millisecond)
		if err != nil {
			return nil, err
		}
		servers, targets = append(servers, v), append(targets, v.target())
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
	nodes, err := startRegistryNodes(s, r, targets)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	counts := map[int]int{}
	var running sync.WaitGroup
	for i, n := range nodes {
		c := &client{addr: n.addr, name: n.name}
		time.Sleep(time.Duration(i%4) * time.Millisecond)
		running.Go(func() {
			c.load(ctx, "job-search", 2500*time.Millisecond, 50*time.Millisecond, func(r result) {
				mu.Lock()
				defer mu.Unlock()
				counts[r.status]++
			})
		})
	}
	time.Sleep(3 * time.Second)
	apart, watchers := r.follower()
	s.record("replica r%d, which does not lead, has %d watches", apart, watchers)
	if watchers == 0 {
		return nil, fmt.Errorf("no node watches a replica that does not lead")
	}
	if s.trouble {
		r.isolate(apart)
		s.record("replica r%d is cut off from the others", apart)
	}
	if _, ok, err := r.command(r.addrs[r.leader()], "registry", "drain", "s0"); err != nil || !ok {
		return nil, fmt.Errorf("no drain: %w", err)
	}
	drainedAt := time.Now()
	time.Sleep(10 * time.Second)
	s.record("replica r%d at the end: %+v", apart, r.status(apart))
	cancel()
	running.Wait()
	latest := map[string]time.Duration{}
	for _, a := range servers[0].received() {
		late := a.at.Sub(drainedAt)
		name, _, _ := strings.Cut(a.id, "-")
		latest[name] = max(latest[name], late)
		if late > notifiedWithin+drainGrace {
			violations = append(violations, fmt.Sprintf("s0 got %s %.3f s after its drain", a.id, late.Seconds()))
		}
	}
	for _, n := range nodes {
		s.record("%s sent its last request to s0 %.3f s after the drain", n.name, latest[n.name].Seconds())
	}
	s.record("answers by status: %v", counts)
	if counts[http.StatusOK] == 0 {
		return nil, fmt.Errorf("no request was served: %v", counts)
	}
	return violations, nil
}

// startRegistryNodes starts nodes that follow the registry.
func startRegistryNodes(s *site, r *registry, targets []object) (nodes []*node, err error) {
	unused, err := freeAddr()
	if err != nil {
		return nil, err
	}
	for i := range apartNodes {
		began := time.Now()
		n, err := s.startNode(fmt.Sprintf("n%d", i), unused, targets, object{"registry": object{"endpoints": r.addrs[:]}})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		time.Sleep(startSpread/apartNodes - time.Since(began))
	}
	return nodes, nil
}

// follower returns the replica that does not lead and has the most watches.
func (r *registry) follower() (replica, watchers int) {
	leader := r.leader()
	for i := range replicas {
		if n := r.status(i).Watchers; i != leader && n >= watchers {
			replica, watchers = i, n
		}
	}
	return replica, watchers
}
