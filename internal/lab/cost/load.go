package cost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// loader generates load over a number of connections.
type loader struct {
	addr func(i int) string // of connection i
	ids  atomic.Uint64
}

// loadResult counts the requests of a load.
type loadResult struct {
	served, other int
	latency       *hdrhistogram.Histogram // in ns, from the scheduled time of a request if it has one
	late          int                     // requests sent later than maxSendDelay
}

// maxSendDelay is the delay after its scheduled time up to which a request counts as sent on time. responseTimeout is the
// timeout of a response, and maxLatencyNS the upper bound of the latency histogram.
const (
	maxSendDelay    = 5 * time.Millisecond
	responseTimeout = 10 * time.Second
	maxLatencyNS    = int64(time.Minute)
)

// runBusy keeps every connection busy for a duration.
func (l *loader) runBusy(ctx context.Context, conns int, d time.Duration) (loadResult, error) {
	end := time.Now().Add(d)
	return l.run(ctx, conns, func(int) func() (time.Time, bool) {
		return func() (time.Time, bool) { return time.Time{}, time.Now().Before(end) }
	})
}

// runPaced sends requests at a constant rate, independently of the responses. Each connection sends every conns-th request.
func (l *loader) runPaced(ctx context.Context, conns int, rate float64, d time.Duration) (loadResult, error) {
	start := time.Now()
	gap := float64(time.Second) / rate
	return l.run(ctx, conns, func(i int) func() (time.Time, bool) {
		n := i
		return func() (time.Time, bool) {
			at := start.Add(time.Duration(float64(n) * gap))
			n += conns
			time.Sleep(time.Until(at))
			return at, at.Sub(start) < d
		}
	})
}

// run runs all connections. plan returns the schedule of connection i, a function that returns the time of the next request (zero
// means now), or false at the end.
func (l *loader) run(ctx context.Context, conns int, plan func(i int) func() (time.Time, bool)) (loadResult, error) {
	counts, errs := make([]loadResult, conns), make([]error, conns)
	var all sync.WaitGroup
	for i := range conns {
		all.Go(func() { counts[i], errs[i] = l.runConnection(ctx, l.addr(i), plan(i)) })
	}
	all.Wait()
	sum := loadResult{latency: hdrhistogram.New(1, maxLatencyNS, 3)}
	for i, c := range counts {
		if errs[i] != nil {
			return sum, errs[i]
		}
		sum.served, sum.other, sum.late = sum.served+c.served, sum.other+c.other, sum.late+c.late
		sum.latency.Merge(c.latency)
	}
	return sum, ctx.Err()
}

// runConnection sends requests on one connection until next returns false.
func (l *loader) runConnection(ctx context.Context, addr string, next func() (time.Time, bool)) (loadResult, error) {
	n := loadResult{latency: hdrhistogram.New(1, maxLatencyNS, 3)}
	c, err := net.DialTimeout("tcp", addr, responseTimeout)
	if err != nil {
		return n, err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	buf := make([]byte, 0, 256)
	for at, more := next(); more && ctx.Err() == nil; at, more = next() {
		now := time.Now()
		if at.IsZero() {
			at = now
		} else if now.Sub(at) > maxSendDelay {
			n.late++
		}
		id := l.ids.Add(1)
		buf = fmt.Appendf(buf[:0], "GET /read/%d HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %016x\r\nX-Time-Left: 9000m\r\n\r\n", id, id)
		c.SetDeadline(now.Add(responseTimeout))
		if _, err := c.Write(buf); err != nil {
			return n, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return n, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return n, err
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.served++
			_ = n.latency.RecordValue(int64(time.Since(at))) // responseTimeout keeps it within the bounds
		} else {
			n.other++
		}
	}
	return n, nil
}
