package relay

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// fillerCount is the maximum number of connections dialled to fill a backlog of length 0.
	fillerCount = 4
	// fillerTimeout is the timeout for dialling one of these connections.
	fillerTimeout = 20 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example when no file descriptor is free.
	acceptRetryDelay = time.Millisecond
)

// updateListener makes the listener match the impairments. The caller must hold r.mu.
func (r *Relay) updateListener() error {
	defer r.changed.Broadcast()
	if r.closed {
		return nil
	}
	if r.anyImpairment(func(i *Impairment) bool { return i.Refuse }) {
		r.refuse()
		return nil
	}
	if r.listener == nil {
		listener, err := net.Listen("tcp", r.addr)
		if err != nil {
			return err
		}
		r.listener = listener.(*net.TCPListener)
	}
	stalled := r.anyImpairment(func(i *Impairment) bool { return i.Stall })
	switch {
	case stalled && r.fillers == nil:
		return r.fillBacklog()
	case !stalled && r.fillers != nil:
		r.emptyBacklog()
		return r.setBacklog(syscall.SOMAXCONN)
	}
	return nil
}

// refuse closes the listener. The caller must hold r.mu.
func (r *Relay) refuse() {
	r.emptyBacklog()
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
}

// fillBacklog fills the listener's backlog so that the kernel establishes no more connections. It first waits for the accept
// goroutine to pause, because accepting a connection frees a place in the backlog. The caller must hold r.mu, which is released
// during the wait.
func (r *Relay) fillBacklog() error {
	r.fillers = []net.Conn{}
	_ = r.listener.SetDeadline(time.Unix(1, 0)) // wakes the accept goroutine; fails only on a closed listener
	for r.fillers != nil && !r.acceptPaused && !r.closed {
		r.changed.Wait()
	}
	if r.fillers == nil || r.closed || r.listener == nil {
		return nil // the stall has ended, or the listener was closed during the wait
	}
	if err := r.setBacklog(0); err != nil {
		return err
	}
	for range fillerCount {
		c, err := net.DialTimeout("tcp", r.addr, fillerTimeout)
		if err != nil {
			break // the backlog is full
		}
		r.fillers = append(r.fillers, c)
	}
	return nil
}

// emptyBacklog resets the connections that fill the backlog and lets the listener accept again. The caller must hold r.mu.
func (r *Relay) emptyBacklog() {
	if r.fillers == nil {
		return
	}
	for _, c := range r.fillers {
		resetConn(c.(*net.TCPConn))
	}
	r.fillers = nil
	if r.listener != nil {
		_ = r.listener.SetDeadline(time.Time{}) // fails only on a closed listener
	}
}

// setBacklog sets the maximum number of connections that the kernel queues for the listener.
func (r *Relay) setBacklog(length int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return os.NewSyscallError("listen", listenErr)
}

// accept accepts connections until the relay is closed. It pauses while there is no listener or its backlog is kept full.
func (r *Relay) accept() {
	for {
		listener := r.waitForListener()
		if listener == nil {
			return
		}
		client, err := listener.AcceptTCP()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
				time.Sleep(acceptRetryDelay)
			}
			continue
		}
		go r.forward(client)
	}
}

// waitForListener returns the listener to accept from, or nil once the relay is closed.
func (r *Relay) waitForListener() *net.TCPListener {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.listener == nil || r.fillers != nil) {
		r.acceptPaused = true
		r.changed.Broadcast()
		r.changed.Wait()
	}
	r.acceptPaused = false
	if r.closed {
		return nil
	}
	return r.listener
}
