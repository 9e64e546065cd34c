package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
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

// A correlation ID that comes again after its client has left does not run again, unless the class is safe to repeat. It makes no
// difference whether it comes to the same process or to the one that has replaced it.
func TestProgramRepeatedIDRunsOnce(t *testing.T) {
	var runs atomic.Int64
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-ended
	}))
	defer server.Close()
	defer close(ended)
	for name, replaced := range map[string]bool{"same process": false, "replaced process": true} {
		t.Run(name, func(t *testing.T) {
			runs.Store(0)
			config := configOf(server)
			config.classes[0].effect = "non_idempotent"
			path, _ := config.write(t)
			start := inheritingPrograms(t, path)
			p := start()
			first := sendUnsafeRequest(t, p)
			eventually(t, "the first run", func() bool { return runs.Load() == 1 })
			first.Close()
			if replaced {
				old := p
				p = start()
				old.cmd.Process.Signal(syscall.SIGTERM)
				_ = old.cmd.Wait() // its exit code is the matter of other tests
			}
			again := sendUnsafeRequest(t, p)
			defer again.Close()
			awaitFinalResponse(t, again, time.Now())
			if n := runs.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}

// inheritingPrograms returns a function that starts programs that share a listening socket and a directory for temporary files.
func inheritingPrograms(t *testing.T, config string) (start func() *process) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	dir := t.TempDir()
	return func() *process {
		cmd := programCommand(t, config)
		cmd.Env = append(cmd.Env, "TMPDIR="+dir, "ROUTER_ACCEPT_FD=3") // 3 is the first of ExtraFiles
		cmd.ExtraFiles = []*os.File{file}
		return startCommand(t, cmd)
	}
}

// sendUnsafeRequest sends the request with the ID "c" on a new connection.
func sendUnsafeRequest(t *testing.T, p *process) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	if err := writeRequest(conn, http.MethodPost, "Content-Length: 4\r\n", "body"); err != nil {
		t.Fatal(err)
	}
	return conn
}
