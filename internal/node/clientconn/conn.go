package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The states of a connection between its requests.
const (
	stateIdle    int32 = iota // nothing has come since its last request ended
	stateActive               // something has, so it may not be closed any more
	stateClosing              // it is to be closed: what comes is not read as a request any more
)

const (
	// maxReadAheadBytes is how much is read of what a client sends ahead of its response. A client that sends more is not seen
	// to disconnect before its response.
	maxReadAheadBytes = 4 << 10
	// readAheadBytes is how much of that is read at once.
	readAheadBytes = 512
	// closeLingerTimeout is how long a closed connection goes on reading, into nothing, so that no reset takes along what the client
	// has not read yet, and maxLingerBytes how much of it.
	closeLingerTimeout = 400 * time.Millisecond
	maxLingerBytes     = 1 << 20
)

// Conn is a client's connection. It gives its capacity back when it is closed for good, and it sees its client disconnect also
// where net/http does not: behind bytes that were sent ahead of the response.
//
// net/http alone reads from it, by one goroutine at a time; the other methods may be called by any goroutine.
type Conn struct {
	net.Conn
	release func() // gives the capacity back; called once

	state        atomic.Int32
	resetOnClose atomic.Bool
	closed       atomic.Bool

	mu           sync.Mutex
	ahead        []byte        // read ahead of net/http, for its next Read
	err          error         // what reading ahead ended with, for the Read after that
	probed       bool          // net/http's own check for a disconnect read a byte, and it checks no more
	disconnected func()        // to be called when the client is seen to have disconnected; nil: there is no watch
	readingAhead chan struct{} // closed when reading ahead has ended; nil: it has not begun
}

func newConn(conn net.Conn, release func()) *Conn { return &Conn{Conn: conn, release: release} }

// markIdle says that a request has ended and nothing of another has come, as far as net/http knows.
func (c *Conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		c.state.CompareAndSwap(stateActive, stateIdle)
	}
}

// isIdle reports whether the connection may be closed now.
func (c *Conn) isIdle() bool { return c.state.Load() == stateIdle }

// beginClose makes an idle connection one that is to be closed; false: the client's next bytes were here before.
func (c *Conn) beginClose() bool { return c.state.CompareAndSwap(stateIdle, stateClosing) }

// Read reads for net/http.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	n, err := copy(p, c.ahead), error(nil)
	c.ahead = c.ahead[n:]
	if n == 0 {
		err = c.err
	}
	c.mu.Unlock()
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && !c.state.CompareAndSwap(stateIdle, stateActive) && c.state.Load() == stateClosing {
		return 0, net.ErrClosed // it came after the decision to close, so its client sends it again
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	// While a request is served net/http reads one single byte, to notice a disconnect.
	c.probed = n == 1 && len(p) == 1
	c.readAheadIfDue()
	return n, err
}

// WatchDisconnect calls disconnected, from another goroutine and at most once, when the client is seen to have disconnected
// behind bytes that it sent ahead of its response. It ends with stop, before which nothing else may read but net/http's look for a disconnect.
func (c *Conn) WatchDisconnect(disconnected func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
	c.readAheadIfDue()
	return c.stopWatch
}

// readAheadIfDue begins to read ahead if a watch needs it; c.mu is locked.
func (c *Conn) readAheadIfDue() {
	if c.disconnected == nil || !c.probed || c.readingAhead != nil || c.err != nil {
		return
	}
	c.readingAhead = make(chan struct{})
	go c.readAhead(c.disconnected, c.readingAhead)
}

// readAhead reads until the client disconnects, stopWatch ends it, or it holds maxReadAheadBytes.
func (c *Conn) readAhead(disconnected func(), ended chan struct{}) {
	defer close(ended)
	buf := make([]byte, readAheadBytes)
	for capacity := maxReadAheadBytes; capacity > 0; {
		n, err := c.Conn.Read(buf[:min(len(buf), capacity)])
		capacity -= n
		c.mu.Lock()
		c.ahead = append(c.ahead, buf[:n]...)
		stopped := errors.Is(err, os.ErrDeadlineExceeded) // by stopWatch
		if err != nil && !stopped {
			c.err = err
		}
		c.mu.Unlock()
		if err != nil {
			if !stopped {
				disconnected()
			}
			return
		}
	}
}

func (c *Conn) stopWatch() {
	c.mu.Lock()
	readingAhead := c.readingAhead
	c.disconnected, c.readingAhead = nil, nil
	c.mu.Unlock()
	if readingAhead != nil {
		c.SetReadDeadline(time.Unix(1, 0)) // in the past: ends the read
		<-readingAhead
		c.SetReadDeadline(time.Time{})
	}
}

// Close ends sending, and then reads into nothing until the client closes too or for closeLingerTimeout: a close over bytes that
// nobody has read is a reset, which may take the last response along. The capacity is given back after that.
func (c *Conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.state.Store(stateClosing)
	c.mu.Lock()
	ended := c.err != nil
	c.mu.Unlock()
	if ended || c.resetOnClose.Load() || c.CloseWrite() != nil {
		defer c.release()
		return c.Conn.Close()
	}
	go func() {
		defer c.release()
		c.SetReadDeadline(time.Now().Add(closeLingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // an error is an end like any other
		c.Conn.Close()
	}()
	return nil
}

// evict closes a connection for which beginClose has returned true, at once, to have its capacity.
func (c *Conn) evict() {
	if c.closed.CompareAndSwap(false, true) {
		c.Conn.Close()
		c.release()
	}
}

// Reset makes the connection's close a reset, which cannot pass for the end of a response.
func (c *Conn) Reset() {
	c.resetOnClose.Store(true)
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0) // an error means that it is closed already
	}
}

// Disconnected reports whether the client has ended its sending or the connection, as far as the system knows, whatever stands
// unread before that: the rest of a body that nobody reads yet, say.
func (c *Conn) Disconnected() bool {
	sc, hasDescriptor := c.Conn.(syscall.Conn)
	if !hasDescriptor {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	poll := []unix.PollFd{{Events: unix.POLLRDHUP}} // POLLERR and POLLHUP are always reported
	if raw.Control(func(fd uintptr) {
		poll[0].Fd = int32(fd)
		_, err = unix.Poll(poll, 0)
	}) != nil {
		return true
	}
	return err == nil && poll[0].Revents != 0
}

// CloseWrite ends sending alone, which lets a client that still writes read its response.
func (c *Conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
