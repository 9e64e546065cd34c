package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// loopback is the loopback address on which this run listens itself, and programLoopback the one of the programs that it starts, so
// that nothing else takes a port between its choice and its use.
var (
	loopback        = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
	programLoopback = fmt.Sprintf("127.%d.%d.%d", 128+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254))
)

// givenAddrs are the addresses that freeAddr has returned.
var givenAddrs = map[string]bool{}

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 5 * time.Second

// site is what one case has started, and its record.
type site struct {
	dir     string // temporary folder
	started time.Time
	trouble bool // false: without the disruption

	mu        sync.Mutex
	file      *os.File
	processes []*process
	closers   []io.Closer
}

// newSite creates a site that writes its record to a file.
func newSite(recordFile string) (*site, error) {
	for _, program := range []string{"bin/umberbank", "bin/umberbank-node"} {
		if _, err := os.Stat(program); err != nil {
			return nil, fmt.Errorf("build the programs first: %w", err)
		}
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &site{dir: dir, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", file: file}, nil
}

// record writes a line with the time since the start to the record.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.file, "%9.4f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// path returns the path of a file in the temporary folder.
func (s *site) path(name string) string { return filepath.Join(s.dir, name) }

// write writes a file in the temporary folder and returns its path.
func (s *site) write(name, text string) (string, error) {
	return s.path(name), os.WriteFile(s.path(name), []byte(text), 0o600)
}

// onClose makes the site close c at its end.
func (s *site) onClose(c io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, c)
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	s.mu.Lock()
	processes, closers := s.processes, s.closers
	s.mu.Unlock()
	var ending sync.WaitGroup
	for _, p := range processes {
		ending.Go(p.stop)
	}
	ending.Wait()
	for _, c := range closers {
		c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.file.Close()
	os.RemoveAll(s.dir)
}

// process is a program that the site has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts a program. Its output goes to a file in the temporary folder.
func (s *site) start(name string, env []string, command ...string) (*process, error) {
	output, err := os.Create(s.path(name + ".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		_ = cmd.Wait() // the processes are ended by signals
	}()
	s.record("started %s: %s", name, strings.Join(command, " "))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// stop ends the process with SIGTERM and, after stopTimeout, with SIGKILL.
func (p *process) stop() {
	if p.hasExited() {
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// run runs a program to its end and returns its output and its exit code.
func (s *site) run(command ...string) (output string, code int, err error) {
	var out bytes.Buffer
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = &out, &out
	err = cmd.Run()
	if cmd.ProcessState == nil {
		return "", 0, err
	}
	code = cmd.ProcessState.ExitCode()
	s.record("ran %s: exit code %d\n%s", strings.Join(command, " "), code, strings.TrimRight(out.String(), "\n"))
	return out.String(), code, nil
}

// freeAddr returns a free address on loopback for a program. It returns each address once, and is called by one goroutine.
func freeAddr() (string, error) {
	for {
		l, err := net.Listen("tcp", programLoopback+":0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !givenAddrs[addr] {
			givenAddrs[addr] = true
			return addr, nil
		}
	}
}

// eventually waits until ok returns true.
func eventually(what string, within time.Duration, ok func() bool) error {
	for end := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, within)
		}
	}
	return nil
}

// status returns the status of the response to a GET, or 0 without a response.
func status(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
