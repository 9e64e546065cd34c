package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// mostControl is how many operators' calls are open at once, each with a descriptor.
	mostControl = 16
	// controlLine is the longest line that a call may be.
	controlLine = 256
	// controlRest is how much more than its line is read of a caller before its connection is reset.
	controlRest = 64 << 10
	// controlRead is how long a caller may take over its line, and controlWrite over the answer.
	controlRead  = 2 * time.Second
	controlWrite = time.Second
)

// control answers operators at an address of their own: one line to a connection. A call never waits for
// the loop, for the clients' side or for another caller.
type control struct {
	listener net.Listener
	calls    map[string]func() string // what answers each call, its last line's end left out

	mu   sync.Mutex
	open []net.Conn // callers, in the order they came
}

func newControl(addr string, calls map[string]func() string) (*control, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &control{listener: persistentListener{l}, calls: calls}, nil
}

// serve takes calls until close.
func (c *control) serve() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return // closed: persistentListener survives all else
		}
		c.admit(conn)
		go func() {
			defer c.leave(conn)
			c.call(conn)
		}()
	}
}

func (c *control) close() { c.listener.Close() }

// admit counts a caller in. With too many, the one that came first is let go: an honest call takes no
// time, so that one has stalled.
func (c *control) admit(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= mostControl {
		c.open[0].Close()
		c.open = c.open[1:]
	}
	c.open = append(c.open, conn)
}

func (c *control) leave(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.open {
		if o == conn {
			c.open = append(c.open[:i:i], c.open[i+1:]...)
			return
		}
	}
}

// call reads one line and answers it.
func (c *control) call(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(controlRead))
	line, err := bufio.NewReader(io.LimitReader(conn, controlLine)).ReadString('\n')
	answer := c.answer(strings.TrimRight(line, "\r\n"), err)
	conn.SetWriteDeadline(time.Now().Add(controlWrite))
	if _, err := io.WriteString(conn, answer+"\n"); err != nil {
		return // the caller has gone
	}
	// Closing over what was not read would reset the connection, and the answer might be lost with it.
	if half, can := conn.(interface{ CloseWrite() error }); can && half.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(controlRead))
		io.Copy(io.Discard, io.LimitReader(conn, controlRest)) // until the caller closes
	}
}

// answer words the answer to a line; err tells why it was not read to its end.
func (c *control) answer(line string, err error) string {
	call, known := c.calls[line]
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "fail the line took too long"
	case err != nil && len(line) >= controlLine:
		return "fail the line is too long"
	case err != nil:
		return "fail the line has no end"
	case line == "":
		return "fail the line is empty"
	case !known:
		return "fail unknown call"
	}
	return call()
}
