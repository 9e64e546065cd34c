// Package process runs child processes for tests, benches and the lab, and injects the faults of processes: it kills
// them, sends them signals and starts them again. Children die with this process, however it ends. Package relay below it
// does the same to the connections between processes.
package process

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// Launcher starts processes from one operating system thread that lives until Close. The kernel kills the processes when that
// thread ends (PR_SET_PDEATHSIG). Its methods may be called by any goroutine, but Start not after Close.
type Launcher struct {
	jobs      chan func()
	closeOnce sync.Once
}

// NewLauncher returns a Launcher with its thread running. The caller must Close it.
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

// Close ends the thread, and with it the processes that still run.
func (l *Launcher) Close() { l.closeOnce.Do(func() { close(l.jobs) }) }
