package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// faultSeeds and firstFaultSeed select the runs of TestServerFaults. The long run has 50 seeds or more.
var (
	faultSeeds     = flag.Int("faults.seeds", 8, "number of runs of TestServerFaults")
	firstFaultSeed = flag.Uint64("faults.first", 1, "seed of the first run of TestServerFaults")
)

const (
	faultServers  = 3
	faultClients  = 24
	faultDuration = 3 * time.Second
	// faultTimeLeft is how long clients wait from the last byte of a request on.
	faultTimeLeft = 600 * time.Millisecond
	// faultHoldUp is how late the test itself may note the time of an event.
	faultHoldUp = 100 * time.Millisecond
	// faultLongResponse is the length of a response that is written slowly, in bytes.
	faultLongResponse = 200_000
)

// serverFault is what a server does with a request. The client chooses it, and puts its number into the correlation ID.
type serverFault int

const (
	noFault           serverFault = iota
	silentLength                  // sends the head of a long response and then nothing
	silentChunks                  // the same, in chunks
	silentAfterBytes              // sends the head and the first bytes of a long response and then nothing
	stopsReading                  // reads the first bytes of the request and then nothing
	readsSlowly                   // reads the request slowly, and responds
	writesSlowly                  // writes a long response for longer than the client's time
	resetsAfterwards              // runs the request and resets the connection
	respondsWithError             // runs the request and responds with status 500
	hangs                         // runs the request and does not respond
	respondsLate                  // runs the request and responds when the client's time is over
	partialHead                   // sends a part of the head of a response and then nothing
	endlessInterim                // sends interim responses without an end
	endlessChunks                 // sends a response without an end, in chunks
	silentError                   // sends the head of a response with status 500 and then nothing of its body
	silentUnprocessed             // the same with status 503, which says that the request was not run
	respondsEarly                 // responds before it has read the body, and reads nothing more
	faultKinds
)

// faultRun is one run of TestServerFaults.
type faultRun struct {
	listen string
	end    time.Time

	mu         sync.Mutex
	executed   map[string][]time.Time // when servers had the last byte, by correlation ID
	left       map[string]time.Time   // when clients closed their connection before they had a response
	responses  map[int]int            // by status
	violations []string
}

// Servers that are silent, slow or broken in any part of a request do not keep a client from its final response in time. No
// request runs twice or after its client has left, and no response that a server still writes is cut off.
func TestServerFaults(t *testing.T) {
	for seed := *firstFaultSeed; seed < *firstFaultSeed+uint64(*faultSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run := &faultRun{executed: map[string][]time.Time{}, left: map[string]time.Time{}, responses: map[int]int{}}
			run.play(t, rand.New(rand.NewPCG(seed, 1)))
			run.checkExecutions()
			for _, violation := range run.violations {
				t.Error(violation)
			}
			if t.Logf("responses by status: %v, clients that left: %d", run.responses, len(run.left)); run.responses[http.StatusOK] == 0 {
				t.Error("no request succeeded")
			}
		})
	}
}

func (f *faultRun) play(t *testing.T, random *rand.Rand) {
	config := configOf()
	for range faultServers {
		config.servers = append(config.servers, startRawServer(t, f.serve))
	}
	config.classes = append(config.classes, classConfig{"pay", "non_idempotent", time.Second, 2 * time.Second})
	config.cancelling = true
	f.listen = config.start(t).listen
	f.end = time.Now().Add(faultDuration)
	var running sync.WaitGroup
	for c := range faultClients {
		client := &faultClient{faultRun: f, number: c, random: rand.New(rand.NewPCG(random.Uint64(), 2))}
		running.Go(client.run)
	}
	running.Wait()
}

func (f *faultRun) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// checkExecutions checks that no request ran twice that must not, and none after its client had left.
func (f *faultRun) checkExecutions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, times := range f.executed {
		if strings.HasPrefix(id, "pay") && len(times) > 1 {
			f.violations = append(f.violations, fmt.Sprintf("%s ran %d times", id, len(times)))
		}
		leftAt, left := f.left[id]
		for _, at := range times {
			if left && at.Sub(leftAt) > disconnectSlack+faultHoldUp {
				f.violations = append(f.violations, fmt.Sprintf("%s ran %v after its client had left", id, at.Sub(leftAt)))
			}
		}
	}
}

// serve serves a connection with the faults that the requests name.
func (f *faultRun) serve(conn net.Conn, reader *bufio.Reader) {
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Correlation-Id")
		fault := faultOf(id)
		switch fault {
		case stopsReading, respondsEarly:
			if r.ContentLength != 0 {
				if fault == respondsEarly {
					f.respond(conn, id, noFault)
				}
				<-time.After(time.Until(f.end))
				return
			}
		case readsSlowly:
			err = readSlowly(r.Body, 10_000, 100*time.Millisecond)
		default:
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			return
		}
		if fault != silentUnprocessed {
			f.mu.Lock()
			f.executed[id] = append(f.executed[id], time.Now())
			f.mu.Unlock()
		}
		if !f.respond(conn, id, fault) {
			return
		}
	}
}

// respond responds to a request. It returns false if the connection must be closed.
func (f *faultRun) respond(conn net.Conn, id string, fault serverFault) (keep bool) {
	long := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", faultLongResponse)
	switch fault {
	case silentLength:
		io.WriteString(conn, long)
	case silentChunks:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	case silentAfterBytes:
		io.WriteString(conn, long+"first bytes")
	case writesSlowly:
		const pieces = 10
		io.WriteString(conn, long)
		for range pieces {
			io.WriteString(conn, strings.Repeat("x", faultLongResponse/pieces))
			<-time.After(2 * faultTimeLeft / pieces)
		}
		return true
	case resetsAfterwards:
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case respondsWithError:
		io.WriteString(conn, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
		return true
	case hangs:
	case partialHead:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
	case endlessInterim:
		f.repeat(conn, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
	case endlessChunks:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		f.repeat(conn, "1\r\nx\r\n")
	case silentError:
		io.WriteString(conn, "HTTP/1.1 500 E\r\nContent-Length: 100\r\n\r\n")
	case silentUnprocessed:
		io.WriteString(conn, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 100\r\n\r\n")
	case respondsLate:
		<-time.After(2 * faultTimeLeft)
		return false
	default:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		return true
	}
	_, _ = io.Copy(io.Discard, conn) // until the node closes the connection
	return false
}

// repeat writes text again and again until the node closes the connection or the run ends.
func (f *faultRun) repeat(conn net.Conn, text string) {
	for time.Now().Before(f.end) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		<-time.After(faultTimeLeft / 30)
	}
}

// faultOf returns the fault that a correlation ID names.
func faultOf(id string) serverFault {
	_, rest, _ := strings.Cut(id, "-")
	number, _, _ := strings.Cut(rest, "-")
	fault, err := strconv.Atoi(number)
	if err != nil {
		return noFault
	}
	return serverFault(fault)
}

// faultClient sends requests one after another, each on a connection of its own.
type faultClient struct {
	*faultRun
	number int
	random *rand.Rand
}

func (c *faultClient) run() {
	for i := 0; time.Now().Before(c.end); i++ {
		c.request(i)
	}
}

// faultBodies are the lengths of the bodies of requests.
var faultBodies = []int{4, 1000, 60_000, 70_000, 300_000, 900_000}

func (c *faultClient) request(i int) {
	fault := noFault
	if c.random.IntN(2) == 0 {
		fault = serverFault(c.random.IntN(int(faultKinds)))
	}
	class := []string{"read", "pay"}[c.random.IntN(2)]
	id := fmt.Sprintf("%s-%d-%d-%d", class, fault, c.number, i)
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		c.violation("%s: %v", id, err)
		return
	}
	defer conn.Close()
	leaves := c.random.IntN(4) == 0
	stay := time.Duration(c.random.Int64N(int64(faultTimeLeft)))
	text := c.text(class, id)
	pieces := 1 + 3*c.random.IntN(2)
	wrote := make(chan time.Time, 1)
	go func() {
		writeInPieces(conn, text, pieces)
		wrote <- time.Now()
	}()
	responded := make(chan struct{})
	if leaves {
		timer := time.AfterFunc(stay, func() { c.leave(conn, id, responded) })
		defer timer.Stop()
	}
	c.await(conn, id, fault, wrote, responded)
}

// writeInPieces writes text in pieces with pauses, in all for longer than the client waits once it has written it.
func writeInPieces(conn net.Conn, text string, pieces int) {
	for i := range pieces {
		if i > 0 {
			<-time.After(faultTimeLeft / 2)
		}
		if _, err := io.WriteString(conn, text[i*len(text)/pieces:(i+1)*len(text)/pieces]); err != nil {
			return
		}
	}
}

// text returns a request with a random body and framing.
func (c *faultClient) text(class, id string) string {
	method, more, body := http.MethodGet, "", ""
	if class == "pay" {
		method = http.MethodPost
		frame := withLength
		if c.random.IntN(3) == 0 {
			frame = inChunks
		}
		more, body = frame(strings.Repeat("x", faultBodies[c.random.IntN(len(faultBodies))]))
	}
	return fmt.Sprintf("%s /%s/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %s\r\nX-Time-Left: %dm\r\n%s\r\n%s",
		method, class, id, faultTimeLeft.Milliseconds(), more, body)
}

// leave closes the connection unless the response has begun.
func (c *faultClient) leave(conn net.Conn, id string, responded <-chan struct{}) {
	select {
	case <-responded:
		return
	default:
	}
	c.mu.Lock()
	c.left[id] = time.Now()
	c.mu.Unlock()
	conn.Close()
}

// await reads the response and checks its time and content.
func (c *faultClient) await(conn net.Conn, id string, fault serverFault, wrote <-chan time.Time, responded chan<- struct{}) {
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	close(responded)
	at := time.Now()
	c.mu.Lock()
	_, left := c.left[id]
	c.mu.Unlock()
	if left {
		return
	}
	sentAt := at // the response came before the last byte of the request was written
	select {
	case sentAt = <-wrote:
	default:
	}
	if err != nil {
		c.violation("%s: no response %v after its last byte: %v", id, at.Sub(sentAt), err)
		return
	}
	if after := at.Sub(sentAt); after > faultTimeLeft+deadlineSlack {
		c.violation("%s: status %d came %v after its last byte", id, resp.StatusCode, after)
	}
	c.mu.Lock()
	c.responses[resp.StatusCode]++
	ran := len(c.executed[id]) > 0
	c.mu.Unlock()
	if resp.StatusCode == http.StatusServiceUnavailable && ran && strings.HasPrefix(id, "pay") {
		c.violation("%s was rejected after it had run", id)
	}
	if resp.StatusCode == http.StatusOK && fault != silentAfterBytes && fault != endlessChunks {
		c.checkBody(resp, id, fault)
	}
}

// checkBody checks that the body of a successful response is whole and the request's own.
func (c *faultClient) checkBody(resp *http.Response, id string, fault serverFault) {
	body, err := io.ReadAll(resp.Body)
	c.mu.Lock()
	_, left := c.left[id]
	c.mu.Unlock()
	switch {
	case left:
	case err != nil:
		c.violation("%s: the response was cut off after %d bytes: %v", id, len(body), err)
	case fault == writesSlowly && len(body) != faultLongResponse, fault != writesSlowly && string(body) != id:
		c.violation("%s: got a response of %d bytes, %.20q", id, len(body), body)
	}
}
