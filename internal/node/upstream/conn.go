package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	limit     *io.LimitedReader // limits how much reader may still read from Conn
	idleSince time.Time
	wasIdle   time.Duration // how long it was idle before its current use; zero if it is new
}

func newConn(c net.Conn) *conn {
	limit := &io.LimitedReader{R: c}
	return &conn{Conn: c, reader: bufio.NewReader(limit), limit: limit}
}

// abort closes the connection with a reset, which discards the bytes in the kernel's send buffer. After
// a plain close the kernel retransmits them for minutes: a request written while the link is down would
// arrive and run once the link is up again, long after its client got an error. Bytes that have been
// transmitted cannot be recalled.
func (c *conn) abort() {
	if t, can := c.Conn.(interface{ SetLinger(sec int) error }); can {
		_ = t.SetLinger(0) // if this fails, the connection is still closed
	}
	c.Conn.Close()
}

// alive reports whether an idle connection is open and has no unread bytes. If the server has closed it,
// the next request gets a reset. Unread bytes would be taken for the response to the next request.
func (c *conn) alive() bool {
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}

// peek checks for unread bytes on a connection without blocking. n is 1 if there are any, and 0 with a
// nil error at the end of the stream. The error is EAGAIN if the connection is open and has no unread
// bytes. peek may be called while another goroutine reads.
func peek(c net.Conn) (n int, err error) {
	sc, hasDescriptor := c.(syscall.Conn)
	if !hasDescriptor {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if closed := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); closed != nil {
		return 0, closed
	}
	return n, err
}
