// Package relay stands between two processes on loopback and does to their connections what a network may: it
// delays, holds, slows, refuses and resets. What it lets through is whole and in order.
//
// A direction that is silent loses nothing for good: as with TCP over a link that comes back, the bytes arrive
// when the silence ends, also those of a side that has closed by then. One that has reset its connection takes back what
// the silence holds, as its system has forgotten it. New connections do not come up meanwhile.
package relay

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Impairment is what a link does. Several may hold at once: delays add up, the slowest rate counts, and one silence
// is enough.
type Impairment struct {
	Delay, Jitter        time.Duration
	Stall                bool
	Refuse               bool
	BytesPerSecond       int // bytes a second; 0: as fast as may be
	ToTarget, FromTarget bool
}

// Relay listens at an address and passes connections on to another.
type Relay struct {
	addr, target string

	mu            sync.Mutex
	changed       *sync.Cond
	ln            *net.TCPListener // nil while it refuses
	effects       []*Impairment
	pipes         map[*pipe]struct{}
	resting       bool       // the accepting goroutine accepts nothing
	stalledCopies int        // directions that wait for a silence to end, with bytes or an end to pass on
	filler        []net.Conn // fills the backlog while silent, so that no connection comes up
	closed        bool
}

// pipe is one connection passed on.
type pipe struct {
	near, far *net.TCPConn // to who connected, and to the target
}

// Listen returns a relay at an address of the given host, with a port of the system's choice.
func Listen(host, target string) (*Relay, error) {
	r := &Relay{target: target, pipes: map[*pipe]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r.ln = ln.(*net.TCPListener)
	r.addr = ln.Addr().String()
	go r.accept()
	return r, nil
}

// Addr is where the relay listens, also while it refuses.
func (r *Relay) Addr() string { return r.addr }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	if r.ln != nil {
		r.ln.Close()
	}
	r.unfill()
	r.changed.Broadcast()
	r.mu.Unlock()
	r.Reset()
}

// Reset breaks all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	pipes := make([]*pipe, 0, len(r.pipes))
	for p := range r.pipes {
		pipes = append(pipes, p)
	}
	r.mu.Unlock()
	for _, p := range pipes {
		p.reset()
	}
}

func (p *pipe) reset() {
	for _, c := range []*net.TCPConn{p.near, p.far} {
		c.SetLinger(0)
		c.Close()
	}
}

// Add puts an effect on the link.
func (r *Relay) Add(e *Impairment) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects = append(r.effects, e)
	return r.apply()
}

// Remove takes an effect off again; one that is not on is none of its concern.
func (r *Relay) Remove(e *Impairment) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.effects, e); i >= 0 {
		r.effects = slices.Delete(r.effects, i, i+1)
	}
	return r.apply()
}

// apply brings the listener to what the effects want. r.mu is held.
func (r *Relay) apply() error {
	defer r.changed.Broadcast()
	if r.closed {
		return nil
	}
	refuse, silent := r.any(func(e *Impairment) bool { return e.Refuse }), r.any(func(e *Impairment) bool { return e.Stall })
	if refuse {
		r.unfill()
		if r.ln != nil {
			r.ln.Close()
			r.ln = nil
		}
		return nil
	}
	if r.ln == nil {
		ln, err := net.Listen("tcp", r.addr)
		if err != nil {
			return err
		}
		r.ln = ln.(*net.TCPListener)
	}
	switch {
	case silent && r.filler == nil:
		return r.fill()
	case !silent && r.filler != nil:
		r.unfill()
		return r.backlog(syscall.SOMAXCONN)
	}
	return nil
}

func (r *Relay) any(is func(*Impairment) bool) bool { return slices.ContainsFunc(r.effects, is) }

// fillers is how many connections are tried to fill a backlog of none, and fillWait how long one may take.
const (
	fillers  = 4
	fillWait = 20 * time.Millisecond
)

// fill takes the listener's places, so that the system answers no more connections. r.mu is held, but for a moment in which
// the accepting goroutine comes to rest: it might take a place away again.
func (r *Relay) fill() error {
	r.filler = []net.Conn{}
	r.ln.SetDeadline(time.Unix(1, 0)) // wakes it
	for r.filler != nil && !r.resting && !r.closed {
		r.changed.Wait()
	}
	if r.filler == nil || r.closed || r.ln == nil {
		return nil // the silence is over already, or connections are refused
	}
	if err := r.backlog(0); err != nil {
		return err
	}
	for range fillers {
		c, err := net.DialTimeout("tcp", r.addr, fillWait)
		if err != nil {
			break // full
		}
		r.filler = append(r.filler, c)
	}
	return nil
}

// unfill gives the places back. r.mu is held.
func (r *Relay) unfill() {
	if r.filler == nil {
		return
	}
	for _, c := range r.filler {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	r.filler = nil
	if r.ln != nil {
		r.ln.SetDeadline(time.Time{})
	}
}

// backlog changes how many connections the system holds for the listener.
func (r *Relay) backlog(n int) error {
	raw, err := r.ln.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return os.NewSyscallError("listen", failed)
}

// accept takes connections while the relay lets them come.
func (r *Relay) accept() {
	for {
		r.mu.Lock()
		for !r.closed && (r.ln == nil || r.filler != nil) {
			r.resting = true
			r.changed.Broadcast()
			r.changed.Wait()
		}
		r.resting = false
		ln, closed := r.ln, r.closed
		r.mu.Unlock()
		if closed {
			return
		}
		near, err := ln.AcceptTCP()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
				time.Sleep(time.Millisecond) // out of descriptors, say
			}
			continue
		}
		go r.pass(near)
	}
}

// pass carries one connection until both its sides have ended.
func (r *Relay) pass(near *net.TCPConn) {
	c, err := net.Dial("tcp", r.target)
	if err != nil {
		near.SetLinger(0)
		near.Close()
		return
	}
	p := &pipe{near, c.(*net.TCPConn)}
	r.mu.Lock()
	r.pipes[p] = struct{}{}
	closed := r.closed
	r.mu.Unlock()
	if closed {
		p.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(p, p.far, p.near, func(e *Impairment) bool { return e.ToTarget }) })
	both.Go(func() { r.copy(p, p.near, p.far, func(e *Impairment) bool { return e.FromTarget }) })
	both.Wait()
	p.near.Close()
	p.far.Close()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

// copy carries one direction; hit tells which effects concern it.
func (r *Relay) copy(p *pipe, to, from *net.TCPConn, hit func(*Impairment) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if r.hold(hit) && err == nil {
			if more, late := lookAgain(from, buf[n:]); late != nil && late != io.EOF {
				p.reset()
				return
			} else if n += more; late == io.EOF {
				err = io.EOF
			}
		}
		if n > 0 && r.write(to, buf[:n], hit) != nil {
			p.reset()
			return
		}
		switch {
		case err == io.EOF:
			to.CloseWrite()
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

// lookAgain reads what has come meanwhile, or that the connection has ended.
func lookAgain(from *net.TCPConn, buf []byte) (int, error) {
	if len(buf) == 0 {
		return 0, nil
	}
	from.SetReadDeadline(time.Now().Add(time.Millisecond)) // a deadline that has passed would read nothing
	defer from.SetReadDeadline(time.Time{})
	n, err := from.Read(buf)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n, err
}

// hold waits for as long as the direction is silent, and then for its delay. It says whether it was silent.
func (r *Relay) hold(hit func(*Impairment) bool) (silent bool) {
	quiet := func() bool { return !r.closed && r.any(func(e *Impairment) bool { return e.Stall && hit(e) }) }
	r.mu.Lock()
	if silent = quiet(); silent {
		for r.stalledCopies++; quiet(); {
			r.changed.Wait()
		}
		r.stalledCopies--
	}
	wait := time.Duration(0)
	for _, e := range r.effects {
		if hit(e) {
			wait += e.Delay + time.Duration(rand.Float64()*float64(e.Jitter))
		}
	}
	r.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	return silent
}

// write passes bytes on at the pace that the direction has.
func (r *Relay) write(to *net.TCPConn, b []byte, hit func(*Impairment) bool) error {
	for len(b) > 0 {
		rate := 0
		r.mu.Lock()
		for _, e := range r.effects {
			if hit(e) && e.BytesPerSecond > 0 && (rate == 0 || e.BytesPerSecond < rate) {
				rate = e.BytesPerSecond
			}
		}
		r.mu.Unlock()
		n := len(b)
		if rate > 0 {
			n = min(n, max(1, rate/20))
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if _, err := to.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
