package node

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"umberbank/internal/node/bodybudget"
	"umberbank/internal/node/nodetest"
)

// While other bodies hold all memory, a request gets its rejection within its client's time.
func TestWaitForMemoryKeepsDeadline(t *testing.T) {
	t.Parallel()
	const timeLeft, slack = 300 * time.Millisecond, 500 * time.Millisecond
	cfg := testConfig("127.0.0.1:1")
	cfg.MemoryMB = 1 // the budget is one long body
	n := startNode(t, cfg, nil)
	holder := nodetest.Dial(t, n.Addr().String())
	io.WriteString(holder, head("POST", "/read/1", "Content-Length: 60000\r\n"))
	nodetest.Eventually(t, "no memory left", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		release, err := n.loop.pool.RequestBudget().Reserve(ctx, bodybudget.MaxBufferedBytes)
		if err == nil {
			release()
		}
		return err != nil
	})
	conn := nodetest.Dial(t, n.Addr().String())
	began := time.Now()
	io.WriteString(conn, strings.Replace(head("POST", "/read/2", "Content-Length: 8000\r\n"), "15000m", "300m", 1)+nodetest.Text(8000))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if after := time.Since(began); err != nil || resp.StatusCode != http.StatusServiceUnavailable || after > timeLeft+slack {
		t.Errorf("got %+v, %v after %v", resp, err, after)
	}
	if figures := n.loop.metrics.JSON(); !strings.Contains(figures, `"read":{"succeeded":0,"declined":1,`) {
		t.Errorf("the rejection is not counted: %s", figures)
	}
}
