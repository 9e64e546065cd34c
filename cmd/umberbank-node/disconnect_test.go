package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// disconnectSlack is how long after the close of its connection an attempt for a client may still begin.
const disconnectSlack = 100 * time.Millisecond

// A client sends more than the node has read, and closes its connection. What it sent is not sent on afterwards.
func TestProgramClosedClientWithUnreadBytes(t *testing.T) {
	const served, body = 300 * time.Millisecond, 2_000_000
	const readAtOnce, readPause = 100_000, 40 * time.Millisecond // how the server reads a body
	get := "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c\r\nX-Time-Left: 2000m\r\n\r\n"
	long := fmt.Sprintf("POST /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c\r\nX-Time-Left: 2000m\r\nContent-Length: %d\r\n\r\n%s",
		body, strings.Repeat("x", body))
	for name, sent := range map[string]string{
		"some requests":                 strings.Repeat(get, 100),
		"more than the receive buffer":  strings.Repeat(get, 30_000),
		"a long body behind a request":  get + long,
		"a long body behind many":       strings.Repeat(get, 10) + long,
		"long bodies behind each other": long + long,
		"a long body":                   long,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var closedAt atomic.Int64
			var arrived, before, late atomic.Int64
			p := startNodeFor(t, startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					arrived.Add(1)
					if err := readSlowly(r.Body, readAtOnce, readPause); err != nil {
						return
					}
					switch at := closedAt.Load(); {
					case at == 0:
						before.Add(1)
					case time.Since(time.Unix(0, at)) > disconnectSlack+deadlineSlack/10:
						late.Add(1)
					}
					<-time.After(served)
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				}
			}))
			conn, err := net.Dial("tcp", p.listen)
			if err != nil {
				t.Fatal(err)
			}
			go io.WriteString(conn, sent)
			go func() { _, _ = io.Copy(io.Discard, conn) }() // unread responses would make the close a reset
			eventually(t, "a request at the server", func() bool { return arrived.Load() > 0 })
			<-time.After(served / 3)
			closedAt.Store(time.Now().UnixNano())
			conn.Close()
			<-time.After(5 * served) // the test needs the elapsed time, not an event
			if n := late.Load(); n > 0 {
				t.Errorf("%d requests were sent on later than %v after the close, %d before it", n, disconnectSlack, before.Load())
			}
		})
	}
}

// readSlowly reads r to its end, in pieces with pauses.
func readSlowly(r io.Reader, piece int64, pause time.Duration) error {
	for {
		_, err := io.CopyN(io.Discard, r, piece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		<-time.After(pause)
	}
}
