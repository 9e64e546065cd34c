package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainServers is the number of servers, of which one is cut off.
	drainServers = 5
	// cutDuration is how long the machine of a server is cut off from the registry.
	cutDuration = 6 * time.Second
	// drainGrace is how long after the drain a request may still begin: 500 ms, and 50 ms for every limit on sockets.
	drainGrace = 550 * time.Millisecond
	// watchTime is how long requests are observed after the cut.
	watchTime = 6 * time.Second
)

// playDrainAndCut drains a server, and then cuts its agent off from the registry for some seconds. Nobody takes the drain back, so
// nothing new may come to the server.
func playDrainAndCut(s *site) (violations []string, err error) {
	r, err := s.startRegistry()
	if err != nil {
		return nil, err
	}
	var servers []*server
	var cuttable []*link
	for i := range drainServers {
		v, err := s.startServer(fmt.Sprintf("s%d", i), 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		servers = append(servers, v)
		endpoints := r.endpoints()
		if i == 0 {
			var via []string
			for _, addr := range r.addrs {
				k, err := s.startLink(addr)
				if err != nil {
					return nil, err
				}
				cuttable, via = append(cuttable, k), append(via, k.addr())
			}
			endpoints = strings.Join(via, ",")
		}
		if _, err := r.startAgent(v, endpoints); err != nil {
			return nil, err
		}
	}
	if err := eventually("all servers are listed", 20*time.Second, func() bool {
		return r.lists(servers)
	}); err != nil {
		return nil, err
	}
	unused, err := freeAddr()
	if err != nil {
		return nil, err
	}
	n, err := s.startNode("n0", unused, []object{}, object{"registry": object{"endpoints": r.addrs[:]}})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	counts := map[int]int{}
	var running sync.WaitGroup
	for i := range 4 {
		c := &client{addr: n.addr, name: fmt.Sprintf("c%d", i)}
		running.Go(func() {
			c.load(ctx, "job-search", 2500*time.Millisecond, 30*time.Millisecond, func(r result) {
				mu.Lock()
				defer mu.Unlock()
				counts[r.status]++
			})
		})
	}
	time.Sleep(2 * time.Second)
	if len(servers[0].received()) == 0 {
		return nil, fmt.Errorf("s0 got no request before the drain")
	}
	if _, ok, err := r.command(r.endpoints(), "registry", "drain", "s0"); err != nil || !ok {
		return nil, fmt.Errorf("no drain: %w", err)
	}
	drainedAt := time.Now()
	time.Sleep(2 * time.Second)
	s.record("s0 before the cut: %q", r.state("s0"))
	if s.trouble {
		setCut(cuttable, true)
		s.record("the agent of s0 is cut off from the registry")
		time.Sleep(cutDuration)
		s.record("s0 at the end of the cut: %q", r.state("s0"))
		setCut(cuttable, false)
		s.record("the cut has healed")
	}
	time.Sleep(watchTime)
	s.record("s0 at the end: %q", r.state("s0"))
	cancel()
	running.Wait()
	for _, a := range servers[0].received() {
		if late := a.at.Sub(drainedAt); late > drainGrace {
			s.record("s0 got %s %.3f s after its drain", a.id, late.Seconds())
			violations = append(violations, fmt.Sprintf("s0 got %s %.3f s after its drain, which nobody took back", a.id, late.Seconds()))
		}
	}
	s.record("answers by status: %v", counts)
	if counts[http.StatusOK] == 0 {
		return nil, fmt.Errorf("no request was served: %v", counts)
	}
	return violations, nil
}

func setCut(links []*link, cut bool) {
	for _, k := range links {
		k.setCut(cut)
	}
}
