package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"umberbank/internal/httpclient"
	"umberbank/internal/lab/model"
)

// nodeProcess is the process of a node, across its restarts. Its fields are accessed only on the loop, or before the loop runs.
// The goroutine that waits for the process posts to the loop.
type nodeProcess struct {
	fleet          *Fleet
	node           int
	cmd            *exec.Cmd // nil if the process is not running
	incarnation    int
	exitExpected   bool // its exit does not count as a crash
	restartPending bool // it is started again when it has exited
	log            *logTail
}

// spawn starts the node's process. When the process exits, it calls ended on the goroutine that waits for the process.
func (p *nodeProcess) spawn(ended func(cmd *exec.Cmd, err error)) error {
	f := p.fleet
	name := f.world.Site.Nodes[p.node].Name
	config := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(config, f.nodeConfig(p.node, p.incarnation), 0o600); err != nil {
		return err
	}
	tmp := filepath.Join(f.dir, name+".tmp")
	if err := os.RemoveAll(tmp); err != nil {
		return err
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	cmd := exec.Command(f.options.Node[0], f.options.Node[1:]...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_NAME="+name, "ROUTER_LISTEN="+f.nodeAddr(p.node),
		"ROUTER_DISCOVERY="+f.agents[p.node].addr, "TMPDIR="+tmp)
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = w, w
	if err := f.launcher.Start(cmd); err != nil {
		r.Close()
		w.Close()
		return fmt.Errorf("node %s: %w", name, err)
	}
	w.Close()
	p.cmd, p.exitExpected, p.log = cmd, false, &logTail{}
	p.incarnation++
	log := p.log
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		log.follow(r, func(line string) { f.options.Log("%s: %s", name, line) })
		r.Close()
		ended(cmd, cmd.Wait())
	}()
	return nil
}

// awaitReady polls a node until it is ready. It fails if ctx ends or Limits.StartTimeout is exceeded before that.
func (f *Fleet) awaitReady(ctx context.Context, node int) error {
	ctx, cancel := context.WithTimeout(ctx, f.world.Site.Limits.StartTimeout.Std())
	defer cancel()
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: httpclient.ReturnRedirect,
	}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodeAddr(node)+"/health/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %s did not become ready before the run ended or within %v", f.world.Site.Nodes[node].Name, f.world.Site.Limits.StartTimeout.Std())
		case <-time.After(readyPollInterval):
		}
	}
}

// readyPollInterval is the interval at which a starting node is polled.
const readyPollInterval = 10 * time.Millisecond

// ControlProcess applies an action to a node's process.
func (f *Fleet) ControlProcess(node int, act model.ProcessAction) {
	p := f.processes[node]
	switch act {
	case model.Start:
		if p.cmd != nil {
			p.restartPending = p.exitExpected // if it is ending, it is started again; otherwise it is already running
			return
		}
		p.restart()
	case model.Kill:
		p.signal(syscall.SIGKILL, true)
	case model.Terminate:
		p.signal(syscall.SIGTERM, true)
		if cmd := p.cmd; cmd != nil {
			f.world.Loop.After(f.shutdownTimeout(), func() {
				if p.cmd == cmd {
					f.observer.RecordProcessAction(node, model.Kill)
					p.signal(syscall.SIGKILL, true)
				}
			})
		}
	case model.Pause:
		p.signal(syscall.SIGSTOP, p.exitExpected)
	case model.Resume:
		p.signal(syscall.SIGCONT, p.exitExpected)
	}
}

// shutdownTimeout returns the time between SIGTERM and SIGKILL.
func (f *Fleet) shutdownTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range f.world.Site.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// signal sends a signal to the process, if it is running.
func (p *nodeProcess) signal(s syscall.Signal, exitExpected bool) {
	if p.cmd != nil {
		p.exitExpected = exitExpected
		p.cmd.Process.Signal(s) // fails if the process has exited, which the goroutine that waits for it handles
	}
}

// restart starts the process during the run.
func (p *nodeProcess) restart() {
	f := p.fleet
	p.restartPending = false
	err := p.spawn(func(cmd *exec.Cmd, err error) { f.world.Loop.Post(func() { p.ended(cmd, err) }) })
	if err != nil {
		f.abort(err)
		return
	}
	cmd := p.cmd
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		err := f.awaitReady(f.ctx, p.node)
		f.world.Loop.Post(func() {
			switch {
			case p.cmd != cmd || f.ctx.Err() != nil:
			case err != nil:
				f.observer.RecordCrash(p.node, err.Error())
			default:
				f.options.Ready(p.node)
			}
		})
	}()
}

// ended handles the exit of the process.
func (p *nodeProcess) ended(cmd *exec.Cmd, err error) {
	if p.cmd != cmd {
		return
	}
	p.cmd = nil
	if !p.exitExpected {
		p.fleet.observer.RecordCrash(p.node, fmt.Sprintf("the process exited without a signal from the lab: %v: %v", err, p.log))
		p.fleet.observer.RecordProcessAction(p.node, model.Kill)
	}
	if p.restartPending {
		p.restart()
	}
}

// nodeConfig returns the configuration file for an incarnation of a node.
func (f *Fleet) nodeConfig(node, incarnation int) []byte {
	n := &f.world.Site.Nodes[node]
	l := &f.world.Site.Limits
	seed := f.world.Site.Seed*1_000_003 + uint64(node)*7919 + uint64(incarnation)
	a := f.agents[node]
	a.mu.Lock()
	known := a.fullList
	a.mu.Unlock()
	var state any
	if s := f.world.Site.Snapshots; s.Enabled {
		state = map[string]any{"dir": filepath.Join(f.dir, n.Name+".state"), "every_ms": s.Interval.Std().Milliseconds(), "max_age_ms": s.MaxAge.Std().Milliseconds()}
	}
	text, err := json.Marshal(map[string]any{
		"state": state, "name": n.Name, "listen": f.nodeAddr(node), "discovery": a.addr, "seed": fmt.Sprintf("%016x", seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": l.MaxMemoryMB, "sockets": l.MaxSockets},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(f.world.Site.NodeSettings(node)),
	})
	if err != nil {
		panic(err) // every value in it can be encoded
	}
	return text
}

// startNodes starts all processes and waits until they are ready. It fails if one exits before that.
func (f *Fleet) startNodes() error {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	for _, p := range f.processes {
		err := p.spawn(func(cmd *exec.Cmd, err error) {
			cancel(fmt.Errorf("node %s ended while it started: %w: %v", f.world.Site.Nodes[p.node].Name, exitError(err), p.log))
			f.world.Loop.Post(func() { p.ended(cmd, err) })
		})
		if err != nil {
			return err
		}
	}
	failed := make(chan error, len(f.processes))
	for i := range f.processes {
		go func() { failed <- f.awaitReady(ctx, i) }()
	}
	var first error
	for range f.processes {
		if err := <-failed; err != nil && first == nil {
			first = err
			cancel(err)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return first
}

// exitError returns the error of a process that has exited. Exit status 0 is an error, too.
func exitError(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}
