package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// heldPoll is the interval at which a direction that holds bytes checks whether it may go on.
const heldPoll = 5 * time.Millisecond

// link forwards connections to a target. It can be cut in one direction or both: as on a network that is cut, connections stay
// open and silent, new ones get no answer, and what was sent arrives once the link is whole again.
type link struct {
	addr, target string
	accepted     func() // called for each connection; may be nil

	mu                sync.Mutex
	cutThere, cutBack bool
}

// startLink starts a link to a target.
func startLink(target string, accepted func()) (*link, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	k := &link{addr: l.Addr().String(), target: target, accepted: accepted}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if k.accepted != nil {
				k.accepted()
			}
			go k.forward(c)
		}
	}()
	return k, nil
}

// cut cuts the link towards the target, on the way back, or both. Without either it is whole.
func (k *link) cut(there, back bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutThere, k.cutBack = there, back
}

// awaitThere waits until the link is whole towards the target, and awaitBack until it is on the way back.
func (k *link) awaitThere() { k.await(func() bool { return !k.cutThere }) }
func (k *link) awaitBack()  { k.await(func() bool { return !k.cutBack }) }

func (k *link) await(whole func() bool) {
	for {
		k.mu.Lock()
		isWhole := whole()
		k.mu.Unlock()
		if isWhole {
			return
		}
		time.Sleep(heldPoll)
	}
}

func (k *link) forward(client net.Conn) {
	defer client.Close()
	k.awaitThere()
	target, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer target.Close()
	var copies sync.WaitGroup
	copies.Go(func() { carry(target, client, k.awaitThere) })
	copies.Go(func() { carry(client, target, k.awaitBack) })
	copies.Wait()
}

// carry copies one direction of a connection until its end. It calls await before it passes on anything.
func carry(to, from net.Conn, await func()) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		await()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			to.Close()
			from.Close()
			return
		}
	}
}
