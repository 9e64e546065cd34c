package rollout

import "time"

// BakeTimer measures for a controller how long the next stage of a rollout has been ready to start. It is not stored: a
// controller that takes over begins to measure anew, which only delays the next stage. It must not be used by several
// goroutines at once. The zero value is ready for use.
type BakeTimer struct {
	number     int64
	stage      int
	readySince time.Duration // on the controller's clock; 0: not ready
}

// StageDue reports whether the next stage of the pending version should start now: it has been ready for the version's
// bake time, or it is the first stage, which needs none. now is the time on a monotonic clock of the controller. s may be
// nil.
func (t *BakeTimer) StageDue(s *State, now time.Duration) bool {
	if s == nil || s.Pending == nil || s.HaltReason != "" || s.CheckReady() != nil {
		t.readySince = 0
		return false
	}
	if t.readySince == 0 || t.number != s.Pending.Number || t.stage != s.StartedStages {
		t.number, t.stage, t.readySince = s.Pending.Number, s.StartedStages, max(1, now)
	}
	return s.StartedStages == 0 || now-t.readySince >= time.Duration(s.Pending.BakeMS)*time.Millisecond
}
