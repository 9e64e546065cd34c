package replica

import (
	"testing"
	"time"
)

// The duration of a sync is measured on the monotonic clock and excludes the time for which this process was suspended.
func TestSyncMonitorDiscountsSuspension(t *testing.T) {
	m := &syncMonitor{base: time.Now().Add(-time.Minute)}
	if m.pending() != 0 {
		t.Error("a sync is pending before one was started")
	}
	m.discount(time.Second)
	m.startedNS.Store(int64(50 * time.Second)) // ten seconds ago
	if d := m.pending(); d < 10*time.Second || d > 40*time.Second {
		t.Errorf("sync has been pending for %v, want 10 s to 40 s", d)
	}
	before := m.pending()
	m.discount(9 * time.Second)
	if d := m.pending(); d < before-9*time.Second || d > before {
		t.Errorf("sync has been pending for %v after a discount of 9 s, and for %v before it", d, before)
	}
}
