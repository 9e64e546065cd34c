package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a stand-in of a client. It keeps one connection to a node and sends one request at a time.
type client struct {
	addr   string
	name   string
	number int
	// connected is called with each new connection, if set.
	connected func(net.Conn)

	conn   net.Conn
	reader *bufio.Reader
}

// result is the answer to a request.
type result struct {
	id     string
	class  string
	status int // 0 without an answer
	body   string
	err    error
}

// send sends the next request of a class that is safe to repeat, and waits for the answer for as long as the client has time.
func (c *client) send(class string, timeLeft time.Duration) result {
	c.number++
	r := result{id: fmt.Sprintf("%s-%d", c.name, c.number), class: class}
	if r.status, r.body, r.err = c.exchange(r.id, class, timeLeft); r.err != nil {
		c.close()
	}
	return r
}

func (c *client) exchange(id, class string, timeLeft time.Duration) (status int, body string, err error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return 0, "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
		if c.connected != nil {
			c.connected(conn)
		}
	}
	c.conn.SetDeadline(time.Now().Add(timeLeft + 500*time.Millisecond))
	head := fmt.Sprintf("Host: app.svc\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\n", id, timeLeft.Milliseconds())
	message := "GET /" + class + "/list HTTP/1.1\r\n" + head + "\r\n"
	if _, err := io.WriteString(c.conn, message); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, string(text), nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// load sends requests one after the other, with a pause between them, until ctx ends. done is called with each result.
func (c *client) load(ctx context.Context, class string, timeLeft, pause time.Duration, done func(result)) {
	defer c.close()
	for ctx.Err() == nil {
		done(c.send(class, timeLeft))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}
