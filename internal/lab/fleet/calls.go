package fleet

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
)

// exchange is a call in flight. A separate goroutine for each call writes the request and reads the response. disconnect may be
// called from any goroutine.
type exchange struct {
	mu           sync.Mutex
	conn         *poolConn
	disconnected bool
}

// use records the connection in use. It returns false if the client has disconnected.
func (x *exchange) use(c *poolConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	return !x.disconnected
}

// disconnect closes the connection in use.
func (x *exchange) disconnect() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.disconnected = true
	if x.conn != nil {
		x.conn.Close()
	}
}

// Send sends a call to its node and calls done with the response on the loop. The returned function disconnects the
// client; done is not called after that.
func (f *Fleet) Send(c *model.Call, done func(model.Response)) func() {
	f.retainCall(c)
	x := &exchange{}
	text := f.request(c)
	go func() {
		sendDelay := f.world.Loop.Elapsed() - c.SentAt
		a := f.pools[c.Node].exchange(x, text, c.Timeout+time.Second)
		a.SendDelay = sendDelay
		f.world.Loop.Post(func() {
			x.mu.Lock()
			disconnected := x.disconnected
			x.mu.Unlock()
			if !disconnected {
				done(a)
			}
		})
	}()
	return x.disconnect
}

// request encodes a call.
func (f *Fleet) request(c *model.Call) []byte {
	method, path, key, body := requestForm(f.world, c)
	b := make([]byte, 0, 256)
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "...)
	b = append(b, c.ID...)
	b = append(b, "\r\nX-Time-Left: "...)
	b = strconv.AppendInt(b, int64(c.Timeout/time.Microsecond), 10)
	b = append(b, "u\r\n"...)
	if key != "" {
		b = append(b, "Idempotency-Key: "+key+"\r\n"...)
	}
	if c.IsRetry {
		b = append(b, "X-Repeat: 1\r\n"...)
	}
	if method == http.MethodPost {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// requestForm returns the parts of a call's HTTP request. key and body are empty if it has none.
func requestForm(w *model.World, c *model.Call) (method, path, key, body string) {
	class := &w.Site.Classes[c.Class]
	path = "/" + class.Name + "/" + c.ID + "?tier=" + w.Site.Tiers[c.Tier].Name
	switch class.Idempotency {
	case scenario.Idempotent:
		return http.MethodGet, path, "", ""
	case scenario.IdempotentByKey:
		return http.MethodPost, path, c.Key, "order of " + c.ID
	}
	return http.MethodPost, path, "", "order of " + c.ID
}

// retainCall retains a call while attempts of it may still arrive at a server, so that they can be matched to it.
func (f *Fleet) retainCall(c *model.Call) {
	f.calls[c.ID] = c
	f.world.Loop.After(c.Timeout+lateAttemptRetention, func() { delete(f.calls, c.ID) })
}

// lateAttemptRetention is how long a call is retained after its deadline.
const lateAttemptRetention = 20 * time.Second
