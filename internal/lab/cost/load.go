package cost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// instant is a server that answers at once, by as little as HTTP/1.1 asks for.
type instant struct {
	ln    net.Listener
	conns sync.WaitGroup
	mu    sync.Mutex
	open  map[net.Conn]struct{}
}

func newInstant() (*instant, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &instant{ln: ln, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = struct{}{}
			s.mu.Unlock()
			s.conns.Go(func() { s.serve(c) })
		}
	}()
	return s, nil
}

func (s *instant) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Correlation-Id")
		b := append(make([]byte, 0, 128), "HTTP/1.1 200 OK\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(id)), 10)
		b = append(append(b, "\r\n\r\n"...), id...)
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

func (s *instant) close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.conns.Wait()
}

// loader asks an address over a number of connections.
type loader struct {
	addr func(i int) string // of connection i
	ids  atomic.Uint64
}

// count is what came of a load.
type count struct {
	served, other int
	latency       *hdrhistogram.Histogram // in ns, from the intended time where there is one
	late          int                     // sent over 5 ms late
}

// late is how late a request may be sent, and answerWithin how long an answer is waited for.
const (
	late         = 5 * time.Millisecond
	answerWithin = 10 * time.Second
	mostNS       = int64(time.Minute)
)

// closed keeps every connection busy for a time.
func (l *loader) closed(ctx context.Context, conns int, d time.Duration) (count, error) {
	end := time.Now().Add(d)
	return l.each(ctx, conns, func(int) func() (time.Time, bool) {
		return func() (time.Time, bool) { return time.Time{}, time.Now().Before(end) }
	})
}

// paced sends requests at equal distances, whatever becomes of them: connection i takes every conns-th.
func (l *loader) paced(ctx context.Context, conns int, rate float64, d time.Duration) (count, error) {
	start := time.Now()
	gap := float64(time.Second) / rate
	return l.each(ctx, conns, func(i int) func() (time.Time, bool) {
		n := i
		return func() (time.Time, bool) {
			at := start.Add(time.Duration(float64(n) * gap))
			n += conns
			time.Sleep(time.Until(at))
			return at, at.Sub(start) < d
		}
	})
}

// each lets every connection ask as long as its next says so. A zero time means now.
func (l *loader) each(ctx context.Context, conns int, plan func(i int) func() (time.Time, bool)) (count, error) {
	counts, errs := make([]count, conns), make([]error, conns)
	var all sync.WaitGroup
	for i := range conns {
		all.Go(func() { counts[i], errs[i] = l.ask(ctx, l.addr(i), plan(i)) })
	}
	all.Wait()
	sum := count{latency: hdrhistogram.New(1, mostNS, 3)}
	for i, c := range counts {
		if errs[i] != nil {
			return sum, errs[i]
		}
		sum.served, sum.other, sum.late = sum.served+c.served, sum.other+c.other, sum.late+c.late
		sum.latency.Merge(c.latency)
	}
	return sum, ctx.Err()
}

func (l *loader) ask(ctx context.Context, addr string, next func() (time.Time, bool)) (count, error) {
	n := count{latency: hdrhistogram.New(1, mostNS, 3)}
	c, err := net.DialTimeout("tcp", addr, answerWithin)
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
		} else if now.Sub(at) > late {
			n.late++
		}
		id := l.ids.Add(1)
		buf = fmt.Appendf(buf[:0], "GET /read/%d HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %016x\r\nX-Time-Left: 9000m\r\n\r\n", id, id)
		c.SetDeadline(now.Add(answerWithin))
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
			n.latency.RecordValue(int64(time.Since(at)))
		} else {
			n.other++
		}
	}
	return n, nil
}
