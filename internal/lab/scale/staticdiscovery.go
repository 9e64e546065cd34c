package scale

import (
	"net"
	"net/http"
	"time"
)

// staticDiscovery serves a list that never changes, so that what the node without control spends on its list is not counted as
// control.
type staticDiscovery struct {
	listener net.Listener
	server   *http.Server
}

// heartbeatInterval is the interval of heartbeats on a watch, as in the registry.
const heartbeatInterval = 2 * time.Second

// serveStaticList serves an encoded list on a port of its own until close is called.
func serveStaticList(list []byte) (*staticDiscovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &staticDiscovery{listener: ln, server: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Write(list)
		if q.URL.Query().Get("follow") == "" {
			return
		}
		heartbeat := time.NewTicker(heartbeatInterval)
		defer heartbeat.Stop()
		for http.NewResponseController(w).Flush() == nil {
			select {
			case <-heartbeat.C:
				w.Write([]byte("\n")) // a disconnected reader shows at the flush
			case <-q.Context().Done():
				return
			}
		}
	})}}
	go func() { _ = s.server.Serve(ln) }() // returns when close is called
	return s, nil
}

// addr returns the address that it serves.
func (s *staticDiscovery) addr() string { return s.listener.Addr().String() }

// close ends the server and its watches.
func (s *staticDiscovery) close() { s.server.Close() }
