// Package processlock provides the lock with which successive processes of one node take over from each
// other. The serving process holds it until it ends. A process that starts in the meantime waits for
// it, and holds it only once no predecessor is left.
package processlock

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// pollInterval is the interval at which Acquire tries to take the lock.
const pollInterval = 100 * time.Millisecond

// Lock is an exclusive advisory lock (flock) on a file. The kernel releases it when the process that
// holds it ends, for whatever reason. A Lock is not safe for concurrent use.
type Lock struct{ file *os.File }

// Open opens the lock file of the named node in dir, and creates it if it is missing. It does not take
// the lock. The file's name contains the name of the node in hexadecimal, so that nodes may share dir.
func Open(dir, node string) (*Lock, error) {
	file, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("umberbank-%x.lock", node)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return &Lock{file}, nil
}

// tryAcquire takes the lock if no other process holds it, and reports whether it did.
func (l *Lock) tryAcquire() (bool, error) {
	err := syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return false, nil
	}
	return err == nil, err
}

// Acquire takes the lock, and waits for it until ctx ends. Any error other than that of ctx is
// permanent.
func (l *Lock) Acquire(ctx context.Context) error {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		if acquired, err := l.tryAcquire(); acquired || err != nil {
			return err
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close releases the lock, if it is held, and closes its file.
func (l *Lock) Close() error { return l.file.Close() }
