// Package process starts processes that die with this one, however that ends, and plays with them what befalls processes. Its
// package relay does so with their links. Trials of all kinds stand on both.
package process

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// Launcher starts processes from one thread that lives until Close: the system kills them when that thread ends.
type Launcher struct {
	jobs chan func()
	once sync.Once
}

// NewLauncher returns a Launcher with its thread.
func NewLauncher() *Launcher {
	l := &Launcher{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with the goroutine
		for job := range l.jobs {
			job()
		}
	}()
	return l
}

// Start starts a process in a group of its own, so that a terminal's ctrl-C does not reach it.
func (l *Launcher) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	err := make(chan error)
	l.jobs <- func() { err <- cmd.Start() }
	return <-err
}

// Close ends the thread, and with it what still runs.
func (l *Launcher) Close() { l.once.Do(func() { close(l.jobs) }) }
