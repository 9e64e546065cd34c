package rollout

import "time"

// BakeTimer is a controller's memory of the version under way. What it forgets only makes the next one wait longer.
type BakeTimer struct {
	number int64
	stage  int
	since  time.Duration // that the next stage could be told; 0: it could not
}

// StageDue says whether the next stage's nodes are to be told now.
func (m *BakeTimer) StageDue(b *State, now time.Duration) bool {
	if b == nil || b.Pending == nil || b.HaltReason != "" || b.CheckReady() != nil {
		m.since = 0
		return false
	}
	if m.since == 0 || m.number != b.Pending.Number || m.stage != b.Stage {
		m.number, m.stage, m.since = b.Pending.Number, b.Stage, max(1, now)
	}
	return b.Stage == 0 || now-m.since >= time.Duration(b.Pending.BakeMS)*time.Millisecond
}
