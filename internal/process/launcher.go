// Package process runs child processes for tests, benchmarks and the lab. It injects process faults: it kills, signals and
// restarts the children. When the parent process ends for any reason, the kernel kills the children. Package relay injects
// faults into the connections between processes.
package process

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// Launcher starts processes from one operating system thread that runs until Close. The kernel kills the processes when that
// thread ends (PR_SET_PDEATHSIG). Its methods are safe for concurrent use. Start must not be called after Close.
type Launcher struct {
	jobs      chan func()
	closeOnce sync.Once
}

// NewLauncher returns a Launcher and starts its thread. The caller must Close it.
func NewLauncher() *Launcher {
	l := &Launcher{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread ends with the goroutine
		for job := range l.jobs {
			job()
		}
	}()
	return l
}

// Start starts a command in a process group of its own, so that a terminal's interrupt does not reach it.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	l.jobs <- func() { started <- cmd.Start() }
	return <-started
}

// Close ends the thread, so that the kernel kills the processes that are still running.
func (l *Launcher) Close() { l.closeOnce.Do(func() { close(l.jobs) }) }
