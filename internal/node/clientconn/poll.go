package clientconn

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNoDescriptor is returned for a connection without a file descriptor.
var errNoDescriptor = errors.New("the connection has no file descriptor")

// pollCall is one call of poll(2) for one descriptor. Calls are reused, as there are some for each request.
type pollCall struct {
	descriptors [1]unix.PollFd
	err         error
	run         func(descriptor uintptr) // polls descriptors
}

var pollCalls = sync.Pool{New: func() any {
	call := &pollCall{}
	call.run = func(descriptor uintptr) {
		call.descriptors[0].Fd = int32(descriptor)
		_, call.err = unix.Poll(call.descriptors[:], 0)
	}
	return call
}}

// rawConn returns the access to a connection's file descriptor, or nil if it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// pollNow returns which of the poll events hold for a connection now. POLLERR and POLLHUP are always
// among those that are checked. It returns errNoDescriptor if raw is nil.
func pollNow(raw syscall.RawConn, events int16) (ready int16, err error) {
	if raw == nil {
		return 0, errNoDescriptor
	}
	call := pollCalls.Get().(*pollCall)
	defer pollCalls.Put(call)
	call.descriptors[0] = unix.PollFd{Events: events}
	call.err = nil
	if err := raw.Control(call.run); err != nil {
		return 0, err
	}
	return call.descriptors[0].Revents, call.err
}
