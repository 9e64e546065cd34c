package agent

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// process is the process of a unit. Its methods must not be called concurrently.
type process struct {
	cmd    *exec.Cmd  // nil: the process has exited, or there is none
	exited chan error // receives the result of cmd.Wait; nil: there is no process
	err    error      // that result, once it was received
}

const (
	assumedReadyAfter = 500 * time.Millisecond // for a process without a ready URL
	readyPollInterval = 50 * time.Millisecond
)

// startProcess starts a command, in which {version} stands for the version. The process is killed if the agent dies.
func startProcess(command []string, version string) (*process, error) {
	if len(command) == 0 {
		return &process{}, nil
	}
	args := make([]string, len(command))
	for i, arg := range command {
		args[i] = strings.ReplaceAll(arg, "{version}", version)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan error, 1)}
	go func() { p.exited <- cmd.Wait() }()
	return p, nil
}

// hasExited reports whether the process has exited by itself.
func (p *process) hasExited() bool {
	select {
	case err := <-p.exited:
		p.setExited(err)
		return true
	default:
		return false
	}
}

func (p *process) setExited(err error) { p.cmd, p.err = nil, err }

// waitReady waits until the process serves: until url answers 200, or without a url for a fixed time.
func (p *process) waitReady(ctx context.Context, url string) error {
	switch {
	case p.cmd == nil:
		return nil
	case url == "":
		return p.waitRunning()
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready, err := isReady(ctx, url)
		if ready || err != nil {
			return err
		}
		select {
		case err := <-p.exited:
			p.setExited(err)
			return fmt.Errorf("the process ended before it served: %s", exitStatus(err))
		case <-ctx.Done():
			return fmt.Errorf("%s does not answer 200: %w", url, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// waitRunning waits until the process has run for a while.
func (p *process) waitRunning() error {
	select {
	case err := <-p.exited:
		p.setExited(err)
		return fmt.Errorf("the process ended at once: %s", exitStatus(err))
	case <-time.After(assumedReadyAfter):
		return nil
	}
}

// exitStatus words the result of waiting for a process, which is nil if it has exited with status 0.
func exitStatus(err error) string { return fmt.Sprint(err) }

// isReady reports whether url answers 200. The error says that url is malformed.
func isReady(ctx context.Context, url string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, nil // not yet
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

// stop asks the process to exit, and kills it if it has not within the timeout.
func (p *process) stop(timeout time.Duration) {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // a process that has exited needs none
	select {
	case err := <-p.exited:
		p.setExited(err)
	case <-time.After(timeout):
		_ = p.cmd.Process.Kill() // fails only if it has exited
		p.setExited(<-p.exited)
	}
}
