package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// outageDuration is how long the registry is down, and killAfter when the node is killed within that time.
	outageDuration = 8 * time.Second
	killAfter      = time.Second
	recoveryTime   = 3 * time.Second
	// noticeTime is the time after its death within which the front still sends clients to the node.
	noticeTime = 3300 * time.Millisecond
	// sendInterval is the time between two requests.
	sendInterval = 50 * time.Millisecond
	waitTime     = 2500 * time.Millisecond
	// answerSlack is how long after its time a request may still get its final answer.
	answerSlack = 550 * time.Millisecond
)

// outcome is what became of one request.
type outcome struct {
	id     string
	sentAt time.Time
	// taken says that the request was written whole to a connection that had been accepted, and that the client waited to the end.
	taken  bool
	status int // 0 without a whole answer
	what   string
}

// playRestartWithoutRegistry kills one of two nodes that take their settings from the registry, and starts it again while the registry is
// down. The front has not noticed the death yet and sends clients there. What the node takes has to be answered.
func playRestartWithoutRegistry(s *site) (violations []string, err error) {
	r, err := s.startRegistry()
	if err != nil {
		return nil, err
	}
	var targets []object
	for i := range 3 {
		v, err := s.startServer(fmt.Sprintf("s%d", i), 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		targets = append(targets, v.target())
	}
	discovery, err := s.startDiscovery(targets)
	if err != nil {
		return nil, err
	}
	agreed := object{"agreed": object{"endpoints": r.addrs[:], "tier": "front", "zone": "amman-dc", "sends_to": "gateway"}}
	n, err := s.startNode("n0", discovery.addr, targets, agreed)
	if err != nil {
		return nil, err
	}
	if _, err := s.startNode("n1", discovery.addr, targets, agreed); err != nil {
		return nil, err
	}
	if first := sendOnce(n.addr, "before"); first.status != http.StatusOK {
		return nil, fmt.Errorf("a request before the trouble: %+v", first)
	}
	outageEnd := time.Now().Add(outageDuration)
	if s.trouble {
		r.signal(syscall.SIGSTOP)
		s.record("the registry is down")
		defer r.signal(syscall.SIGCONT)
		time.AfterFunc(outageDuration, func() {
			r.signal(syscall.SIGCONT)
			s.record("the registry is back")
		})
	}
	time.Sleep(killAfter)
	n.kill()
	s.record("n0 is killed")
	if _, err := s.restart(n); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var outcomes []outcome
	var running sync.WaitGroup
	for i := 0; time.Duration(i)*sendInterval < noticeTime; i++ {
		running.Go(func() {
			o := sendOnce(n.addr, fmt.Sprintf("c%d", i))
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
		time.Sleep(sendInterval)
	}
	running.Wait()
	counts := map[string]int{}
	for _, o := range outcomes {
		s.record("%s, sent at %.3f s: %s", o.id, o.sentAt.Sub(s.started).Seconds(), o.what)
		switch {
		case o.status != 0:
			counts[fmt.Sprint("status ", o.status)]++
		case o.taken:
			counts["taken and not answered"]++
			violations = append(violations, fmt.Sprintf("%s was taken and had no answer %v after its time", o.id, answerSlack))
		default:
			counts["not taken"]++
		}
	}
	s.record("requests in the %v after the restart: %v", noticeTime, counts)
	time.Sleep(time.Until(outageEnd.Add(recoveryTime)))
	s.record("a request %v after the outage: %s", recoveryTime, sendOnce(n.addr, "after").what)
	return violations, nil
}

// sendOnce sends one request on a new connection and waits for its answer, to the end of its time and answerSlack.
func sendOnce(addr, id string) (o outcome) {
	o = outcome{id: id, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		o.what = "no connection: " + err.Error()
		return o
	}
	defer conn.Close()
	o.sentAt = time.Now()
	conn.SetDeadline(o.sentAt.Add(waitTime + answerSlack))
	if _, err := fmt.Fprintf(conn, "GET /job-search/list HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\n\r\n",
		id, waitTime.Milliseconds()); err != nil {
		o.what = "not written: " + err.Error()
		return o
	}
	o.taken = true
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		o.what = "no answer: " + err.Error()
		return o
	}
	o.status, o.what = resp.StatusCode, fmt.Sprintf("status %d after %v", resp.StatusCode, time.Since(o.sentAt).Round(time.Millisecond))
	return o
}

// signal sends a signal to all replicas.
func (r *registry) signal(signal syscall.Signal) {
	for _, p := range r.processes {
		p.cmd.Process.Signal(signal)
	}
}

// restart starts a node that has ended once more, with the same configuration, and does not wait until it is ready.
func (s *site) restart(n *node) (*process, error) {
	return s.start(n.name+"-again", n.env, "/bin/sh", "-c", "exec bin/umberbank-node")
}
