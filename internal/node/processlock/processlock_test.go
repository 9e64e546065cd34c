package processlock

import (
	"os"
	"testing"

	"umberbank/internal/node/nodetest"
)

// The name of the lock file must not change, because processes of different builds of the program must
// use the same lock.
func TestGoldenLockName(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	l, err := Open(dir, "n/3 é")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	nodetest.Golden(t, "lock-name.golden", files[0].Name()+"\n")
}
