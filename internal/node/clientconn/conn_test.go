package clientconn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"umberbank/internal/node/nodetest"
)

// The system knows that a client has disconnected before anybody has read that.
func TestDisconnectedWithoutReading(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := nodetest.TCPPair(t)
			c := newConn(ours, func() {})
			if c.Disconnected() {
				t.Errorf("disconnected before")
			}
			leave(theirs)
			nodetest.Eventually(t, name, c.Disconnected)
		})
	}
}

// delayedConn lets a read that has its bytes return only once gate is closed.
type delayedConn struct {
	net.Conn
	has, gate chan struct{}
}

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.has <- struct{}{}
		<-c.gate
	}
	return n, err
}

// A request comes as its idle connection is closed: read before the decision it keeps the connection, read after the
// decision it is not handled.
func TestRequestAsItsConnectionIsClosed(t *testing.T) {
	t.Parallel()
	for _, decided := range []bool{false, true} {
		ours, theirs := nodetest.TCPPair(t)
		h := delayedConn{ours, make(chan struct{}, 1), make(chan struct{})}
		c := newConn(h, func() {})
		conns := NewIdleConns()
		conns.since[c] = time.Now().Add(-time.Minute)
		read := make(chan int, 1)
		go func() {
			n, _ := c.Read(make([]byte, 100))
			read <- n
		}()
		io.WriteString(theirs, "GET /read/1")
		nodetest.Wait(t, h.has)
		if decided {
			conns.Close(time.Second) // its bytes are on their way through the read
		}
		close(h.gate)
		n := nodetest.Wait(t, read)
		if !decided {
			conns.Close(time.Second)
		}
		if want := map[bool]int{false: 11, true: 0}[decided]; n != want || c.closed.Load() != decided {
			t.Errorf("decided before: %v, %d bytes read, closed %v", decided, n, c.closed.Load())
		}
	}
}

// A close over unread bytes does not reset the connection: the last answer arrives, and its end.
func TestCloseOverUnreadBytes(t *testing.T) {
	t.Parallel()
	for _, more := range []int{0, 100_000} { // that come while it closes
		ours, theirs := nodetest.TCPPair(t)
		left := make(chan struct{})
		c := newConn(ours, func() { close(left) })
		io.WriteString(theirs, nodetest.Text(100_000))
		io.WriteString(c, "the last answer")
		c.Close()
		if _, err := io.WriteString(theirs, nodetest.Text(more)); err != nil {
			t.Errorf("%d more bytes: %v", more, err)
		}
		_ = theirs.SetReadDeadline(time.Now().Add(nodetest.Timeout))
		if b, err := io.ReadAll(theirs); string(b) != "the last answer" || err != nil {
			t.Errorf("%d more bytes: %q, %v", more, b, err)
		}
		theirs.Close()
		nodetest.Wait(t, left)
	}
}

// A close does not wait forever for a client that stays connected.
func TestCloseBesideAClientThatStays(t *testing.T) {
	t.Parallel()
	ours, _ := nodetest.TCPPair(t)
	left := make(chan struct{})
	c := newConn(ours, func() { close(left) })
	c.Close()
	nodetest.Wait(t, left)
	if err := c.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a second close: %v", err)
	}
}

func TestListenerFollowsItsLimit(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ll := NewListener(l, 1, nil)
	accepted, failed := make(chan net.Conn, 3), make(chan error, 1)
	go func() {
		for {
			c, err := ll.Accept()
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
	c.Close() // gives its place back once
	nodetest.Wait(t, accepted)
	ll.SetLimit(2)
	nodetest.Wait(t, accepted)
	if ll.mu.Lock(); ll.open != 2 {
		t.Errorf("%d are open, 2 may be", ll.open)
	}
	ll.mu.Unlock()
	ll.Close() // while Accept waits for a place
	if err := nodetest.Wait(t, failed); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}
