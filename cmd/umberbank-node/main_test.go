package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const limit = 60 * time.Second

// program is the command that runs the program: as the deploy file says where .ci/run names it, else built here, once.
var program = sync.OnceValues(func() (string, error) {
	if run := os.Getenv("NODE_RUN"); run != "" {
		return run, nil
	}
	dir, err := os.MkdirTemp("", "umberbank-node-test-")
	if err != nil {
		return "", err
	}
	built = dir
	bin := filepath.Join(dir, "umberbank-node")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return "exec " + bin, nil
})

// built is the folder that program has made, if it has.
var built string

func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		os.RemoveAll(built)
	}
	os.Exit(code)
}

// command starts the program, after the shell commands of first.
func command(t *testing.T, config string, first ...string) *exec.Cmd {
	t.Helper()
	run, err := program()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", strings.Join(first, "")+run)
	cmd.Dir = "../.."
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	return cmd
}

// configFor writes the configuration of a node with one server, and gives its text too.
func configFor(t *testing.T, server *httptest.Server, discovery, mode string) (path, text string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	text = fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":%q,"az":"a","state":"SERVING"}]},
		"settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":2000}],"limits":{"max-attempts":3},"registry-mode":%q}}`,
		discovery, strings.TrimPrefix(server.URL, "http://"), mode)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, text
}

// Signals that come amid each other: told to end twice, with a new configuration between, the program answers what it
// has in hand and exits with 0; so it does when it is told before it is ready.
func TestProgramSignalsCross(t *testing.T) {
	came, hold := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(came)
		<-hold
		io.WriteString(w, "late")
	}))
	defer server.Close()
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	defer silent.CloseClientConnections()
	for name, signals := range map[string][]syscall.Signal{
		"before it is ready": {syscall.SIGTERM}, "amid a request": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		config, _ := configFor(t, server, strings.TrimPrefix(silent.URL, "http://"), "pushed")
		p := begin(t, config)
		got := make(chan string, 1)
		if len(signals) > 1 {
			go func() { got <- p.get("/read/1") }()
			<-came
		} else {
			got <- "200 late"
		}
		for _, s := range signals {
			if err := p.cmd.Process.Signal(s); err != nil {
				t.Fatal(err)
			}
		}
		if len(signals) > 1 {
			eventually(t, "a new configuration in the log", func() bool { return strings.Contains(p.log(), "reloaded: ") })
			close(hold)
		}
		ended := make(chan error, 1)
		go func() { ended <- p.cmd.Wait() }()
		select {
		case err := <-ended:
			if answer := <-got; err != nil || answer != "200 late" {
				t.Errorf("%s: %v, answer %q", name, err, answer)
			}
		case <-time.After(limit):
			t.Errorf("%s: still running", name)
		}
	}
}

// Clients that rest on as many connections as they like, under the limit of descriptors that the configuration tells and
// with discovery silent: the questions to discovery, a call to the server, the second address and a true request still
// find theirs.
func TestProgramDescriptorsRunShort(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	var asked atomic.Int64
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		<-r.Context().Done()
	}))
	defer silent.Close()
	defer silent.CloseClientConnections()
	config, text := configFor(t, server, strings.TrimPrefix(silent.URL, "http://"), "pushed")
	text = strings.Replace(text, `"sockets":1024`, `"sockets":96`, 1)
	text = strings.Replace(text, `"seed"`, `"control":"127.0.0.1:0","seed"`, 1)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := begin(t, config, "ulimit -n 96; ")
	for range 150 {
		c, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	before := asked.Load()
	if got := p.get("/read/1"); got != "200 served" {
		t.Errorf("a true request: %q", got)
	}
	eventually(t, "more questions to discovery", func() bool { return asked.Load() > before+10 })
	if strings.Contains(p.log(), "too many open files") {
		t.Errorf("descriptors ran out: %s", p.log())
	}
}

// The whole program: it gets ready, serves a request, and ends with 0 on SIGTERM.
func TestProgram(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	defer server.Close()
	config, text := configFor(t, server, "127.0.0.1:1", "on_request")
	p := begin(t, config)
	if got := p.get("/health/ready"); got != "200 " {
		t.Errorf("ready: %q", got)
	}
	if got := p.get("/read/1"); got != "200 c-1" {
		t.Errorf("request: %q", got)
	}
	// A hangup moves the node to another discovery; it serves on. A file that makes no sense changes nothing.
	for _, next := range []struct{ text, logged string }{
		{"nonsense", "reload: "},
		{strings.Replace(text, "127.0.0.1:1", "127.0.0.1:2", 1), "reloaded: discovery at 127.0.0.1:2"},
	} {
		if err := os.WriteFile(config, []byte(next.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, fmt.Sprintf("%q in the log", next.logged), func() bool { return strings.Contains(p.log(), next.logged) })
	}
	if got := p.get("/read/1"); got != "200 c-1" {
		t.Errorf("after the reload: %q", got)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("after SIGTERM: %v", err)
		}
	case <-time.After(limit):
		t.Error("still running after SIGTERM")
	}
}

// A configuration that is missing or malformed: one plain line and exit 1.
func TestProgramBadConfig(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(bad, []byte(`{"listen":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, config := range []string{"", filepath.Join(t.TempDir(), "none"), bad} {
		cmd := command(t, config)
		var stdout, stderr bytes.Buffer
		cmd.Stdout, cmd.Stderr = &stdout, &stderr
		err := cmd.Run()
		if exit := new(exec.ExitError); !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("config %q: %v", config, err)
		}
		if s := stderr.String(); strings.Count(s, "\n") != 1 || !strings.HasPrefix(s, "umberbank-node: ") || stdout.Len() > 0 {
			t.Errorf("config %q: standard error %q, output %q", config, s, stdout.String())
		}
	}
}

// An inherited descriptor that is none, or no listening socket, fails the start with one plain line.
func TestProgramBadDescriptor(t *testing.T) {
	config := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
		"settings":{"lanes":[{"name":"read","effect":"read_like","target-ms":1000,"deadline-ms":2000}],"limits":{"max-attempts":3}}}`
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, fd := range []string{"x", "-1", "1", "99"} {
		cmd := command(t, config)
		cmd.Env = append(cmd.Env, "ROUTER_ACCEPT_FD="+fd)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		if exit := new(exec.ExitError); !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("descriptor %q: %v", fd, err)
		}
		if s := stderr.String(); strings.Count(s, "\n") != 1 || !strings.Contains(s, "descriptor") {
			t.Errorf("descriptor %q: standard error %q", fd, s)
		}
	}
}
