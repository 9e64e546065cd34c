package upstream

import "time"

// minReuseIdle is the minimum of Pool.maxReuseIdle. If a server drops a connection that was idle for
// less time, the reason is not that it was idle, but for example a crash. With a maxReuseIdle of zero no
// idle connection would be reused, so that no success could raise the value again.
const minReuseIdle = 20 * time.Millisecond

// safeIdle returns how long a connection may be idle and still be reused if its server closes idle
// connections after serverIdle. The margin of 1/4 is needed because a request that is sent while the
// server closes the connection gets a reset and no response.
func safeIdle(serverIdle time.Duration) time.Duration { return serverIdle * 3 / 4 }

// currentMaxReuseIdle returns p.maxReuseIdle.
func (p *Pool) currentMaxReuseIdle() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxReuseIdle
}

// maxReuseIdleLowered reports whether p.maxReuseIdle is lower than the settings allow.
func (p *Pool) maxReuseIdleLowered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxReuseIdle < p.idleTimeout
}

// lowerMaxReuseIdle lowers p.maxReuseIdle to half of wasIdle, the time that a connection was idle before
// its server dropped it, but not below minReuseIdle. Servers may close idle connections at any time, and
// a request that is sent while a server closes the connection gets a reset and no response.
func (p *Pool) lowerMaxReuseIdle(wasIdle time.Duration) {
	p.mu.Lock()
	p.maxReuseIdle = min(p.maxReuseIdle, max(wasIdle/2, minReuseIdle))
	p.mu.Unlock()
}

// adjustMaxReuseIdle adjusts p.maxReuseIdle after an attempt over c with result r. It does nothing if c
// is new. If c was lost before the response, it lowers the value; see lowerMaxReuseIdle. A success over
// a connection that was idle for more than half of the value raises it by 1/50, up to idleTimeout.
func (p *Pool) adjustMaxReuseIdle(c *conn, r AttemptResult) {
	switch {
	case c.wasIdle == 0:
	case r.lostBeforeResponse(c):
		p.lowerMaxReuseIdle(c.wasIdle)
	case r.succeeded():
		p.mu.Lock()
		if c.wasIdle > p.maxReuseIdle/2 {
			p.maxReuseIdle = min(p.idleTimeout, p.maxReuseIdle+p.maxReuseIdle/50+1)
		}
		p.mu.Unlock()
	}
}
