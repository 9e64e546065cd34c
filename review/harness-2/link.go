package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy in front of an address. While it is cut, it says nothing: open connections stay open and silent, and new
// ones are not passed on. When it heals, the connections that were opened during the cut are reset, and the others go on.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
	closed bool
	conns  map[net.Conn]bool // both sides
}

// startLink starts a link to an address, which need not listen yet.
func (s *site) startLink(target string) (*link, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	k.healed = sync.NewCond(&k.mu)
	s.onClose(k)
	go k.serve()
	return k, nil
}

// addr returns the address of the link.
func (k *link) addr() string { return k.listener.Addr().String() }

// setCut cuts or heals the link.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.healed.Broadcast()
}

// Close closes the link and its connections.
func (k *link) Close() error {
	err := k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for conn := range k.conns {
		conn.Close()
	}
	k.healed.Broadcast()
	return err
}

// awaitHealed waits while the link is cut, and reports whether it had to.
func (k *link) awaitHealed() (waited bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut && !k.closed {
		waited = true
		k.healed.Wait()
	}
	return waited
}

func (k *link) track(conn net.Conn, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if open {
		k.conns[conn] = true
	} else {
		delete(k.conns, conn)
	}
	if k.closed {
		conn.Close()
	}
}

func (k *link) serve() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.pass(conn)
	}
}

// pass connects one connection with the target.
func (k *link) pass(from net.Conn) {
	k.track(from, true)
	defer k.track(from, false)
	defer from.Close()
	if k.awaitHealed() {
		if tcp, isTCP := from.(*net.TCPConn); isTCP {
			tcp.SetLinger(0) // a reset
		}
		return
	}
	to, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	k.track(to, true)
	defer k.track(to, false)
	defer to.Close()
	var copying sync.WaitGroup
	for _, way := range []struct{ to, from net.Conn }{{to, from}, {from, to}} {
		copying.Go(func() {
			k.copy(way.to, way.from)
			from.Close()
			to.Close()
		})
	}
	copying.Wait()
}

// copy passes bytes on in one direction. An end of the connection is passed on only while the link is not cut.
func (k *link) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		k.awaitHealed()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
