package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has arrived at a server.
type arrival struct {
	id string
	at time.Time // of its last byte
}

// server is a stand-in of a server. It reads one request after the other on each connection, works for a fixed time and
// answers with a body that names the request.
type server struct {
	uid      string
	addr     string
	work     time.Duration
	listener net.Listener
	// workOf returns how long the server works on its n-th request, if set.
	workOf  func(n int) time.Duration
	padding string // follows the body of each answer

	mu       sync.Mutex
	arrivals []arrival
	conns    map[net.Conn]bool
}

// startServer starts a server.
func (s *site) startServer(uid string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	srv := &server{uid: uid, addr: l.Addr().String(), work: work, listener: l, conns: map[net.Conn]bool{}}
	s.onClose(srv)
	go srv.serve()
	return srv, nil
}

// Close closes the listener and all connections, as the death of the process does.
func (v *server) Close() error {
	err := v.listener.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	for conn := range v.conns {
		conn.Close()
	}
	return err
}

// target returns the entry of the server in discovery's list.
func (v *server) target() object {
	return object{
		"uid": v.uid, "endpoint": v.addr, "az": "amman-dc", "model": "gw-fast", "pod_group": 1, "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0,
	}
}

// received returns the requests that have arrived so far.
func (v *server) received() []arrival {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]arrival(nil), v.arrivals...)
}

func (v *server) serve() {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns[conn] = true
		v.mu.Unlock()
		go func() {
			defer func() {
				conn.Close()
				v.mu.Lock()
				defer v.mu.Unlock()
				delete(v.conns, conn)
			}()
			v.serveConn(conn)
		}()
	}
}

func (v *server) serveConn(conn net.Conn) {
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		body := fmt.Sprintf("answer of %s to %s%s", v.uid, id, v.padding)
		v.mu.Lock()
		v.arrivals = append(v.arrivals, arrival{id, time.Now()})
		work := v.work
		if v.workOf != nil {
			work = v.workOf(len(v.arrivals))
		}
		v.mu.Unlock()
		time.Sleep(work)
		if _, err := io.WriteString(conn, response(body)); err != nil {
			return
		}
	}
}

// response returns a 200 with a body.
func response(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
