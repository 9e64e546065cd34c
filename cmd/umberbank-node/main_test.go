package main

import (
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

// The program becomes ready, serves a request, reloads at SIGHUP, and exits with code 0 at SIGTERM.
func TestProgram(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	defer server.Close()
	config, text := configOf(server).write(t)
	p := startProgram(t, config)
	if got := p.get("/health/ready"); got != "200 " {
		t.Errorf("ready: %q", got)
	}
	if got := p.get("/read/1"); got != "200 c-1" {
		t.Errorf("request: %q", got)
	}
	// SIGHUP switches the node to another discovery service while it serves. An invalid file changes nothing.
	for _, next := range []struct{ text, logged string }{
		{"nonsense", "reload: "},
		{strings.Replace(text, "127.0.0.1:1", "127.0.0.1:2", 1), "reloaded: discovery at 127.0.0.1:2"},
	} {
		if err := os.WriteFile(config, []byte(next.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, fmt.Sprintf("%q in the log", next.logged), func() bool { return strings.Contains(p.log(), next.logged) })
	}
	if got := p.get("/read/1"); got != "200 c-1" {
		t.Errorf("after the reload: %q", got)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("after SIGTERM: %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("still running after SIGTERM")
	}
}

// The program gets SIGTERM and SIGHUP twice each during a request: it completes the request and exits with code 0. It also exits
// with code 0 if it gets SIGTERM before it is ready.
func TestProgramSignalsCross(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-release
		io.WriteString(w, "late")
	}))
	defer server.Close()
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	defer silent.CloseClientConnections()
	for name, signals := range map[string][]syscall.Signal{
		"before it is ready": {syscall.SIGTERM}, "during a request": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			pushed := configOf(server)
			pushed.discovery, pushed.mode = strings.TrimPrefix(silent.URL, "http://"), "pushed"
			config, _ := pushed.write(t)
			p := startProgram(t, config)
			got := make(chan string, 1)
			if len(signals) > 1 {
				go func() { got <- p.get("/read/1") }()
				<-received
			} else {
				got <- "200 late"
			}
			for _, s := range signals {
				if err := p.cmd.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
			}
			if len(signals) > 1 {
				eventually(t, "a new configuration in the log", func() bool { return strings.Contains(p.log(), "reloaded: ") })
				close(release)
			}
			ended := make(chan error, 1)
			go func() { ended <- p.cmd.Wait() }()
			select {
			case err := <-ended:
				if response := <-got; err != nil || response != "200 late" {
					t.Errorf("exit: %v, response %q", err, response)
				}
			case <-time.After(testTimeout):
				t.Errorf("still running after the signals")
			}
		})
	}
}

// Clients hold more idle connections than the limit of descriptors allows, and the discovery service does not respond. The program
// still has descriptors for polls of discovery, for the control address, and for a new request and its attempt.
func TestProgramDescriptorsRunShort(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	var polls atomic.Int64
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls.Add(1)
		<-r.Context().Done()
	}))
	defer silent.Close()
	defer silent.CloseClientConnections()
	scarce := configOf(server)
	scarce.discovery, scarce.mode = strings.TrimPrefix(silent.URL, "http://"), "pushed"
	scarce.sockets, scarce.control = 96, "127.0.0.1:0"
	config, _ := scarce.write(t)
	p := startProgram(t, config, "ulimit -n 96; ")
	for range 150 {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	before := polls.Load()
	if got := p.get("/read/1"); got != "200 served" {
		t.Errorf("request: %q", got)
	}
	eventually(t, "more polls of discovery", func() bool { return polls.Load() > before+10 })
	if strings.Contains(p.log(), "too many open files") {
		t.Errorf("descriptors ran out: %s", p.log())
	}
}
