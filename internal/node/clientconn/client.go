package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Client is what a request's handler knows of the connection that the request came on.
type Client struct {
	conn      net.Conn
	connected time.Time
	bodies    atomic.Int64 // requests whose body was asked for
}

type clientKey struct{}

// WithClient lets a request's handler find its connection with ClientOf; it is http.Server's ConnContext.
func WithClient(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, &Client{conn: conn, connected: time.Now()})
}

// ClientOf is the client of a request that a server with WithClient has read.
func ClientOf(r *http.Request) *Client { return r.Context().Value(clientKey{}).(*Client) }

// BodyAllowance is how long the body of the connection's next request may pause at first. It is asked once for each request.
func (c *Client) BodyAllowance() time.Duration {
	if c.bodies.Add(1) > 1 {
		return MaxBodyPause
	}
	return min(MaxBodyPause, max(minFirstPause, FirstBodyTimeout-time.Since(c.connected)))
}

// Reset makes the connection's close a reset, which cannot pass for the end of a response.
func (c *Client) Reset() {
	if conn, isClient := c.conn.(*Conn); isClient {
		conn.Reset()
	}
}

// WatchDisconnect calls disconnected when the client is seen to have disconnected behind bytes that it sent ahead; see
// Conn.WatchDisconnect.
func (c *Client) WatchDisconnect(disconnected func()) (stop func()) {
	if conn, isClient := c.conn.(*Conn); isClient {
		return conn.WatchDisconnect(disconnected)
	}
	return func() {}
}

// Disconnected reports whether the client has closed its connection, whether or not anybody has noticed yet.
func (c *Client) Disconnected() bool {
	conn, isClient := c.conn.(*Conn)
	return isClient && conn.Disconnected()
}
