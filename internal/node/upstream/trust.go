package upstream

import "time"

// minTrustedIdle is the least that trust in idle connections falls to. A connection that is dropped after less was not dropped for
// being idle but by a crash, say, and with no trust at all idle connections would never be tried, so trust would never come back.
const minTrustedIdle = 20 * time.Millisecond

// safeIdle is how long an idle connection may be used that its server closes after serverIdle: clearly before that, for a request
// that crosses the close is lost to a reset.
func safeIdle(serverIdle time.Duration) time.Duration { return serverIdle * 3 / 4 }

// trust is how long a connection may have been idle to be used again.
func (p *Pool) trust() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trustedIdle
}

// distrustful reports whether idle connections are trusted for less than the settings allow.
func (p *Pool) distrustful() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trustedIdle < p.idleTimeout
}

// distrust notes that a server dropped a connection that had been idle for so long. Servers may close idle connections whenever
// they like, and a request that crosses the close is lost to a reset.
func (p *Pool) distrust(wasIdle time.Duration) {
	p.mu.Lock()
	p.trustedIdle = min(p.trustedIdle, max(wasIdle/2, minTrustedIdle))
	p.mu.Unlock()
}

// adjustTrust adjusts the trust in idle connections by the result of an attempt over one. Trust comes back slowly, by 1/50 a time.
func (p *Pool) adjustTrust(c *conn, r AttemptResult) {
	switch {
	case c.wasIdle == 0:
	case r.lostBeforeResponse(c):
		p.distrust(c.wasIdle)
	case r.succeeded():
		p.mu.Lock()
		if c.wasIdle > p.trustedIdle/2 {
			p.trustedIdle = min(p.idleTimeout, p.trustedIdle+p.trustedIdle/50+1)
		}
		p.mu.Unlock()
	}
}
