package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"umberbank/internal/lab/model"
)

// fleetProcess is a node's process, over its restarts. The loop owns it, but for what the goroutine that waits for the
// fleetProcess posts.
type fleetProcess struct {
	f      *Fleet
	node   int
	cmd    *exec.Cmd // nil: it does not run
	life   int
	wanted bool // its end would be no crash
	again  bool // it is to be started when it has ended
	log    *tail
}

// tail keeps the last lines of what a process writes.
type tail struct {
	mu    sync.Mutex
	lines []string
}

const tailLines = 8

func (t *tail) follow(r io.Reader, each func(string)) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		t.mu.Lock()
		t.lines = append(t.lines, s.Text())
		t.lines = t.lines[max(0, len(t.lines)-tailLines):]
		t.mu.Unlock()
		each(s.Text())
	}
	io.Copy(io.Discard, r) // a line that was too long
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, " | ")
}

// spawn starts the node's process and lets ended hear of its end on the waiting goroutine.
func (p *fleetProcess) spawn(ended func(cmd *exec.Cmd, err error)) error {
	f := p.f
	name := f.w.Site.Nodes[p.node].Name
	config := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(config, f.config(p.node, p.life), 0o600); err != nil {
		return err
	}
	tmp := filepath.Join(f.dir, name+".tmp")
	if err := os.RemoveAll(tmp); err != nil {
		return err
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	cmd := exec.Command(f.opt.Node[0], f.opt.Node[1:]...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_NAME="+name, "ROUTER_LISTEN="+f.nodeAddr(p.node),
		"ROUTER_DISCOVERY="+f.agents[p.node].addr, "TMPDIR="+tmp)
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = w, w
	if err := f.launch.Start(cmd); err != nil {
		r.Close()
		w.Close()
		return fmt.Errorf("node %s: %w", name, err)
	}
	w.Close()
	p.cmd, p.wanted, p.log = cmd, false, &tail{}
	p.life++
	log := p.log
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		log.follow(r, func(line string) { f.opt.Log("%s: %s", name, line) })
		r.Close()
		ended(cmd, cmd.Wait())
	}()
	return nil
}

// awaitReady asks a node until it says that it is ready, ctx ends, or its time is over.
func (f *Fleet) awaitReady(ctx context.Context, node int) error {
	ctx, cancel := context.WithTimeout(ctx, f.w.Site.Limits.StartUpWithin.D())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
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
			return fmt.Errorf("node %s is not ready after %v", f.w.Site.Nodes[node].Name, f.w.Site.Limits.StartUpWithin.D())
		case <-time.After(readyEvery):
		}
	}
}

// readyEvery is how often a starting node is asked.
const readyEvery = 10 * time.Millisecond

// Process acts on a node's process.
func (f *Fleet) Process(node int, act model.ProcessAct) {
	p := f.procs[node]
	switch act {
	case model.Start:
		if p.cmd != nil {
			p.again = p.wanted // once it has ended; else it runs already
			return
		}
		p.restart()
	case model.Kill:
		p.signal(syscall.SIGKILL, true)
	case model.Terminate:
		p.signal(syscall.SIGTERM, true)
		if cmd := p.cmd; cmd != nil {
			f.w.Loop.After(f.killAfter(), func() {
				if p.cmd == cmd {
					f.observer.Process(node, model.Kill)
					p.signal(syscall.SIGKILL, true)
				}
			})
		}
	case model.Pause:
		p.signal(syscall.SIGSTOP, p.wanted)
	case model.Resume:
		p.signal(syscall.SIGCONT, p.wanted)
	}
}

// killAfter is how long a process has after SIGTERM.
func (f *Fleet) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range f.w.Site.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

func (p *fleetProcess) signal(s syscall.Signal, wanted bool) {
	if p.cmd != nil {
		p.wanted = wanted
		p.cmd.Process.Signal(s) // it may have ended by now, which its waiting goroutine tells
	}
}

// restart starts the process while the run goes on.
func (p *fleetProcess) restart() {
	f := p.f
	p.again = false
	err := p.spawn(func(cmd *exec.Cmd, err error) { f.w.Loop.Post(func() { p.ended(cmd, err) }) })
	if err != nil {
		f.fail(err)
		return
	}
	cmd := p.cmd
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		err := f.awaitReady(f.ctx, p.node)
		f.w.Loop.Post(func() {
			switch {
			case p.cmd != cmd || f.ctx.Err() != nil:
			case err != nil:
				f.observer.Crashed(p.node, err.Error())
			default:
				f.opt.Ready(p.node)
			}
		})
	}()
}

// ended notes that the process has ended.
func (p *fleetProcess) ended(cmd *exec.Cmd, err error) {
	if p.cmd != cmd {
		return
	}
	p.cmd = nil
	if !p.wanted {
		p.f.observer.Crashed(p.node, fmt.Sprintf("it ended by itself: %v: %v", err, p.log))
		p.f.observer.Process(p.node, model.Kill)
	}
	if p.again {
		p.restart()
	}
}
