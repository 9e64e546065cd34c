package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/header"
	"umberbank/internal/node/nodetest"
)

// If a request is rejected because of its head, its connection is closed and does not wait for a body that never arrives.
func TestUnreadBodyDoesNotHoldConnection(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig("127.0.0.1:1"), nil)
	for request, status := range map[string]int{
		head("POST", "/nothing/1", "Content-Length: 1000\r\n"):            404,
		head("POST", "/nothing/1", "Transfer-Encoding: chunked\r\n"):      404,
		head("PUT", "/order/1", "Content-Length: 1000\r\n"):               400,
		head("POST", "/order/1", "Content-Length: 99999999999\r\n"):       413,
		head("GET", "/health/ready", "Content-Length: 1000\r\n"):          200,
		head("POST", "/order/1", "Expect: x\r\nContent-Length: 1000\r\n"): 417,
	} {
		t.Run(strings.Fields(request)[1]+strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			conn := nodetest.Dial(t, n.Addr().String())
			io.WriteString(conn, request)
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != status {
				t.Fatalf("got %+v, %v", resp, err)
			}
			if _, err := io.Copy(io.Discard, r); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stays open")
			}
		})
	}
}

// Responses to pipelined requests are sent in the order of the requests, even if some requests have long bodies.
func TestPipelined(t *testing.T) {
	t.Parallel()
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, req.Body)
			content := fmt.Sprintf("%s %d", req.RequestURI, n)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	conn := nodetest.Dial(t, n.Addr().String())
	long := strings.Replace(head("POST", "/order/3", "Content-Length: 100000\r\n"), "c-1", "c-3", 1)
	go io.WriteString(conn, head("GET", "/read/1", "")+head("POST", "/order/2", "Content-Length: 5\r\n")+"12345"+
		long+nodetest.Text(100000)+head("GET", "/read/4", ""))
	r := bufio.NewReader(conn)
	for _, want := range []string{"/read/1 0", "/order/2 5", "/order/3 100000", "/read/4 0"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", want, err)
		}
		if b, err := io.ReadAll(resp.Body); string(b) != want {
			t.Errorf("got response %q, %v, want %q", b, err, want)
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	r := newRequest(t, n, "POST", "/send//7f%2F3a?q=1&q=2", strings.Repeat("x", bodybudget.MaxBufferedBytes))
	r.Header.Set("Idempotency-Key", "k-1")
	resp, body := nodetest.Do(t, r)
	if resp.StatusCode != http.StatusOK || body != "hi" || resp.Header.Get("Content-Type") != "a/b" {
		t.Errorf("got response %d %q %v", resp.StatusCode, body, resp.Header)
	}
	s := nodetest.Wait(t, got)
	if s.Method != http.MethodPost || s.RequestURI != "/send//7f%2F3a?q=1&q=2" || len(s.Content) != bodybudget.MaxBufferedBytes ||
		s.Header.Get("X-Correlation-Id") != "c-1" || s.Header.Get("Idempotency-Key") != "k-1" {
		t.Errorf("the server received %s %s, %d bytes, %v", s.Method, s.RequestURI, len(s.Content), s.Header)
	}
	left, err := header.ParseTimeLeft(s.Header.Get("X-Time-Left"))
	if err != nil || left <= 0 || left > 10*time.Second {
		t.Errorf("got X-Time-Left %v, %v, want more than 0 and at most 10s", left, err)
	}
}

// A request without a Host header, as HTTP/1.0 allows, is forwarded with the server's address as host.
func TestNoHost(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /read/1 HTTP/1.0\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got response %+v, %v", resp, err)
	}
	if s := nodetest.Wait(t, got); s.Host != addr {
		t.Errorf("got host %q, want the server's address", s.Host)
	}
}

// Two requests in flight may have the same correlation ID; each receives its own response.
func TestSameCorrelationIDTwice(t *testing.T) {
	t.Parallel()
	began := make(chan struct{}, 2)
	release := make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			began <- struct{}{}
			<-release
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	status := make(chan int, 2)
	for range 2 {
		r := newRequest(t, n, "GET", "/read/1", "")
		go func() {
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				status <- 0
				return
			}
			resp.Body.Close()
			status <- resp.StatusCode
		}()
	}
	nodetest.Wait(t, began)
	nodetest.Wait(t, began)
	close(release)
	if a, b := nodetest.Wait(t, status), nodetest.Wait(t, status); a != 200 || b != 200 {
		t.Errorf("got statuses %d and %d, want 200", a, b)
	}
}

func TestMalformedRequest(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	for name, c := range map[string]struct {
		method, path, header, value string
		size, status                int
	}{
		"no id":         {"GET", "/read/1", "X-Correlation-Id", "", 0, 400},
		"no time":       {"GET", "/read/1", "X-Time-Left", "", 0, 400},
		"no unit":       {"GET", "/read/1", "X-Time-Left", "480", 0, 400},
		"no number":     {"GET", "/read/1", "X-Time-Left", "m", 0, 400},
		"nothing left":  {"GET", "/read/1", "X-Time-Left", "0m", 0, 400},
		"negative":      {"GET", "/read/1", "X-Time-Left", "-5m", 0, 400},
		"not a number":  {"GET", "/read/1", "X-Time-Left", "NaNm", 0, 400},
		"endless":       {"GET", "/read/1", "X-Time-Left", "1e300m", 0, 400},
		"no class":      {"GET", "/", "A", "", 0, 400},
		"unknown class": {"GET", "/reads/1", "A", "", 0, 404},
		"method":        {"PUT", "/read/1", "A", "", 0, 400},
		"no key":        {"POST", "/send/1", "A", "", 0, 400},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, n, c.method, c.path, strings.Repeat("x", c.size))
			r.Header.Set(c.header, c.value)
			if resp, _ := nodetest.Do(t, r); resp.StatusCode != c.status {
				t.Errorf("got status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
	if len(got) > 0 {
		t.Error("a malformed request reached the server")
	}
}

// Bytes that are part of the body by one framing and a request by another must not reach a server as a request, which
// would allow request smuggling.
func TestRequestInsideABody(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	const id = "X-Correlation-Id: outer\r\nX-Time-Left: 9000m\r\n"
	const inner = "GET /read/inner HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: inner\r\nX-Time-Left: 9000m\r\n\r\n"
	for name, outer := range map[string]string{
		"both lengths": "POST /order/1 HTTP/1.1\r\nHost: a\r\n" + id +
			"Content-Length: 94\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks of HTTP/1.0": "POST /order/1 HTTP/1.0\r\nConnection: keep-alive\r\n" + id +
			"Transfer-Encoding: chunked\r\n\r\n",
	} {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(nodetest.Timeout))
		io.WriteString(c, outer+inner)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_, _ = io.ReadAll(resp.Body)
		if resp, err := http.ReadResponse(r, nil); err == nil {
			t.Errorf("%s: got a second response: %s", name, resp.Status)
		}
	}
	for len(got) > 0 {
		if s := <-got; s.Header.Get("X-Correlation-Id") != "outer" {
			t.Errorf("the inner request reached the server: %s", s.RequestURI)
		}
	}
}

// After the response to a readiness check or an invalid request, the connection is closed to make room for other clients.
// After a served request it stays open.
func TestRejectedConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	for request, status := range map[string]int{
		"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n":                                           200,
		"GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Time-Left: 9000m\r\n\r\n":                           400,
		"GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000\r\n\r\n":   400,
		"PUT /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n":  400,
		"POST /send/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n": 400,
		"GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\n\r\n":  200,
	} {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(nodetest.Timeout))
		io.WriteString(c, request)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("%q: got %+v, %v", request, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if served := resp.ContentLength == 2; served {
			if resp.Close {
				t.Errorf("the connection is closed after a served request")
			}
		} else if b, err := io.ReadAll(r); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: the connection stays open: %q, %v", request, b, err)
		}
	}
}

// A peer that sends nothing, or only part of a request, receives an error or a close after requestTimeout. A complete
// request is served even if the server responds only after requestTimeout.
func TestSlowPeers(t *testing.T) {
	t.Parallel()
	if requestTimeout >= 3*time.Second {
		t.Errorf("requestTimeout is %v, want less than 3s", requestTimeout)
	}
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			time.Sleep(requestTimeout + 500*time.Millisecond)
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	const head = "POST /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 9000m\r\nContent-Length: 9\r\n"
	for sent, want := range map[string]string{
		"":                     "",
		head:                   "",
		head + "\r\nhalf":      "HTTP/1.1 408 ",
		head + "\r\nnine char": "HTTP/1.1 200 ",
	} {
		t.Run(strconv.Quote(sent), func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", n.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(requestTimeout + 5*time.Second))
			io.WriteString(c, sent)
			got := make([]byte, len(want))
			if len(want) == 0 {
				got = make([]byte, 1)
			}
			k, err := io.ReadFull(c, got)
			if string(got[:k]) != want || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %q, %v", got[:k], err)
			}
		})
	}
}

// The balancer receives the cost hint of a request, and zero if the header is absent or invalid.
func TestCostHint(t *testing.T) {
	t.Parallel()
	costs := make(chan time.Duration, 1)
	n := startNode(t, testConfig("127.0.0.1:1"), balancerFunc(func(e balancer.Event) []balancer.Action {
		if r, ok := e.(balancer.Request); ok {
			costs <- r.CostHint
			return []balancer.Action{balancer.Reject{ID: r.ID}}
		}
		return nil
	}))
	for facts, want := range map[string]time.Duration{"": 0, "effort-ms=12.5": 12500 * time.Microsecond,
		"item=7, effort-ms=3": 3 * time.Millisecond, "effort-ms=-1": 0, "effort-ms=NaN": 0, "effort-ms": 0} {
		r := newRequest(t, n, "GET", "/read/1", "")
		r.Header.Set("X-Facts", facts)
		nodetest.Do(t, r)
		if got := nodetest.Wait(t, costs); got != want {
			t.Errorf("%q: got cost hint %v, want %v", facts, got, want)
		}
	}
}

// Clients over the connection limit wait for a connection. Each receives a response, and at least one of them is served.
func TestClientsOverTheLimit(t *testing.T) {
	t.Parallel()
	addr, _ := nodetest.StubServer(t, nodetest.OKResponse, false)
	cfg := testConfig("127.0.0.1:1", servingEntry("s", addr))
	cfg.Sockets = reservedDescriptors + 10 // 6 of them for clients
	n := startNode(t, cfg, nil)
	client := &http.Client{Timeout: nodetest.Timeout} // keeps connections alive
	const clients = 30
	errs := make(chan error, clients)
	var rejected atomic.Int64
	for range clients {
		r := newRequest(t, n, "GET", "/read/1", "")
		go func() {
			resp, err := client.Do(r)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
				case http.StatusServiceUnavailable: // the balancer has no capacity
					rejected.Add(1)
				default:
					err = errors.New(resp.Status)
				}
			}
			errs <- err
		}()
	}
	for range clients {
		if err := nodetest.Wait(t, errs); err != nil {
			t.Error(err)
		}
	}
	if rejected.Load() == clients {
		t.Error("no client was served")
	}
}

func TestReady(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig("127.0.0.1:1"), nil)
	r, _ := http.NewRequest(http.MethodGet, "http://"+n.Addr().String()+"/health/ready", nil)
	if resp, _ := nodetest.Do(t, r); resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", resp.StatusCode)
	}
}
