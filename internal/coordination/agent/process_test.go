package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestProcessExitsBeforeReady(t *testing.T) {
	for name, c := range map[string]struct {
		command []string
		url     string
		want    string
	}{
		"without a URL": {[]string{"/bin/sh", "-c", "exit 3"}, "", "process exited right after its start: exit status 3"},
		"with a URL":    {[]string{"/bin/sh", "-c", "exit 0"}, "http://127.0.0.1:1/", "process exited before it was ready: <nil>"},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := startProcess(c.command, "v1")
			if err != nil {
				t.Fatal(err)
			}
			if err := p.waitReady(t.Context(), c.url); err == nil || err.Error() != c.want {
				t.Errorf("got error %v, want %s", err, c.want)
			}
			p.stop(0) // does nothing, since the process has exited
		})
	}
}

func TestProcessStartAndStop(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	p, err := startProcess([]string{"/bin/sh", "-c", "exec sleep 60 # {version}"}, "v1")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.waitReady(t.Context(), server.URL); err != nil {
		t.Error(err)
	}
	if p.hasExited() {
		t.Error("process has exited")
	}
	if args := p.cmd.Args; !strings.HasSuffix(args[len(args)-1], "# v1") {
		t.Errorf("arguments are %q, want {version} replaced by v1", args)
	}
	p.stop(time.Minute)
	if p.cmd != nil || p.err == nil || p.err.Error() != "signal: terminated" {
		t.Errorf("exit status after stop is %v, want signal: terminated", p.err)
	}
}

// TestProcessNotReady checks that waitReady returns an error when the context ends before the process is ready.
func TestProcessNotReady(t *testing.T) {
	p, err := startProcess([]string{"sleep", "60"}, "v1")
	if err != nil {
		t.Fatal(err)
	}
	defer p.stop(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := p.waitReady(ctx, "http://127.0.0.1:1/"); err == nil || !strings.Contains(err.Error(), "has not returned status 200: context canceled") {
		t.Error(err)
	}
}

// TestProcessIsKilled checks that a process that ignores SIGTERM is killed after the timeout.
func TestProcessIsKilled(t *testing.T) {
	p, err := startProcess([]string{"/bin/sh", "-c", "trap '' TERM; while :; do sleep 1; done"}, "v1")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.waitRunning(); err != nil { // long enough for the shell to set the trap
		t.Fatal(err)
	}
	p.stop(10 * time.Millisecond)
	if p.err == nil || p.err.Error() != "signal: killed" {
		t.Errorf("exit status after stop is %v, want signal: killed", p.err)
	}
}

// Guards against a process that counts as ready because another address, to which it redirects, returns status 200.
func TestRedirectIsNotReady(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer other.Close()
	redirecting := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusFound))
	defer redirecting.Close()
	if ready, err := isReady(t.Context(), redirecting.URL); ready || err != nil {
		t.Errorf("ready %v, %v", ready, err)
	}
}
