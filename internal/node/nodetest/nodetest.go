// Package nodetest has what the tests of a node and of the packages below it share: waits with a bound, servers that do what a test
// says, and messages of discovery.
package nodetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Timeout bounds every wait of the tests; none passes by waiting.
const Timeout = 20 * time.Second

// Wait returns what comes on a channel, and fails the test if nothing does.
func Wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// Eventually asks again and again until ok says yes, and fails the test if it never does.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, Timeout)
		}
	}
}

// Dial connects to addr until the test ends; nothing on the connection waits for longer than Limit.
func Dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(Timeout))
	return c
}

// TCPPair returns both ends of a connection.
func TCPPair(t *testing.T) (a, b *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close(); out.Close() })
	return in.(*net.TCPConn), out.(*net.TCPConn)
}

// Listen serves each connection of a server with serve, until the test ends.
func Listen(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// Received is a request as a server saw it.
type Received struct {
	*http.Request
	Content string // of its body
}

// OKResponse is a complete response.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: a/b\r\n\r\nhi"

// StubServer answers every request with answer, raw; closeAfter says that it closes the connection then. got tells of each request before
// its answer.
func StubServer(t *testing.T, answer string, closeAfter bool) (addr string, got chan Received) {
	t.Helper()
	got = make(chan Received, 100)
	return Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			b, err := io.ReadAll(req.Body)
			if err != nil {
				return // a server begins a request with its last byte, so this is none
			}
			got <- Received{req, string(b)}
			io.WriteString(c, answer)
			if closeAfter {
				return
			}
		}
	}), got
}

// Text is n bytes in which every piece can be told from another.
func Text(n int) string {
	b := make([]byte, 0, n+8)
	for i := int64(0); len(b) < n; i++ {
		b = append(strconv.AppendInt(b, i, 16), ',')
	}
	return string(b[:n])
}

// Do sends a request over a connection of its own, and returns the response and its body.
func Do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	c := &http.Client{Timeout: Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// Config is the text of a configuration with one server.
const Config = `{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":["127.0.0.1:1"],
 "known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]},
 "settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":100,"deadline-ms":400}],
  "limits":{"conn-idle-ms":30000,"connect-timeout-ms":200,"cancelling":true},"registry-mode":"on_request"}}`
