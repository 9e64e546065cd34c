package node

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// inherited returns the listening socket that the platform holds for this node under the descriptor fd.
// Other processes may accept on it too; closing the listener closes this process's copy alone.
func inherited(fd int) (net.Listener, error) {
	// Asked first: a wrong number may be a descriptor of the runtime's own, which must be left alone.
	accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", fd, err)
	}
	if accepts == 0 {
		return nil, fmt.Errorf("inherited descriptor %d is no listening socket", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited socket")
	defer f.Close() // FileListener works on a copy
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", fd, err)
	}
	if _, tcp := l.(*net.TCPListener); !tcp {
		l.Close()
		return nil, fmt.Errorf("inherited descriptor %d listens on %s, not TCP", fd, l.Addr().Network())
	}
	return l, nil
}
