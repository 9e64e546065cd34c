package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateAnswerDuration = 20 * time.Second
	// spoiltOneIn is how many answers there are for one that is spoilt.
	spoiltOneIn = 50
	// secondAnswerDelay is how long after the answer the second one comes.
	secondAnswerDelay = 8 * time.Millisecond
)

// playLateAnswer lets servers send some answers a second time, some milliseconds after the first. No client may get the answer
// to another request.
func playLateAnswer(s *site) (violations []string, err error) {
	nodes, servers, err := startTier(s, 2, 3, 40*time.Millisecond)
	if err != nil {
		return nil, err
	}
	var answers, spoilt atomic.Int64
	for _, v := range servers {
		v.after = func(conn net.Conn, answer string) {
			if answers.Add(1)%spoiltOneIn != 0 || !s.trouble {
				return
			}
			spoilt.Add(1)
			time.AfterFunc(secondAnswerDelay, func() {
				_, err := io.WriteString(conn, answer)
				s.record("%s sent once more: %q: %v", v.uid, firstLine(answer), err)
			})
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lateAnswerDuration)
	defer cancel()
	var mu sync.Mutex
	counts := map[int]int{}
	var running sync.WaitGroup
	for i := range 16 {
		c := &client{addr: nodes[i%len(nodes)].addr, name: fmt.Sprintf("c%d", i)}
		class := []string{"job-search", "cv-update"}[i/2%2]
		running.Go(func() {
			c.load(ctx, class, 2500*time.Millisecond, 10*time.Millisecond, func(r result) {
				mu.Lock()
				defer mu.Unlock()
				counts[r.status]++
				s.record("%s %s: status %d %q", r.class, r.id, r.status, r.body)
				if r.status == http.StatusOK && !madeBy(servers, r) {
					violations = append(violations, fmt.Sprintf("the client of %s got %q", r.id, r.body))
				}
			})
		})
	}
	running.Wait()
	s.record("answers by status: %v; of %d answers of servers %d were sent twice", counts, answers.Load(), spoilt.Load())
	if counts[http.StatusOK] == 0 {
		return nil, fmt.Errorf("no request was served: %v", counts)
	}
	s.record("%d clients got the answer to another request", len(violations))
	return violations, nil
}

// firstLine returns the first line of a text.
func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\r\n")
	return line
}

// madeBy reports whether one of the servers has made the body for this request.
func madeBy(servers []*server, r result) bool {
	for _, v := range servers {
		if r.body == v.answer(r.id) {
			return true
		}
	}
	return false
}
