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

// meter opens the connections of one client and counts all bytes on them, including headers.
type meter struct {
	in, out atomic.Int64 // bytes
	calls   atomic.Int64 // requests whose sending has begun
	dials   atomic.Int64

	mu           sync.Mutex
	open         map[net.Conn]struct{}
	down         bool
	ignoreBefore time.Time       // responses on connections opened before it do not set answeredAt
	unreachable  map[string]bool // addresses behind the partition
	healed       <-chan struct{} // closed when the partition ends; nil before the first partition
	answeredAt   time.Time       // time of the first response after ignoreBefore; zero until it arrives
}

// traffic is the number of bytes and calls that a meter has counted.
type traffic struct{ bytes, calls int64 }

// plus returns the sum of t and o.
func (t traffic) plus(o traffic) traffic { return traffic{t.bytes + o.bytes, t.calls + o.calls} }

// traffic returns the traffic so far, in both directions.
func (m *meter) traffic() traffic { return traffic{m.in.Load() + m.out.Load(), m.calls.Load()} }

var errMachineDown = errors.New("this machine is down")

// dial opens a connection whose traffic is counted.
func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	m.mu.Lock()
	down := m.down
	m.mu.Unlock()
	if down {
		return nil, errMachineDown
	}
	if healed := m.reachable(address); healed != nil {
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
	counted := &countedConn{Conn: c, meter: m, address: address, opened: time.Now(), closed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		c.Close()
		return nil, errMachineDown
	}
	if m.open == nil {
		m.open = map[net.Conn]struct{}{}
	}
	m.open[counted] = struct{}{}
	return counted, nil
}

// breakAll closes all connections. New ones may be opened, and the first response on one of them sets answeredAt.
func (m *meter) breakAll() {
	m.mu.Lock()
	m.ignoreBefore, m.answeredAt = time.Now(), time.Time{}
	open := m.open
	m.open = nil
	m.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

// kill closes all connections and allows no new one, as if the machine were down.
func (m *meter) kill() {
	m.mu.Lock()
	m.down = true
	m.mu.Unlock()
	m.breakAll()
}

// reconnectedAt returns when the client first received a response after breakAll, or zero if it has not received one.
func (m *meter) reconnectedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredAt
}

// partition stalls all traffic to and from addresses until healed is closed. Data is delayed, and no connection is reset.
func (m *meter) partition(addresses map[string]bool, healed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable, m.healed = addresses, healed
}

// reachable returns a channel that is closed when an address can be reached again, or nil if it can be reached now.
func (m *meter) reachable(address string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unreachable[address] {
		return nil
	}
	return m.healed
}

// countedConn is a connection whose traffic is counted by a meter.
type countedConn struct {
	net.Conn
	meter   *meter
	address string
	opened  time.Time
	read    atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// awaitReachable waits until the peer can be reached. It returns false if the connection was closed before that.
func (c *countedConn) awaitReachable() bool {
	healed := c.meter.reachable(c.address)
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

// Read counts the bytes received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.awaitReachable() {
		return 0, net.ErrClosed
	}
	c.meter.in.Add(int64(n))
	if n > 0 && c.read.CompareAndSwap(false, true) {
		c.meter.mu.Lock()
		if c.meter.answeredAt.IsZero() && c.opened.After(c.meter.ignoreBefore) {
			c.meter.answeredAt = time.Now()
		}
		c.meter.mu.Unlock()
	}
	return n, err
}

// Write counts the bytes sent. It counts a call if the data begins with a request line, as net/http writes the head of a
// request at once.
func (c *countedConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("GET /")) || bytes.HasPrefix(b, []byte("POST /")) {
		c.meter.calls.Add(1)
	}
	if !c.awaitReachable() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.meter.mu.Lock()
	delete(c.meter.open, c)
	c.meter.mu.Unlock()
	return c.Conn.Close()
}
