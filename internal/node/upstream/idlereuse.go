package upstream

import "time"

// minReuseIdle is the least value of Pool.reuseIdle. A connection that is dropped after less was not dropped for being idle but by a
// crash, say; and at zero no idle connection would be tried, so that the value would never rise again.
const minReuseIdle = 20 * time.Millisecond

// safeIdle is how long an idle connection may be used that its server closes after serverIdle: clearly before that, for a request
// that crosses the close is lost to a reset.
func safeIdle(serverIdle time.Duration) time.Duration { return serverIdle * 3 / 4 }

// maxReuseIdle is how long a connection may have been idle to be used again.
func (p *Pool) maxReuseIdle() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuseIdle
}

// reuseIdleLowered reports whether idle connections are reused for less time than the settings allow.
func (p *Pool) reuseIdleLowered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuseIdle < p.idleTimeout
}

// lowerMaxReuseIdle lowers the maximum when a server has dropped a connection that had been idle for so long. Servers may close idle connections whenever
// they like, and a request that crosses the close is lost to a reset.
func (p *Pool) lowerMaxReuseIdle(wasIdle time.Duration) {
	p.mu.Lock()
	p.reuseIdle = min(p.reuseIdle, max(wasIdle/2, minReuseIdle))
	p.mu.Unlock()
}

// adjustMaxReuseIdle adjusts the maximum by the result of an attempt over an idle connection. It rises again slowly, by 1/50 a success.
func (p *Pool) adjustMaxReuseIdle(c *conn, r AttemptResult) {
	switch {
	case c.wasIdle == 0:
	case r.lostBeforeResponse(c):
		p.lowerMaxReuseIdle(c.wasIdle)
	case r.succeeded():
		p.mu.Lock()
		if c.wasIdle > p.reuseIdle/2 {
			p.reuseIdle = min(p.idleTimeout, p.reuseIdle+p.reuseIdle/50+1)
		}
		p.mu.Unlock()
	}
}
