package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/nodetest"
)

// deadlineRecorder records the write deadline of a response.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// A response is written with a deadline. Without one, a client that does not read its response would hold its connection
// indefinitely.
func TestResponseWriteDeadline(t *testing.T) {
	before := time.Now()
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	writeBuffered(w, clientResponse{status: 200, body: []byte("hi")})
	if w.deadline.Before(before) || w.deadline.After(time.Now().Add(responseWriteTimeout)) {
		t.Errorf("response written at %v has the write deadline %v, want one within responseWriteTimeout", before, w.deadline)
	}
	if w.Code != 200 || w.Body.String() != "hi" {
		t.Errorf("got response %d %q, want 200 \"hi\"", w.Code, w.Body)
	}
}

// A Reject produces a 503 with Retry-After in decimal seconds, and a Fail produces a 502. Only the first of several final
// actions for a request has an effect.
func TestFinalResponses(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig("127.0.0.1:1"), balancerFunc(func(e balancer.Event) []balancer.Action {
		switch r, _ := e.(balancer.Request); r.Class {
		case "read":
			return []balancer.Action{balancer.Reject{ID: r.ID, RetryAfter: 250 * time.Millisecond},
				balancer.Fail{ID: r.ID}} // the second is ignored
		case "order":
			return []balancer.Action{balancer.Fail{ID: r.ID}}
		}
		return nil
	}))
	resp, _ := nodetest.Do(t, newRequest(t, n, "GET", "/read/1", ""))
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.25" {
		t.Errorf("reject: got status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if resp, _ := nodetest.Do(t, newRequest(t, n, "POST", "/order/1", "")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("fail: got status %d", resp.StatusCode)
	}
}

// If the balancer never completes a request, the node fails it before the client's deadline and reports a disconnect to
// the balancer.
func TestNoBalancerDecision(t *testing.T) {
	t.Parallel()
	disconnected := make(chan balancer.ClientDisconnected, 1)
	n := startNode(t, testConfig("127.0.0.1:1"), balancerFunc(func(e balancer.Event) []balancer.Action {
		if e, ok := e.(balancer.ClientDisconnected); ok {
			disconnected <- e
		}
		return nil
	}))
	r := newRequest(t, n, "GET", "/read/1", "")
	r.Header.Set("X-Time-Left", "50m")
	if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d", resp.StatusCode)
	}
	nodetest.Wait(t, disconnected)
}

// A client with almost no time left receives a final response, not a closed connection.
func TestNoTimeLeft(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	for range 20 {
		for method, path := range map[string]string{"GET": "/read/1", "POST": "/order/1"} {
			body := ""
			if method == "POST" {
				body = "body"
			}
			r := newRequest(t, n, method, path, body)
			r.Header.Set("X-Time-Left", "1u")
			if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%s: got status %d", method, resp.StatusCode)
			}
		}
	}
}

// Attempts of a finished request, attempts over the limit and attempts to unlisted endpoints are not sent. The balancer
// receives a NotSent outcome for each. A Cancel of an attempt that does not exist has no effect.
func TestSuppressedSends(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	cfg := testConfig("127.0.0.1:1", servingEntry("s", addr))
	cfg.Settings.MaxAttempts = 2
	outcomes := make(chan balancer.Outcome, 10)
	n := startNode(t, cfg, balancerFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			send := func(to string) balancer.Action { return balancer.Send{ID: e.ID, Endpoint: to} }
			if e.Class == "read" {
				return []balancer.Action{send("nowhere"), send("nowhere"), send("s"), balancer.Fail{ID: e.ID}}
			}
			return []balancer.Action{balancer.Cancel{ID: e.ID, Attempt: 3}, send("nowhere"),
				balancer.Fail{ID: e.ID}, send("s")}
		case balancer.Outcome:
			outcomes <- e
		}
		return nil
	}))
	nodetest.Do(t, newRequest(t, n, "GET", "/read/1", ""))
	for i := range 3 {
		if o := nodetest.Wait(t, outcomes); o.Result != balancer.NotSent || o.Attempt != i {
			t.Errorf("got outcome %+v, want NotSent of each attempt in order", o)
		}
	}
	nodetest.Do(t, newRequest(t, n, "POST", "/order/1", ""))
	if len(got) > 0 {
		t.Error("a suppressed attempt reached the server")
	}
}

// The first successful attempt completes the request, and its outcome is marked RequestDone. The balancer still receives
// the outcome of an attempt that ends later.
func TestLateOutcome(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	slow := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			<-release
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		}
	})
	fast, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	outcomes := make(chan balancer.Outcome, 10)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("slow", slow), servingEntry("fast", fast)),
		balancerFunc(func(e balancer.Event) []balancer.Action {
			switch e := e.(type) {
			case balancer.Request:
				return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "slow"}, balancer.Send{ID: e.ID, Endpoint: "fast"}}
			case balancer.Outcome:
				outcomes <- e
			}
			return nil
		}))
	if resp, body := nodetest.Do(t, newRequest(t, n, "GET", "/read/1", "")); resp.StatusCode != http.StatusOK || body != "hi" {
		t.Errorf("got response %d %q", resp.StatusCode, body)
	}
	if o := nodetest.Wait(t, outcomes); o.Endpoint != "fast" || o.Attempt != 1 || !o.RequestDone || o.Result != balancer.Success {
		t.Errorf("first outcome %+v", o)
	}
	close(release)
	if o := nodetest.Wait(t, outcomes); o.Endpoint != "slow" || o.Attempt != 0 || !o.RequestDone {
		t.Errorf("late outcome %+v", o)
	}
}

// An endless response head must not exhaust the memory. The attempt and its connection end long before the deadline.
func TestEndlessResponseHead(t *testing.T) {
	t.Parallel()
	const maxBytes = 256 << 20
	wrote := make(chan int, 1)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		n, _ := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		line := "X-Pad: " + strings.Repeat("x", 8<<10) + "\r\n"
		for n < maxBytes {
			k, err := io.WriteString(c, line)
			n += k
			if err != nil {
				break
			}
		}
		wrote <- n
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	if resp, _ := nodetest.Do(t, newRequest(t, n, "POST", "/order/1", "")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d", resp.StatusCode)
	}
	if n := nodetest.Wait(t, wrote); n >= maxBytes {
		t.Errorf("the node read all %d bytes of the head", n)
	}
}
