package node

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

// What a caller's connection is at, between its requests.
const (
	resting int32 = iota // nothing has come since it was last idle
	heard                // something has, so it is no longer ours to close
	parted               // we have decided to close it: what comes is not read as a request any more
)

const (
	// aheadMost is how much is read of what a caller sends ahead of its answer, in bytes. Whoever sends more is not
	// seen to go before its answer.
	aheadMost = 4 << 10
	// partTime is how long a closed connection goes on reading, into nothing, so that no reset takes along what the
	// caller has not read yet, and partMost how much of it, in bytes.
	partTime = 400 * time.Millisecond
	partMost = 1 << 20
)

// limitedConn is a caller's connection. It gives its place back when it is closed for good, and it sees its caller go
// also where net/http does not: behind bytes that were sent ahead.
type limitedConn struct {
	net.Conn
	leave func()

	state  atomic.Int32
	broken atomic.Bool // its end is to be a reset
	closed atomic.Bool

	mu      sync.Mutex
	ahead   []byte        // read ahead of net/http, for its next Read
	err     error         // what reading ahead ended with, for the Read after that
	tasted  bool          // net/http's own look for the caller's close got a byte, and it looks no more
	gone    func()        // to be called when the caller is seen to have gone; nil: nobody asks
	looking chan struct{} // closed when reading ahead has ended; nil: it has not begun
}

// rest says that a request has ended and nothing of another has come, as far as net/http knows.
func (c *limitedConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		c.state.CompareAndSwap(heard, resting)
	}
}

// claim makes the connection ours to close; false: the caller's next bytes were here before.
func (c *limitedConn) claim() bool {
	return c.state.CompareAndSwap(resting, parted)
}

func (c *limitedConn) Read(p []byte) (int, error) {
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
	if n > 0 && !c.state.CompareAndSwap(resting, heard) && c.state.Load() == parted {
		return 0, net.ErrClosed // it came after the decision to close, so its caller sends it again
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	// While a request is in hand net/http reads single bytes, and but one.
	c.tasted = n == 1 && len(p) == 1
	c.look()
	return n, err
}

// watch calls gone, from another goroutine and at most once, when the caller is seen to have gone behind bytes that it
// sent ahead of its answer. It ends with stop, before which nothing else may read but net/http's look for the close.
func (c *limitedConn) watch(gone func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = gone
	c.look()
	return c.unwatch
}

// look begins to read ahead if that is due; c.mu is held.
func (c *limitedConn) look() {
	if c.gone == nil || !c.tasted || c.looking != nil || c.err != nil {
		return
	}
	c.looking = make(chan struct{})
	go c.readAhead(c.gone, c.looking)
}

func (c *limitedConn) readAhead(gone func(), ended chan struct{}) {
	defer close(ended)
	buf := make([]byte, 512)
	for room := aheadMost; room > 0; {
		n, err := c.Conn.Read(buf[:min(len(buf), room)])
		room -= n
		c.mu.Lock()
		c.ahead = append(c.ahead, buf[:n]...)
		over := errors.Is(err, os.ErrDeadlineExceeded) // unwatch says so
		if err != nil && !over {
			c.err = err
		}
		c.mu.Unlock()
		if err != nil {
			if !over {
				gone()
			}
			return
		}
	}
}

func (c *limitedConn) unwatch() {
	c.mu.Lock()
	looking := c.looking
	c.gone, c.looking = nil, nil
	c.mu.Unlock()
	if looking != nil {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-looking
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// Close ends sending, and then reads into nothing until the caller closes too or for a moment: a close over bytes that
// nobody has read is a reset, which may take the last answer along. The place is given back after that.
func (c *limitedConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.state.Store(parted)
	c.mu.Lock()
	ended := c.err != nil
	c.mu.Unlock()
	if ended || c.broken.Load() || c.CloseWrite() != nil {
		defer c.leave()
		return c.Conn.Close()
	}
	go func() {
		defer c.leave()
		c.Conn.SetReadDeadline(time.Now().Add(partTime))
		io.Copy(io.Discard, io.LimitReader(c.Conn, partMost)) // an error is an end like any other
		c.Conn.Close()
	}()
	return nil
}

// evict closes a claimed connection at once, to have its place.
func (c *limitedConn) evict() {
	if c.closed.CompareAndSwap(false, true) {
		c.Conn.Close()
		c.leave()
	}
}

// reset makes the connection's close a reset, which cannot pass for the end of an answer.
func (c *limitedConn) reset() {
	c.broken.Store(true)
	if tcp, is := c.Conn.(*net.TCPConn); is {
		tcp.SetLinger(0) // an error means that it is closed already
	}
}

// left says that the caller has ended its sending or the connection, as far as the system knows, whatever stands unread
// before that: the rest of a body that nobody reads yet, say.
func (c *limitedConn) left() bool {
	sc, is := c.Conn.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	poll := []unix.PollFd{{Events: unix.POLLRDHUP}} // what has failed or hung up is told unasked
	if raw.Control(func(fd uintptr) {
		poll[0].Fd = int32(fd)
		_, err = unix.Poll(poll, 0)
	}) != nil {
		return true
	}
	return err == nil && poll[0].Revents != 0
}

// CloseWrite ends sending alone, which lets a peer that still writes read its answer.
func (c *limitedConn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// peek looks, without waiting, how many bytes stand unread on a connection, one at the most. 0 is its end; EAGAIN says
// that it is open and holds nothing. It asks beside whoever reads.
func peek(conn net.Conn) (n int, err error) {
	sc, is := conn.(syscall.Conn)
	if !is {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if broken := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); broken != nil {
		return 0, broken
	}
	return n, err
}
