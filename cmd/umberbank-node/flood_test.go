package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// floodDuration is how long the flood lasts.
	floodDuration = 1500 * time.Millisecond
	// floodBatch is the number of requests that the flooding client sends with one write.
	floodBatch = 50
	// floodMemoryMB is the memory limit of the node.
	floodMemoryMB = 32
	// floodedClients is the number of other clients, each with one request every floodedPause.
	floodedClients = 5
	floodedPause   = 50 * time.Millisecond
)

// floods are the requests that one client sends without a pause; i counts them.
var floods = map[string]func(i int) string{
	"sound": func(i int) string { return floodRequest("GET", "/read/1", i, "") },
	"long deadline": func(i int) string {
		return strings.Replace(floodRequest("GET", "/read/1", i, ""), "1000m", "86000000m", 1)
	},
	"short time":  func(i int) string { return strings.Replace(floodRequest("GET", "/read/1", i, ""), "1000m", "1u", 1) },
	"new IDs":     func(i int) string { return floodRequest("POST", "/pay/1", i, "Content-Length: 0\r\n") },
	"new classes": func(i int) string { return floodRequest("GET", fmt.Sprintf("/c%d/1", i), i, "") },
	"new fields":  func(i int) string { return floodRequest("GET", "/read/1", i, fmt.Sprintf("X-%d: a\r\n", i)) },
	"no time":     func(i int) string { return "GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c\r\n\r\n" },
	"no method":   func(i int) string { return fmt.Sprintf("M%d /read/1 HTTP/1.1\r\nHost: a\r\n\r\n", i) },
	"no request":  func(i int) string { return fmt.Sprintf("%d\r\n\r\n", i) },
	"readiness":   func(i int) string { return "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n" },
}

func floodRequest(method, path string, i int, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: f-%d\r\nX-Time-Left: 1000m\r\n%s\r\n", method, path, i, more)
}

// One client that sends requests at full speed leaves other clients their responses and the node its memory.
func TestFloodLeavesOthersServed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	for name, request := range floods {
		t.Run(name, func(t *testing.T) { playFlood(t, server, request, flood) })
		t.Run(name+", one after another", func(t *testing.T) { playFlood(t, server, request, floodInTurn) })
	}
}

func playFlood(t *testing.T, server *httptest.Server, request func(i int) string, flood floodFunc) {
	config := configOf(server)
	config.memoryMB = floodMemoryMB
	config.classes = append(config.classes, classConfig{"pay", "non_idempotent", time.Second, 2 * time.Second})
	p := config.start(t)
	end := time.Now().Add(floodDuration)
	var running sync.WaitGroup
	var sent atomic.Int64
	running.Go(func() { sent.Store(int64(flood(p.listen, end, request))) })
	var responses, late atomic.Int64
	var worst atomic.Int64
	for range floodedClients {
		running.Go(func() {
			for ; time.Now().Before(end); <-time.After(floodedPause) {
				began := time.Now()
				status := p.getWithin(deadlineTimeLeft)
				after := time.Since(began)
				worst.Store(max(worst.Load(), int64(after)))
				responses.Add(1)
				if after > deadlineTimeLeft+deadlineSlack || !strings.HasPrefix(status, "200 ") && !strings.HasPrefix(status, "503 ") {
					late.Add(1)
					t.Logf("%s after %v", status, after)
				}
			}
		})
	}
	running.Wait()
	peak, err := p.peakMemory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests of the flood, %d of others, worst %v, peak memory %.1f MB", sent.Load(), responses.Load(), time.Duration(worst.Load()), peak)
	if late.Load() > 0 {
		t.Errorf("%d of %d requests of other clients had no response in time", late.Load(), responses.Load())
	}
	if peak > floodMemoryMB {
		t.Errorf("peak memory %.1f MB, limit %d MB", peak, floodMemoryMB)
	}
}

// floodFunc sends requests without a pause until end, and connects again when the node closes the connection. It returns how many
// it has written.
type floodFunc func(address string, end time.Time, request func(i int) string) (sent int)

// floodInTurn is a floodFunc that sends each request when it has the response to the one before.
func floodInTurn(address string, end time.Time, request func(i int) string) (sent int) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Until(end))
		if err != nil {
			return sent
		}
		conn.SetDeadline(end)
		for reader := bufio.NewReader(conn); err == nil; sent++ {
			if _, err = io.WriteString(conn, request(sent)); err != nil {
				break
			}
			var resp *http.Response
			if resp, err = http.ReadResponse(reader, nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		conn.Close()
	}
	return sent
}

// flood is a floodFunc that does not wait for responses.
func flood(address string, end time.Time, request func(i int) string) (sent int) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Until(end))
		if err != nil {
			return sent
		}
		conn.SetDeadline(end)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for err == nil {
			var batch strings.Builder
			for range floodBatch {
				batch.WriteString(request(sent))
				sent++
			}
			_, err = io.WriteString(conn, batch.String())
		}
		conn.Close()
	}
	return sent
}

// getWithin sends a request on a new connection, whose client waits for timeLeft.
func (p *process) getWithin(timeLeft time.Duration) string {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.listen+"/read/1", nil)
	if err != nil {
		return err.Error()
	}
	r.Header.Set("X-Correlation-Id", "c-1")
	r.Header.Set("X-Time-Left", fmt.Sprintf("%dm", timeLeft.Milliseconds()))
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, body)
}
