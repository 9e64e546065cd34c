// Package control serves operators' commands at a separate address. Each connection carries one
// command, which is one line, and gets one line in response. docs/oncall/control.md describes the
// commands for operators.
//
// A command never waits for another command or for client traffic: each connection has its own
// goroutine, and stalled connections are closed to make room for new ones.
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
	// MaxConnections is the maximum number of open operators' connections, each of which uses one file
	// descriptor.
	MaxConnections = 16
	// maxLineBytes is the maximum length of a command's line.
	maxLineBytes = 256
	// maxUnreadBytes is the maximum number of bytes that are read and discarded after the line. If the
	// operator sends more, closing the connection resets it.
	maxUnreadBytes = 64 << 10
	// readTimeout limits the time to receive the line, and the time until the operator closes the
	// connection after the response.
	readTimeout = 2 * time.Second
	// writeTimeout limits the time to write a response.
	writeTimeout = time.Second
)

// Commands maps each command to the function that returns its response, without a trailing newline. The
// functions are called concurrently and must not block.
type Commands map[string]func() string

// Server serves commands at one address. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	commands Commands

	mu   sync.Mutex
	open []net.Conn // oldest first
}

// Listen returns a Server that listens on addr. Commands are served once Serve is called.
func Listen(addr string, commands Commands) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{listener: listener.Persistent{Listener: l}, commands: commands}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves commands until Close is called.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // the listener was closed: listener.Persistent returns no other error
		}
		s.add(conn)
		go func() {
			defer s.remove(conn)
			s.serveConn(conn)
		}()
	}
}

// Close stops Serve from accepting connections. Open connections are still served.
func (s *Server) Close() error { return s.listener.Close() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// add registers a connection. At MaxConnections it closes the oldest one, which has most likely stalled,
// because commands do not block.
func (s *Server) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= MaxConnections {
		s.open[0].Close()
		s.open = s.open[1:]
	}
	s.open = append(s.open, conn)
}

// remove closes and unregisters a connection.
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

// serveConn reads one line and writes its response.
func (s *Server) serveConn(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := bufio.NewReader(io.LimitReader(conn, maxLineBytes)).ReadString('\n')
	response := s.respond(strings.TrimRight(line, "\r\n"), err)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(conn, response+"\n"); err != nil {
		return // the operator has disconnected or does not read
	}
	// Closing a connection with unread bytes would reset it, and the response might be lost.
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		conn.SetReadDeadline(time.Now().Add(readTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxUnreadBytes)) // until the operator closes
	}
}

// respond returns the response to a line. readErr is the error that ended the line early, nil if the
// line is complete.
func (s *Server) respond(line string, readErr error) string {
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
