package fleet

import (
	"net"
	"sync"
	"sync/atomic"
)

// linkListener accepts the connections of one link up to its server's limit.
type linkListener struct {
	net.Listener
	linkEnd
	open *atomic.Int64 // connections at the server, over all links
	max  int64
}

// Accept resets connections above the limit before a byte of them is read.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: c, open: l.open}, nil
		}
		l.open.Add(-1)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// countedConn is a connection that is counted in open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
