package clientconn

import (
	"sync"
	"syscall"
)

// maxBacklogBytes is the number of unread bytes from which a connection is backlogged. It is well below
// the size of the receive buffer: with fewer unread bytes, the end of the connection is not held back.
const maxBacklogBytes = 64 << 10

// peekBuffers holds buffers of maxBacklogBytes.
var peekBuffers = sync.Pool{New: func() any { return new([maxBacklogBytes]byte) }}

// Backlogged reports whether so many bytes are unread that a disconnect of the client may be hidden behind
// them. It returns false if the connection has no file descriptor.
func (c *Conn) Backlogged() bool {
	if !c.hasUnread() {
		return false
	}
	buffer := peekBuffers.Get().(*[maxBacklogBytes]byte)
	defer peekBuffers.Put(buffer)
	unread, err := 0, error(nil)
	closed := c.raw.Control(func(descriptor uintptr) {
		unread, _, err = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return closed == nil && err == nil && unread == maxBacklogBytes
}
