package process

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// Process is a program that can be killed, stopped and started again. Its methods may be called by any goroutine.
type Process struct {
	Launcher *Launcher
	Args     []string // of its command
	LogPath  string   // a file for what it writes, over all its starts

	mu      sync.Mutex
	command []string
	cmd     *exec.Cmd // nil: it does not run
	ended   chan struct{}
}

// SetCommand says what its next start runs, before Args.
func (p *Process) SetCommand(command []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = command
}

// Start starts it if it does not run, or has ended by itself.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.ended:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.command[0], append(p.command[1:len(p.command):len(p.command)], p.Args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := p.Launcher.Start(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		cmd.Wait() // killed, or ended by itself: nothing is served then, which the run shows
		close(ended)
	}()
	return nil
}

// Kill kills it, as a crash does.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Kill()
		<-p.ended
		p.cmd = nil
	}
}

// Signal gives it a signal, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// Done is closed when the process that it runs as has ended; nil: it does not run.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.ended
}

// Pid is the process that it runs as; 0: it does not run.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// LogTail is the end of what it wrote.
func (p *Process) LogTail() string {
	text, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-800):]))
}
