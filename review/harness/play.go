package main

import (
	"bufio"
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

const (
	// readyTimeout is how long a program may take until it serves.
	readyTimeout = 20 * time.Second
	// readyPoll is the interval at which a program is asked whether it serves.
	readyPoll = 20 * time.Millisecond
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	text    *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, text: bufio.NewWriter(file), started: time.Now()}, nil
}

// write writes one line, with the time since the start in seconds.
func (r *record) write(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%9.4f %s\n", time.Since(r.started).Seconds(), line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.Flush()
	r.file.Close()
}

// play is one run of a case. Its methods are safe for concurrent use.
type play struct {
	record  *record
	dir     string // for the files of the programs
	trouble bool   // the disruption takes place

	mu        sync.Mutex
	processes []*process
	stopped   bool
}

// notef writes a line to the record.
func (p *play) notef(format string, args ...any) { p.record.write(fmt.Sprintf(format, args...)) }

// logf writes a line to the record and to standard output.
func (p *play) logf(format string, args ...any) {
	p.notef(format, args...)
	fmt.Printf(format+"\n", args...)
}

// process is a program that the case has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	ended  chan struct{} // closed when the program has ended
	killed bool          // the case has killed it; guarded by play.mu
}

// start runs a command with /bin/sh -c, from the root of the repository, in a process group of its own. The kernel ends the
// program if the harness dies.
func (p *play) start(name, command string, environment ...string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, fmt.Errorf("%s is not started: the case ends", name)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+p.dir), environment...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, in := io.Pipe()
	cmd.Stdout, cmd.Stderr = in, in
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	p.processes = append(p.processes, started)
	p.notef("%s: started: %s", name, strings.ReplaceAll(command, p.dir, "$TMP"))
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.notef("%s: log: %s", name, strings.ReplaceAll(lines.Text(), p.dir, "$TMP"))
		}
		_, _ = io.Copy(io.Discard, out) // an overlong line ends the scanner, and must not block the program
	}()
	go func() {
		err := cmd.Wait()
		in.Close()
		p.mu.Lock()
		killed := started.killed
		p.mu.Unlock()
		p.notef("%s: ended, killed by the case: %v, %v", name, killed, err)
		close(started.ended)
	}()
	return started, nil
}

// kill ends a program with SIGKILL, and waits for its end.
func (p *play) kill(started *process) {
	p.mu.Lock()
	started.killed = true
	p.mu.Unlock()
	syscall.Kill(-started.cmd.Process.Pid, syscall.SIGKILL) //nolint:errcheck // fails only if the group has ended
	<-started.ended
}

// stopAll kills all programs of the case.
func (p *play) stopAll() {
	p.mu.Lock()
	p.stopped = true
	processes := p.processes
	p.mu.Unlock()
	for _, each := range processes {
		p.kill(each)
	}
}

// writeFile writes a file of the case and returns its path.
func (p *play) writeFile(name, text string) (string, error) {
	path := filepath.Join(p.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// host is the loopback address of this run. Each run has its own, so that no connection of another takes a port between the choice
// of an address and its use.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))

// listen listens on a free port of this run's address.
func listen() (net.Listener, error) { return net.Listen("tcp", net.JoinHostPort(host, "0")) }

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// isOK reports whether a URL answers 200.
func isOK(url string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitOK waits until a URL answers 200.
func awaitOK(url string) error {
	return awaitTrue(url+" answers 200", readyTimeout, func() bool { return isOK(url) })
}

// awaitTrue waits until ok returns true.
func awaitTrue(what string, within time.Duration, ok func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(readyPoll) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, within)
}
