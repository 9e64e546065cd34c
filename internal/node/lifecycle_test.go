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

	"umberbank/internal/node/control"
	"umberbank/internal/node/nodetest"
)

// platformSocket opens a listening socket that outlives each process of the node. inherit returns a descriptor of it for
// one process.
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

// dup returns a duplicate descriptor of an open file. The node takes ownership of it.
func dup(t *testing.T, f *os.File) int {
	t.Helper()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// quota returns the quota of the process, computed from its limit of client connections.
func (n *Node) quota() float64 {
	descriptors := n.cfg.Sockets - reservedDescriptors - control.MaxConnections - 1
	return float64(n.listener.Limit()) / float64(descriptors-descriptors*2/5)
}

// stopped reports whether the process has stopped accepting connections.
func (n *Node) stopped() bool { return n.listener.Closed() }

// When a second process on the same socket replaces the first, no request is lost: the first process completes its requests
// and stops accepting, and connections in the backlog go to the second.
func TestProcessReplacementLosesNoRequest(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	began, release := make(chan struct{}, 10), make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			began <- struct{}{}
			<-release
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	clients, inherit := platformSocket(t)
	start := func(ctx context.Context) (*Node, chan error) {
		cfg := testConfig("127.0.0.1:1", servingEntry("s", addr))
		cfg.Control, cfg.AcceptFD = "127.0.0.1:0", inherit()
		n, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		for end := time.Now().Add(nodetest.Timeout); sendCommand(t, n, "check\n") != "ok\n"; {
			if time.Now().After(end) {
				t.Fatal("the node does not serve in time")
			}
		}
		return n, done
	}
	firstCtx, stopFirst := context.WithCancel(context.Background())
	defer stopFirst()
	first, firstDone := start(firstCtx)
	open := nodetest.Dial(t, clients)
	io.WriteString(open, readRequest)
	nodetest.Wait(t, began)

	secondCtx, stopSecond := context.WithCancel(context.Background())
	defer stopSecond()
	second, secondDone := start(secondCtx)
	if s := second.quota(); s > startingQuota {
		t.Errorf("second process beside its predecessor: got quota %v, want at most startingQuota", s)
	}
	stopFirst()
	for end := time.Now().Add(nodetest.Timeout); !first.stopped(); {
		if time.Now().After(end) {
			t.Fatal("the first process does not stop accepting connections in time")
		}
		time.Sleep(time.Millisecond)
	}
	late := nodetest.Dial(t, clients)
	io.WriteString(late, readRequest)
	nodetest.Wait(t, began)
	close(release)
	for name, c := range map[string]net.Conn{"open": open, "late": late} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK || resp.Close != (name == "open") {
			t.Errorf("%s request: got %+v, %v", name, resp, err)
		}
	}
	if err := nodetest.Wait(t, firstDone); err != nil {
		t.Errorf("the first process: %v", err)
	}
	for end := time.Now().Add(nodetest.Timeout); second.quota() <= startingQuota; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second process does not raise its quota after its predecessor's exit")
		}
	}
	stopSecond()
	if err := nodetest.Wait(t, secondDone); err != nil {
		t.Errorf("the second process: %v", err)
	}
}

func TestInheritedDescriptorMustListen(t *testing.T) {
	t.Parallel()
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	tcp, err := nodetest.Dial(t, addr).(*net.TCPConn).File()
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
		t.Run(name, func(t *testing.T) {
			cfg := testConfig("127.0.0.1:1")
			cfg.AcceptFD = fd
			if _, err := New(cfg); err == nil || !strings.Contains(err.Error(), "inherited descriptor") {
				t.Errorf("got error %v, want one about the inherited descriptor", err)
			}
		})
	}
}

// A stopping process does not truncate a streamed response, however long the response takes.
func TestShutdownCompletesLongResponse(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\nx")
			<-release
			io.WriteString(c, strings.Repeat("x", 69999))
		}
	})
	n, err := New(testConfig("127.0.0.1:1", servingEntry("s", addr)))
	if err != nil {
		t.Fatal(err)
	}
	n.longestDeadline.Store(0) // unfinished requests are failed at once
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("GET", "/read/1", ""))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	stop()
	time.Sleep(killGrace + killMargin)
	select {
	case err := <-done:
		t.Errorf("Run returned %v during a response", err)
	default:
	}
	close(release)
	if b, err := io.ReadAll(resp.Body); err != nil || len(b) != 70000 {
		t.Errorf("got %d bytes, %v, want 70000", len(b), err)
	}
	if err := nodetest.Wait(t, done); err != nil {
		t.Error(err)
	}
}

// Connections that arrive shortly after the stop signal are still served. All accepted requests are completed with
// Connection: close before Run returns.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	t.Parallel()
	began, release := make(chan struct{}, 2), make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			began <- struct{}{}
			<-release
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	n, err := New(testConfig("127.0.0.1:1", servingEntry("s", addr)))
	if err != nil {
		t.Fatal(err)
	}
	if n.acceptLingerTimeout <= 400*time.Millisecond {
		t.Errorf("new connections are accepted for %v, want more than 400ms", n.acceptLingerTimeout)
	}
	n.acceptLingerTimeout = 3 * time.Second // leaves a slow machine enough time for the second request
	n.longestDeadline.Store(int64(nodetest.Timeout))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	responses := make(chan *http.Response, 2)
	send := func() {
		resp, err := (&http.Transport{}).RoundTrip(newRequest(t, n, "GET", "/read/1", ""))
		if err != nil {
			t.Error(err)
		}
		responses <- resp
	}
	go send()
	nodetest.Wait(t, began)
	cancel()
	go send() // after the signal
	nodetest.Wait(t, began)
	// Waits until the listener is closed.
	for stop := time.Now().Add(nodetest.Timeout); time.Now().Before(stop); {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			break
		}
		c.Close()
	}
	select {
	case err := <-done:
		t.Fatalf("Run returned %v with unfinished requests", err)
	default:
	}
	close(release)
	for range 2 {
		if resp := nodetest.Wait(t, responses); resp == nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("got response %+v", resp)
		}
	}
	if err := nodetest.Wait(t, done); err != nil {
		t.Errorf("Run: %v", err)
	}
}

// A request that does not complete in time during a shutdown is failed before the platform kills the process.
func TestShutdownRespondsBeforeKill(t *testing.T) {
	t.Parallel()
	began := make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			close(began)
			_, _ = io.Copy(io.Discard, r)
		}
	})
	cfg := testConfig("127.0.0.1:1", servingEntry("s", addr))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Deadline = 300 * time.Millisecond
	}
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	status := make(chan int, 1)
	go func() {
		resp, _ := nodetest.Do(t, newRequest(t, n, "POST", "/order/1", "")) // with 10 s left
		status <- resp.StatusCode
	}()
	nodetest.Wait(t, began)
	cancel()
	if s := nodetest.Wait(t, status); s != 502 {
		t.Errorf("got status %d, want 502", s)
	}
	if err := nodetest.Wait(t, done); err != nil {
		t.Errorf("Run: %v", err)
	}
}

// A request that arrives when the process is about to be killed is rejected at once, because no response would arrive in
// time.
func TestShutdownRejectsLateRequests(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	n.loop.post(n.loop.abandonAll)
	if resp, _ := nodetest.Do(t, newRequest(t, n, "POST", "/order/1", "")); resp.StatusCode != http.StatusServiceUnavailable || len(got) > 0 {
		t.Errorf("got status %d with %d requests forwarded, want 503 with none", resp.StatusCode, len(got))
	}
}
