package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/nodetest"
)

// The golden file holds the responses of the control server to every command and to invalid lines.
func TestGoldenControl(t *testing.T) {
	t.Parallel()
	n := startWithControl(t, testConfig("127.0.0.1:1"))
	var b strings.Builder
	record := func(line, response string) { fmt.Fprintf(&b, "%.40q -> %q\n", line, response) }
	for _, line := range []string{"check\n", "check\r\n", "drain-on\n", "drain-off\n", "\n", "nonsense\n", "CHECK\n", "check it\n", "vars \n",
		strings.Repeat("x", 300) + "\n"} {
		record(line, sendCommand(t, n, line))
	}
	commands := n.commands()
	n.stopping.Store(true)
	record("drain-off while stopping", commands["drain-off"]())
	n.stopping.Store(false)
	n.serving.Store(false)
	record("check before serving", commands["check"]())
	n.serving.Store(true)
	nodetest.Golden(t, "control.golden", b.String())
}

var (
	dateLine     = regexp.MustCompile(`(?m)^Date: .*\r\n`)
	timeLeftLine = regexp.MustCompile(`X-Time-Left: \d+u`)
	portNumber   = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// The golden file holds the responses to requests that are invalid, rejected, failed and served. It holds every byte except
// for the date.
func TestGoldenResponses(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	served := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	rejecting := startNode(t, testConfig("127.0.0.1:1"), balancerFunc(func(e balancer.Event) []balancer.Action {
		r, ok := e.(balancer.Request)
		switch {
		case ok && r.Class == "read":
			return []balancer.Action{balancer.Reject{ID: r.ID, RetryAfter: 1250 * time.Millisecond}}
		case ok:
			return []balancer.Action{balancer.Fail{ID: r.ID}}
		}
		return nil
	}))
	const id, left = "X-Correlation-Id: c-1\r\n", "X-Time-Left: 9000m\r\n"
	var b strings.Builder
	for _, c := range []struct {
		n       *Node
		request string
	}{
		{served, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "GET /read/1 HTTP/1.0\r\n" + id + left + "\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + left + "\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + "\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + "X-Time-Left: 480\r\n\r\n"},
		{served, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + "X-Time-Left: -5m\r\n\r\n"},
		{served, "GET / HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "GET /reads/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "PUT /read/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{served, "POST /send/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "Content-Length: 0\r\n\r\n"},
		{served, "POST /order/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "Content-Length: 33554433\r\n\r\n"},
		{rejecting, "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "\r\n"},
		{rejecting, "POST /order/1 HTTP/1.1\r\nHost: a\r\n" + id + left + "Content-Length: 0\r\n\r\n"},
	} {
		fmt.Fprintf(&b, "%q\n%q\n", c.request, rawResponse(t, c.n, c.request))
	}
	nodetest.Golden(t, "answers.golden", b.String())
}

// rawResponse returns the complete response to a request, without its Date header.
func rawResponse(t *testing.T, n *Node, request string) string {
	t.Helper()
	c := nodetest.Dial(t, n.Addr().String())
	io.WriteString(c, request)
	var raw strings.Builder
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), nil)
	if err != nil {
		t.Fatalf("%q: %v", request, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("%q: %v", request, err)
	}
	return dateLine.ReplaceAllString(raw.String(), "")
}

// The golden file holds the requests that servers receive, which show the headers that are forwarded and those that are
// added. It holds every byte except for the time left and the port of the server.
func TestGoldenForwarded(t *testing.T) {
	t.Parallel()
	heads := make(chan string, 10)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		var head strings.Builder
		requests := bufio.NewReader(io.TeeReader(r, &head))
		for { // the connection stays open, because the next request could be lost on a closing one
			req, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			heads <- timeLeftLine.ReplaceAllString(portNumber.ReplaceAllString(head.String(), "ADDR"), "X-Time-Left: TIMEu")
			head.Reset()
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	const common = "Host: app\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\nX-Facts: effort-ms=2\r\nX-Repeat: 1\r\nX-Other: o\r\nAccept: */*\r\n" +
		"User-Agent: u\r\nIdempotency-Key: k\r\nContent-Type: a/b\r\nCookie: c\r\n"
	var b strings.Builder
	for _, request := range []string{
		"GET /read//7f%2F3a?q=1&q=2 HTTP/1.1\r\n" + common + "\r\n",
		"POST /send/1 HTTP/1.1\r\n" + common + "Content-Length: 4\r\n\r\nbody",
		"GET /read/1 HTTP/1.0\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n",
	} {
		rawResponse(t, n, request)
		fmt.Fprintf(&b, "%q\n%q\n", request, nodetest.Wait(t, heads))
	}
	nodetest.Golden(t, "forwarded.golden", b.String())
}

// The path and the headers of a client request determine Class, ClientRetry and CostHint of balancer.Request.
func TestRequestHeaders(t *testing.T) {
	t.Parallel()
	requests := make(chan balancer.Request, 1)
	n := startNode(t, testConfig("127.0.0.1:1"), balancerFunc(func(e balancer.Event) []balancer.Action {
		if r, ok := e.(balancer.Request); ok {
			requests <- r
			return []balancer.Action{balancer.Fail{ID: r.ID}}
		}
		return nil
	}))
	for _, c := range []struct {
		repeat, facts string
		retry         bool
		cost          time.Duration
	}{{"1", "effort-ms=2.5", true, 2500 * time.Microsecond}, {"0", "effort=2", false, 0}, {"", "", false, 0}} {
		r := newRequest(t, n, "GET", "/read/1", "")
		r.Header.Set("X-Repeat", c.repeat)
		r.Header.Set("X-Facts", c.facts)
		nodetest.Do(t, r)
		if got := nodetest.Wait(t, requests); got.ClientRetry != c.retry || got.CostHint != c.cost || got.Class != "read" {
			t.Errorf("X-Repeat %q, X-Facts %q: got %+v", c.repeat, c.facts, got)
		}
	}
}
