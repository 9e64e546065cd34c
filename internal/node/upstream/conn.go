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
	limit     *io.LimitedReader // what reader may still read from Conn
	idleSince time.Time
	wasIdle   time.Duration // how long it was idle before its present use; 0: it is new
}

func newConn(c net.Conn) *conn {
	limit := &io.LimitedReader{R: c}
	return &conn{Conn: c, reader: bufio.NewReader(limit), limit: limit}
}

// abort gives the connection up with all that was written to it and has not left this machine. After a plain close the system
// goes on sending that for minutes, so a request written into a link that is down would arrive, and run, when the link is up
// again, long after its client was told that it had failed. Bytes that have left this machine cannot be recalled.
func (c *conn) abort() {
	if t, can := c.Conn.(interface{ SetLinger(sec int) error }); can {
		_ = t.SetLinger(0) // where that cannot be, it is closed all the same
	}
	c.Conn.Close()
}

// alive reports whether an idle connection is still open and holds no bytes: a server that closed it would reset the next request,
// and leftover bytes would pass for that request's response.
func (c *conn) alive() bool {
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}

// peek looks, without waiting, how many bytes stand unread on a connection, one at the most. 0 is its end; EAGAIN says that it is
// open and holds nothing. It may be called beside a reader.
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
