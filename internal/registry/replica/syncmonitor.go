package replica

import (
	"sync/atomic"
	"time"
)

// Bounds of syncs, in ticks. A leader whose disk is slow delays every write, but its heartbeats continue, so no replica starts
// an election.
const (
	slowSyncTicks = 5  // a sync that takes longer is slow
	hungSyncTicks = 50 // a sync that takes longer hangs, and the replica stops
	// transferCooldownTicks is the minimum time between two transfers of leadership. Without it, leadership would keep moving
	// between replicas if all disks are slow.
	transferCooldownTicks = 300
)

// slowSyncsToTransfer is the number of consecutive slow syncs after which a leader transfers its leadership.
const slowSyncsToTransfer = 2

// syncMonitor measures the syncs of a log, of which at most one is in progress. Any goroutine may read it.
type syncMonitor struct {
	base      time.Time     // origin of startedNS, on the monotonic clock
	startedNS atomic.Int64  // start of the sync in progress, in ns since base; zero if there is none
	slow      atomic.Int32  // consecutive slow syncs up to now
	slowAfter time.Duration // a sync that takes longer is slow
}

// begin records that a sync starts now, and returns the current time.
func (m *syncMonitor) begin() time.Time {
	now := time.Now()
	m.startedNS.Store(max(1, int64(now.Sub(m.base))))
	return now
}

// end records that no sync is in progress.
func (m *syncMonitor) end() { m.startedNS.Store(0) }

// record counts a completed sync as slow or not.
func (m *syncMonitor) record(took time.Duration) {
	if took > m.slowAfter {
		m.slow.Add(1)
	} else {
		m.slow.Store(0)
	}
}

// consecutiveSlow returns the number of consecutive slow syncs up to now.
func (m *syncMonitor) consecutiveSlow() int { return int(m.slow.Load()) }

// pending returns how long the sync in progress has taken, or zero if there is none.
func (m *syncMonitor) pending() time.Duration {
	started := m.startedNS.Load()
	if started == 0 {
		return 0
	}
	return time.Since(m.base) - time.Duration(started)
}

// discount shortens the measured duration of the sync in progress by the time for which this process was suspended, because
// the disk may be healthy.
func (m *syncMonitor) discount(suspended time.Duration) {
	if started := m.startedNS.Load(); started != 0 {
		m.startedNS.CompareAndSwap(started, started+int64(suspended))
	}
}
