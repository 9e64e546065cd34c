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

// sink is a server that keeps what it is sent, and then answers.
func sink(t *testing.T) (addr string, got chan nodetest.Received) {
	return nodetest.Stub(t, nodetest.OK, false)
}

// Long requests reach the server complete, however clients frame them, and connections are used again after them.
func TestLongRequests(t *testing.T) {
	t.Parallel()
	body := nodetest.Text(2 << 20)
	addr, got := sink(t)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	for name, c := range map[string]struct{ more, body string }{
		"length":  {fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		"chunks":  {"Transfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n", chunked(body, 777)},
		"expects": {fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(body)), body},
	} {
		t.Run(name, func(t *testing.T) {
			conn := nodetest.Dial(t, n.Addr().String())
			r := bufio.NewReader(conn)
			io.WriteString(conn, head("POST", "/order/1", c.more))
			if strings.HasPrefix(c.more, "Expect") {
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusContinue {
					t.Fatalf("not asked for the body: %+v, %v", resp, err)
				}
			}
			io.WriteString(conn, c.body)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%+v, %v", resp, err)
			}
			if s := nodetest.Wait(t, got); s.Content != body || s.Header.Get("X-Correlation-Id") != "c-1" {
				t.Errorf("the server got %d bytes", len(s.Content))
			}
			if c.more[0] != 'T' { // a connection with chunks is closed, see ambiguous
				_, _ = io.ReadAll(io.LimitReader(r, 2))
				io.WriteString(conn, head("GET", "/read/2", ""))
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("the next request: %+v, %v", resp, err)
				}
				nodetest.Wait(t, got)
			}
		})
	}
}

// A long request's body is forwarded as it comes.
func TestLongRequestIsPassedOnAsItComes(t *testing.T) {
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
			io.WriteString(c, nodetest.OK)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", size)))
	_, _ = conn.Write(make([]byte, size/2))
	nodetest.Wait(t, half)
	_, _ = conn.Write(make([]byte, size/2))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v", resp, err)
	}
}

// A long request is retried while nothing of its body was read. When a server fails amid the body the request is rejected:
// it cannot have run, and cannot be sent again.
func TestLongRequestMovesOnWhileItCan(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	good, got := sink(t)
	quits := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
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
	}{"not there": {l.Addr().String(), 200}, "quits": {quits, 503}, "rejects": {rejects, 503}} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, testConfig("127.0.0.1:1", serving("first", c.first), serving("second", good)),
				firstThenSecond())
			conn := nodetest.Dial(t, n.Addr().String())
			var wrote sync.WaitGroup
			wrote.Go(func() {
				io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
			})
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("%+v, %v", resp, err)
			}
			wrote.Wait()
			if c.status == 200 {
				if s := nodetest.Wait(t, got); s.Content != body {
					t.Errorf("the second server got %d bytes", len(s.Content))
				}
			} else if len(got) > 0 {
				t.Errorf("a consumed body reached the second server")
			}
		})
	}
}

// firstThenSecond are decisions that send to one server, then to the other unless the body is consumed.
func firstThenSecond() decisionsFunc {
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

// The time of a long request begins when the server has all of it, however long that took.
func TestTimeBeginsWhenALongRequestIsSent(t *testing.T) {
	t.Parallel()
	addr, _ := sink(t)
	taken := make(chan balancer.RequestBodySent, 1)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), decisionsFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		case balancer.RequestBodySent:
			taken <- e
		}
		return nil
	}))
	conn := nodetest.Dial(t, n.Addr().String())
	io.WriteString(conn, strings.Replace(head("POST", "/order/1", "Content-Length: 100000\r\n"), "15000m", "900m", 1))
	for range 10 { // longer than the client will wait from its last byte on
		_, _ = conn.Write(make([]byte, 10000))
		time.Sleep(100 * time.Millisecond)
	}
	before := time.Duration(time.Now().Add(-time.Second).UnixNano())
	if e := nodetest.Wait(t, taken); e.Deadline < before {
		t.Errorf("a deadline that was over before the last byte: %v before", before-e.Deadline)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v", resp, err)
	}
}

// A client that pauses for too long amid a body of any length gets an error, and the connection to its server is closed.
func TestClientPausesAmidItsBody(t *testing.T) {
	t.Parallel()
	if clientconn.MaxBodyPause >= 3*time.Second || clientconn.FirstBodyTimeout >= 3*time.Second {
		t.Errorf("peers that stand still are borne for %v", clientconn.MaxBodyPause)
	}
	closed := make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	for name, sent := range map[string]int{"at the start": 0, "amid what is held": 1000, "amid the rest": 500_000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := nodetest.Dial(t, n.Addr().String())
			io.WriteString(conn, head("POST", "/order/1", "Content-Length: 1000000\r\n"))
			_, _ = conn.Write(make([]byte, sent))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("%+v, %v", resp, err)
			}
			if sent > bodybudget.MaxBufferedBytes {
				nodetest.Wait(t, closed)
			}
		})
	}
}

// A body that is too long is rejected by its Content-Length, or when it has become too long.
func TestBodyTooLong(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.Stub(t, nodetest.OK, false)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
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
				t.Errorf("%+v, %v", resp, err)
			}
		})
	}
	if len(got) > 0 {
		t.Error("a body that is too long reached the server")
	}
}

// What looks like a request inside a long body is not handled as one, also when the answer comes before the end of the
// body.
func TestRequestInsideALongBody(t *testing.T) {
	t.Parallel()
	addr, got := nodetest.Stub(t, nodetest.OK, false)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), decisionsFunc(func(e balancer.Event) []balancer.Action {
		if e, is := e.(balancer.Request); is {
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
		t.Fatalf("%+v, %v", resp, err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if rest, err := io.ReadAll(r); len(rest) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a second answer: %q, %v", rest, err)
	}
	if len(got) > 0 {
		t.Error("what stood in a body was forwarded")
	}
}
