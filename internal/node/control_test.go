package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"umberbank/internal/node/control"
	"umberbank/internal/node/nodetest"
)

// maxControlLine is the longest line that a command may be, in bytes; see docs/oncall/control.md.
const maxControlLine = 256

// minDrainIdle is how long a connection is idle before a drain closes it; see docs/oncall/drain.md.
const minDrainIdle = 500 * time.Millisecond

func TestControlAnswersEveryLine(t *testing.T) {
	t.Parallel()
	n := startControlled(t, testConfig("127.0.0.1:1"))
	for line, begins := range map[string]string{
		"check\r\n": "ok\n", "drain-off\n": "ok\n", "\n": "fail the line is empty\n", "nonsense\n": "fail unknown call\n",
		"check it\n": "fail unknown call\n", strings.Repeat("x", maxControlLine) + "\n": "fail the line is too long\n",
		"CHECK\n": "fail unknown call\n",
	} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			got := sendCommand(t, n, line)
			if !strings.HasPrefix(got, begins) || !strings.HasPrefix(got, "ok") && !strings.HasPrefix(got, "fail ") ||
				strings.Count(got, "\n") != 1 {
				t.Errorf("%.20q is answered %q", line, got)
			}
		})
	}
}

// A line without an end is no command.
func TestControlUnfinishedLine(t *testing.T) {
	t.Parallel()
	n := startControlled(t, testConfig("127.0.0.1:1"))
	c := nodetest.Dial(t, n.control.Addr().String()).(*net.TCPConn)
	io.WriteString(c, "drain-on")
	c.CloseWrite()
	if b, _ := io.ReadAll(c); string(b) != "fail the line has no end\n" {
		t.Errorf("half a line is answered %q", b)
	}
	if n.frontend.drain.Draining() {
		t.Error("half a line was carried out")
	}
}

// Connections that finish no command are closed, and delay no other, however many they are.
func TestControlStalledConnections(t *testing.T) {
	t.Parallel()
	n := startControlled(t, testConfig("127.0.0.1:1"))
	var stalled []net.Conn
	for range 3 * control.MaxConnections {
		c := nodetest.Dial(t, n.control.Addr().String())
		io.WriteString(c, "che")
		stalled = append(stalled, c)
	}
	if got := sendCommand(t, n, "drain-off\n"); got != "ok\n" {
		t.Errorf("beside stalled clients: %q", got)
	}
	for _, c := range stalled {
		_, _ = io.ReadAll(c) // until the node ends it; a reset is as good
	}
	if open := n.control.OpenConnections(); open > control.MaxConnections {
		t.Errorf("%d connections are open", open)
	}
}

// An event loop that hangs delays no command.
func TestControlNeverWaitsForTheLoop(t *testing.T) {
	t.Parallel()
	n := startControlled(t, testConfig("127.0.0.1:1"))
	busy, free := make(chan struct{}), make(chan struct{})
	n.loop.post(func() { close(busy); <-free })
	defer close(free)
	nodetest.Wait(t, busy)
	for _, line := range []string{"check\n", "drain-on\n", "drain-off\n"} {
		if got := sendCommand(t, n, line); got != "ok\n" {
			t.Errorf("%q: %q", line, got)
		}
	}
}

func TestNoControlUnlessConfigured(t *testing.T) {
	t.Parallel()
	if n := startNode(t, testConfig("127.0.0.1:1"), nil); n.control != nil {
		t.Error("a node without an address answers operators")
	}
}

// A draining node is not ready, serves what comes and closes every connection; after the drain it serves as before.
func TestDrain(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.Stub(t, nodetest.OK, false)
	n := startControlled(t, testConfig("127.0.0.1:1", serving("s", addr)))
	const request = "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n"
	ready := func() int {
		resp, err := http.Get("http://" + n.Addr().String() + "/health/ready")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	exchange := func(c net.Conn, r *bufio.Reader) *http.Response {
		t.Helper()
		io.WriteString(c, request)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(resp.Body)
		return resp
	}
	used, idle, unused := nodetest.Dial(t, n.Addr().String()), nodetest.Dial(t, n.Addr().String()), nodetest.Dial(t, n.Addr().String())
	usedR, idleR := bufio.NewReader(used), bufio.NewReader(idle)
	for range 2 {
		exchange(used, usedR)
		exchange(idle, idleR)
	}
	if got := sendCommand(t, n, "drain-on\n"); got != "ok\n" {
		t.Fatalf("drain-on: %q", got)
	}
	if s := ready(); s != http.StatusServiceUnavailable {
		t.Errorf("ready while draining: %d", s)
	}
	fresh := nodetest.Dial(t, n.Addr().String())
	for name, c := range map[string]net.Conn{"used": used, "fresh": fresh} {
		if resp := exchange(c, bufio.NewReader(c)); resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s connection while draining: %d, closing %v", name, resp.StatusCode, resp.Close)
		}
	}
	for name, c := range map[string]net.Conn{"idle": idle, "unused": unused, "used": used, "fresh": fresh} {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the %s connection is not closed: %v", name, err)
		}
	}
	if got := sendCommand(t, n, "drain-off\n"); got != "ok\n" {
		t.Fatalf("drain-off: %q", got)
	}
	if s := ready(); s != http.StatusOK {
		t.Errorf("ready after the drain: %d", s)
	}
	back := nodetest.Dial(t, n.Addr().String())
	r := bufio.NewReader(back)
	for range 2 {
		if resp := exchange(back, r); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("after the drain: %d, closing %v", resp.StatusCode, resp.Close)
		}
	}
}

// A connection with a part of a request's head is not idle: neither a drain nor the shutdown closes it.
func TestSlowHeadIsNotIdle(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.Stub(t, nodetest.OK, false)
	n, err := New(testConfig("127.0.0.1:1", serving("s", addr)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	fresh, kept := nodetest.Dial(t, n.Addr().String()), nodetest.Dial(t, n.Addr().String())
	keptR := bufio.NewReader(kept)
	io.WriteString(kept, readRequest)
	if resp, err := http.ReadResponse(keptR, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", resp, err)
	} else {
		_, _ = io.ReadAll(resp.Body)
	}
	for _, c := range []net.Conn{fresh, kept} {
		io.WriteString(c, readRequest[:30])
	}
	time.Sleep(50 * time.Millisecond) // for the half heads to be there
	stop()
	time.Sleep(3 * minDrainIdle)
	for name, c := range map[string]net.Conn{"fresh": fresh, "kept": kept} {
		io.WriteString(c, readRequest[30:])
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
	}
	if err := nodetest.Wait(t, done); err != nil {
		t.Error(err)
	}
}
