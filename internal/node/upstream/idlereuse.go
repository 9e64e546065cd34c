package upstream

import "time"

// minReuseIdle is the minimum of Pool.reuseIdle. A connection that is dropped after less time was
// dropped for another reason than being idle, such as a crash. At zero no idle connection would be
// reused, so the value could never rise again.
const minReuseIdle = 20 * time.Millisecond

// safeIdle returns how long a connection may be idle and still be reused if its server closes idle
// connections after serverIdle. It leaves a margin, because a request that crosses the close is lost to
// a reset.
func safeIdle(serverIdle time.Duration) time.Duration { return serverIdle * 3 / 4 }

// maxReuseIdle returns the maximum time that a connection may have been idle to be reused.
func (p *Pool) maxReuseIdle() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuseIdle
}

// reuseIdleLowered reports whether the maximum idle time for reuse is lower than the settings allow.
func (p *Pool) reuseIdleLowered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuseIdle < p.idleTimeout
}

// lowerMaxReuseIdle lowers the maximum idle time for reuse to half of wasIdle, the time that a
// connection was idle before its server dropped it. Servers may close idle connections at any time, and
// a request that crosses the close is lost to a reset.
func (p *Pool) lowerMaxReuseIdle(wasIdle time.Duration) {
	p.mu.Lock()
	p.reuseIdle = min(p.reuseIdle, max(wasIdle/2, minReuseIdle))
	p.mu.Unlock()
}

// adjustMaxReuseIdle adjusts the maximum idle time for reuse by the result of an attempt over c, if c
// had been idle. A success raises it by 1/50, up to the maximum of the settings.
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
