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

// server is a stand-in of a server. It answers each request with 200 and a body that names the request.
type server struct {
	play    *play
	name    string
	addr    string
	service time.Duration // from the last byte of a request to its answer

	// secondAnswer returns after which time the answer with a number is sent a second time, or zero if it is not. It may be
	// nil.
	secondAnswer func(number int) time.Duration

	mu       sync.Mutex
	received []time.Time // when the requests arrived
}

// startServer starts a server on a free address.
func (p *play) startServer(name string, service time.Duration, secondAnswer func(int) time.Duration) (*server, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &server{play: p, name: name, addr: l.Addr().String(), service: service, secondAnswer: secondAnswer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	for requests := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		number := s.arrived()
		s.play.notef("%s: request %d: %s %s id %s from %s", s.name, number, r.Method, r.URL.Path, id, c.RemoteAddr())
		if id == "" { // such as a check of whether the server is ready
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		time.Sleep(s.service)
		body := answerTo(id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		send := func() {
			writing.Lock()
			defer writing.Unlock()
			io.WriteString(c, answer)
		}
		send()
		if s.secondAnswer == nil {
			continue
		}
		if late := s.secondAnswer(number); late > 0 {
			time.AfterFunc(late, func() {
				s.play.notef("%s: request %d: sends its answer a second time, %v late", s.name, number, late)
				send()
			})
		}
	}
}

// arrived records the arrival of a request and returns its number, from 1 on.
func (s *server) arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, time.Now())
	return len(s.received)
}

// answerTo returns the body of the answer that a server makes for a request.
func answerTo(id string) string { return "answer to " + id }
