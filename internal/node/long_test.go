package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/balancer"
)

// text is n bytes in which every piece can be told from another.
func text(n int) string {
	b := make([]byte, 0, n+8)
	for i := int64(0); len(b) < n; i++ {
		b = append(strconv.AppendInt(b, i, 16), ',')
	}
	return string(b[:n])
}

func head(method, path, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c-1\r\nX-Time-Left: 15000m\r\n" + more + "\r\n"
}

func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;ext=1\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nX-Trailer: t\r\n\r\n"
}

// Long answers reach the caller whole, however they are framed and in whatever pieces they come.
func TestLongAnswers(t *testing.T) {
	t.Parallel()
	body := text(3 << 20)
	for name, answer := range map[string]string{
		"length":          fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n" + chunked(body, 1000),
		"until the close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"after interims":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
	} {
		addr, _ := stub(t, answer, true)
		n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
		resp, got := do(t, newRequest(t, n, "GET", "/read/1", ""))
		if resp.StatusCode != http.StatusOK || got != body {
			t.Errorf("%s: %d with %d bytes", name, resp.StatusCode, len(got))
		}
	}
}

// The first bytes of a long answer do not wait for the rest, and nothing of it for more.
func TestLongAnswerIsNotHeldBack(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ head, first, rest string }{
		"length": {"Content-Length: 70000\r\n\r\n", "a", strings.Repeat("x", 69999)},
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", "0\r\n\r\n"},
		"close":  {"Connection: close\r\n\r\n", "a", "x"},
	} {
		more := make(chan struct{})
		addr := listen(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+c.first)
				<-more
				io.WriteString(conn, c.rest)
			}
		})
		n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
		conn := dial(t, n.Addr().String())
		io.WriteString(conn, head("GET", "/read/1", ""))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
			t.Errorf("%s: first byte: %v", name, err)
		}
		close(more)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("%s: the rest: %v", name, err)
		}
	}
}

// A long answer that breaks off is no whole one to any caller, and no other attempt follows.
func TestLongAnswerBreaksOff(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + text(69000),
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + text(69000),
	} {
		addr, got := stub(t, answer, true)
		n := startControlled(t, testConfig("127.0.0.1:1", serving("s", addr), serving("s2", addr)))
		for _, proto := range []string{"1.1", "1.0"} {
			conn := dial(t, n.Addr().String())
			io.WriteString(conn, strings.Replace(head("GET", "/read/1", ""), "HTTP/1.1", "HTTP/"+proto, 1))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err == nil {
				t.Errorf("%s: looks whole to a caller of HTTP/%s", name, proto)
			}
			wait(t, got)
		}
		if len(got) > 0 {
			t.Errorf("%s: another attempt followed", name)
		}
		for end := time.Now().Add(limit); vars(t, n).Results["read"] != (results{Aborted: 2}); {
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", name, vars(t, n))
			}
		}
	}
}

// A caller that leaves amid a long answer ends the attempt, and no server is blamed.
func TestCallerLeavesALongAnswer(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nfirst")
			io.Copy(io.Discard, r)
			close(closed)
		}
	})
	outcomes, started := make(chan balancer.Outcome, 1), make(chan balancer.ResponseStarted, 1)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), moduleFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		case balancer.ResponseStarted:
			started <- e
		case balancer.Outcome:
			outcomes <- e
		}
		return nil
	}))
	c := dial(t, n.Addr().String())
	io.WriteString(c, head("GET", "/read/1", ""))
	wait(t, started)
	c.Close()
	wait(t, closed)
	if o := wait(t, outcomes); o.Result != balancer.Cancelled || !o.RequestDone {
		t.Errorf("outcome %+v", o)
	}
}

// sink is a server that keeps what it is sent, and then answers.
func sink(t *testing.T) (addr string, got chan received) {
	return stub(t, ok, false)
}

// Long requests reach the server whole, as callers frame them, and count from their last byte.
func TestLongRequests(t *testing.T) {
	t.Parallel()
	body := text(2 << 20)
	addr, got := sink(t)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	for name, c := range map[string]struct{ more, body string }{
		"length":  {fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		"chunks":  {"Transfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n", chunked(body, 777)},
		"expects": {fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(body)), body},
	} {
		conn := dial(t, n.Addr().String())
		r := bufio.NewReader(conn)
		io.WriteString(conn, head("POST", "/order/1", c.more))
		if strings.HasPrefix(c.more, "Expect") {
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusContinue {
				t.Fatalf("%s: not asked for the body: %+v, %v", name, resp, err)
			}
		}
		io.WriteString(conn, c.body)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: %+v, %v", name, resp, err)
		}
		if s := wait(t, got); s.body != body || s.Header.Get("X-Correlation-Id") != "c-1" {
			t.Errorf("%s: the server got %d bytes", name, len(s.body))
		}
		if c.more[0] != 'T' { // a connection with chunks is closed, see ambiguous
			io.ReadAll(io.LimitReader(r, 2))
			io.WriteString(conn, head("GET", "/read/2", ""))
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s: the next request: %+v, %v", name, resp, err)
			}
			wait(t, got)
		}
	}
}

// A long request's body goes to the server as it comes, not when it is all here.
func TestLongRequestIsPassedOnAsItComes(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	half := make(chan struct{})
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.ReadFull(req.Body, make([]byte, size/2-8192)); err == nil {
			close(half)
		}
		if n, _ := io.Copy(io.Discard, req.Body); n == size/2+8192 {
			io.WriteString(c, ok)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	conn := dial(t, n.Addr().String())
	io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", size)))
	conn.Write(make([]byte, size/2))
	wait(t, half)
	conn.Write(make([]byte, size/2))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v", resp, err)
	}
}

// A server that is not there costs a long request nothing: nothing of the body was read for it. One that
// leaves amid the body ends it with a refusal, as it can't have run and can't be sent again.
func TestLongRequestMovesOnWhileItCan(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	good, got := sink(t)
	quits := listen(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		c.(*net.TCPConn).SetLinger(0)
	})
	turnsAway := listen(t, func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(c, "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		io.Copy(io.Discard, r)
	})
	body := text(4 << 20)
	for name, c := range map[string]struct {
		first  string
		status int
	}{"not there": {l.Addr().String(), 200}, "quits": {quits, 503}, "turns away": {turnsAway, 503}} {
		n := startNode(t, testConfig("127.0.0.1:1", serving("first", c.first), serving("second", good)),
			firstThenSecond())
		conn := dial(t, n.Addr().String())
		var wrote sync.WaitGroup
		wrote.Go(func() {
			io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		})
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != c.status {
			t.Fatalf("%s: %+v, %v", name, resp, err)
		}
		wrote.Wait()
		if c.status == 200 {
			if s := wait(t, got); s.body != body {
				t.Errorf("%s: the second server got %d bytes", name, len(s.body))
			}
		} else if len(got) > 0 {
			t.Errorf("%s: a spent body reached the second server", name)
		}
	}
}

// firstThenSecond is a module that sends to one server, then to the other unless the body is spent.
func firstThenSecond() moduleFunc {
	return func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			if !e.StreamingBody {
				return []balancer.Action{balancer.Fail{ID: e.ID}}
			}
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "first"}}
		case balancer.Outcome:
			if e.RequestDone || e.BodyConsumed {
				return []balancer.Action{balancer.Reject{ID: e.ID}}
			}
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "second"}}
		}
		return nil
	}
}

// The time of a long request begins when the server has it all, however long that took.
func TestLongRequestIsTaken(t *testing.T) {
	t.Parallel()
	addr, _ := sink(t)
	taken := make(chan balancer.RequestBodySent, 1)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), moduleFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.Request:
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		case balancer.RequestBodySent:
			taken <- e
		}
		return nil
	}))
	conn := dial(t, n.Addr().String())
	io.WriteString(conn, strings.Replace(head("POST", "/order/1", "Content-Length: 100000\r\n"), "15000m", "900m", 1))
	for range 10 { // longer than the caller will wait from its last byte on
		conn.Write(make([]byte, 10000))
		time.Sleep(100 * time.Millisecond)
	}
	before := time.Duration(time.Now().Add(-time.Second).UnixNano())
	if e := wait(t, taken); e.Deadline < before {
		t.Errorf("a deadline that was over before the last byte: %v before", before-e.Deadline)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%+v, %v", resp, err)
	}
}

// A caller that stands still amid a body of any length has an error in time, and its server is let go.
func TestCallerStandsStill(t *testing.T) {
	t.Parallel()
	if bodyStall >= 3*time.Second || firstBody >= 3*time.Second {
		t.Errorf("peers that stand still are borne for %v", bodyStall)
	}
	closed := make(chan struct{})
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		io.Copy(io.Discard, r)
		close(closed)
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	for name, sent := range map[string]int{"at the start": 0, "amid what is held": 1000, "amid the rest": 500_000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, n.Addr().String())
			io.WriteString(conn, head("POST", "/order/1", "Content-Length: 1000000\r\n"))
			conn.Write(make([]byte, sent))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("%+v, %v", resp, err)
			}
			if sent > maxBody {
				wait(t, closed)
			}
		})
	}
}

// A body over the most that one may be is refused by its head, or when it has gone too far.
func TestBodyTooLong(t *testing.T) {
	t.Parallel()
	addr, got := stub(t, ok, false)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	for name, more := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", maxLong+1),
		"chunks": "Transfer-Encoding: chunked\r\n"} {
		conn := dial(t, n.Addr().String())
		io.WriteString(conn, head("POST", "/order/1", more))
		if name == "chunks" {
			go func() {
				fmt.Fprintf(conn, "%x\r\n", maxLong+1)
				conn.Write(make([]byte, maxLong+1))
			}()
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
	}
	if len(got) > 0 {
		t.Error("a body that is too long reached the server")
	}
}

// What stands inside a long body is no request, also when the answer comes before the body's end.
func TestRequestInsideALongBody(t *testing.T) {
	t.Parallel()
	addr, got := stub(t, ok, false)
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), moduleFunc(func(e balancer.Event) []balancer.Action {
		if e, is := e.(balancer.Request); is {
			if e.StreamingBody {
				return []balancer.Action{balancer.Reject{ID: e.ID}}
			}
			return []balancer.Action{balancer.Send{ID: e.ID, Endpoint: "s"}}
		}
		return nil
	}))
	conn := dial(t, n.Addr().String())
	r := bufio.NewReader(conn)
	inner := head("GET", "/read/inner", "")
	body := strings.Repeat("x", maxBody+1) + inner
	go io.WriteString(conn, head("POST", "/order/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body+inner)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	if rest, err := io.ReadAll(r); len(rest) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a second answer: %q, %v", rest, err)
	}
	if len(got) > 0 {
		t.Error("what stood in a body was sent on")
	}
}

// A download holds no more than it may, and its two ends wait for each other.
func TestDownloadIsBounded(t *testing.T) {
	t.Parallel()
	const size = 10 * maxBody
	begun := make(chan struct{})
	d := newDownload("", -1, func() {})
	filled := make(chan error, 1)
	source := &countingReader{r: strings.NewReader(text(size))}
	go func() {
		filled <- d.fill(source, func() {
			if d.begin() {
				close(begun)
			}
		})
	}()
	wait(t, begun)
	if n := source.read(); n > maxBody+2*piece {
		t.Errorf("%d bytes were read that nobody has asked for", n)
	}
	var out bytes.Buffer
	if _, err := io.Copy(&out, d); err != nil || out.String() != text(size) {
		t.Errorf("%d bytes came, %v", out.Len(), err)
	}
	if err := wait(t, filled); err != nil {
		t.Error(err)
	}
}

type countingReader struct {
	r  io.Reader
	mu sync.Mutex
	n  int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	return n, err
}

func (c *countingReader) read() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// Bodies that are held wait for room, and answers never wait for requests.
func TestBudget(t *testing.T) {
	t.Parallel()
	b := newBudget(2 * maxBody)
	release, err := hold(t.Context(), b.requests, -1)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() {
		again, err := hold(t.Context(), b.requests, maxBody)
		if err == nil {
			again()
		}
		got <- err
	}()
	if free, err := hold(t.Context(), b.answers, maxLong); err != nil {
		t.Error(err)
	} else {
		free()
	}
	if small, err := hold(t.Context(), b.requests, uncounted); err != nil {
		t.Error(err)
	} else {
		small()
	}
	select {
	case <-got:
		t.Error("more is held than there is room for")
	default:
	}
	release()
	if err := wait(t, got); err != nil {
		t.Error(err)
	}
}

// Whoever is sent away keeps no place by a body that never comes.
func TestUnreadBodyHoldsNoPlace(t *testing.T) {
	t.Parallel()
	n := startNode(t, testConfig("127.0.0.1:1"), nil)
	for request, status := range map[string]int{
		head("POST", "/nothing/1", "Content-Length: 1000\r\n"):            404,
		head("POST", "/nothing/1", "Transfer-Encoding: chunked\r\n"):      404,
		head("PUT", "/order/1", "Content-Length: 1000\r\n"):               400,
		head("POST", "/order/1", "Content-Length: 99999999999\r\n"):       413,
		head("GET", "/health/ready", "Content-Length: 1000\r\n"):          200,
		head("POST", "/order/1", "Expect: x\r\nContent-Length: 1000\r\n"): 417,
	} {
		t.Run(strings.Fields(request)[1]+strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			conn := dial(t, n.Addr().String())
			io.WriteString(conn, request)
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != status {
				t.Fatalf("%+v, %v", resp, err)
			}
			if _, err := io.Copy(io.Discard, r); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stays")
			}
		})
	}
}

// Requests that follow each other without waiting are answered in their order, bodies among them.
func TestPipelined(t *testing.T) {
	t.Parallel()
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n, _ := io.Copy(io.Discard, req.Body)
			answer := fmt.Sprintf("%s %d", req.RequestURI, n)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		}
	})
	n := startNode(t, testConfig("127.0.0.1:1", serving("s", addr)), nil)
	conn := dial(t, n.Addr().String())
	go io.WriteString(conn, head("GET", "/read/1", "")+head("POST", "/order/2", "Content-Length: 5\r\n")+"12345"+
		head("POST", "/order/3", "Content-Length: 100000\r\n")+text(100000)+head("GET", "/read/4", ""))
	r := bufio.NewReader(conn)
	for _, want := range []string{"/read/1 0", "/order/2 5", "/order/3 100000", "/read/4 0"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", want, err)
		}
		if b, err := io.ReadAll(resp.Body); string(b) != want {
			t.Errorf("%q, %v, want %q", b, err, want)
		}
	}
}

// A process that is told to stop does not break off a long answer, however long that goes on.
func TestStopLeavesALongAnswerWhole(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\nx")
			<-release
			io.WriteString(c, strings.Repeat("x", 69999))
		}
	})
	n, err := New(testConfig("127.0.0.1:1", serving("s", addr)))
	if err != nil {
		t.Fatal(err)
	}
	n.patience.Store(0) // all that can be answered is to be answered at once
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	conn := dial(t, n.Addr().String())
	io.WriteString(conn, head("GET", "/read/1", ""))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	stop()
	time.Sleep(killedAfter + lastCall)
	select {
	case err := <-done:
		t.Errorf("ended amid an answer: %v", err)
	default:
	}
	close(release)
	if b, err := io.ReadAll(resp.Body); err != nil || len(b) != 70000 {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	if err := wait(t, done); err != nil {
		t.Error(err)
	}
}
