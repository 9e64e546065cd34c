package scale

import (
	"net"
	"net/http"
	"time"
)

// staticDiscovery serves a list that never changes. Both real nodes follow it, so that the cost of following a list does
// not count as a cost of control.
type staticDiscovery struct {
	listener net.Listener
	server   *http.Server
}

// heartbeatInterval is the interval of heartbeats on a watch. It is the same as the registry's.
const heartbeatInterval = 2 * time.Second

// serveStaticList serves an encoded list on a free port until close is called.
func serveStaticList(list []byte) (*staticDiscovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	serve := func(w http.ResponseWriter, q *http.Request) {
		w.Write(list)
		if q.URL.Query().Get("follow") == "" {
			return
		}
		heartbeat := time.NewTicker(heartbeatInterval)
		defer heartbeat.Stop()
		for http.NewResponseController(w).Flush() == nil {
			select {
			case <-heartbeat.C:
				w.Write([]byte("\n")) // if the reader has disconnected, Flush fails
			case <-q.Context().Done():
				return
			}
		}
	}
	s := &staticDiscovery{listener: ln, server: &http.Server{
		Handler:                      http.HandlerFunc(serve),
		DisableGeneralOptionsHandler: true,
	}}
	go func() { _ = s.server.Serve(ln) }() // returns when close is called
	return s, nil
}

// addr returns the address at which the list is served.
func (s *staticDiscovery) addr() string { return s.listener.Addr().String() }

// close stops the server and ends its watches.
func (s *staticDiscovery) close() { s.server.Close() }
