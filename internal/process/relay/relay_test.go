package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// testTimeout limits the wait for an expected event.
	testTimeout = 20 * time.Second
	// quietTime is how long a test waits to check that no data arrives.
	quietTime = 50 * time.Millisecond
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// startEcho starts a server that sends back what it receives, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // ends with the connection
			}()
		}
	}()
	return ln.Addr().String()
}

// startRelay starts a relay in front of an echo server.
func startRelay(t *testing.T) *Relay {
	t.Helper()
	return startRelayTo(t, startEcho(t))
}

func startRelayTo(t *testing.T, target string) *Relay {
	t.Helper()
	r, err := Listen("127.0.0.1", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) *net.TCPConn {
	t.Helper()
	c, err := net.DialTimeout("tcp", r.Addr(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive returns the line that arrives within d.
func receive(t *testing.T, c net.Conn, d time.Duration) (string, error) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		t.Fatal(err)
	}
	s, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSuffix(s, "\n"), err
}

func add(t *testing.T, r *Relay, i *Impairment) *Impairment {
	t.Helper()
	if err := r.Add(i); err != nil {
		t.Fatal(err)
	}
	return i
}

func remove(t *testing.T, r *Relay, i *Impairment) {
	t.Helper()
	if err := r.Remove(i); err != nil {
		t.Fatal(err)
	}
}

// checkEcho sends a line and checks that it comes back.
func checkEcho(t *testing.T, c net.Conn, line string) {
	t.Helper()
	send(t, c, line+"\n")
	if got, err := receive(t, c, testTimeout); err != nil || got != line {
		t.Fatalf("received %q, %v, want %q", got, err, line)
	}
}

// checkSilent sends a line and checks that nothing comes back within quietTime.
func checkSilent(t *testing.T, c net.Conn, line string) {
	t.Helper()
	send(t, c, line+"\n")
	if got, err := receive(t, c, quietTime); err == nil {
		t.Errorf("received %q", got)
	}
}

// checkReceives checks that a line arrives.
func checkReceives(t *testing.T, c net.Conn, line string) {
	t.Helper()
	if got, err := receive(t, c, testTimeout); err != nil || got != line {
		t.Errorf("received %q, %v, want %q", got, err, line)
	}
}

// While either direction stalls, nothing comes back and no connection is established. After the stall, the data written during
// it arrives once.
func TestStall(t *testing.T) {
	for _, i := range []*Impairment{{Stall: true, ToTarget: true}, {Stall: true, FromTarget: true}, {Stall: true, ToTarget: true, FromTarget: true}} {
		t.Run(fmt.Sprintf("to target %v, from target %v", i.ToTarget, i.FromTarget), func(t *testing.T) {
			r := startRelay(t)
			c := dial(t, r)
			checkEcho(t, c, "before")
			add(t, r, i)
			checkSilent(t, c, "during")
			if c, err := net.DialTimeout("tcp", r.Addr(), 2*quietTime); err == nil {
				c.Close()
				t.Error("a connection was established")
			}
			remove(t, r, i)
			checkReceives(t, c, "during")
			checkEcho(t, dial(t, r), "new")
		})
	}
}

// Data written during a stall arrives after it, even if the sender has closed the connection in the meantime. If the sender has
// reset the connection, the data is discarded.
func TestCloseDuringStall(t *testing.T) {
	for _, c := range []struct {
		name  string
		reset bool
		want  string
	}{
		{"closed", false, "before\nduring\n"},
		{"reset", true, "before\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln := listen(t)
			received := make(chan string, 100)
			go receiveAll(ln, received)
			r := startRelayTo(t, ln.Addr().String())
			conn := dial(t, r)
			send(t, conn, "before\n")
			<-received
			i := add(t, r, &Impairment{Stall: true, ToTarget: true})
			send(t, conn, "during\n")
			waitForStalledCopy(t, r)
			if c.reset {
				conn.SetLinger(0)
			}
			conn.Close()
			remove(t, r, i)
			all := ""
			for all = range received {
			}
			if all != c.want {
				t.Errorf("%q arrived, want %q", all, c.want)
			}
		})
	}
}

// receiveAll accepts one connection. After each read it sends all data received so far, until the connection ends.
func receiveAll(ln net.Listener, received chan<- string) {
	defer close(received)
	c, err := ln.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	var all strings.Builder
	for buf := make([]byte, 100); ; {
		n, err := c.Read(buf)
		all.Write(buf[:n])
		received <- all.String()
		if err != nil {
			return
		}
	}
}

// waitForStalledCopy waits until a stalled direction holds data.
func waitForStalledCopy(t *testing.T, r *Relay) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		stalled := r.stalledCopies
		r.mu.Unlock()
		if stalled > 0 {
			return
		}
	}
	t.Fatal("no direction was stalled")
}

// Overlapping stalls last until the last one is removed. A refusal lasts until it is removed.
func TestOverlappingImpairments(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	checkEcho(t, c, "before") // makes sure that the connection is accepted: a refusal resets those in the backlog
	first, second := add(t, r, &Impairment{Stall: true, ToTarget: true}), add(t, r, &Impairment{Stall: true, ToTarget: true})
	refuse := add(t, r, &Impairment{Refuse: true})
	remove(t, r, first)
	checkSilent(t, c, "held")
	remove(t, r, second)
	checkReceives(t, c, "held")
	if _, err := net.DialTimeout("tcp", r.Addr(), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial during a refusal: %v", err)
	}
	remove(t, r, refuse)
	checkEcho(t, dial(t, r), "after refusal")
	remove(t, r, refuse) // removing it again does nothing
}

func TestReset(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	checkEcho(t, c, "before")
	r.Reset()
	if _, err := receive(t, c, testTimeout); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
	checkEcho(t, dial(t, r), "after")
}

// Delays in the same direction add up. A rate limit delays data.
func TestDelayAndRate(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	add(t, r, &Impairment{Delay: 30 * time.Millisecond, ToTarget: true})
	add(t, r, &Impairment{Delay: 20 * time.Millisecond, ToTarget: true, FromTarget: true})
	start := time.Now()
	checkEcho(t, c, "delayed")
	if took := time.Since(start); took < 70*time.Millisecond {
		t.Errorf("round trip took %v, want at least 70ms", took)
	}
	add(t, r, &Impairment{BytesPerSecond: 1000, FromTarget: true})
	start = time.Now()
	checkEcho(t, c, strings.Repeat("x", 100))
	if took := time.Since(start); took < 150*time.Millisecond {
		t.Errorf("101 bytes took %v at 1000 bytes/s, want at least 150ms", took)
	}
}
