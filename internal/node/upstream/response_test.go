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

// A response buffers a limited number of bytes. The receiver waits while the buffer is full, and the
// reader waits while it is empty.
func TestResponseBufferIsBounded(t *testing.T) {
	t.Parallel()
	const size = 10 * bodybudget.MaxBufferedBytes
	started := make(chan struct{})
	response := newResponse("", -1, func() {}, func(*Response) { close(started) })
	received := make(chan error, 1)
	source := &countingReader{r: strings.NewReader(nodetest.Text(size))}
	go func() {
		received <- response.receive(source)
	}()
	nodetest.Wait(t, started)
	if n := source.count(); n > bodybudget.MaxBufferedBytes+2*ChunkBytes {
		t.Errorf("%d bytes were received before the first read", n)
	}
	var out bytes.Buffer
	if _, err := io.Copy(&out, response); err != nil || out.String() != nodetest.Text(size) {
		t.Errorf("read %d bytes, which are incomplete or wrong: %v", out.Len(), err)
	}
	if err := nodetest.Wait(t, received); err != nil {
		t.Error(err)
	}
}

// countingReader counts the bytes that are read from r.
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

func (c *countingReader) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}
