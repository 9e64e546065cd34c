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
	"sync"
	"testing"
	"time"
)

const (
	// crowdMemoryMB is the memory limit of the node in TestProgramCrowdStaysWithinMemory, the lowest that the platform sets.
	crowdMemoryMB = 32
	// crowdClients is the number of clients that are connected at once.
	crowdClients = 560
	// crowdDuration is how long each kind of client stays.
	crowdDuration = 3 * time.Second
	// longResponse is the length of the responses of the server in bytes.
	longResponse = 8 << 20
)

// crowdClient sends something on a new connection and returns once it wants to leave. It does not care about errors: the node
// closes such connections.
type crowdClient func(conn net.Conn)

// crowdHead is the beginning of a request head.
func crowdHead(method string) string {
	return method + " /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c\r\nX-Time-Left: 2000m\r\n"
}

// manyFields returns field lines of a few bytes each, with different names.
func manyFields(bytes int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < bytes; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// crowds are the kinds of clients that hold much memory of a node.
func crowds() map[string]crowdClient {
	stop := func(text string) crowdClient {
		return func(conn net.Conn) {
			io.WriteString(conn, text)
			_, _ = io.Copy(io.Discard, conn)
		}
	}
	const body = 1_000_000
	long := crowdHead("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", body)
	half := strings.Repeat("x", body/2)
	clients := map[string]crowdClient{
		"stop in a head of many fields": stop(crowdHead("GET") + manyFields(16_000)),
		"stop after many fields":        stop(crowdHead("POST") + manyFields(7_000) + "Content-Length: 10\r\n\r\nabc"),
		"stop in a long field":          stop(crowdHead("GET") + "X-A: " + strings.Repeat("y", 15_000)),
		"stop in a body":                stop(long + half),
		"stop in a chunk":               stop(crowdHead("POST") + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", body) + half),
		"write slowly": func(conn net.Conn) {
			io.WriteString(conn, long)
			for range 100 {
				if _, err := io.WriteString(conn, half[:body/100]); err != nil {
					return
				}
				<-time.After(crowdDuration / 40)
			}
		},
		"read slowly": func(conn net.Conn) {
			io.WriteString(conn, crowdHead("GET")+"\r\n")
			for buf := make([]byte, 4096); ; <-time.After(100 * time.Millisecond) {
				if _, err := conn.Read(buf); err != nil {
					return
				}
			}
		},
	}
	return clients
}

// Hundreds of clients that hold as much memory as they can do not push a node over its memory limit.
func TestProgramCrowdStaysWithinMemory(t *testing.T) {
	server := startRawServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longResponse)
			_, _ = conn.Write(make([]byte, longResponse))
		}
	})
	kinds := crowds()
	var all []crowdClient
	for name, client := range kinds {
		all = append(all, client)
		t.Run(name, func(t *testing.T) { playCrowd(t, server, []crowdClient{client}) })
	}
	t.Run("all kinds", func(t *testing.T) { playCrowd(t, server, all) })
}

// playCrowd starts a node and clients of the given kinds, which come again once they have left, and checks the peak memory.
func playCrowd(t *testing.T, server *httptest.Server, kinds []crowdClient) {
	config := configOf(server)
	config.memoryMB = crowdMemoryMB
	p := config.start(t)
	end := time.Now().Add(crowdDuration)
	var running sync.WaitGroup
	for i := range crowdClients {
		running.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", p.listen, time.Until(end))
				if err != nil {
					return
				}
				conn.SetDeadline(end)
				kinds[i%len(kinds)](conn)
				conn.Close()
			}
		})
	}
	running.Wait()
	peak, err := p.peakMemory()
	if err != nil {
		t.Fatal(err)
	}
	if t.Logf("peak memory %.1f MB of %d MB", peak, crowdMemoryMB); peak > crowdMemoryMB {
		t.Errorf("peak memory %.1f MB, limit %d MB", peak, crowdMemoryMB)
	}
}

// peakMemory returns the highest resident memory of the process so far, in MB.
func (p *process) peakMemory() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	var kilobytes float64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil || !found {
		return 0, errors.Join(errors.New("no VmHWM in the status of the process"), err)
	}
	return kilobytes / 1024, nil
}
