package fleet

import (
	"bufio"
	"io"
	"strings"
	"sync"
)

// logTail retains the last lines of a process's output. It is safe for concurrent use.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

// maxTailLines is the number of lines that are retained.
const maxTailLines = 8

// follow reads lines until the process closes its output, and calls each with every line.
func (t *logTail) follow(r io.Reader, each func(string)) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		t.mu.Lock()
		t.lines = append(t.lines, s.Text())
		t.lines = t.lines[max(0, len(t.lines)-maxTailLines):]
		t.mu.Unlock()
		each(s.Text())
	}
	_, _ = io.Copy(io.Discard, r) // the output after a line that exceeds the scanner's limit
}

// String returns the lines, joined.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, " | ")
}

// logWriter is an io.Writer that passes its input to a log function.
type logWriter func(format string, args ...any)

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w("%s", b)
	return len(b), nil
}
