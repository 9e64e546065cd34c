package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// timeLeft is how long the clients wait for an answer.
const timeLeft = 2500 * time.Millisecond

// load is the clients of a node, which send requests at a rate over connections that they keep.
type load struct {
	play   *play
	target string // host:port of the node
	client *http.Client

	sending sync.WaitGroup
	mu      sync.Mutex
	asked   int
	answers map[int]int // number of answers by status; 0 stands for none
	foreign []string    // answers with 200 that no server made for their requests
}

func newLoad(p *play, target string) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}
	return &load{play: p, target: target, client: &http.Client{Transport: transport}, answers: map[int]int{}}
}

// Classes of the settings, in hundredths of the requests: two that are safe to repeat, and one that must never run twice.
const (
	shareSearch  = 45
	shareUpdate  = 30
	shareAll     = 100
	classSearch  = "job-search"
	classUpdate  = "cv-update"
	classPosting = "paid-posting"
)

// drawClass draws a class by the shares.
func drawClass() string {
	switch draw := rand.IntN(shareAll); {
	case draw < shareSearch:
		return classSearch
	case draw < shareSearch+shareUpdate:
		return classUpdate
	}
	return classPosting
}

// run sends requests, one every interval, until the duration is over, and waits for their answers.
func (l *load) run(interval, duration time.Duration) {
	for end, next := time.Now().Add(duration), time.Now(); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		l.mu.Lock()
		l.asked++
		id, class := fmt.Sprintf("r%06d", l.asked), drawClass()
		l.mu.Unlock()
		l.sending.Go(func() { l.send(id, class) })
	}
	l.sending.Wait()
}

// send sends one request and checks its answer.
func (l *load) send(id, class string) {
	l.play.notef("client: request %s: sends %s, and waits %v", id, class, timeLeft)
	status, body, err := l.ask(id, class)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[status]++
	switch {
	case err != nil:
		l.play.notef("client: request %s: no answer: %v", id, err)
	case status == http.StatusOK && body != answerTo(id):
		l.foreign = append(l.foreign, fmt.Sprintf("request %s was answered with %q", id, body))
		l.play.notef("client: request %s: %d %q WHICH NO SERVER MADE FOR IT", id, status, body)
	default:
		l.play.notef("client: request %s: %d %q", id, status, body)
	}
}

// ask sends one request and returns its answer. The status is zero without one.
func (l *load) ask(id, class string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft)
	defer cancel()
	method, sent := http.MethodGet, ""
	if class == classPosting {
		method, sent = http.MethodPost, "posting "+id
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+l.target+"/"+class+"/"+id, strings.NewReader(sent))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Time-Left", fmt.Sprintf("%dm", timeLeft.Milliseconds()))
	resp, err := l.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", errors.Join(errors.New("the answer broke off"), err)
	}
	return resp.StatusCode, string(text), nil
}
