package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"umberbank/internal/node/nodetest"
)

// A message is complete at the end of its last line and not before, however it is split into lines.
func TestAssembler(t *testing.T) {
	t.Parallel()
	plain := nodetest.Message(9, true, nodetest.Target("a", "SERVING"), nodetest.Target("b", "DRAINING"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(plain), "", "  "); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"one line": plain, "indented": indented.String(), "with empty lines": strings.ReplaceAll(indented.String(), "\n", "\n\n"),
		"one brace per line": strings.NewReplacer("{", "{\n", "}", "\n}").Replace(plain),
	} {
		t.Run(name, func(t *testing.T) {
			var m assembler
			lines := strings.Split(text, "\n")
			for i, line := range lines {
				u, complete, err := m.add(bytes.TrimSpace([]byte(line)))
				if last := i == len(lines)-1; err != nil || complete != last || last && (u.Revision != 9 || len(u.Entries) != 2) {
					t.Fatalf("%s, line %d %q: %+v, complete %v, %v", name, i, line, u, complete, err)
				}
			}
			if m.pending() {
				t.Errorf("%q is still buffered after the message", m.buffered)
			}
		})
	}
	for _, bad := range []string{"no list", `{"rev":1}x`, `{"rev":,`, `{"rev":1,"targets":[]]`} {
		var m assembler
		if _, _, err := m.add([]byte(bad)); err == nil {
			t.Errorf("%s is accepted as the beginning of a message", bad)
		}
	}
}

// A watch that is silent for SilenceTimeout ends.
func TestWatchSilence(t *testing.T) {
	t.Parallel()
	addr, lines, _ := nodetest.StubDiscovery(t)
	d := NewClient(addr)
	d.SilenceTimeout = 200 * time.Millisecond
	ended := make(chan error, 1)
	got := make(chan Update, 1)
	go func() { ended <- d.Watch(context.Background(), 0, handler(func(u Update) { got <- u })) }()
	lines <- nodetest.Message(1, true)
	nodetest.Wait(t, got)
	if err := nodetest.Wait(t, ended); !errors.Is(err, ErrSilent) {
		t.Errorf("the watch ended with %v, want ErrSilent", err)
	}
}

// Heartbeats keep a watch open while the list does not change. If the machine that runs the test stalls,
// the watch may end without failing the test.
func TestHeartbeats(t *testing.T) {
	t.Parallel()
	addr, lines, _ := nodetest.StubDiscovery(t)
	d := NewClient(addr)
	d.SilenceTimeout = time.Second
	ended := make(chan error, 1)
	go func() { ended <- d.Watch(context.Background(), 0, handler(nil)) }()
	longest := time.Duration(0) // longest time between two heartbeats
	for start, last := time.Now(), time.Now(); time.Since(start) < 2*d.SilenceTimeout; {
		select {
		case lines <- "":
			longest, last = max(longest, time.Since(last)), time.Now()
			time.Sleep(d.SilenceTimeout / 20)
		case err := <-ended:
			if longest = max(longest, time.Since(last)); longest < d.SilenceTimeout/2 {
				t.Fatalf("ended with %v, though a heartbeat was sent at least every %v", err, longest)
			}
			return
		}
	}
	lines <- "end"
	if err := nodetest.Wait(t, ended); err == nil {
		t.Error("the watch ended without an error")
	}
}

func TestWatchRejected(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	d := NewClient(strings.TrimPrefix(s.URL, "http://"))
	if err := d.Watch(context.Background(), 0, handler(nil)); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("got %v, want an error with the status 503", err)
	}
}

// handler returns a Handler that passes on updates and ignores other events.
func handler(update func(Update)) Handler {
	return Handler{Opened: func() {}, Heartbeat: func() {}, Update: update}
}

// Guards against a list from an address that is not the configured one: a redirect fails a poll and a watch, and is not followed.
func TestRedirectIsNotFollowed(t *testing.T) {
	t.Parallel()
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		t.Error("the redirect was followed")
		io.WriteString(w, nodetest.Message(9, true, nodetest.Target("a", "SERVING"))+"\n")
	}))
	t.Cleanup(other.Close)
	redirecting := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(redirecting.Close)
	d := NewClient(strings.TrimPrefix(redirecting.URL, "http://"))
	const want = "discovery answers 307 Temporary Redirect"
	if u, err := d.Fetch(t.Context()); err == nil || err.Error() != want {
		t.Errorf("Fetch: %+v, %v, want %s", u, err, want)
	}
	if err := d.Watch(t.Context(), 0, handler(func(Update) {})); err == nil || err.Error() != want {
		t.Errorf("Watch: %v, want %s", err, want)
	}
}
