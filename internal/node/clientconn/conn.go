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

// States of a connection.
const (
	stateIdle    int32 = iota // no bytes have arrived since the last request ended
	stateActive               // bytes have arrived, so the connection must not be closed as idle
	stateClosing              // the connection is being closed; bytes that arrive are no longer read as a request
)

const (
	// maxReadAheadBytes is the maximum number of bytes that a connection holds that WatchDisconnect has
	// read ahead, over all watches. If a client sends more before it has received its response, WatchDisconnect asks the kernel every
	// disconnectPollInterval.
	maxReadAheadBytes      = 4 << 10
	disconnectPollInterval = 50 * time.Millisecond
	// readAheadBytes is the maximum size of one read of WatchDisconnect.
	readAheadBytes = 512
	// closeLingerTimeout is how long Close continues to read and discard bytes at most, so that no
	// reset destroys what the client has not read yet.
	closeLingerTimeout = 400 * time.Millisecond
	// maxLingerBytes is the maximum number of bytes that Close discards.
	maxLingerBytes = 1 << 20
)

// Conn is a client's connection. It releases its capacity once it is fully closed. It also detects a
// disconnect that net/http misses: that of a client that has sent more bytes, for example its next
// request, before it has received its response.
//
// Only net/http reads from it, from one goroutine at a time; the other methods are safe for concurrent
// use.
type Conn struct {
	net.Conn
	raw     syscall.RawConn // nil if the connection has no file descriptor
	release func()          // releases the capacity; called once

	arrival      *arrivalTracker
	head         headScanner
	state        atomic.Int32
	resetOnClose atomic.Bool
	closed       atomic.Bool

	mu           sync.Mutex
	ahead        []byte       // bytes read ahead, for the next Read of net/http
	err          error        // the error that ended reading; Read returns it once ahead is empty
	probed       bool         // net/http's check for a disconnect has read a byte, so net/http checks no more
	disconnected func()       // called when the client disconnects; nil while there is no watch
	readingAhead *aheadReader // nil until reading ahead starts
}

// aheadReader is the goroutine that reads ahead during one watch.
type aheadReader struct {
	stop  chan struct{} // closed by stopWatch
	ended chan struct{} // closed when the goroutine has ended
}

func newConn(conn net.Conn, release func()) *Conn {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetReadBuffer(receiveBufferBytes) // an error means that the connection is already closed
	}
	return &Conn{Conn: conn, raw: rawConn(conn), release: release, arrival: newArrivalTracker()}
}

// markIdle makes an active connection idle, unless bytes were read ahead. It is called when net/http
// reports the connection as new or idle.
func (c *Conn) markIdle() {
	c.head.begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		c.state.CompareAndSwap(stateActive, stateIdle)
	}
}

// isIdle reports whether the connection may be closed now.
func (c *Conn) isIdle() bool { return c.state.Load() == stateIdle }

// beginClose changes the state from idle to closing. It returns false if the connection is not idle,
// for example because bytes of its next request have arrived.
func (c *Conn) beginClose() bool { return c.state.CompareAndSwap(stateIdle, stateClosing) }

// Read implements net.Conn for net/http.
func (c *Conn) Read(p []byte) (int, error) {
	if c.head.tooMany() {
		return 0, errTooManyFields
	}
	c.mu.Lock()
	n, err := copy(p, c.ahead), error(nil)
	c.ahead = c.ahead[n:]
	if n == 0 {
		err = c.err
	}
	c.mu.Unlock()
	wereAhead := n > 0
	if n == 0 && err == nil {
		n, err = c.receive(p)
	}
	if n > 0 {
		c.arrival.deliver(wereAhead)
		n = c.head.scan(p[:n])
	}
	if n > 0 && !c.state.CompareAndSwap(stateIdle, stateActive) && c.state.Load() == stateClosing {
		return 0, net.ErrClosed // the bytes arrived after the decision to close, so the client must send the request again
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	// While a request is served, net/http reads a single byte to detect a disconnect.
	c.probed = n == 1 && len(p) == 1
	c.readAheadIfNeeded()
	return n, err
}

// WatchDisconnect calls disconnected, from another goroutine and at most once, when the client sends
// more bytes before it has received its response and then disconnects. net/http detects a disconnect
// without such bytes. The watch lasts until stop is called; until then nothing but net/http's check for
// a disconnect may read from the connection.
func (c *Conn) WatchDisconnect(disconnected func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
	c.readAheadIfNeeded()
	return c.stopWatch
}

// readAheadIfNeeded starts reading ahead if a watch needs it. c.mu must be held.
func (c *Conn) readAheadIfNeeded() {
	if c.disconnected == nil || !c.probed || c.readingAhead != nil || c.err != nil {
		return
	}
	c.readingAhead = &aheadReader{stop: make(chan struct{}), ended: make(chan struct{})}
	go c.readAhead(c.disconnected, c.readingAhead)
}

// readAhead reads until the client disconnects or stopWatch interrupts it. Once maxReadAheadBytes have
// been read, it polls for the disconnect.
func (c *Conn) readAhead(disconnected func(), reader *aheadReader) {
	defer close(reader.ended)
	buf := make([]byte, readAheadBytes)
	for capacity := c.aheadCapacity(); capacity > 0; capacity = c.aheadCapacity() {
		n, err := c.receive(buf[:min(len(buf), capacity)])
		if n > 0 {
			c.arrival.readAhead()
		}
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
	c.pollDisconnect(disconnected, reader.stop)
}

// aheadCapacity returns how many more bytes may be read ahead.
func (c *Conn) aheadCapacity() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maxReadAheadBytes - len(c.ahead)
}

// pollDisconnect calls disconnected once the client has disconnected, unless stop is closed first.
func (c *Conn) pollDisconnect(disconnected func(), stop <-chan struct{}) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for !c.Disconnected() {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
	disconnected()
}

func (c *Conn) stopWatch() {
	c.mu.Lock()
	readingAhead := c.readingAhead
	c.disconnected, c.readingAhead = nil, nil
	c.mu.Unlock()
	if readingAhead != nil {
		close(readingAhead.stop)
		c.SetReadDeadline(time.Unix(1, 0)) // a time in the past interrupts the read
		<-readingAhead.ended
		c.SetReadDeadline(time.Time{})
	}
}

// Close shuts down sending and returns. In the background it then reads and discards until the client
// closes too, closeLingerTimeout has passed or maxLingerBytes have been read, and closes the connection.
// Closing a connection with unread bytes would send a reset, which may destroy the last response. If
// reading has ended with an error, Reset was called or sending cannot be shut down, Close closes the
// connection immediately. The capacity is released once the connection is closed.
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
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // after an error there is nothing left to discard
		c.Conn.Close()
	}()
	return nil
}

// evict closes the connection immediately to free its capacity. beginClose must have returned true.
func (c *Conn) evict() {
	if c.closed.CompareAndSwap(false, true) {
		c.Conn.Close()
		c.release()
	}
}

// Reset makes closing the connection send a reset, which the client cannot mistake for the end of a
// response.
func (c *Conn) Reset() {
	c.resetOnClose.Store(true)
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0) // an error means that the connection is already closed
	}
}

// Disconnected reports whether, according to the kernel, the client has shut down sending or closed the
// connection. Unread bytes that arrived before that, such as the rest of a body, make no difference. It
// also returns true if this side has closed the connection, and false if the connection has no file
// descriptor.
func (c *Conn) Disconnected() bool {
	ready, err := pollNow(c.raw, unix.POLLRDHUP)
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	return err == nil && ready != 0
}

// CloseWrite shuts down sending only, so that a client that is still writing can read its response.
func (c *Conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return errors.ErrUnsupported
}
