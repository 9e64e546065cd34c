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

// The program gets ready, serves a request, reloads, and exits with 0 on SIGTERM.
func TestProgram(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	defer server.Close()
	config, text := configFor(t, server, "127.0.0.1:1", "on_request")
	p := startProgram(t, config)
	if got := p.get("/health/ready"); got != "200 " {
		t.Errorf("ready: %q", got)
	}
	if got := p.get("/read/1"); got != "200 c-1" {
		t.Errorf("request: %q", got)
	}
	// A hangup moves the node to another discovery; it serves on. A file that makes no sense changes nothing.
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
	case <-time.After(limit):
		t.Error("still running after SIGTERM")
	}
}

// Signals cross: stopped twice, with a reload in between, the program answers its request in flight and exits with 0; so it
// does when it is stopped before it is ready.
func TestProgramSignalsCross(t *testing.T) {
	came, hold := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(came)
		<-hold
		io.WriteString(w, "late")
	}))
	defer server.Close()
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	defer silent.CloseClientConnections()
	for name, signals := range map[string][]syscall.Signal{
		"before it is ready": {syscall.SIGTERM}, "amid a request": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			config, _ := configFor(t, server, strings.TrimPrefix(silent.URL, "http://"), "pushed")
			p := startProgram(t, config)
			got := make(chan string, 1)
			if len(signals) > 1 {
				go func() { got <- p.get("/read/1") }()
				<-came
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
				close(hold)
			}
			ended := make(chan error, 1)
			go func() { ended <- p.cmd.Wait() }()
			select {
			case err := <-ended:
				if answer := <-got; err != nil || answer != "200 late" {
					t.Errorf("%v, answer %q", err, answer)
				}
			case <-time.After(limit):
				t.Errorf("still running")
			}
		})
	}
}

// Clients have as many idle connections as the limit of descriptors allows, and discovery is silent: polls of discovery, an
// attempt, the second address and another request still get descriptors.
func TestProgramDescriptorsRunShort(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	var asked atomic.Int64
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		<-r.Context().Done()
	}))
	defer silent.Close()
	defer silent.CloseClientConnections()
	config, text := configFor(t, server, strings.TrimPrefix(silent.URL, "http://"), "pushed")
	text = strings.Replace(text, `"sockets":1024`, `"sockets":96`, 1)
	text = strings.Replace(text, `"seed"`, `"control":"127.0.0.1:0","seed"`, 1)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProgram(t, config, "ulimit -n 96; ")
	for range 150 {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	before := asked.Load()
	if got := p.get("/read/1"); got != "200 served" {
		t.Errorf("a true request: %q", got)
	}
	eventually(t, "more questions to discovery", func() bool { return asked.Load() > before+10 })
	if strings.Contains(p.log(), "too many open files") {
		t.Errorf("descriptors ran out: %s", p.log())
	}
}
