package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/internal/durable"
)

// testTimeout limits each request and each wait for an effect.
const testTimeout = 60 * time.Second

// program returns the shell command that runs the program. It is the value of NODE_RUN, which .ci/run takes from the deploy file,
// or else runs a binary that the first call builds.
var program = sync.OnceValues(func() (string, error) {
	if run := os.Getenv("NODE_RUN"); run != "" {
		return run, nil
	}
	dir, err := os.MkdirTemp("", "umberbank-node-test-")
	if err != nil {
		return "", err
	}
	builtDir = dir
	bin := filepath.Join(dir, "umberbank-node")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return "exec " + bin, nil
})

// builtDir is the directory of the binary, empty if none was built.
var builtDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if builtDir != "" {
		os.RemoveAll(builtDir)
	}
	os.Exit(code)
}

// programCommand returns a command that executes the shell commands in first and then runs the program with a configuration.
func programCommand(t *testing.T, config string, first ...string) *exec.Cmd {
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

// process is a running program and the lines that it has logged.
type process struct {
	cmd    *exec.Cmd
	listen string

	mu    sync.Mutex
	lines []string
}

// startProgram executes the shell commands in first, starts the program and waits until it listens.
func startProgram(t *testing.T, config string, first ...string) *process {
	t.Helper()
	return startCommand(t, programCommand(t, config, first...))
}

// startCommand starts a program and waits until it listens.
func startCommand(t *testing.T, cmd *exec.Cmd) *process {
	t.Helper()
	p := &process{cmd: cmd}
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
			if _, listen, found := strings.Cut(lines.Text(), "listening on "); found {
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
	_ = p.cmd.Wait() // always an error, as the process was killed
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
	resp, err := (&http.Client{Timeout: testTimeout}).Do(r)
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

// eventually waits until ok returns true, and fails the test after testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

// savedSnapshots returns the snapshot files in a directory, from oldest to newest.
func savedSnapshots(t *testing.T, dir string) []string {
	t.Helper()
	l, err := filepath.Glob(filepath.Join(dir, "*"+durable.SnapshotSuffix))
	if err != nil {
		t.Fatal(err)
	}
	return l
}
