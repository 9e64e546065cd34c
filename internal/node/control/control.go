// Package control answers operators at an address of their own: a connection carries one line, a command, and gets one
// answer. docs/oncall/control.md describes it for operators.
//
// A command never waits for another one or for the clients' side: every connection has a goroutine of its own, and those that
// finish no command are closed to make room.
package control

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"umberbank/internal/node/listener"
)

const (
	// MaxConnections is how many operators' connections are open at once, each with a descriptor.
	MaxConnections = 16
	// maxLineBytes is the longest line that a command may be.
	maxLineBytes = 256
	// maxUnreadBytes is how much more than its line is read of a connection before it is reset.
	maxUnreadBytes = 64 << 10
	// readTimeout is how long an operator may take to send its line, or to close after its answer.
	readTimeout = 2 * time.Second
	// writeTimeout is how long writing an answer may take.
	writeTimeout = time.Second
)

// Commands maps each command to what answers it. An answer has no newline at its end. The functions are called by several
// goroutines at once and must not block.
type Commands map[string]func() string

// Server answers commands at one address. Its methods may be called by any goroutine.
type Server struct {
	listener net.Listener
	commands Commands

	mu   sync.Mutex
	open []net.Conn // in the order in which they came
}

// Listen returns a Server that listens on addr and does not serve yet.
func Listen(addr string, commands Commands) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{listener: listener.Persistent{Listener: l}, commands: commands}, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers commands until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed: listener.Persistent survives all else
		}
		s.add(conn)
		go func() {
			defer s.remove(conn)
			s.serveConn(conn)
		}()
	}
}

// Close ends Serve. Connections that are open are served to their end.
func (s *Server) Close() error { return s.listener.Close() }

// OpenConnections is how many connections are open now.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// add registers a connection. With too many, the oldest is closed: a command takes no time, so that one has stalled.
func (s *Server) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= MaxConnections {
		s.open[0].Close()
		s.open = s.open[1:]
	}
	s.open = append(s.open, conn)
}

// remove closes a connection and forgets it.
func (s *Server) remove(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, open := range s.open {
		if open == conn {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			return
		}
	}
}

// serveConn reads one line and answers it.
func (s *Server) serveConn(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := bufio.NewReader(io.LimitReader(conn, maxLineBytes)).ReadString('\n')
	answer := s.answer(strings.TrimRight(line, "\r\n"), err)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(conn, answer+"\n"); err != nil {
		return // the operator has disconnected
	}
	// A close over bytes that were not read would reset the connection, and the answer might be lost with it.
	if half, can := conn.(interface{ CloseWrite() error }); can && half.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(readTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxUnreadBytes)) // until the operator closes
	}
}

// answer returns the answer to a line; readErr is why the line was not read to its end, if it was not.
func (s *Server) answer(line string, readErr error) string {
	command, known := s.commands[line]
	switch {
	case errors.Is(readErr, os.ErrDeadlineExceeded):
		return "fail the line took too long"
	case readErr != nil && len(line) >= maxLineBytes:
		return "fail the line is too long"
	case readErr != nil:
		return "fail the line has no end"
	case line == "":
		return "fail the line is empty"
	case !known:
		return "fail unknown call"
	}
	return command()
}
