package rollout

import (
	"testing"

	"umberbank/internal/golden"
)

// The file was written by the build of revision f63bdca.
func TestGoldenForms(t *testing.T) {
	b := golden.RoundTripFull[Book](t, "testdata/book.json")
	if n := b.Nodes["n"]; n == nil || n.Told != 7 || n.Acked != 6 || n.Running != 5 || n.MayRun != 4 || n.Since.WallMS != 3 {
		t.Errorf("node: %+v", n)
	}
	if b.Pending.BakeMS != 5 || b.Lost["z"].Rev != 8 || b.Halted != "halted" {
		t.Errorf("%+v", b)
	}
}
