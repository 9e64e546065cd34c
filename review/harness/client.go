package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// timeLeft is how long the clients wait for an answer: 60% of the deadline of the shortest class, and 50% of that of the others.
const timeLeft = 3 * time.Second

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

	unanswered int // requests that were written whole to a connection, and had no answer when their clients had waited long enough
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
	case errors.Is(err, errUnanswered):
		l.unanswered++
		l.play.notef("client: request %s: TAKEN AND NEVER ANSWERED: %v", id, err)
	case err != nil:
		l.play.notef("client: request %s: no answer: %v", id, err)
	case status == http.StatusOK && body != answerTo(id):
		l.foreign = append(l.foreign, fmt.Sprintf("request %s was answered with %q", id, body))
		l.play.notef("client: request %s: %d %q WHICH NO SERVER MADE FOR IT", id, status, body)
	default:
		l.play.notef("client: request %s: %d %q", id, status, body)
	}
}

// answerSlack is how long after its time the answer to a request only earns nothing; later, or never, the request is lost.
const answerSlack = 500*time.Millisecond + 50*time.Millisecond

// errUnanswered reports that a request was taken and that its answer did not come in time.
var errUnanswered = errors.New("no answer in time")

// ask sends one request and returns its answer. The status is zero without one.
func (l *load) ask(id, class string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft+answerSlack)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
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
	if err != nil && written.Load() && errors.Is(err, context.DeadlineExceeded) {
		return 0, "", errors.Join(errUnanswered, err)
	}
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
