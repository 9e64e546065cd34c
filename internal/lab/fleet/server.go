package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/process/relay"
)

// endpoint is one link's end at its server.
type endpoint struct{ node, server int }

type connKey struct{}

// connState is one connection at a server.
type connState struct {
	endpoint
	used bool // it has carried a request
}

// startServers lets every server listen for each of its nodes, behind a relay where a fault will touch the link.
func (f *Fleet) startServers(touched map[[2]int]bool) error {
	for s := range f.w.Site.Servers {
		host := f.net.host(serverHosts + s)
		srv := &http.Server{
			Handler: http.HandlerFunc(f.serve),
			// The listener of a connection says which node it is from.
			BaseContext: func(ln net.Listener) context.Context {
				return context.WithValue(context.Background(), connKey{}, ln.(*linkListener).endpoint)
			},
			ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, &connState{endpoint: ctx.Value(connKey{}).(endpoint)})
			},
			IdleTimeout: f.w.Site.Limits.Idle.D(),
		}
		open := &atomic.Int64{}
		for n := range f.w.Site.Nodes {
			if f.w.Site.Nodes[n].Tier != f.w.Site.Servers[s].Tier {
				continue
			}
			ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
			if err != nil {
				return err
			}
			l := &link{addr: ln.Addr().String(), effects: map[*model.Effect]*relay.Impairment{}}
			f.links[[2]int{n, s}] = l
			f.serveHTTP(&linkListener{ln, endpoint{n, s}, open, int64(f.w.Site.Servers[s].Kind.Connections)}, srv)
			if touched[[2]int{n, s}] {
				if err := f.withRelay(l, host); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// linkListener takes the connections of one link, as long as its server has room for more.
type linkListener struct {
	net.Listener
	endpoint
	open *atomic.Int64 // at the server, over all links
	most int64
}

// Accept closes what comes in excess, before a byte of it is read.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: c, open: l.open}, nil
		}
		l.open.Add(-1)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// countedConn gives its place back once it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// maxBody is the most that a server reads of a request.
const maxBody = 64 << 10

// verdict is what the model says of an attempt.
type verdict struct {
	outcome model.Outcome
	body    string
	stray   bool
}

// serve gives a request to the model and answers as that says.
func (f *Fleet) serve(w http.ResponseWriter, r *http.Request) {
	first := f.w.Loop.Elapsed()
	conn := r.Context().Value(connKey{}).(*connState)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return // it never came whole
	}
	fresh := !conn.used
	conn.used = true
	said := make(chan verdict, 1)
	at := &model.Attempt{Node: conn.node, First: first, Fresh: fresh}
	at.Done = func(o model.Outcome, body string) { said <- verdict{outcome: o, body: body} }
	id := r.Header.Get("X-Correlation-Id")
	f.w.Loop.Post(func() {
		call := f.calls[id]
		if why := differs(f.w, call, r, body); why != "" {
			f.observer.Stray(conn.node, conn.server, id, why)
			said <- verdict{stray: true}
			return
		}
		at.Call = call
		f.w.Servers[conn.server].Arrive(at)
	})
	var v verdict
	select {
	case v = <-said:
	case <-r.Context().Done():
		f.w.Loop.Post(func() {
			if at.Call != nil {
				f.w.Servers[conn.server].Cancel(at)
			}
		})
		return
	case <-f.ctx.Done():
		return
	}
	switch {
	case v.stray:
		http.Error(w, "no client sent this", http.StatusBadRequest)
	case v.outcome == model.Done:
		io.WriteString(w, v.body)
	case v.outcome == model.Errored:
		w.WriteHeader(http.StatusInternalServerError)
	case v.outcome == model.TurnedAway:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default: // reset, or dropped while the sender still reads
		panic(http.ErrAbortHandler)
	}
}

// differs says what of a request is not as its client sent it; "" if all is.
func differs(w *model.World, c *model.Call, r *http.Request, body []byte) string {
	if c == nil {
		return "no client sent this id"
	}
	method, path, key, content := form(w, c)
	switch {
	case r.Method != method:
		return "the method was " + method + " and is " + r.Method
	case r.URL.RequestURI() != path:
		return "the path was " + path + " and is " + r.URL.RequestURI()
	case r.Header.Get("Idempotency-Key") != key:
		return "the key is another"
	case string(body) != content:
		return "the body is another"
	}
	return ""
}

// form is what a call looks like on the wire.
func form(w *model.World, c *model.Call) (method, path, key, body string) {
	class := &w.Site.Classes[c.Class]
	path = "/" + class.Name + "/" + c.ID + "?tier=" + w.Site.Tiers[c.Tier].Name
	switch class.Effect {
	case "safe":
		return http.MethodGet, path, "", ""
	case "keyed":
		return http.MethodPost, path, c.Key, "order of " + c.ID
	}
	return http.MethodPost, path, "", "order of " + c.ID
}

// remember keeps a call for the servers to know it, for as long as a late attempt may come.
func (f *Fleet) remember(c *model.Call) {
	f.calls[c.ID] = c
	f.w.Loop.After(c.Left+lateAttempt, func() { delete(f.calls, c.ID) })
}

const lateAttempt = 20 * time.Second
