package process

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// Process is a program that can be killed, signalled and restarted. The exported fields must be set before the first Start. The
// methods are then safe for concurrent use.
type Process struct {
	Launcher *Launcher
	Args     []string // arguments that follow the command set by SetCommand
	LogPath  string   // file to which the output of every run is appended

	mu      sync.Mutex
	command []string
	cmd     *exec.Cmd     // the last started command, which may have ended; nil before Start and after Kill
	done    chan struct{} // closed when cmd has ended
}

// logTailSize is the maximum size of the output that LogTail returns, in bytes.
const logTailSize = 800

// SetCommand sets the program that the next Start runs, with its leading arguments. It must not be empty.
func (p *Process) SetCommand(command []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = command
}

// Start starts the process unless it is running.
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
	defer log.Close() // the child has its own descriptor
	cmd := exec.Command(p.command[0], append(p.command[1:len(p.command):len(p.command)], p.Args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := p.Launcher.Start(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // the exit status is not needed: users of the process see that it no longer responds
		close(done)
	}()
	return nil
}

// running reports whether the process was started and has not ended. The caller must hold p.mu.
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

// Kill kills the process and waits until it has ended. It does nothing if the process was not started since the last Kill.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Kill() // fails only if it has ended already
		<-p.done
		p.cmd = nil
	}
}

// Signal sends the process a signal if it is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s) // fails only if it has ended already
	}
}

// Done returns a channel that is closed when the last started process ends, or nil if none was started since the last Kill.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.done
}

// Pid returns the identifier of the last started process, which may have ended, or zero if none was started since the last Kill.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// LogTail returns the end of the log file, at most 800 bytes without surrounding white space, or the text of the error if the file
// cannot be read.
func (p *Process) LogTail() string {
	text, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-logTailSize):]))
}
