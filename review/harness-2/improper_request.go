package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	improperRounds = 5
	// improperLimit is the time within which a peer is owed an error or a close.
	improperLimit = 3 * time.Second
)

// improperRequests are messages that are no proper request of the protocol.
var improperRequests = []string{
	"OPTIONS * HTTP/1.1\r\nHost: app.svc\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: peer-1\r\nX-Time-Left: 2000m\r\nContent-Length: 2\r\n\r\nab",
	"OPTIONS /job-search/list HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: peer-2\r\nX-Time-Left: 2000m\r\n\r\n",
	"TRACE /job-search/list HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: peer-3\r\nX-Time-Left: 2000m\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"GET * HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: peer-4\r\nX-Time-Left: 2000m\r\n\r\n",
	"GET /job-search/list HTTP/1.1\r\nHost: app.svc\r\n\r\n",
	"nonsense\r\n\r\n",
}

// playImproperRequest lets unknown peers send what is no proper request, beside ordinary clients. Each of them is owed an error
// or a close, and none may be served.
func playImproperRequest(s *site) (violations []string, err error) {
	nodes, servers, err := startTier(s, 1, 2, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	served := 0
	var running sync.WaitGroup
	for i := range 4 {
		c := &client{addr: nodes[0].addr, name: fmt.Sprintf("c%d", i)}
		running.Go(func() {
			c.load(ctx, "job-search", 2500*time.Millisecond, 20*time.Millisecond, func(r result) {
				mu.Lock()
				defer mu.Unlock()
				if r.status == http.StatusOK {
					served++
				}
			})
		})
	}
	for range improperRounds {
		for _, text := range improperRequests {
			if !s.trouble {
				continue
			}
			got, broken := sendImproper(nodes[0].addr, text)
			s.record("peer sent %q: %s", text, got)
			if broken {
				violations = append(violations, fmt.Sprintf("a peer that sent %q got %s", text, got))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	cancel()
	running.Wait()
	s.record("%d requests of ordinary clients were served", served)
	if served == 0 || nodes[0].hasExited() {
		return nil, fmt.Errorf("%d ordinary requests served, node ended: %t", served, nodes[0].hasExited())
	}
	for _, v := range servers {
		for _, a := range v.received() {
			if len(a.id) > 4 && a.id[:4] == "peer" {
				violations = append(violations, fmt.Sprintf("%s got the request %s of an unknown peer", v.uid, a.id))
			}
		}
	}
	return violations, nil
}

// sendImproper sends text on a new connection. It returns what the peer got, and whether that breaks the rule.
func sendImproper(addr, text string) (got string, broken bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return fmt.Sprintf("no connection: %v", err), false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(improperLimit + 500*time.Millisecond))
	if _, err := io.WriteString(conn, text); err != nil {
		return fmt.Sprintf("a close: %v", err), false
	}
	began := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took := time.Since(began)
	switch {
	case err != nil && took > improperLimit:
		return fmt.Sprintf("neither an error nor a close for %v", took), true
	case err != nil:
		return "a close", false
	}
	defer resp.Body.Close()
	return fmt.Sprintf("status %d after %v", resp.StatusCode, took.Round(time.Millisecond)), resp.StatusCode < http.StatusBadRequest
}

// startTier starts servers, discovery that lists them, and nodes.
func startTier(s *site, nodeCount, serverCount int, work time.Duration) (nodes []*node, servers []*server, err error) {
	var targets []object
	for i := range serverCount {
		v, err := s.startServer(fmt.Sprintf("s%d", i), work)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, v)
		targets = append(targets, v.target())
	}
	discovery, err := s.startDiscovery(targets)
	if err != nil {
		return nil, nil, err
	}
	for i := range nodeCount {
		n, err := s.startNode(fmt.Sprintf("n%d", i), discovery.addr, targets, nil)
		if err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, servers, nil
}
