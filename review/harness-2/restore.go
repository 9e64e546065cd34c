package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// restoreServers is the number of servers. restoreLimits allow one of them to be unavailable.
const restoreServers = 9

const restoreLimits = `cold_from = 0.33
warm_ms = 2000
lapse_ms = 2000
[[tier]]
tier = "gateway"
whole = 0.12
`

// playRestore restores a backup while one of nine servers is dead, which the registry knows. A drain of a second server exceeds
// the limit before the restore and after it.
func playRestore(s *site) (violations []string, err error) {
	r, err := s.startRegistry()
	if err != nil {
		return nil, err
	}
	limits, err := s.write("limits.toml", restoreLimits)
	if err != nil {
		return nil, err
	}
	if _, ok, err := r.command(r.endpoints(), "fleet", "budget", limits); err != nil || !ok {
		return nil, fmt.Errorf("the limits were not set: %w", err)
	}
	var servers []*server
	var agents []*process
	for i := range restoreServers {
		v, err := s.startServer(fmt.Sprintf("s%d", i), time.Millisecond)
		if err != nil {
			return nil, err
		}
		agent, err := r.startAgent(v, r.endpoints())
		if err != nil {
			return nil, err
		}
		servers, agents = append(servers, v), append(agents, agent)
	}
	if err := eventually("all servers are listed and warm", 30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		if !r.lists(servers) {
			return false
		}
		output, ok, err := r.command(r.endpoints(), "fleet", "status")
		return err == nil && ok && !strings.Contains(output, "out: ")
	}); err != nil {
		return nil, err
	}
	backup := s.path("backup.json")
	if _, ok, err := r.command(r.endpoints(), "registry", "backup", backup); err != nil || !ok {
		return nil, fmt.Errorf("no backup: %w", err)
	}
	// The machine of s0 dies.
	agents[0].kill()
	servers[0].Close()
	s.record("s0 and its agent are dead")
	if err := eventually("the registry has removed s0", 20*time.Second, func() bool { return r.state("s0") == "" }); err != nil {
		return nil, err
	}
	if output, ok, err := r.command(r.endpoints(), "fleet", "drain", "s1"); err != nil || ok {
		return nil, fmt.Errorf("the drain of s1 was not refused before the restore: %s %w", output, err)
	}
	if s.trouble {
		if output, ok, err := r.command(r.endpoints(), "registry", "restore", backup); err != nil || !ok {
			return nil, fmt.Errorf("no restore: %s %w", output, err)
		}
	}
	for _, uid := range []string{"s1", "s2"} {
		output, granted, err := r.command(r.endpoints(), "fleet", "drain", uid)
		if err != nil {
			return nil, err
		}
		if granted {
			violations = append(violations, fmt.Sprintf("with s0 dead and one of %d servers allowed to be out, the drain of %s was granted: %s",
				restoreServers, uid, strings.TrimSpace(output)))
		}
	}
	conn, err := net.Dial("tcp", servers[0].addr)
	if err == nil {
		conn.Close()
		return nil, fmt.Errorf("s0 is not dead")
	}
	for _, v := range servers {
		s.record("%s at the end: %q in the registry", v.uid, r.state(v.uid))
	}
	if _, _, err := r.command(r.endpoints(), "fleet", "status"); err != nil {
		return nil, err
	}
	return violations, nil
}
