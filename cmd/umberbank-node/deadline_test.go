package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// deadlineTimeLeft is how long the clients of these tests wait from the last byte of their request on.
	deadlineTimeLeft = time.Second
	// deadlineSlack is how late a final response may come before it counts as lost.
	deadlineSlack = 500 * time.Millisecond
	// ethernetSegment is a segment size with which the kernel buffers as little as between machines. On loopback, one write
	// takes megabytes.
	ethernetSegment = 1400
	// smallReceiveBuffer is the receive buffer of a server that reads slowly, in bytes.
	smallReceiveBuffer = 4096
)

// startRawServer starts a server that calls serve for each connection, until the test ends. Its connections have the segment
// size of Ethernet and a small receive buffer.
func startRawServer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) *httptest.Server {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, ethernetSegment),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBuffer))
		}), err)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReaderSize(conn, smallReceiveBuffer))
			}()
		}
	}()
	return &httptest.Server{URL: "http://" + listener.Addr().String()}
}

// startNodeFor starts the program with one server.
func startNodeFor(t *testing.T, server *httptest.Server) *process {
	t.Helper()
	return configOf(server).start(t)
}

// writeRequest writes a request with the given class, header lines and body.
func writeRequest(w io.Writer, method, more, body string) error {
	_, err := fmt.Fprintf(w, "%s /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c\r\nX-Time-Left: %dm\r\n%s\r\n%s",
		method, deadlineTimeLeft.Milliseconds(), more, body)
	return err
}

// awaitFinalResponse reads a response and fails the test if its head does not arrive in time after sentAt.
func awaitFinalResponse(t *testing.T, conn net.Conn, sentAt time.Time) {
	t.Helper()
	conn.SetReadDeadline(sentAt.Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	after := time.Since(sentAt)
	switch {
	case err != nil:
		t.Errorf("no response: %v after %v", err, after)
	case after > deadlineTimeLeft+deadlineSlack:
		t.Errorf("%s came %v after the last byte of the request, whose client waits %v", resp.Status, after, deadlineTimeLeft)
	}
}

// A server sends the head of a long response and then nothing.
func TestProgramSilentResponseBodyKeepsDeadline(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 471054\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "until the close": "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startNodeFor(t, startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framing+"\r\n")
					_, _ = io.Copy(io.Discard, reader)
				}
			}))
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := writeRequest(conn, http.MethodGet, "", ""); err != nil {
				t.Fatal(err)
			}
			awaitFinalResponse(t, conn, time.Now())
		})
	}
}

// A server that writes a long response slowly, for longer than the client's time, is not cut off.
func TestProgramSlowResponseIsNotCutOff(t *testing.T) {
	const piece, pieces = 10_000, 20
	for name, framing := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n", piece*pieces), "until the close": "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startNodeFor(t, startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framing+"\r\n")
				for range pieces {
					io.WriteString(conn, strings.Repeat("x", piece))
					<-time.After(2 * deadlineTimeLeft / pieces)
				}
			}))
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := writeRequest(conn, http.MethodGet, "", ""); err != nil {
				t.Fatal(err)
			}
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); n != piece*pieces || err != nil {
				t.Errorf("got %d bytes of %d: %v", n, piece*pieces, err)
			}
		})
	}
}

// A server reads a long request slowly or stops reading it. The client's time counts from its own last byte, not from the last
// byte that the server has read.
func TestProgramUnreadRequestKeepsDeadline(t *testing.T) {
	const stops, readPause = 2562, 50 * time.Millisecond
	for name, c := range map[string]struct {
		body   int // bytes
		rate   int // bytes a second that the server reads; zero if it stops reading
		framed func(body string) (more, framedBody string)
	}{
		"stops": {95_374, 0, withLength}, "stops, long": {600_000, 0, withLength},
		"slow, length": {800_000, 120_000, withLength}, "slow, chunks": {800_000, 120_000, inChunks},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startNodeFor(t, startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := io.CopyN(io.Discard, reader, stops); err != nil {
					return
				}
				for c.rate > 0 {
					if _, err := io.CopyN(io.Discard, reader, int64(c.rate)*int64(readPause)/int64(time.Second)); err != nil {
						return
					}
					<-time.After(readPause)
				}
				<-time.After(testTimeout)
			}))
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			more, body := c.framed(strings.Repeat("x", c.body))
			if err := writeRequest(conn, http.MethodPost, more, body); err != nil {
				t.Fatal(err)
			}
			awaitFinalResponse(t, conn, time.Now())
		})
	}
}

func withLength(body string) (more, framedBody string) {
	return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
}

func inChunks(body string) (more, framedBody string) {
	return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// A pipelined request waits for the response to the one before it. Its client's time counts meanwhile, also in what the server
// is told.
func TestProgramPipelinedRequestKeepsDeadline(t *testing.T) {
	const firstLatency, toldSlack = deadlineTimeLeft * 9 / 10, 150 * time.Millisecond
	told := make(chan string, 2)
	p := startNodeFor(t, startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			told <- r.Header.Get("X-Time-Left")
			if len(told) == 1 {
				<-time.After(firstLatency)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	}))
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := errors.Join(writeRequest(conn, http.MethodGet, "", ""), writeRequest(conn, http.MethodGet, "", "")); err != nil {
		t.Fatal(err)
	}
	sentAt := time.Now()
	conn.SetReadDeadline(sentAt.Add(testTimeout))
	reader := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if after := time.Since(sentAt); after > deadlineTimeLeft+deadlineSlack {
			t.Errorf("response %d, %s, came after %v", i, resp.Status, after)
		}
	}
	<-told
	if len(told) == 0 {
		return // the second request was not sent
	}
	var microseconds int64
	if _, err := fmt.Sscanf(<-told, "%du", &microseconds); err != nil {
		t.Fatal(err)
	}
	if left := time.Duration(microseconds) * time.Microsecond; left > deadlineTimeLeft-firstLatency+toldSlack {
		t.Errorf("the server was told %v, the client had %v left", left, deadlineTimeLeft-firstLatency)
	}
}
