package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// platformSocket is a listening socket that outlives every process of the node; inherit gives the
// descriptor under which one of them finds it.
func platformSocket(t *testing.T) (addr string, inherit func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() int {
		f, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd := dup(t, f)
		f.Close()
		return fd
	}
}

// dup gives a descriptor of its own for an open file, for the node to keep or the test to leave.
func dup(t *testing.T, f *os.File) int {
	t.Helper()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// share is the share of the limits that the process has now.
func (n *Node) share() float64 {
	n.listener.mu.Lock()
	defer n.listener.mu.Unlock()
	spare := n.cfg.Sockets - reserved - mostControl - 1
	return float64(n.listener.limit) / float64(spare-spare*2/5)
}

// stopped says that the process accepts no more.
func (n *Node) stopped() bool {
	n.listener.mu.Lock()
	defer n.listener.mu.Unlock()
	return n.listener.closed
}

const readRequest = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n"

// Two processes on one socket: the first ends its work and takes no more; what waits goes to the second.
func TestReplacedWithoutALostRequest(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	begun, release := make(chan struct{}, 10), make(chan struct{})
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			begun <- struct{}{}
			<-release
			io.WriteString(c, ok)
		}
	})
	callers, inherit := platformSocket(t)
	start := func(ctx context.Context) (*Node, chan error) {
		cfg := testConfig("127.0.0.1:1", serving("s", addr))
		cfg.Control, cfg.AcceptFD = "127.0.0.1:0", inherit()
		n, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		for end := time.Now().Add(limit); ask(t, n, "check\n") != "ok\n"; {
			if time.Now().After(end) {
				t.Fatal("the node never serves")
			}
		}
		return n, done
	}
	firstCtx, stopFirst := context.WithCancel(context.Background())
	defer stopFirst()
	first, firstDone := start(firstCtx)
	open := dial(t, callers)
	io.WriteString(open, readRequest)
	wait(t, begun)

	secondCtx, stopSecond := context.WithCancel(context.Background())
	defer stopSecond()
	second, secondDone := start(secondCtx)
	if s := second.share(); s > startingShare {
		t.Errorf("beside its predecessor the second process has a share of %v", s)
	}
	stopFirst()
	for end := time.Now().Add(limit); !first.stopped(); {
		if time.Now().After(end) {
			t.Fatal("the first process still accepts")
		}
		time.Sleep(time.Millisecond)
	}
	late := dial(t, callers)
	io.WriteString(late, readRequest)
	wait(t, begun)
	close(release)
	for name, c := range map[string]net.Conn{"open": open, "late": late} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK || resp.Close != (name == "open") {
			t.Errorf("%s request: %+v, %v", name, resp, err)
		}
	}
	if err := wait(t, firstDone); err != nil {
		t.Errorf("the first process: %v", err)
	}
	for end := time.Now().Add(limit); second.share() <= startingShare; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("alone, the second process never gets its share")
		}
	}
	stopSecond()
	if err := wait(t, secondDone); err != nil {
		t.Errorf("the second process: %v", err)
	}
}

func TestInheritedMustListen(t *testing.T) {
	t.Parallel()
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	addr, _ := stub(t, ok, false)
	tcp, err := dial(t, addr).(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	unix, err := net.Listen("unix", t.TempDir()+"/s")
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close()
	unixFile, err := unix.(*net.UnixListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer unixFile.Close()
	for name, fd := range map[string]int{
		"not open": 1 << 20, "a file": dup(t, file), "a connection": dup(t, tcp), "a Unix socket": dup(t, unixFile),
	} {
		cfg := testConfig("127.0.0.1:1")
		cfg.AcceptFD = fd
		if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), "inherited descriptor") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestLimitListenerFollowsItsLimit(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ll := newLimitListener(l, 1)
	accepted, failed := make(chan net.Conn, 3), make(chan error, 1)
	go func() {
		for {
			c, err := ll.Accept()
			if err != nil {
				failed <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		dial(t, l.Addr().String())
	}
	c := wait(t, accepted)
	c.Close()
	c.Close() // gives its place back once
	wait(t, accepted)
	ll.setLimit(2)
	wait(t, accepted)
	if ll.mu.Lock(); ll.open != 2 {
		t.Errorf("%d are open, 2 may be", ll.open)
	}
	ll.mu.Unlock()
	ll.Close() // while Accept waits for a place
	if err := wait(t, failed); err != net.ErrClosed {
		t.Errorf("closed: %v", err)
	}
}
