// Package requestlog logs how requests and their attempts end when they do not succeed. The number of
// lines is limited, so that a flood of requests does not become a flood of lines.
package requestlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// window is the period to which the limit of lines applies.
	window = time.Second
	// maxLinesPerWindow is the maximum number of lines within one window.
	maxLinesPerWindow = 20
)

// Logger writes lines with fields, at a limited rate. It is safe for concurrent use.
type Logger struct {
	out *slog.Logger
	now func() time.Time

	mu         sync.Mutex
	began      time.Time // when the current window began
	lines      int       // lines in the current window
	suppressed int       // lines that were left out since the last one that was written
}

// New returns a Logger that writes to out.
func New(out *slog.Logger) *Logger { return &Logger{out: out, now: time.Now} }

// Log writes a line, unless the limit of the current window is reached. A line that follows suppressed
// ones has their number in the field "suppressed".
func (l *Logger) Log(message string, fields ...slog.Attr) {
	suppressed, ok := l.admit()
	if !ok {
		return
	}
	if suppressed > 0 {
		fields = append(fields, slog.Int("suppressed", suppressed))
	}
	l.out.LogAttrs(context.Background(), slog.LevelWarn, message, fields...)
}

// admit reports whether a line may be written, and how many were suppressed before it.
func (l *Logger) admit() (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.began) >= window {
		l.began, l.lines = now, 0
	}
	if l.lines >= maxLinesPerWindow {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
