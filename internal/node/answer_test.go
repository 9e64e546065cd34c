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

// deadlineRecorder records the write deadline that an answer was given.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// A client that does not read its answer must not occupy its connection forever.
func TestAnswersHaveADeadline(t *testing.T) {
	before := time.Now()
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	write(w, answer{status: 200, body: []byte("hi")})
	if w.deadline.Before(before) || w.deadline.After(time.Now().Add(answerTimeout)) {
		t.Errorf("written at %v with the deadline %v", before, w.deadline)
	}
	if w.Code != 200 || w.Body.String() != "hi" {
		t.Errorf("answer %d %q", w.Code, w.Body)
	}
}

// A rejection is a 503 with Retry-After in decimal seconds, a failure a 502.
func TestFinalAnswers(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig("127.0.0.1:1"), decisionsFunc(func(e balancer.Event) []balancer.Action {
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
		t.Errorf("refusal: %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if resp, _ := nodetest.Do(t, newRequest(t, n, "POST", "/order/1", "")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("failure: %d", resp.StatusCode)
	}
}

// If the balancer never answer a request, the client gets an answer before its deadline.
func TestSilentDecisions(t *testing.T) {
	t.Parallel()
	disconnected := make(chan balancer.ClientDisconnected, 1)
	n := startNode(t, testConfig("127.0.0.1:1"), decisionsFunc(func(e balancer.Event) []balancer.Action {
		if e, is := e.(balancer.ClientDisconnected); is {
			disconnected <- e
		}
		return nil
	}))
	r := newRequest(t, n, "GET", "/read/1", "")
	r.Header.Set("X-Time-Left", "50m")
	if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %d", resp.StatusCode)
	}
	nodetest.Wait(t, disconnected)
}

// A client with next to no time left gets a final answer too, and no closed connection.
func TestNoTimeLeft(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.Stub(t, nodetest.OK, false)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	for range 20 {
		for method, path := range map[string]string{"GET": "/read/1", "POST": "/order/1"} {
			body := ""
			if method == "POST" {
				body = "body"
			}
			r := newRequest(t, n, method, path, body)
			r.Header.Set("X-Time-Left", "1u")
			if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%s: answer %d", method, resp.StatusCode)
			}
		}
	}
}

// Attempts of a finished request, attempts over the limit and attempts to endpoints that are not listed are not sent.
func TestSendsThatAreNotSent(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.Stub(t, nodetest.OK, false)
	cfg := testConfig("127.0.0.1:1", serving("s", addr))
	cfg.Settings.MaxAttempts = 2
	outcomes := make(chan balancer.Outcome, 10)
	n := startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
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
			t.Errorf("outcome %+v", o)
		}
	}
	nodetest.Do(t, newRequest(t, n, "POST", "/order/1", ""))
	if len(got) > 0 {
		t.Error("a void attempt reached the server")
	}
}

// The first success is the answer and marked RequestDone; the balancer still get the outcome of an attempt that ends
// later.
func TestLateOutcome(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	slow := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			<-release
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		}
	})
	fast, _ := nodetest.Stub(t, nodetest.OK, false)
	outcomes := make(chan balancer.Outcome, 10)
	n := startNode(t, testConfig("127.0.0.1:1", serving("slow", slow), serving("fast", fast)),
		decisionsFunc(func(e balancer.Event) []balancer.Action {
			switch e := e.(type) {
			case balancer.Request:
				return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "slow"}, balancer.Send{ID: e.ID, Endpoint: "fast"}}
			case balancer.Outcome:
				outcomes <- e
			}
			return nil
		}))
	if resp, body := nodetest.Do(t, newRequest(t, n, "GET", "/read/1", "")); resp.StatusCode != http.StatusOK || body != "hi" {
		t.Errorf("answer %d %q", resp.StatusCode, body)
	}
	if o := nodetest.Wait(t, outcomes); o.Endpoint != "fast" || o.Attempt != 1 || !o.RequestDone || o.Result != balancer.Success {
		t.Errorf("first outcome %+v", o)
	}
	close(release)
	if o := nodetest.Wait(t, outcomes); o.Endpoint != "slow" || o.Attempt != 0 || !o.RequestDone {
		t.Errorf("late outcome %+v", o)
	}
}

// An endless response head must not fill the memory: the attempt ends with its connection, long before its deadline.
func TestEndlessHead(t *testing.T) {
	t.Parallel()
	const most = 256 << 20
	wrote := make(chan int, 1)
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		n, _ := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		line := "X-Pad: " + strings.Repeat("x", 8<<10) + "\r\n"
		for n < most {
			k, err := io.WriteString(c, line)
			n += k
			if err != nil {
				break
			}
		}
		wrote <- n
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	if resp, _ := nodetest.Do(t, newRequest(t, n, "POST", "/order/1", "")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if n := nodetest.Wait(t, wrote); n >= most {
		t.Errorf("all of %d bytes were read", n)
	}
}
