package main

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// soakSeeds and firstSoakSeed select the runs of TestSoak. The long run has 50 seeds or more.
var (
	soakSeeds     = flag.Int("soak.seeds", 10, "number of runs of TestSoak")
	firstSoakSeed = flag.Uint64("soak.first", 1, "seed of the first run of TestSoak")
)

// Times of the platform: the process is killed soakKillAfter after SIGTERM, which is the longest deadline and 0.7 s, and clients
// open new connections until soakLastDial after SIGTERM.
const (
	soakServers   = 3
	soakObjective = 300 * time.Millisecond
	soakDeadline  = 600 * time.Millisecond
	soakKillAfter = soakDeadline + 700*time.Millisecond
	soakLastDial  = 300 * time.Millisecond
	// soakHoldUp is how long a node may be held up between reading its clock and writing.
	soakHoldUp = 150 * time.Millisecond
	// soakAnswerSlack is how late a final response may come.
	soakAnswerSlack = 500 * time.Millisecond
)

// soak is one run: a process that gets signals in series, its server, and clients that use their connections until the kill.
type soak struct {
	process *process
	seed    uint64
	random  *rand.Rand // used before the clients start
	killed  chan struct{}
	lastID  atomic.Int64
	termAt  atomic.Int64 // Unix time of the first SIGTERM in ns; zero before
	killAt  atomic.Int64 // Unix time of the kill in ns; zero before

	mu         sync.Mutex
	executions map[string]int // by correlation ID, as the server counts them
	answered   int
	violations []string
}

// TestSoak ends the program by SIGTERM and, at the earliest moment that the platform may choose, SIGKILL, with more SIGHUP and
// SIGTERM in between. No request that was taken stays without a response, gets that of another one, or runs twice.
func TestSoak(t *testing.T) {
	for seed := *firstSoakSeed; seed < *firstSoakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &soak{seed: seed, random: rand.New(rand.NewPCG(seed, 1)), killed: make(chan struct{}), executions: map[string]int{}}
			s.run(t)
			for id, n := range s.executions {
				if n > 1 && strings.HasPrefix(id, "pay") {
					s.violations = append(s.violations, fmt.Sprintf("%s ran %d times", id, n))
				}
			}
			for _, violation := range s.violations {
				t.Error(violation)
			}
			if s.answered == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

func (s *soak) run(t *testing.T) {
	config := configOf()
	for range soakServers {
		server := httptest.NewServer(http.HandlerFunc(s.serve))
		defer server.Close()
		defer server.CloseClientConnections()
		config.servers = append(config.servers, server)
	}
	config.classes = []classConfig{
		{"read", "read_like", soakObjective, soakDeadline},
		{"pay", "non_idempotent", soakObjective, soakDeadline},
	}
	s.process = config.start(t)
	clients := 8
	if s.random.IntN(3) == 0 { // a crowd
		clients = 60
	}
	var running sync.WaitGroup
	for c := range clients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		class := []string{"read", "pay"}[c%2]
		running.Go(func() { (&soakClient{soak: s, class: class, random: random}).run() })
	}
	s.signal(t)
	running.Wait()
}

// signal sends SIGHUP and SIGTERM in series, and kills the process at the earliest time.
func (s *soak) signal(t *testing.T) {
	send := func(signal syscall.Signal) {
		if err := s.process.cmd.Process.Signal(signal); err != nil {
			t.Log(err) // the process may have exited
		}
	}
	pause := func(longest time.Duration) { <-time.After(time.Duration(s.random.Int64N(int64(longest)))) }
	for range 1 + s.random.IntN(4) {
		pause(200 * time.Millisecond)
		send(syscall.SIGHUP)
	}
	pause(300 * time.Millisecond)
	kill := time.NewTimer(soakKillAfter)
	s.termAt.Store(time.Now().UnixNano())
	send(syscall.SIGTERM)
	for range s.random.IntN(4) {
		pause(200 * time.Millisecond)
		send([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[s.random.IntN(2)])
	}
	<-kill.C
	s.killAt.Store(time.Now().UnixNano())
	close(s.killed)
	s.process.kill()
}

// serve executes a request: some take longer than their deadline, some connections are reset after the execution.
func (s *soak) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	s.executions[id]++
	s.mu.Unlock()
	switch latency := s.drawLatency(id); latency {
	case 0:
		panic(http.ErrAbortHandler)
	case 1, 2, 3:
		<-time.After(2 * soakDeadline)
	default:
		<-time.After(time.Duration(latency) * 10 * time.Millisecond)
	}
	io.WriteString(w, id)
}

// drawLatency draws the latency of a request in steps of 10 ms, or one of the values that serve treats otherwise.
func (s *soak) drawLatency(id string) int {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return rand.New(rand.NewPCG(s.seed, hash.Sum64())).IntN(20)
}

func (s *soak) wasExecuted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id] > 0
}

func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// sinceTerm returns the time since SIGTERM, or a negative one before it.
func (s *soak) sinceTerm() time.Duration {
	at := s.termAt.Load()
	if at == 0 {
		return -1
	}
	return time.Since(time.Unix(0, at))
}

// Pauses of clients: between two requests, and within a request of a client that writes slowly.
const (
	soakShortPause  = 30 * time.Millisecond
	soakLongPause   = 900 * time.Millisecond
	soakWritePause  = 400 * time.Millisecond
	soakWritePieces = 4
)

// soakClient sends one request after another over one connection, which it opens again when the node has closed it.
type soakClient struct {
	*soak
	class  string
	random *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	reused bool // a response has arrived on conn
}

func (c *soakClient) run() {
	defer c.close()
	for {
		pause := soakShortPause
		if c.random.IntN(6) == 0 {
			pause = soakLongPause
		}
		select {
		case <-c.killed:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(pause)))):
		}
		if c.conn == nil && !c.dial() {
			return
		}
		c.request()
	}
}

// dial opens a connection. It returns false once the platform sends no new connections to the process.
func (c *soakClient) dial() bool {
	if c.sinceTerm() > soakLastDial {
		return false
	}
	conn, err := net.Dial("tcp", c.process.listen)
	if err != nil {
		if since := c.sinceTerm(); since < soakLastDial {
			c.violation("a new connection was refused %v after SIGTERM: %v", since, err)
		}
		return false
	}
	c.conn, c.reader, c.reused = conn, bufio.NewReader(conn), false
	return true
}

func (c *soakClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request and checks its end.
func (c *soakClient) request() {
	id := fmt.Sprintf("%s-%d", c.class, c.lastID.Add(1))
	method, body := http.MethodGet, ""
	if c.class == "pay" {
		method, body = http.MethodPost, "body"
	}
	text := fmt.Sprintf("%s /%s/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\nContent-Length: %d\r\n\r\n%s",
		method, c.class, id, soakDeadline.Milliseconds(), len(body), body)
	c.conn.SetDeadline(time.Time{})
	err := c.write(text)
	began := time.Now() // the time of a request counts from its last byte
	if err != nil {
		return // the node has closed the connection before the request was complete
	}
	c.conn.SetDeadline(began.Add(soakDeadline + soakAnswerSlack))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.unanswered(id, began, err)
		return
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		c.unanswered(id, began, err)
		return
	}
	c.mu.Lock()
	c.answered++
	c.mu.Unlock()
	if resp.StatusCode == http.StatusOK && string(got) != id {
		c.violation("%s got the response %q", id, got)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && c.class == "pay" && c.wasExecuted(id) {
		c.violation("%s was rejected after it had run", id)
	}
	if c.reused = true; resp.Close {
		c.close()
	}
}

// write writes a request, one in three in pieces with pauses. After an error it closes the connection.
func (c *soakClient) write(text string) error {
	pieces := 1
	if c.random.IntN(3) == 0 {
		pieces = soakWritePieces
	}
	for i := range pieces {
		if i > 0 {
			<-time.After(time.Duration(c.random.Int64N(int64(soakWritePause))))
		}
		if _, err := io.WriteString(c.conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			c.close()
			return err
		}
	}
	return nil
}

// unanswered checks a request whose connection ended or stayed silent. The kill may interrupt what was sent just before it. A node
// may close a connection between requests, so on one that was in use a request that was not executed is the client's to send again.
func (c *soakClient) unanswered(id string, began time.Time, err error) {
	defer c.close()
	if at := c.killAt.Load(); at != 0 && time.Unix(0, at).Sub(began) < soakHoldUp {
		return
	}
	if c.reused && !os.IsTimeout(err) && !c.wasExecuted(id) {
		return
	}
	c.violation("%s, sent %v after SIGTERM, has no response after %v: %v (run: %v, on a connection in use: %v)",
		id, c.sinceTerm()-time.Since(began), time.Since(began), err, c.wasExecuted(id), c.reused)
}
