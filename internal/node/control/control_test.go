package control

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"umberbank/internal/node/nodetest"
)

// The golden file has the responses to incomplete lines.
func TestGoldenUnfinishedLines(t *testing.T) {
	s := &Server{commands: Commands{"check": func() string { return "ok" }}}
	var b strings.Builder
	fmt.Fprintf(&b, "%q -> %q\n", "(took too long)", s.respond("che", os.ErrDeadlineExceeded))
	fmt.Fprintf(&b, "%q -> %q\n", "(no end)", s.respond("check", io.EOF))
	nodetest.Golden(t, "unfinished.golden", b.String())
}
