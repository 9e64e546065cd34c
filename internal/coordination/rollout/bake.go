package rollout

import "time"

// BakeTimer measures for a controller how long the next stage of a rollout has been ready to start. It is not stored: after a
// change of controllers the measurement restarts, which only delays the next stage. A BakeTimer must not be used by several
// goroutines at once. The zero value is ready for use.
type BakeTimer struct {
	number     int64
	stage      int
	readySince time.Duration // on the controller's clock, at least 1 ns; zero while no stage is ready
}

// StageDue reports whether the next stage of the pending version should start now. The first stage is due as soon as it is
// ready, and each later one when it has been ready for the version's bake time. now is the time on a monotonic clock of the
// controller. s is nil on a site without nodes; then no stage is due.
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
