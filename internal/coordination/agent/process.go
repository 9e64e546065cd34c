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

	"umberbank/internal/httpclient"
)

// process is the process of a unit. It is not safe for concurrent use.
type process struct {
	cmd    *exec.Cmd  // nil if the process has exited or the unit has no process
	exited chan error // receives the result of cmd.Wait; a nil channel if the unit has no process
	err    error      // the result of cmd.Wait, once it has been received from exited
}

const (
	assumedReadyAfter = 500 * time.Millisecond // for a process without a ready URL
	readyPollInterval = 50 * time.Millisecond
)

// startProcess starts command, with each {version} in it replaced by version. The kernel kills the process if the agent
// dies. If command is empty, nothing is started, and waitReady of the returned process returns nil at once.
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

// hasExited reports whether the process has exited without having been stopped. It reports the exit only once.
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

// waitReady waits until url returns status 200, for at most readyTimeout. If url is empty, it waits until the process has run
// for assumedReadyAfter. It returns an error if the process exits first.
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
			return fmt.Errorf("process exited before it was ready: %s", exitStatus(err))
		case <-ctx.Done():
			return fmt.Errorf("%s has not returned status 200: %w", url, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// waitRunning waits until the process has run for assumedReadyAfter. It returns an error if the process exits first.
func (p *process) waitRunning() error {
	select {
	case err := <-p.exited:
		p.setExited(err)
		return fmt.Errorf("process exited right after its start: %s", exitStatus(err))
	case <-time.After(assumedReadyAfter):
		return nil
	}
}

// exitStatus formats the result of cmd.Wait. It returns "<nil>" if the process has exited with status 0.
func exitStatus(err error) string { return fmt.Sprint(err) }

// readinessClient sends the readiness checks.
var readinessClient = &http.Client{CheckRedirect: httpclient.ReturnRedirect}

// isReady reports whether url returns status 200. It returns an error only if url is malformed.
func isReady(ctx context.Context, url string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := readinessClient.Do(req)
	if err != nil {
		return false, nil // the process does not listen yet
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

// stop sends SIGTERM to the process, and kills it if it has not exited within timeout.
func (p *process) stop(timeout time.Duration) {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has exited
	select {
	case err := <-p.exited:
		p.setExited(err)
	case <-time.After(timeout):
		_ = p.cmd.Process.Kill() // fails only if the process has exited
		p.setExited(<-p.exited)
	}
}
