package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/clientconn"
	"umberbank/internal/node/nodetest"
)

// sink starts a server that responds with 200 and sends the requests that it received to got.
func sink(t *testing.T) (addr string, got chan nodetest.Received) {
	return nodetest.StubServer(t, nodetest.OKResponse, false)
}

// Long requests reach the server complete with each kind of framing, and the client can reuse its connection after them.
func TestLongRequests(t *testing.T) {
	t.Parallel()
	body := nodetest.Text(2 << 20)
	addr, got := sink(t)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	for name, c := range map[string]struct{ more, body string }{
		"length":  {fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		"chunks":  {"Transfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n", chunked(body, 777)},
		"expects": {fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(body)), body},
	} {
		t.Run(name, func(t *testing.T) {
			conn := nodetest.Dial(t, n.Addr().String())
			r := bufio.NewReader(conn)
			io.WriteString(conn, strings.Replace(head("POST", "/order/1", c.more), "c-1", "c-"+name, 1))
			if strings.HasPrefix(c.more, "Expect") {
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusContinue {
					t.Fatalf("got %+v, %v, want 100 Continue", resp, err)
				}
			}
			io.WriteString(conn, c.body)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("got %+v, %v", resp, err)
			}
			if s := nodetest.Wait(t, got); s.Content != body || s.Header.Get("X-Correlation-Id") != "c-"+name {
				t.Errorf("the server received %d bytes, want the complete body", len(s.Content))
			}
			if c.more[0] != 'T' { // after a chunked request the connection is closed, see hasAmbiguousEnd
				_, _ = io.ReadAll(io.LimitReader(r, 2))
				io.WriteString(conn, head("GET", "/read/2", ""))
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("next request: got %+v, %v", resp, err)
				}
				nodetest.Wait(t, got)
			}
		})
	}
}

// The body of a long request is forwarded while it arrives.
func TestLongRequestIsStreamed(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	half := make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.ReadFull(req.Body, make([]byte, size/2-8192)); err == nil {
			close(half)
		}
		if n, _ := io.Copy(io.Discard, req.Body); n == size/2+8192 {
			io.WriteString(c, nodetest.OKResponse)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", size)))
	_, _ = conn.Write(make([]byte, size/2))
	nodetest.Wait(t, half)
	_, _ = conn.Write(make([]byte, size/2))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v", resp, err)
	}
}

// A long request is retried as long as no part of its streamed body has been consumed. If a server fails during the body,
// the request is rejected: it cannot have run, and its body cannot be sent again.
func TestLongRequestRetry(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	good, got := sink(t)
	resets := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		c.(*net.TCPConn).SetLinger(0)
	})
	rejects := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_, _ = io.Copy(io.Discard, r)
	})
	body := nodetest.Text(4 << 20)
	for name, c := range map[string]struct {
		first  string
		status int
	}{"unreachable": {l.Addr().String(), 200}, "resets": {resets, 503}, "rejects": {rejects, 503}} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, testConfig("127.0.0.1:1", servingEntry("first", c.first), servingEntry("second", good)),
				firstThenSecond())
			conn := nodetest.Dial(t, n.Addr().String())
			var wrote sync.WaitGroup
			wrote.Go(func() {
				io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
			})
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("got %+v, %v", resp, err)
			}
			wrote.Wait()
			if c.status == 200 {
				if s := nodetest.Wait(t, got); s.Content != body {
					t.Errorf("the second server received %d bytes, want the complete body", len(s.Content))
				}
			} else if len(got) > 0 {
				t.Errorf("a request with a consumed body reached the second server")
			}
		})
	}
}

// A request whose attempt ends before the last byte of its streamed body gets a final response, although the balancer does not
// complete it.
func TestLongRequestWithoutBalancerDecision(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close() // the attempt cannot connect
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("first", l.Addr().String())), balancerFunc(func(e balancer.Event) []balancer.Action {
		if e, ok := e.(balancer.Request); ok {
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "first"}}
		}
		return nil
	}))
	conn := nodetest.Dial(t, n.Addr().String())
	body := nodetest.Text(4 << 20)
	var wrote sync.WaitGroup
	defer wrote.Wait()
	wrote.Go(func() {
		requestHead := head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		io.WriteString(conn, strings.Replace(requestHead, "15000m", "500m", 1)+body)
	})
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %+v, %v", resp, err)
	}
	conn.Close()
}

// firstThenSecond returns a balancer that sends to the endpoint "first", and then to "second" unless the body is consumed.
// It fails requests without a streamed body.
func firstThenSecond() balancerFunc {
	return func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			if !e.StreamingBody {
				return []balancer.Action{balancer.Fail{ID: e.ID}}
			}
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "first"}}
		case balancer.Outcome:
			if e.RequestDone || e.BodyConsumed {
				return []balancer.Action{balancer.Reject{ID: e.ID}}
			}
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "second"}}
		}
		return nil
	}
}

// The deadline of a long request is set when its last byte has been sent to the server, however long sending took.
func TestLongRequestDeadlineCountsFromLastByte(t *testing.T) {
	t.Parallel()
	addr, _ := sink(t)
	bodySent := make(chan balancer.RequestBodySent, 1)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), balancerFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		case balancer.RequestBodySent:
			bodySent <- e
		}
		return nil
	}))
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, strings.Replace(head("POST", "/order/1", "Content-Length: 100000\r\n"), "15000m", "900m", 1))
	for range 10 { // takes longer than the 900 ms that the client waits after its last byte
		_, _ = conn.Write(make([]byte, 10000))
		time.Sleep(100 * time.Millisecond)
	}
	earliest := time.Duration(time.Now().Add(-time.Second).UnixNano())
	if e := nodetest.Wait(t, bodySent); e.Deadline < earliest {
		t.Errorf("the deadline is %v earlier than the earliest one allowed", earliest-e.Deadline)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v", resp, err)
	}
}

// A client that pauses for too long during its body gets a 408, at any position in the body, and the connection to the
// server is closed.
func TestClientStallsDuringBody(t *testing.T) {
	t.Parallel()
	if clientconn.MaxBodyPause >= 3*time.Second || clientconn.FirstBodyTimeout >= 3*time.Second {
		t.Errorf("MaxBodyPause is %v and FirstBodyTimeout is %v, want less than 3s for both", clientconn.MaxBodyPause, clientconn.FirstBodyTimeout)
	}
	closed := make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	for name, sent := range map[string]int{"at the start": 0, "in the buffered part": 1000, "in the streamed part": 500_000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := nodetest.Dial(t, n.Addr().String())
			io.WriteString(conn, head("POST", "/order/1", "Content-Length: 1000000\r\n"))
			_, _ = conn.Write(make([]byte, sent))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("got %+v, %v, want status 408", resp, err)
			}
			if sent > bodybudget.MaxBufferedBytes {
				nodetest.Wait(t, closed)
			}
		})
	}
}

// A request whose Content-Length exceeds the limit is rejected at once. A request with a chunked body is rejected once the
// body exceeds the limit.
func TestBodyTooLong(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
	for name, more := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", bodybudget.MaxBodyBytes+1),
		"chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			conn := nodetest.Dial(t, n.Addr().String())
			io.WriteString(conn, head("POST", "/order/1", more))
			if name == "chunks" {
				go func() {
					fmt.Fprintf(conn, "%x\r\n", bodybudget.MaxBodyBytes+1)
					_, _ = conn.Write(make([]byte, bodybudget.MaxBodyBytes+1))
				}()
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
				t.Errorf("got %+v, %v, want status 413", resp, err)
			}
		})
	}
	if len(got) > 0 {
		t.Error("a body over the limit reached the server")
	}
}

// Bytes inside a long body that look like a request are not handled as one, even if the response is written before the end
// of the body.
func TestRequestInsideALongBody(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.StubServer(t, nodetest.OKResponse, false)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), balancerFunc(func(e balancer.Event) []balancer.Action {
		if e, ok := e.(balancer.Request); ok {
			if e.StreamingBody {
				return []balancer.Action{balancer.Reject{ID: e.ID}}
			}
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		}
		return nil
	}))
	conn := nodetest.Dial(t, n.Addr().String())
	r := bufio.NewReader(conn)
	inner := head("GET", "/read/inner", "")
	body := strings.Repeat("x", bodybudget.MaxBufferedBytes+1) + inner
	go io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body+inner)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Fatalf("got %+v, %v", resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if rest, err := io.ReadAll(r); len(rest) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got a second response: %q, %v", rest, err)
	}
	if len(got) > 0 {
		t.Error("the request inside the body was forwarded")
	}
}
