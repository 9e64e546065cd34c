package clientconn

import (
	"strings"
	"testing"
)

// A head has at most maxHeadLines lines, however its bytes arrive. What follows a head does not count.
func TestHeadScanner(t *testing.T) {
	t.Parallel()
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) }
	for name, c := range map[string]struct {
		text    string
		tooMany bool
	}{
		"at the limit":                 {lines(maxHeadLines) + "\r\n", false},
		"over the limit":               {lines(maxHeadLines + 1), true},
		"a body of lines":              {lines(3) + "\r\n" + lines(2*maxHeadLines), false},
		"empty lines before the head":  {"\r\n\n" + lines(maxHeadLines) + "\r\n", false},
		"over the limit, after those":  {"\r\n\n" + lines(maxHeadLines+1), true},
		"lines that end without a CR":  {strings.Repeat("a:\n", maxHeadLines+1), true},
		"a body after a bare line end": {"a:\n\n" + lines(2*maxHeadLines), false},
	} {
		for _, piece := range []int{1, 7, len(c.text)} {
			var s headScanner
			passed := 0
			for rest := c.text; len(rest) > 0 && !s.tooMany(); rest = rest[min(piece, len(rest)):] {
				passed += s.scan([]byte(rest[:min(piece, len(rest))]))
			}
			if s.tooMany() != c.tooMany {
				t.Errorf("%s, in pieces of %d: got %v", name, piece, !c.tooMany)
			}
			if lines := strings.Count(c.text[:passed], ":"); c.tooMany && lines != maxHeadLines+1 {
				t.Errorf("%s, in pieces of %d: net/http gets %d lines", name, piece, lines)
			}
		}
	}
}
