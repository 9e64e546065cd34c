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

// maxControlLine is the maximum length of a command line in bytes; see docs/oncall/control.md.
const maxControlLine = 256

// minDrainIdle is how long a connection must be idle before a drain closes it; see docs/oncall/drain.md.
const minDrainIdle = 500 * time.Millisecond

func TestControlResponses(t *testing.T) {
	t.Parallel()
	n := startWithControl(t, testConfig("127.0.0.1:1"))
	for line, prefix := range map[string]string{
		"check\r\n": "ok\n", "drain-off\n": "ok\n", "\n": "fail the line is empty\n", "nonsense\n": "fail unknown call\n",
		"check it\n": "fail unknown call\n", strings.Repeat("x", maxControlLine) + "\n": "fail the line is too long\n",
		"CHECK\n": "fail unknown call\n",
	} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			got := sendCommand(t, n, line)
			if !strings.HasPrefix(got, prefix) || !strings.HasPrefix(got, "ok") && !strings.HasPrefix(got, "fail ") ||
				strings.Count(got, "\n") != 1 {
				t.Errorf("%.20q: got response %q", line, got)
			}
		})
	}
}

// A line without a terminating newline is rejected and not executed.
func TestControlUnfinishedLine(t *testing.T) {
	t.Parallel()
	n := startWithControl(t, testConfig("127.0.0.1:1"))
	c := nodetest.Dial(t, n.control.Addr().String()).(*net.TCPConn)
	io.WriteString(c, "drain-on")
	c.CloseWrite()
	if b, _ := io.ReadAll(c); string(b) != "fail the line has no end\n" {
		t.Errorf("unfinished line: got response %q", b)
	}
	if n.frontend.drain.Draining() {
		t.Error("an unfinished line was executed")
	}
}

// Control connections that do not finish a command are closed and do not delay other connections, even if there are more
// of them than the limit.
func TestControlStalledConnections(t *testing.T) {
	t.Parallel()
	n := startWithControl(t, testConfig("127.0.0.1:1"))
	var stalled []net.Conn
	for range 3 * control.MaxConnections {
		c := nodetest.Dial(t, n.control.Addr().String())
		io.WriteString(c, "che")
		stalled = append(stalled, c)
	}
	if got := sendCommand(t, n, "drain-off\n"); got != "ok\n" {
		t.Errorf("drain-off with stalled connections: got response %q", got)
	}
	for _, c := range stalled {
		_, _ = io.ReadAll(c) // until the node closes or resets it
	}
	if open := n.control.OpenConnections(); open > control.MaxConnections {
		t.Errorf("%d connections are open, want at most control.MaxConnections", open)
	}
}

// Commands do not wait for the event loop: a blocked loop does not delay them.
func TestControlWithBlockedLoop(t *testing.T) {
	t.Parallel()
	n := startWithControl(t, testConfig("127.0.0.1:1"))
	blocked, unblock := make(chan struct{}), make(chan struct{})
	n.loop.post(func() { close(blocked); <-unblock })
	defer close(unblock)
	nodetest.Wait(t, blocked)
	for _, line := range []string{"check\n", "drain-on\n", "drain-off\n"} {
		if got := sendCommand(t, n, line); got != "ok\n" {
			t.Errorf("%q: got response %q", line, got)
		}
	}
}

func TestNoControlUnlessConfigured(t *testing.T) {
	t.Parallel()
	if n := startNode(t, testConfig("127.0.0.1:1"), nil); n.control != nil {
		t.Error("a node without a control address runs a control server")
	}
}

// A draining node is not ready, serves new requests and closes every connection. After drain-off it serves as before.
func TestDrain(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startWithControl(t, testConfig("127.0.0.1:1", servingEntry("s", addr)))
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
		t.Errorf("readiness while draining: got status %d", s)
	}
	fresh := nodetest.Dial(t, n.Addr().String())
	for name, c := range map[string]net.Conn{"used": used, "fresh": fresh} {
		if resp := exchange(c, bufio.NewReader(c)); resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s connection while draining: got status %d, Connection: close %v", name, resp.StatusCode, resp.Close)
		}
	}
	for name, c := range map[string]net.Conn{"idle": idle, "unused": unused, "used": used, "fresh": fresh} {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("%s connection: got error %v, want EOF", name, err)
		}
	}
	if got := sendCommand(t, n, "drain-off\n"); got != "ok\n" {
		t.Fatalf("drain-off: %q", got)
	}
	if s := ready(); s != http.StatusOK {
		t.Errorf("readiness after the drain: got status %d", s)
	}
	after := nodetest.Dial(t, n.Addr().String())
	r := bufio.NewReader(after)
	for range 2 {
		if resp := exchange(after, r); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("after the drain: got status %d, Connection: close %v", resp.StatusCode, resp.Close)
		}
	}
}

// A connection that has received part of a request head is not idle: neither a drain nor the shutdown closes it.
func TestSlowHeadIsNotIdle(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	n, err := New(testConfig("127.0.0.1:1", servingEntry("s", addr)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	fresh, reused := nodetest.Dial(t, n.Addr().String()), nodetest.Dial(t, n.Addr().String())
	reusedR := bufio.NewReader(reused)
	io.WriteString(reused, readRequest)
	if resp, err := http.ReadResponse(reusedR, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %+v, %v", resp, err)
	} else {
		_, _ = io.ReadAll(resp.Body)
	}
	for _, c := range []net.Conn{fresh, reused} {
		io.WriteString(c, readRequest[:30])
	}
	time.Sleep(50 * time.Millisecond) // until the partial heads have arrived
	stop()
	time.Sleep(3 * minDrainIdle)
	for name, c := range map[string]net.Conn{"fresh": fresh, "reused": reused} {
		io.WriteString(c, readRequest[30:])
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("%s connection: got %+v, %v", name, resp, err)
		}
	}
	if err := nodetest.Wait(t, done); err != nil {
		t.Error(err)
	}
}
