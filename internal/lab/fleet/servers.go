package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"umberbank/internal/lab/model"
	"umberbank/internal/process/relay"
)

// linkEnd is the server's end of a link.
type linkEnd struct{ node, server int }

// connectionKey is the key of a connection's state in its context.
type connectionKey struct{}

// connectionState is the state of a connection at a server.
type connectionState struct {
	linkEnd
	used bool // it has carried a request
}

// startServers starts every server with one listener for each node that sends to its tier. If a fault affects the link, a relay
// is in front of the listener.
func (f *Fleet) startServers(affected map[nodeServer]bool) error {
	for s := range f.world.Site.Servers {
		host := f.network.host(firstServerHost + s)
		srv := &http.Server{
			Handler: http.HandlerFunc(f.serve),
			// The listener of a connection identifies the node.
			BaseContext: func(ln net.Listener) context.Context {
				return context.WithValue(context.Background(), connectionKey{}, ln.(*linkListener).linkEnd)
			},
			ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
				return context.WithValue(ctx, connectionKey{}, &connectionState{linkEnd: ctx.Value(connectionKey{}).(linkEnd)})
			},
			IdleTimeout:                  f.world.Site.Limits.IdleTimeout.Std(),
			DisableGeneralOptionsHandler: true,
		}
		open := &atomic.Int64{}
		for n := range f.world.Site.Nodes {
			if f.world.Site.Nodes[n].TargetTier != f.world.Site.Servers[s].Tier {
				continue
			}
			ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
			if err != nil {
				return err
			}
			l := &link{addr: ln.Addr().String(), impairments: map[*model.Impairment]*relay.Impairment{}}
			f.links[nodeServer{n, s}] = l
			f.serveHTTP(&linkListener{ln, linkEnd{n, s}, open, int64(f.world.Site.Servers[s].MachineType.MaxConnections)}, srv)
			if affected[nodeServer{n, s}] {
				if err := f.addRelay(l, host); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// maxBodyBytes is the largest number of bytes that is read of a body. The rest is ignored.
const maxBodyBytes = 64 << 10

// response is the model's response to an attempt.
type response struct {
	outcome     model.Outcome
	body        string
	unsolicited bool
}

// serve passes a request to the model and sends the model's response.
func (f *Fleet) serve(w http.ResponseWriter, r *http.Request) {
	firstByteAt := f.world.Loop.Elapsed()
	conn := r.Context().Value(connectionKey{}).(*connectionState)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the request was incomplete
	}
	newConnection := !conn.used
	conn.used = true
	responses := make(chan response, 1)
	at := &model.Attempt{Node: conn.node, FirstByteAt: firstByteAt, NewConnection: newConnection}
	at.Done = func(o model.Outcome, body string) { responses <- response{outcome: o, body: body} }
	id := r.Header.Get("X-Correlation-Id")
	f.world.Loop.Post(func() {
		call := f.calls[id]
		if reason := mismatch(f.world, call, r, body); reason != "" {
			f.observer.RecordUnsolicited(conn.node, conn.server, id, reason)
			responses <- response{unsolicited: true}
			return
		}
		at.Call = call
		f.world.Servers[conn.server].Receive(at)
	})
	var v response
	select {
	case v = <-responses:
	case <-r.Context().Done():
		f.world.Loop.Post(func() {
			if at.Call != nil {
				f.world.Servers[conn.server].Cancel(at)
			}
		})
		return
	case <-f.ctx.Done():
		return
	}
	switch {
	case v.unsolicited:
		http.Error(w, "no call matches this request", http.StatusBadRequest)
	case v.outcome == model.Completed:
		io.WriteString(w, v.body)
	case v.outcome == model.ServerError:
		w.WriteHeader(http.StatusInternalServerError)
	case v.outcome == model.ServerRejected:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default: // reset, or cancelled while the node still waits
		panic(http.ErrAbortHandler)
	}
}

// mismatch describes how a request differs from the call that its sender sent to the node. It returns "" if they are equal.
func mismatch(w *model.World, c *model.Call, r *http.Request, body []byte) string {
	if c == nil {
		return "no call with this ID was sent, or it ended long ago"
	}
	method, path, key, content := requestForm(w, c)
	switch {
	case r.Method != method:
		return "the call was sent with the method " + method + ", and arrived with " + r.Method
	case r.URL.RequestURI() != path:
		return "the call was sent to the path " + path + ", and arrived at " + r.URL.RequestURI()
	case r.Header.Get("Idempotency-Key") != key:
		return "the idempotency key differs from that of the call"
	case string(body) != content:
		return "the body differs from that of the call"
	}
	return ""
}
