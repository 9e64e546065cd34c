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
	watchHeadBuffer = 4096
	watchReadBuffer = 16 << 10
	eventHead       = 64 // bytes of an event that are looked at
)

// watch is one watch. It reads no more of an event than its revision, as the benchmark runs beside the replicas.
type watch struct {
	conn      net.Conn
	revision  atomic.Int64
	fullLists atomic.Int64
}

// open starts the watch from a revision. received is called with each revision that an event leads to, by a goroutine that
// running waits for.
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
		resp, err := http.ReadResponse(bufio.NewReaderSize(conn, watchHeadBuffer), nil)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		w.follow(resp.Body, received)
	})
	return nil
}

// follow reads events until the connection ends.
func (w *watch) follow(body io.Reader, received func(revision int64)) {
	buf := make([]byte, watchReadBuffer)
	var head []byte
	for {
		n, err := body.Read(buf)
		for rest := buf[:n]; len(rest) > 0; {
			line, after, ended := bytes.Cut(rest, []byte{'\n'})
			if len(head) < eventHead {
				head = append(head, line[:min(len(line), eventHead-len(head))]...)
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

// receive notes an event by its head. A heartbeat is none.
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

// parseEventHead reads the revision of an event, and whether it is a full list.
func parseEventHead(head []byte) (revision int64, fullList, ok bool) {
	text, found := bytes.CutPrefix(head, []byte(`{"rev":`))
	if !found {
		return 0, false, false
	}
	number, rest, _ := bytes.Cut(text, []byte{','})
	revision, err := strconv.ParseInt(string(number), 10, 64)
	return revision, bytes.HasPrefix(rest, []byte(`"all":true`)), err == nil
}
