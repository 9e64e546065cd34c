package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"umberbank/internal/registry/api"
)

const (
	responseBufferBytes = 4096
	readBufferBytes     = 16 << 10
	eventHeadBytes      = 64 // length of the prefix of an event that is parsed
)

// watch is a minimal client of a watch. It parses only the head of an event, to leave CPU time to the replicas on the same
// machine.
type watch struct {
	conn      net.Conn
	revision  atomic.Int64
	fullLists atomic.Int64
}

// open starts the watch from a revision. A goroutine, which is added to running, calls received with the revision of each
// event.
func (w *watch) open(ctx context.Context, address string, since int64, received func(revision int64), running *sync.WaitGroup) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	w.conn = conn
	if _, err := fmt.Fprintf(conn, "GET %s?follow=1&since=%d HTTP/1.1\r\nHost: r\r\n\r\n", api.PathInstances, since); err != nil {
		conn.Close()
		return err
	}
	running.Go(func() {
		resp, err := http.ReadResponse(bufio.NewReaderSize(conn, responseBufferBytes), nil)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		w.follow(resp.Body, received)
	})
	return nil
}

// follow reads events until the connection is closed.
func (w *watch) follow(body io.Reader, received func(revision int64)) {
	buf := make([]byte, readBufferBytes)
	var head []byte
	for {
		n, err := body.Read(buf)
		for rest := buf[:n]; len(rest) > 0; {
			line, after, ended := bytes.Cut(rest, []byte{'\n'})
			if len(head) < eventHeadBytes {
				head = append(head, line[:min(len(line), eventHeadBytes-len(head))]...)
			}
			rest = after
			if ended {
				w.receive(head, received)
				head = head[:0]
			}
		}
		if err != nil {
			return
		}
	}
}

// receive records an event, given its head. It ignores heartbeats.
func (w *watch) receive(head []byte, received func(revision int64)) {
	revision, fullList, ok := parseEventHead(head)
	if !ok {
		return
	}
	if fullList {
		w.fullLists.Add(1)
	}
	w.revision.Store(revision)
	received(revision)
}

// parseEventHead returns the revision of an event and whether it is a full list. ok is false if head does not begin with a
// valid revision.
func parseEventHead(head []byte) (revision int64, fullList, ok bool) {
	text, found := bytes.CutPrefix(head, []byte(`{"rev":`))
	if !found {
		return 0, false, false
	}
	number, rest, _ := bytes.Cut(text, []byte{','})
	revision, err := strconv.ParseInt(string(number), 10, 64)
	return revision, bytes.HasPrefix(rest, []byte(`"all":true`)), err == nil
}
