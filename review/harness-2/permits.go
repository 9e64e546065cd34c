package main

import (
	"fmt"
	"time"
)

// permitLimits allow one of four servers to be unavailable.
const permitLimits = `cold_from = 0.33
warm_ms = 0
lapse_ms = 2000
[[tier]]
tier = "gateway"
whole = 0.25
`

// startPermitSite starts a registry with limits and the agents of the servers s0 to s2.
func startPermitSite(s *site) (*registry, error) {
	r, err := s.startRegistry()
	if err != nil {
		return nil, err
	}
	limits, err := s.write("limits.toml", permitLimits)
	if err != nil {
		return nil, err
	}
	if _, ok, err := r.command(r.endpoints(), "fleet", "budget", limits); err != nil || !ok {
		return nil, fmt.Errorf("the limits were not set: %w", err)
	}
	for i := range 3 {
		if _, err := r.join(fmt.Sprintf("s%d", i)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// join starts a server and its agent, and waits until it is listed.
func (r *registry) join(uid string) (*process, error) {
	v, err := r.site.startServer(uid, time.Millisecond)
	if err != nil {
		return nil, err
	}
	agent, err := r.startAgent(v, r.endpoints())
	if err != nil {
		return nil, err
	}
	return agent, eventually(uid+" is listed", 20*time.Second, func() bool { return r.lists([]*server{v}) })
}

// drained drains a server under a permit and waits until the list says so.
func (r *registry) drained(uid string) error {
	if output, ok, err := r.command(r.endpoints(), "fleet", "drain", uid); err != nil || !ok {
		return fmt.Errorf("no drain: %s %w", output, err)
	}
	return eventually(uid+" drains", 5*time.Second, func() bool { return r.state(uid) == "DRAINING" })
}

// playRestorePermit drains a server that joined after a backup, under a permit, and restores the backup.
func playRestorePermit(s *site) (violations []string, err error) {
	r, err := startPermitSite(s)
	if err != nil {
		return nil, err
	}
	backup := s.path("backup.json")
	if _, ok, err := r.command(r.endpoints(), "registry", "backup", backup); err != nil || !ok {
		return nil, fmt.Errorf("no backup: %w", err)
	}
	if _, err := r.join("s3"); err != nil {
		return nil, err
	}
	if err := r.drained("s3"); err != nil {
		return nil, err
	}
	if s.trouble {
		if output, ok, err := r.command(r.endpoints(), "registry", "restore", backup); err != nil || !ok {
			return nil, fmt.Errorf("no restore: %s %w", output, err)
		}
	}
	time.Sleep(5 * time.Second)
	if _, _, err := r.command(r.endpoints(), "fleet", "status"); err != nil {
		return nil, err
	}
	if got := r.state("s3"); got != "DRAINING" {
		violations = append(violations, fmt.Sprintf("s3, which was drained under a permit, is %q", got))
	}
	return violations, nil
}
