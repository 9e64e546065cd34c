package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// caller is a caller's connection.
type caller struct {
	conn     net.Conn
	since    time.Time
	requests atomic.Int64
}

type callerKey struct{}

// withCaller lets a request's handler find its connection.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &caller{conn: c, since: time.Now()})
}

func callerOf(hr *http.Request) *caller { return hr.Context().Value(callerKey{}).(*caller) }

// bodySpare is how long the body of the connection's next request may stand still at first.
func (c *caller) bodySpare() time.Duration {
	if c.requests.Add(1) > 1 {
		return bodyStall
	}
	return min(bodyStall, max(leastStall, firstBody-time.Since(c.since)))
}

// reset makes the connection's close a reset, which cannot pass for the end of an answer.
func (c *caller) reset() {
	if limited, is := c.conn.(*limitedConn); is {
		limited.reset()
	}
}

// watch calls gone when the caller is seen to have gone behind bytes that it sent ahead; see limitedConn.
func (c *caller) watch(gone func()) (stop func()) {
	if limited, is := c.conn.(*limitedConn); is {
		return limited.watch(gone)
	}
	return func() {}
}

// left says that the caller has closed its connection, whether or not anybody has noticed yet.
func (c *caller) left() bool {
	limited, is := c.conn.(*limitedConn)
	return is && limited.left()
}

// callerStall is how long a caller may stand still amid a long answer.
const callerStall = 10 * time.Second

// pass writes an answer to its caller as it comes, and returns why not all of it went.
func pass(w http.ResponseWriter, hr *http.Request, d *download) error {
	defer context.AfterFunc(hr.Context(), d.abandon)()
	h := w.Header()
	h["Content-Type"] = nil // no guessing
	if d.contentType != "" {
		h.Set("Content-Type", d.contentType)
	}
	if d.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(d.length, 10))
	}
	control := http.NewResponseController(w)
	buf := make([]byte, piece)
	for {
		n, err := d.Read(buf)
		if err := control.SetWriteDeadline(time.Now().Add(callerStall)); err != nil {
			return err
		}
		if n > 0 {
			_, werr := w.Write(buf[:n])
			if werr = errors.Join(werr, control.Flush()); werr != nil {
				d.abandon()
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
