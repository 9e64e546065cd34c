package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// limit is how long anything may take that has to happen.
const limit = 20 * time.Second

// echo answers each line with itself.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func start(t *testing.T) *Relay {
	t.Helper()
	r, err := Listen("127.0.0.1", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", r.Addr(), limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// ask sends a line and gives what comes back within d.
func ask(c net.Conn, line string, d time.Duration) (string, error) {
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	return hear(c, d)
}

func hear(c net.Conn, d time.Duration) (string, error) {
	c.SetReadDeadline(time.Now().Add(d))
	s, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSuffix(s, "\n"), err
}

func put(t *testing.T, r *Relay, e *Impairment) *Impairment {
	t.Helper()
	if err := r.Add(e); err != nil {
		t.Fatal(err)
	}
	return e
}

func take(t *testing.T, r *Relay, e *Impairment) {
	t.Helper()
	if err := r.Remove(e); err != nil {
		t.Fatal(err)
	}
}

func want(t *testing.T, c net.Conn, line string) {
	t.Helper()
	if got, err := ask(c, line, limit); err != nil || got != line {
		t.Fatalf("got %q, %v, want %q", got, err, line)
	}
}

// While a link is silent either way nothing comes through and no connection comes up. Afterwards what was
// written arrives, once.
func TestSilence(t *testing.T) {
	for _, e := range []*Impairment{{Stall: true, ToTarget: true}, {Stall: true, FromTarget: true}, {Stall: true, ToTarget: true, FromTarget: true}} {
		r := start(t)
		c := dial(t, r)
		want(t, c, "before")
		put(t, r, e)
		if got, err := ask(c, "during", 50*time.Millisecond); err == nil {
			t.Errorf("%+v: heard %q", e, got)
		}
		if c, err := net.DialTimeout("tcp", r.Addr(), 100*time.Millisecond); err == nil {
			c.Close()
			t.Errorf("%+v: a connection came up", e)
		}
		take(t, r, e)
		if got, err := hear(c, limit); err != nil || got != "during" {
			t.Errorf("%+v: after it %q, %v", e, got, err)
		}
		want(t, dial(t, r), "new")
	}
}

// What is written into a silence arrives after it, though its sender has closed by then; one that has reset its
// connection has taken it back.
func TestTakenBack(t *testing.T) {
	for reset, want := range map[bool]string{false: "before\nduring\n", true: "before\n"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		got := make(chan string, 100)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			var all strings.Builder
			for buf := make([]byte, 100); ; {
				n, err := c.Read(buf)
				all.Write(buf[:n])
				if n > 0 || err != nil {
					got <- all.String()
				}
				if err != nil {
					close(got)
					return
				}
			}
		}()
		r, err := Listen("127.0.0.1", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		c := dial(t, r)
		io.WriteString(c, "before\n")
		<-got
		e := put(t, r, &Impairment{Stall: true, ToTarget: true})
		io.WriteString(c, "during\n")
		for held, end := 0, time.Now().Add(limit); held == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			r.mu.Lock()
			held = r.stalledCopies
			r.mu.Unlock()
		}
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		take(t, r, e)
		last := ""
		for s := range got {
			last = s
		}
		if last != want {
			t.Errorf("reset %v: %q arrived, want %q", reset, last, want)
		}
	}
}

// A silence within another lasts as long as either, and a refusal ends when its own time does.
func TestOverlap(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	want(t, c, "before") // it has been taken, and does not wait in the backlog that a refusal empties
	first, second := put(t, r, &Impairment{Stall: true, ToTarget: true}), put(t, r, &Impairment{Stall: true, ToTarget: true})
	refuse := put(t, r, &Impairment{Refuse: true})
	take(t, r, first)
	if got, err := ask(c, "held", 50*time.Millisecond); err == nil {
		t.Errorf("heard %q in the second silence", got)
	}
	take(t, r, second)
	if got, err := hear(c, limit); err != nil || got != "held" {
		t.Errorf("after both silences %q, %v", got, err)
	}
	if _, err := net.DialTimeout("tcp", r.Addr(), limit); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("while it refuses: %v", err)
	}
	take(t, r, refuse)
	want(t, dial(t, r), "open again")
	take(t, r, refuse) // twice is none too many
}

func TestReset(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	want(t, c, "before")
	r.Reset()
	if _, err := hear(c, limit); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
	want(t, dial(t, r), "after")
}

// Delays add up, each way that is hit; a rate holds bytes back.
func TestDelayAndRate(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	put(t, r, &Impairment{Delay: 30 * time.Millisecond, ToTarget: true})
	put(t, r, &Impairment{Delay: 20 * time.Millisecond, ToTarget: true, FromTarget: true})
	began := time.Now()
	want(t, c, "delayed")
	if took := time.Since(began); took < 70*time.Millisecond {
		t.Errorf("%v there and back, want 70ms or more", took)
	}
	put(t, r, &Impairment{BytesPerSecond: 1000, FromTarget: true})
	began = time.Now()
	want(t, c, strings.Repeat("x", 100))
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("101 bytes took %v at 1000 bytes/s", took)
	}
}
