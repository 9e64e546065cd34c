package cost

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// instantServer is an HTTP/1.1 server that responds at once and does as little work as possible.
type instantServer struct {
	listener    net.Listener
	connections sync.WaitGroup
	mu          sync.Mutex
	open        map[net.Conn]struct{}
}

// newInstantServer starts a server on a free port.
func newInstantServer() (*instantServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &instantServer{listener: ln, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = struct{}{}
			s.mu.Unlock()
			s.connections.Go(func() { s.serve(c) })
		}
	}()
	return s, nil
}

// serve responds to the requests of one connection.
func (s *instantServer) serve(c net.Conn) {
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

// close stops the server, closes its connections and waits for their goroutines.
func (s *instantServer) close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.connections.Wait()
}
