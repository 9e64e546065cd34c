package replica

import (
	"testing"
	"time"
)

// A sync is timed by the monotonic clock, less the time in which this process was suspended.
func TestSyncMonitorDiscountsSuspension(t *testing.T) {
	c := &syncMonitor{base: time.Now().Add(-time.Minute)}
	if c.pending() != 0 {
		t.Error("no sync is under way")
	}
	c.discount(time.Second)
	c.startedNS.Store(int64(50 * time.Second)) // ten seconds ago
	if d := c.pending(); d < 10*time.Second || d > 40*time.Second {
		t.Errorf("it lasts %v", d)
	}
	before := c.pending()
	c.discount(9 * time.Second)
	if d := c.pending(); d < before-9*time.Second || d > before {
		t.Errorf("without 9 s of suspension it lasts %v, before %v", d, before)
	}
}
