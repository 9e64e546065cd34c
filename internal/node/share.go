package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// A node whose process can be replaced is two processes for a while, under one set of limits. The one that
// serves keeps to servingShare of them, and one that starts beside it to startingShare.
const (
	servingShare  = 2.0 / 3
	startingShare = 1.0 / 3
)

// lockPoll is how often a process asks whether its predecessor has ended.
const lockPoll = 100 * time.Millisecond

// turn is the lock that the serving process of a node holds until it ends, however it ends.
type turn struct{ file *os.File }

// newTurn names the lock after the node, for dir may be shared.
func newTurn(dir, name string) (*turn, error) {
	f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("umberbank-%x.lock", name)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return &turn{f}, nil
}

// take takes the lock; false: another process has it.
func (t *turn) take() (bool, error) {
	err := syscall.Flock(int(t.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return false, nil
	}
	return err == nil, err
}

func (t *turn) close() { t.file.Close() }

// await returns nil once the lock is taken, or why it never will be.
func (t *turn) await(ctx context.Context) error {
	poll := time.NewTicker(lockPoll)
	defer poll.Stop()
	for {
		if mine, err := t.take(); mine || err != nil {
			return err
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitTurn widens the node's share of the limits once no predecessor is left. Without the lock it stays
// at the lesser share, which is safe.
func (n *Node) awaitTurn(ctx context.Context) {
	if err := n.turn.await(ctx); err == nil {
		log.Print("no other process of this node is left")
		n.setShare(servingShare)
	} else if ctx.Err() == nil {
		log.Printf("lock of the serving process: %v", err)
	}
}

// limitListener accepts while fewer than its limit of the accepted connections are open.
type limitListener struct {
	net.Listener
	makeRoom func() bool // closes a connection that may go, if there is one; nil: none may

	mu     sync.Mutex
	room   *sync.Cond // a place may be free, or the listener is closed
	limit  int
	open   int
	closed bool
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	ll := &limitListener{Listener: l, limit: limit}
	ll.room = sync.NewCond(&ll.mu)
	return ll
}

// setLimit changes how many may be open. Connections over a lower limit stay.
func (l *limitListener) setLimit(limit int) {
	l.mu.Lock()
	l.limit = limit
	l.mu.Unlock()
	l.room.Broadcast()
}

func (l *limitListener) Accept() (net.Conn, error) {
	if !l.enter() {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.leave()
		return nil, err
	}
	return &limitedConn{Conn: c, leave: sync.OnceFunc(l.leave)}, nil
}

// roomPoll is how often a listener without a place looks for a connection that may go by now.
const roomPoll = 50 * time.Millisecond

// enter waits for a place; false: the listener was closed. Whoever rests on one makes room.
func (l *limitListener) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.limit && !l.closed {
		if l.makeRoom != nil {
			l.mu.Unlock()
			made := l.makeRoom()
			l.mu.Lock()
			if made {
				continue
			}
			time.AfterFunc(roomPoll, l.room.Broadcast)
		}
		l.room.Wait()
	}
	if l.closed {
		return false
	}
	l.open++
	return true
}

func (l *limitListener) leave() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.room.Signal()
}

// taken is how many accepted connections are not closed for good yet.
func (l *limitListener) taken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *limitListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.room.Broadcast()
	return l.Listener.Close()
}
