package clientconn

import (
	"sync"
	"time"
)

const (
	// drainInterval is the interval at which a Drainer closes idle connections.
	drainInterval = 100 * time.Millisecond
	// minDrainIdle is how long a connection must have been idle to be closed by a drain. A client that
	// is actively using its connection sends another request within that time, and the response to that
	// request announces the close.
	minDrainIdle = 500 * time.Millisecond
)

// Drainer closes idle connections while a drain is in progress. The code that writes responses must
// check Draining and close the other connections after their responses. A Drainer is safe for
// concurrent use.
type Drainer struct {
	conns *IdleConns

	mu    sync.Mutex
	timer *time.Timer // fires closeIdle; nil while no drain is in progress
}

// NewDrainer returns a Drainer for the connections that conns tracks. No drain is in progress at first.
func NewDrainer(conns *IdleConns) *Drainer { return &Drainer{conns: conns} }

// Start starts a drain. It does nothing if one is in progress.
func (d *Drainer) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer == nil {
		d.timer = time.AfterFunc(drainInterval, d.closeIdle)
	}
}

// Stop ends the drain. It does nothing if none is in progress.
func (d *Drainer) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

// Draining reports whether a drain is in progress.
func (d *Drainer) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.timer != nil
}

func (d *Drainer) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil { // Stop may have been called as the timer fired
		d.conns.Close(minDrainIdle)
		d.timer.Reset(drainInterval)
	}
}
