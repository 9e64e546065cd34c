package process

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// Process is a program that can be killed, signalled and started again. Set the exported fields before the first Start; the
// methods may then be called by any goroutine.
type Process struct {
	Launcher *Launcher
	Args     []string // arguments, after the command of SetCommand
	LogPath  string   // file to which the output of every run is appended

	mu      sync.Mutex
	command []string
	cmd     *exec.Cmd // nil: it does not run
	done    chan struct{}
}

// logTailSize is how much of the output LogTail returns, in bytes.
const logTailSize = 800

// SetCommand sets the program that the next Start runs, with its leading arguments. It must not be empty.
func (p *Process) SetCommand(command []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = command
}

// Start starts the process unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the child has a descriptor of its own
	cmd := exec.Command(p.command[0], append(p.command[1:len(p.command):len(p.command)], p.Args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := p.Launcher.Start(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // however it ended, it serves nothing any more, which whoever uses it notices
		close(done)
	}()
	return nil
}

// running reports whether the process was started and has not ended by itself. p.mu is held.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits for its end. It does nothing if the process does not run.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Kill() // fails only if it has ended already
		<-p.done
		p.cmd = nil
	}
}

// Signal sends the process a signal if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s) // fails only if it has ended already
	}
}

// Done returns a channel that is closed when the process that runs now ends; nil if none was started or it was killed.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.done
}

// Pid returns the process identifier; 0 if none was started or it was killed.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// LogTail returns the end of what the process wrote, or why that cannot be read.
func (p *Process) LogTail() string {
	text, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-logTailSize):]))
}
