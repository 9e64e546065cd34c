package scale

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// meter is the network as one client has it: it opens the client's connections and counts what passes them, headers too.
type meter struct {
	in, out atomic.Int64 // bytes
	calls   atomic.Int64 // requests that were sent
	dials   atomic.Int64

	mu    sync.Mutex
	open  map[net.Conn]struct{}
	dead  bool
	since time.Time       // answers before do not count as heard
	far   map[string]bool // addresses that are cut off
	heals <-chan struct{} // closed when they are no more; nil: none was ever cut off
	heard time.Time       // the first byte of an answer after since, on a connection opened after it; zero: none yet
}

// traffic is what a meter has counted.
type traffic struct{ bytes, calls int64 }

func (m *meter) traffic() traffic { return traffic{m.in.Load() + m.out.Load(), m.calls.Load()} }

var errDead = errors.New("this machine is down")

// dial opens a connection that is counted.
func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	m.mu.Lock()
	dead := m.dead
	m.mu.Unlock()
	if dead {
		return nil, errDead
	}
	if healed := m.passes(address); healed != nil {
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	m.dials.Add(1)
	counted := &countedConn{Conn: c, m: m, address: address, opened: time.Now(), closed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		c.Close()
		return nil, errDead
	}
	if m.open == nil {
		m.open = map[net.Conn]struct{}{}
	}
	m.open[counted] = struct{}{}
	return counted, nil
}

// breakAll ends all connections; new ones may be opened. What is heard on those counts from now on.
func (m *meter) breakAll() {
	m.mu.Lock()
	m.since, m.heard = time.Now(), time.Time{}
	open := m.open
	m.open = nil
	m.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

// kill ends all connections for good, as the machine's death does.
func (m *meter) kill() {
	m.mu.Lock()
	m.dead = true
	m.mu.Unlock()
	m.breakAll()
}

// back is when the client heard an answer again after breakAll; zero: not yet.
func (m *meter) back() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard
}

// cut lets nothing pass to or from addresses until healed is closed. As in a network what was sent waits, and no end is told.
func (m *meter) cut(addresses map[string]bool, healed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.far, m.heals = addresses, healed
}

// passes is closed when an address can be reached; nil: it can.
func (m *meter) passes(address string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.far[address] {
		return nil
	}
	return m.heals
}

// countedConn is a connection of a meter.
type countedConn struct {
	net.Conn
	m       *meter
	address string
	opened  time.Time
	read    atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// wait waits until the other side can be reached; false: the connection was closed before.
func (c *countedConn) wait() bool {
	healed := c.m.passes(c.address)
	if healed == nil {
		return true
	}
	select {
	case <-healed:
		return true
	case <-c.closed:
		return false
	}
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.wait() {
		return 0, net.ErrClosed
	}
	c.m.in.Add(int64(n))
	if n > 0 && c.read.CompareAndSwap(false, true) {
		c.m.mu.Lock()
		if c.m.heard.IsZero() && c.opened.After(c.m.since) {
			c.m.heard = time.Now()
		}
		c.m.mu.Unlock()
	}
	return n, err
}

// Write counts a call where a request begins: net/http writes a request's head in one go.
func (c *countedConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("GET /")) || bytes.HasPrefix(b, []byte("POST /")) {
		c.m.calls.Add(1)
	}
	if !c.wait() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.m.mu.Lock()
	delete(c.m.open, c)
	c.m.mu.Unlock()
	return c.Conn.Close()
}
