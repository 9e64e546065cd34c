package relay

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

const (
	copyBufferSize = 16 << 10
	// writesPerSecond is the number of writes into which the data of one second is split while the rate is limited.
	writesPerSecond = 20
	// rereadTimeout is the timeout for reading data that arrived during a stall. With a deadline in the past, Read returns no
	// data even if some has arrived.
	rereadTimeout = time.Millisecond
)

// pipe is a forwarded connection.
type pipe struct {
	client, target *net.TCPConn
}

// reset resets both sides.
func (p *pipe) reset() {
	resetConn(p.client)
	resetConn(p.target)
}

// resetConn closes a connection so that its peer sees a reset. Errors are ignored because they only mean that the connection is
// already closed.
func resetConn(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// direction selects the impairments of one direction.
type direction func(*Impairment) bool

func toTarget(i *Impairment) bool   { return i.ToTarget }
func fromTarget(i *Impairment) bool { return i.FromTarget }

// forward connects a client to the target and copies data until both directions have ended.
func (r *Relay) forward(client *net.TCPConn) {
	c, err := net.Dial("tcp", r.target)
	if err != nil {
		resetConn(client)
		return
	}
	p := &pipe{client: client, target: c.(*net.TCPConn)}
	r.mu.Lock()
	r.pipes[p] = struct{}{}
	closed := r.closed
	r.mu.Unlock()
	if closed {
		p.reset()
	}
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(p, p.target, p.client, toTarget) })
	copies.Go(func() { r.copy(p, p.client, p.target, fromTarget) })
	copies.Wait()
	p.client.Close()
	p.target.Close()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

// copy copies one direction of a pipe until the end of the stream, and resets the pipe if that fails.
func (r *Relay) copy(p *pipe, to, from *net.TCPConn, dir direction) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if r.delay(dir) && err == nil {
			var more int
			more, err = reread(from, buf[n:])
			if err != nil && !errors.Is(err, io.EOF) {
				p.reset()
				return
			}
			n += more
		}
		if n > 0 && r.write(to, buf[:n], dir) != nil {
			p.reset()
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			to.CloseWrite() // fails only if that connection has already ended
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

// reread reads data that arrived during a stall. It returns io.EOF or another error if the connection has ended.
func reread(from *net.TCPConn, buf []byte) (int, error) {
	if len(buf) == 0 {
		return 0, nil
	}
	_ = from.SetReadDeadline(time.Now().Add(rereadTimeout)) // fails only on a closed connection, which Read also reports
	defer func() { _ = from.SetReadDeadline(time.Time{}) }()
	n, err := from.Read(buf)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n, err
}

// delay waits until a direction is not stalled, and then for its delay. It reports whether the direction was stalled.
func (r *Relay) delay(dir direction) (stalled bool) {
	isStalled := func() bool {
		return !r.closed && r.anyImpairment(func(i *Impairment) bool { return i.Stall && dir(i) })
	}
	r.mu.Lock()
	if stalled = isStalled(); stalled {
		for r.stalledCopies++; isStalled(); {
			r.changed.Wait()
		}
		r.stalledCopies--
	}
	var wait time.Duration
	for _, i := range r.impairments {
		if dir(i) {
			wait += i.Delay + time.Duration(rand.Float64()*float64(i.Jitter))
		}
	}
	r.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	return stalled
}

// write writes b at the rate limit of a direction.
func (r *Relay) write(to *net.TCPConn, b []byte, dir direction) error {
	for len(b) > 0 {
		rate := r.rate(dir)
		n := len(b)
		if rate > 0 {
			n = min(n, max(1, rate/writesPerSecond))
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if _, err := to.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// rate returns the lowest rate limit of a direction in bytes per second, or zero if there is none.
func (r *Relay) rate(dir direction) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lowest := 0
	for _, i := range r.impairments {
		if dir(i) && i.BytesPerSecond > 0 && (lowest == 0 || i.BytesPerSecond < lowest) {
			lowest = i.BytesPerSecond
		}
	}
	return lowest
}
