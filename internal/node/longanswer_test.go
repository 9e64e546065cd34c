package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/nodetest"
)

// Streamed responses reach the client complete with each kind of framing, even if the chunks are smaller than a read buffer.
func TestLongResponses(t *testing.T) {
	t.Parallel()
	body := nodetest.Text(3 << 20)
	for name, response := range map[string]string{
		"length":                    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n" + chunked(body, 1000),
		"until the close":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"after an interim response": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := nodetest.StubServer(t, response, true)
			n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
			resp, got := nodetest.Do(t, newRequest(t, n, "GET", "/read/1", ""))
			if resp.StatusCode != http.StatusOK || got != body {
				t.Errorf("got status %d with %d bytes", resp.StatusCode, len(got))
			}
		})
	}
}

// The first bytes of a streamed response are forwarded before the rest has arrived.
func TestLongResponseIsNotDelayed(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ head, first, rest string }{
		"length": {"Content-Length: 70000\r\n\r\n", "a", strings.Repeat("x", 69999)},
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", "0\r\n\r\n"},
		"close":  {"Connection: close\r\n\r\n", "a", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			more := make(chan struct{})
			addr := nodetest.Listen(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+c.first)
					<-more
					io.WriteString(conn, c.rest)
				}
			})
			n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), nil)
			conn := nodetest.Dial(t, n.Addr().String())
			io.WriteString(conn, head("GET", "/read/1", ""))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
				t.Errorf("first byte: %v", err)
			}
			close(more)
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Errorf("the rest: %v", err)
			}
		})
	}
}

// A truncated streamed response must not look complete to a client of HTTP/1.1 or HTTP/1.0. The request counts as failed
// and is not retried.
func TestTruncatedLongResponse(t *testing.T) {
	t.Parallel()
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + nodetest.Text(69000),
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + nodetest.Text(69000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, got := nodetest.StubServer(t, response, true)
			n := startWithControl(t, testConfig("127.0.0.1:1", servingEntry("s", addr), servingEntry("s2", addr)))
			for _, proto := range []string{"1.1", "1.0"} {
				conn := nodetest.Dial(t, n.Addr().String())
				io.WriteString(conn, strings.Replace(head("GET", "/read/1", ""), "HTTP/1.1", "HTTP/"+proto, 1))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err == nil {
					t.Errorf("the response looks complete to a client of HTTP/%s", proto)
				}
				nodetest.Wait(t, got)
			}
			if len(got) > 0 {
				t.Errorf("the request was retried")
			}
			for end := time.Now().Add(nodetest.Timeout); vars(t, n).Results["read"] != (metrics.ClassResults{Failed: 2}); {
				if time.Now().After(end) {
					t.Fatalf("got %+v, want 2 failed requests", vars(t, n))
				}
			}
		})
	}
}

// If the client disconnects during a streamed response, the attempt is cancelled and does not count as a failure of the
// server.
func TestClientDisconnectsDuringLongResponse(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	addr := nodetest.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nfirst")
			_, _ = io.Copy(io.Discard, r)
			close(closed)
		}
	})
	outcomes, started := make(chan balancer.Outcome, 1), make(chan balancer.ResponseStarted, 1)
	n := startNode(t, testConfig("127.0.0.1:1", servingEntry("s", addr)), balancerFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		case balancer.ResponseStarted:
			started <- e
		case balancer.Outcome:
			outcomes <- e
		}
		return nil
	}))
	c := nodetest.Dial(t, n.Addr().String())
	io.WriteString(c, head("GET", "/read/1", ""))
	nodetest.Wait(t, started)
	c.Close()
	nodetest.Wait(t, closed)
	if o := nodetest.Wait(t, outcomes); o.Result != balancer.Cancelled || !o.RequestDone {
		t.Errorf("got outcome %+v", o)
	}
}
