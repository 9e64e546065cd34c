package clientconn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"umberbank/internal/node/nodetest"
)

// Disconnected detects a disconnect without reading from the connection.
func TestDisconnectedWithoutReading(t *testing.T) {
	t.Parallel()
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			server, client := nodetest.TCPPair(t)
			c := newConn(server, func() {})
			if c.Disconnected() {
				t.Errorf("Disconnected returns true for an open connection")
			}
			disconnect(client)
			nodetest.Eventually(t, name, c.Disconnected)
		})
	}
}

// delayedConn signals on received when a read has received bytes, and lets that read return only once
// gate is closed.
type delayedConn struct {
	net.Conn
	received, gate chan struct{}
}

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received <- struct{}{}
		<-c.gate
	}
	return n, err
}

// A request arrives while its idle connection is being closed. If its bytes are read before the close
// is decided, the connection stays open. If they are read after, the request is not handled.
func TestRequestDuringIdleClose(t *testing.T) {
	t.Parallel()
	for _, closeFirst := range []bool{false, true} {
		server, client := nodetest.TCPPair(t)
		delayed := delayedConn{server, make(chan struct{}, 1), make(chan struct{})}
		c := newConn(delayed, func() {})
		conns := NewIdleConns()
		conns.since[c] = time.Now().Add(-time.Minute)
		read := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 100))
			read <- n
		}()
		io.WriteString(client, "GET /read/1")
		nodetest.Wait(t, delayed.received)
		if closeFirst {
			conns.Close(time.Second) // Read has received the bytes and has not returned
		}
		close(delayed.gate)
		n := nodetest.Wait(t, read)
		if !closeFirst {
			conns.Close(time.Second)
		}
		if want := map[bool]int{false: 11, true: 0}[closeFirst]; n != want || c.closed.Load() != closeFirst {
			t.Errorf("close decided first: %v, %d bytes read, closed %v", closeFirst, n, c.closed.Load())
		}
	}
}

// Many requests of a client that pipelines more than the node handles do not read ahead more than one does.
func TestReadAheadIsBounded(t *testing.T) {
	t.Parallel()
	const requests = 40
	server, client := nodetest.TCPPair(t)
	c := newConn(server, func() {})
	io.WriteString(client, nodetest.Text(2*requests*maxReadAheadBytes))
	aheadBytes := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.ahead)
	}
	for range requests {
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("read %d bytes: %v", n, err)
		}
		stop := c.WatchDisconnect(func() { t.Error("the client has not disconnected") })
		nodetest.Eventually(t, "bytes ahead", func() bool { return aheadBytes() >= maxReadAheadBytes })
		stop()
	}
	if n := aheadBytes(); n > maxReadAheadBytes {
		t.Errorf("%d bytes were read ahead, the limit is %d", n, maxReadAheadBytes)
	}
}

// Closing a connection with unread bytes does not reset it: the client receives the last response and
// its end.
func TestCloseWithUnreadBytes(t *testing.T) {
	t.Parallel()
	for _, more := range []int{0, 100_000} { // bytes that arrive during the close
		server, client := nodetest.TCPPair(t)
		released := make(chan struct{})
		c := newConn(server, func() { close(released) })
		io.WriteString(client, nodetest.Text(100_000))
		io.WriteString(c, "the last response")
		c.Close()
		if _, err := io.WriteString(client, nodetest.Text(more)); err != nil {
			t.Errorf("%d more bytes: %v", more, err)
		}
		_ = client.SetReadDeadline(time.Now().Add(nodetest.Timeout))
		if b, err := io.ReadAll(client); string(b) != "the last response" || err != nil {
			t.Errorf("%d more bytes: %q, %v", more, b, err)
		}
		client.Close()
		nodetest.Wait(t, released)
	}
}

// Close does not wait forever for a client that stays connected.
func TestCloseWithConnectedClient(t *testing.T) {
	t.Parallel()
	server, _ := nodetest.TCPPair(t)
	released := make(chan struct{})
	c := newConn(server, func() { close(released) })
	c.Close()
	nodetest.Wait(t, released)
	if err := c.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("second Close: %v", err)
	}
}

// A Listener accepts no more connections than its limit, which can change while Accept waits.
func TestListenerLimit(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := NewListener(l, 1, nil)
	accepted, failed := make(chan net.Conn, 3), make(chan error, 1)
	go func() {
		for {
			c, err := limited.Accept()
			if err != nil {
				failed <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		nodetest.Dial(t, l.Addr().String())
	}
	c := nodetest.Wait(t, accepted)
	c.Close()
	c.Close() // must not release the capacity a second time
	nodetest.Wait(t, accepted)
	limited.SetLimit(2)
	nodetest.Wait(t, accepted)
	if limited.mu.Lock(); limited.open != 2 {
		t.Errorf("%d connections are open, want 2", limited.open)
	}
	limited.mu.Unlock()
	limited.Close() // while Accept waits for capacity
	if err := nodetest.Wait(t, failed); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: %v", err)
	}
}
