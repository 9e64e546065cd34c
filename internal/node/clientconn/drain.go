package clientconn

import (
	"sync"
	"time"
)

const (
	// drainInterval is how often a Drainer looks for idle connections.
	drainInterval = 100 * time.Millisecond
	// minDrainIdle is how long a connection must have been idle to be closed by a drain. A client that is at work on its
	// connection uses it by then, and learns from the response that it is the last.
	minDrainIdle = 500 * time.Millisecond
)

// Drainer closes the idle connections for as long as it is on. Whoever answers requests asks Draining and closes the other
// connections after a response. Any goroutine may use it.
type Drainer struct {
	conns *IdleConns

	mu    sync.Mutex
	timer *time.Timer // for the next look; nil: not draining
}

// NewDrainer returns a Drainer that is off.
func NewDrainer(conns *IdleConns) *Drainer { return &Drainer{conns: conns} }

// Start begins a drain, unless there is one.
func (d *Drainer) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer == nil {
		d.timer = time.AfterFunc(drainInterval, d.closeIdle)
	}
}

// Stop ends the drain, if there is one.
func (d *Drainer) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

// Draining reports whether there is a drain.
func (d *Drainer) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.timer != nil
}

func (d *Drainer) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil { // else it was stopped just as it came due
		d.conns.Close(minDrainIdle)
		d.timer.Reset(drainInterval)
	}
}
