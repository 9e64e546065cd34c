package clientconn

import (
	"errors"
	"sync"
)

// maxHeadLines is the maximum number of lines in the head of a request. net/http limits the bytes of a
// head, but a field of a few bytes occupies more than a hundred in memory.
const maxHeadLines = 100

// errTooManyFields ends the reading of a head with more than maxHeadLines lines. net/http responds to it
// with status 400.
var errTooManyFields = errors.New("the request head has too many fields")

// headScanner counts the lines of request heads in the bytes that net/http reads. Bytes of the next
// request that net/http reads before it has ended the current one are not counted; they are at most the
// size of its buffer.
type headScanner struct {
	mu      sync.Mutex
	inBody  bool // the head has ended
	lines   int  // lines of the head so far
	midLine bool // the last byte did not end a line
}

// begin starts the scan of the next head.
func (s *headScanner) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inBody, s.lines, s.midLine = false, 0, false
}

// end ends the scan of the current head.
func (s *headScanner) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inBody = true
}

// tooMany reports whether the current head has more than maxHeadLines lines.
func (s *headScanner) tooMany() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.inBody && s.lines > maxHeadLines
}

// scan reads the next bytes of a head. It returns how many of them net/http may get: all, or those up to
// the line that is one too many.
func (s *headScanner) scan(p []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range p {
		switch {
		case s.inBody:
			return len(p)
		case b == '\n' && s.midLine:
			s.lines++
			s.midLine = false
		case b == '\n':
			s.inBody = s.lines > 0 // net/http skips empty lines before a head
		case b != '\r':
			s.midLine = true
		}
		if s.lines > maxHeadLines {
			return i + 1
		}
	}
	return len(p)
}
