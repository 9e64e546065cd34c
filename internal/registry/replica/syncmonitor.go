package replica

import (
	"sync/atomic"
	"time"
)

// A leader whose disk is slow delays every write, while its heartbeats go on and no replica starts an election. In ticks:
const (
	slowSyncTicks         = 5   // a sync that takes longer is slow
	hungSyncTicks         = 50  // one that takes longer hangs, and the replica ends
	transferCooldownTicks = 300 // between two transfers of leadership, so that it does not pass from replica to replica where all disks are slow
)

// slowSyncsToTransfer is after how many slow syncs in a row a leader transfers its leadership.
const slowSyncsToTransfer = 2

// syncMonitor measures the syncs of a log, of which one at a time is under way. Any goroutine may read it.
type syncMonitor struct {
	base      time.Time     // origin of startedNS, on the monotonic clock
	startedNS atomic.Int64  // start of the sync under way, in ns since base; 0: none is
	slow      atomic.Int32  // slow syncs in a row
	slowAfter time.Duration // a sync that takes longer is slow
}

// begin notes that a sync begins now.
func (m *syncMonitor) begin() time.Time {
	now := time.Now()
	m.startedNS.Store(max(1, int64(now.Sub(m.base))))
	return now
}

// end notes that no sync is under way.
func (m *syncMonitor) end() { m.startedNS.Store(0) }

// record counts a sync by its duration.
func (m *syncMonitor) record(took time.Duration) {
	if took > m.slowAfter {
		m.slow.Add(1)
	} else {
		m.slow.Store(0)
	}
}

// slowInARow is how many of the last syncs were slow.
func (m *syncMonitor) slowInARow() int { return int(m.slow.Load()) }

// pending is how long the sync under way has taken; 0 without one.
func (m *syncMonitor) pending() time.Duration {
	began := m.startedNS.Load()
	if began == 0 {
		return 0
	}
	return time.Since(m.base) - time.Duration(began)
}

// discount leaves a time in which this process was suspended out of the sync under way: the disk may be well.
func (m *syncMonitor) discount(suspended time.Duration) {
	if began := m.startedNS.Load(); began != 0 {
		m.startedNS.CompareAndSwap(began, began+int64(suspended))
	}
}
