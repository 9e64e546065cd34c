package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	handOvers = 12
	// stopDelay is how long after the registration of the new agent the old one gets SIGTERM, at least, and stopDelayStep how much
	// later it gets it in each further hand-over.
	stopDelay     = 300 * time.Millisecond
	stopDelayStep = 100 * time.Millisecond
)

// removal is a removal of a server that a watch of the registry has told.
type removal struct {
	uid string
	at  time.Time
}

// playHandOver replaces the agent of a server by a new one, several times: the new one starts, and some time after it has
// registered the old one gets SIGTERM. The old one is fenced from the registration on, so it must not remove the server.
func playHandOver(s *site) (violations []string, err error) {
	r, err := s.startRegistry()
	if err != nil {
		return nil, err
	}
	v, err := s.startServer("s0", time.Millisecond)
	if err != nil {
		return nil, err
	}
	old, err := r.startAgentNamed("agent-0", v, r.endpoints())
	if err != nil {
		return nil, err
	}
	if err := eventually("the server is listed", 20*time.Second, func() bool { return r.lists([]*server{v}) }); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var removals []removal
	if err := r.follow(func(uid, state string) {
		s.record("watch: %s is %s", uid, state)
		mu.Lock()
		defer mu.Unlock()
		if state == "DELETED" {
			removals = append(removals, removal{uid, time.Now()})
		}
	}); err != nil {
		return nil, err
	}
	for i := range handOvers {
		before := r.token("s0")
		next, err := r.startAgentNamed(fmt.Sprintf("agent-%d", i+1), v, r.endpoints())
		if err != nil {
			return nil, err
		}
		if err := eventually("the new agent has registered the server", 10*time.Second, func() bool { return r.token("s0") > before }); err != nil {
			return nil, err
		}
		s.record("%s holds the server, token %d before and %d now", next.name, before, r.token("s0"))
		if s.trouble {
			time.Sleep(stopDelay + time.Duration(i%9)*stopDelayStep)
			s.record("SIGTERM to %s, which had ended: %t", old.name, old.hasExited())
			old.cmd.Process.Signal(syscall.SIGTERM)
		}
		if err := eventually("the old agent ends", 10*time.Second, old.hasExited); err != nil {
			return nil, err
		}
		time.Sleep(1500 * time.Millisecond)
		if next.hasExited() {
			return nil, fmt.Errorf("%s has ended", next.name)
		}
		old = next
	}
	mu.Lock()
	defer mu.Unlock()
	for _, x := range removals {
		violations = append(violations, fmt.Sprintf("%s was removed from the list at %.3f s, while its present agent ran and renewed its lease",
			x.uid, x.at.Sub(s.started).Seconds()))
	}
	return violations, nil
}

// follow opens a watch at the leader and calls changed for every entry that it tells.
func (r *registry) follow(changed func(uid, state string)) error {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.addrs[r.leader()] + "/registry/instances?follow=1&since=0")
	if err != nil {
		return err
	}
	r.site.onClose(resp.Body)
	go func() {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			var event struct {
				Targets []struct {
					UID   string `json:"uid"`
					State string `json:"state"`
				} `json:"targets"`
			}
			if strings.TrimSpace(lines.Text()) == "" || json.Unmarshal(lines.Bytes(), &event) != nil {
				continue
			}
			for _, t := range event.Targets {
				changed(t.UID, t.State)
			}
		}
	}()
	return nil
}

// token returns the token of a server's registration, or 0.
func (r *registry) token(uid string) int64 {
	var list struct {
		Targets []struct {
			UID   string `json:"uid"`
			Token int64  `json:"token"`
		} `json:"targets"`
	}
	for _, addr := range r.addrs {
		if r.getJSON(addr, "/registry/instances?consistent=1", &list) {
			break
		}
	}
	for _, t := range list.Targets {
		if t.UID == uid {
			return t.Token
		}
	}
	return 0
}
