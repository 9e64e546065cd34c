// Package listener provides the listening sockets of a node: a listener that survives failed accepts,
// and one that is inherited from the platform.
package listener

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// Persistent is a listener whose Accept fails only once it is closed. On Linux, accept also returns
// errors of a single connection and transient errors of the network, and http.Server stops serving on
// most of these.
type Persistent struct{ net.Listener }

// Accept waits for the next connection. Every error wraps net.ErrClosed.
func (l Persistent) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		slog.Warn("accept failed", "error", err)
		time.Sleep(acceptRetryDelay)
	}
}

// Inherit returns a listener on the listening TCP socket that the platform has opened for this node as
// the descriptor fd. Other processes may accept on the socket too; closing the listener closes only
// this process's copy. Inherit closes fd itself once it has checked that fd is a listening socket.
func Inherit(fd int) (net.Listener, error) {
	// A wrong number may be a descriptor of the Go runtime, which must not be closed.
	accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", fd, err)
	}
	if accepts == 0 {
		return nil, fmt.Errorf("inherited descriptor %d is no listening socket", fd)
	}
	file := os.NewFile(uintptr(fd), "inherited socket")
	defer file.Close() // net.FileListener duplicates the descriptor
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", fd, err)
	}
	if _, isTCP := l.(*net.TCPListener); !isTCP {
		l.Close()
		return nil, fmt.Errorf("inherited descriptor %d listens on %s, not TCP", fd, l.Addr().Network())
	}
	return l, nil
}
