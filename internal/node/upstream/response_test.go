package upstream

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/nodetest"
)

// A response buffers no more than it may, and its two ends wait for each other.
func TestResponseIsBounded(t *testing.T) {
	t.Parallel()
	const size = 10 * bodybudget.MaxBufferedBytes
	begun := make(chan struct{})
	d := newResponse("", -1, func() {})
	filled := make(chan error, 1)
	source := &countingReader{r: strings.NewReader(nodetest.Text(size))}
	go func() {
		filled <- d.receive(source, func() {
			if d.startStreaming() {
				close(begun)
			}
		})
	}()
	nodetest.Wait(t, begun)
	if n := source.read(); n > bodybudget.MaxBufferedBytes+2*ChunkBytes {
		t.Errorf("%d bytes were read that nobody has asked for", n)
	}
	var out bytes.Buffer
	if _, err := io.Copy(&out, d); err != nil || out.String() != nodetest.Text(size) {
		t.Errorf("%d bytes came, %v", out.Len(), err)
	}
	if err := nodetest.Wait(t, filled); err != nil {
		t.Error(err)
	}
}

type countingReader struct {
	r  io.Reader
	mu sync.Mutex
	n  int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	return n, err
}

func (c *countingReader) read() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}
