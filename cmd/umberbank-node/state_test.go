package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/internal/durable"
)

// process is the program as it runs.
type process struct {
	cmd    *exec.Cmd
	listen string

	mu    sync.Mutex
	lines []string
}

// begin starts the program, after shell commands if there are any, and waits until it listens.
func begin(t *testing.T, config string, first ...string) *process {
	t.Helper()
	p := &process{cmd: command(t, config, first...)}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	listens := make(chan string, 1)
	go func() {
		defer close(listens)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.mu.Lock()
			p.lines = append(p.lines, lines.Text())
			p.mu.Unlock()
			if _, listen, is := strings.Cut(lines.Text(), "listening on "); is {
				listens <- listen
			}
		}
	}()
	if p.listen = <-listens; p.listen == "" {
		t.Fatalf("the program ended before it listened: %s", p.log())
	}
	return p
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	_ = p.cmd.Wait() // killed
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

func (p *process) get(path string) string {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.listen+path, nil)
	if err != nil {
		return err.Error()
	}
	r.Header.Set("X-Correlation-Id", "c-1")
	r.Header.Set("X-Time-Left", "30000m")
	resp, err := (&http.Client{Timeout: limit}).Do(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, b)
}

// eventually waits until ok.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// saved are the snapshots in a folder, the newest last.
func saved(t *testing.T, dir string) []string {
	t.Helper()
	l, err := filepath.Glob(filepath.Join(dir, "*"+durable.SnapshotSuffix))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A process is killed and another begins on what it kept, in whatever state that is: it always serves, and says what it
// has taken over and what it has passed over.
func TestProgramKeepsState(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	dir := t.TempDir()
	state := filepath.Join(dir, "state")
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","state":{"dir":%q,"every_ms":20,"max_age_ms":3600000},
		"known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":%q,"az":"a","state":"SERVING"}]},
		"settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":2000}],"limits":{"max-attempts":3},"registry-mode":"on_request"}}`,
		state, strings.TrimPrefix(server.URL, "http://"))
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	spoil := func(t *testing.T, files ...string) {
		for _, f := range files {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			text[len(text)/2] ^= 4
			if err := os.WriteFile(f, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, c := range []struct {
		name    string
		between func(t *testing.T, files []string)
		want    []string // in the log
	}{
		{"whole", func(*testing.T, []string) {}, []string{"knows 1 servers"}},
		{"newest flipped", func(t *testing.T, l []string) { spoil(t, l[len(l)-1]) }, []string{"passed over", "the checksum does not fit", "knows 1 servers"}},
		{"all flipped", func(t *testing.T, l []string) { spoil(t, l...) }, []string{"passed over"}},
		{"newest empty", func(t *testing.T, l []string) {
			if err := os.Truncate(l[len(l)-1], 0); err != nil {
				t.Fatal(err)
			}
		}, []string{"no state of this program", "knows 1 servers"}},
		{"of a newer version", func(t *testing.T, l []string) {
			s, err := durable.Open(durable.Options{Dir: state, Kind: "node", Schema: 99})
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(s.Save([]byte("{}"), time.Now()), s.Close()); err != nil {
				t.Fatal(err)
			}
		}, []string{"newer version", "knows 1 servers"}},
		{"of tomorrow", func(t *testing.T, l []string) {
			s, err := durable.Open(durable.Options{Dir: state, Kind: "node", Schema: 1})
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(s.Save([]byte("{}"), time.Now().Add(24*time.Hour)), s.Close()); err != nil {
				t.Fatal(err)
			}
		}, []string{"the clock has gone back", "knows 1 servers"}},
		{"the folder is a file", func(t *testing.T, l []string) {
			if err := errors.Join(os.RemoveAll(state), os.WriteFile(state, nil, 0o600)); err != nil {
				t.Fatal(err)
			}
		}, []string{"passed over", "not a directory"}},
		{"in use", func(t *testing.T, l []string) {
			lock, err := durable.LockDir(state)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { lock.Close() })
		}, []string{"another process keeps its state there"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.RemoveAll(state); err != nil {
				t.Fatal(err)
			}
			first := begin(t, config)
			for range 4 { // as many answers as it takes to know a server
				if got := first.get("/read/1"); got != "200 served" {
					t.Fatalf("before: %q", got)
				}
			}
			learned := func() bool { // the last two know the server, as one of them may be spoilt
				l := saved(t, state)
				if len(l) < 3 {
					return false
				}
				for _, f := range l[len(l)-2:] {
					s, err := durable.ReadFile(f)
					if err != nil || !strings.Contains(string(s.Payload), `"samples"`) {
						return false
					}
				}
				return true
			}
			eventually(t, "two snapshots that know the server", learned)
			first.kill()
			c.between(t, saved(t, state))
			second := begin(t, config)
			if got := second.get("/health/ready"); got != "200 " {
				t.Errorf("ready: %q", got)
			}
			if got := second.get("/read/1"); got != "200 served" {
				t.Errorf("after: %q", got)
			}
			for _, want := range c.want {
				eventually(t, fmt.Sprintf("%q in the log", want), func() bool { return strings.Contains(second.log(), want) })
			}
		})
	}
}
