package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Client gives a request's handler access to the connection that the request arrived on.
type Client struct {
	conn      net.Conn
	connected time.Time
	bodies    atomic.Int64 // calls of BodyAllowance
}

type clientKey struct{}

// WithClient adds the Client of a connection to ctx, where ClientOf finds it. It is meant as
// http.Server's ConnContext.
func WithClient(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, &Client{conn: conn, connected: time.Now()})
}

// ClientOf returns the Client of a request. It panics if the request's server does not have WithClient
// as its ConnContext.
func ClientOf(r *http.Request) *Client { return r.Context().Value(clientKey{}).(*Client) }

// BodyAllowance returns how long the body of the connection's next request may pause before its first
// byte. It must be called once for each request.
func (c *Client) BodyAllowance() time.Duration {
	if c.bodies.Add(1) > 1 {
		return MaxBodyPause
	}
	return min(MaxBodyPause, max(minFirstPause, FirstBodyTimeout-time.Since(c.connected)))
}

// LastRead returns the earliest time at which the client can have sent the bytes that net/http got last.
func (c *Client) LastRead() time.Time {
	if conn, isClient := c.conn.(*Conn); isClient {
		return conn.arrival.lastRead()
	}
	return time.Now()
}

// nextRead returns the earliest time at which the client can have sent the first byte that has not been
// read.
func (c *Client) nextRead() time.Time {
	if conn, isClient := c.conn.(*Conn); isClient {
		return conn.arrival.next()
	}
	return time.Now()
}

// HeadRead records that net/http has read the whole head of a request.
func (c *Client) HeadRead() {
	if conn, isClient := c.conn.(*Conn); isClient {
		conn.head.end()
	}
}

// Reset makes closing the connection send a reset, which the client cannot mistake for the end of a
// response.
func (c *Client) Reset() {
	if conn, isClient := c.conn.(*Conn); isClient {
		conn.Reset()
	}
}

// WatchDisconnect calls disconnected when the client sends more bytes before it has received its
// response and then disconnects; see Conn.WatchDisconnect.
func (c *Client) WatchDisconnect(disconnected func()) (stop func()) {
	if conn, isClient := c.conn.(*Conn); isClient {
		return conn.WatchDisconnect(disconnected)
	}
	return func() {}
}

// Backlogged reports whether a disconnect of the client may be hidden behind unread bytes; see
// Conn.Backlogged.
func (c *Client) Backlogged() bool {
	conn, isClient := c.conn.(*Conn)
	return isClient && conn.Backlogged()
}

// Disconnected reports whether the client has shut down sending or closed its connection, even if no
// read has reported this yet; see Conn.Disconnected.
func (c *Client) Disconnected() bool {
	conn, isClient := c.conn.(*Conn)
	return isClient && conn.Disconnected()
}
