// Package nodetest provides helpers for the tests of package node and of the packages below it: bounded
// waits, scripted servers, golden files and messages from discovery.
package nodetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"umberbank/internal/httpclient"
)

// Timeout limits every wait of the tests. A test that succeeds never waits until it expires.
const Timeout = 20 * time.Second

// Wait returns the next value from a channel, and fails the test if there is none within Timeout.
func Wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatal("nothing was received on the channel within the timeout")
		panic("unreachable")
	}
}

// Eventually polls ok until it returns true, and fails the test if it does not within Timeout. what
// names the condition.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not happen within %v", what, Timeout)
		}
	}
}

// Dial connects to addr and closes the connection when the test ends. Reads and writes fail once
// Timeout has passed since Dial.
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

// TCPPair returns both ends of a TCP connection: a is the accepting end and b the dialling end. They
// are closed when the test ends.
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

// Listen starts a server that calls serve for each connection and closes the connection afterwards. It
// listens until the test ends.
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

// Received is a request that a server received.
type Received struct {
	*http.Request
	Content string // of the body
}

// OKResponse is a complete response with the body "hi".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: a/b\r\n\r\nhi"

// StubServer starts a server that sends each request to got and then writes response, the raw bytes, to
// the connection. If closeAfter is true, it closes the connection after the response.
func StubServer(t *testing.T, response string, closeAfter bool) (addr string, got chan Received) {
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
				return // a request whose body is incomplete is not sent to got
			}
			got <- Received{req, string(b)}
			io.WriteString(c, response)
			if closeAfter {
				return
			}
		}
	}), got
}

// Text returns n bytes without repeating parts, so that lost or reordered bytes are detected.
func Text(n int) string {
	b := make([]byte, 0, n+8)
	for i := int64(0); len(b) < n; i++ {
		b = append(strconv.AppendInt(b, i, 16), ',')
	}
	return string(b[:n])
}

// Do sends a request over a new connection, and returns the response and its body.
func Do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	c := &http.Client{
		Timeout:       Timeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: httpclient.ReturnRedirect,
	}
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

// Config is the text of a configuration file with one server.
const Config = `{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":["127.0.0.1:1"],
 "known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]},
 "settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":100,"deadline-ms":400}],
  "limits":{"conn-idle-ms":30000,"connect-timeout-ms":200,"cancelling":true},"registry-mode":"on_request"}}`
