package requestlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A flood of lines is cut to the limit, and the next window reports how many lines are missing.
func TestFloodIsSuppressed(t *testing.T) {
	var out bytes.Buffer
	now := time.Now()
	l := New(slog.New(slog.NewTextHandler(&out, nil)))
	l.now = func() time.Time { return now }
	for range maxLinesPerWindow + 7 {
		l.Log("request ended", slog.String("id", "a"))
	}
	if n := strings.Count(out.String(), "\n"); n != maxLinesPerWindow {
		t.Errorf("%d lines were written, want %d", n, maxLinesPerWindow)
	}
	out.Reset()
	now = now.Add(window)
	l.Log("request ended", slog.String("id", "b"))
	if line := out.String(); !strings.Contains(line, "id=b suppressed=7") {
		t.Errorf("got %q", line)
	}
}
