package rollout

import (
	"testing"

	"umberbank/internal/golden"
)

// The golden file was written by the build of revision f63bdca.
func TestGoldenForms(t *testing.T) {
	b := golden.RoundTripFull[State](t, "testdata/book.json")
	if n := b.Nodes["n"]; n == nil || n.TargetVersion != 7 || n.AcknowledgedVersion != 6 || n.RunningVersion != 5 || n.HighestPossibleVersion != 4 || n.OutOfSyncSince.UnixMS != 3 {
		t.Errorf("decoded node: %+v", n)
	}
	if b.Pending.BakeMS != 5 || b.LostZones["z"].Revision != 8 || b.HaltReason != "halted" {
		t.Errorf("decoded state: %+v", b)
	}
}
