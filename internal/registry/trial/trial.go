// Package trial plays faults on a registry of real processes while writers and readers use it, and judges what they
// saw: writes and consistent reads by porcupine, for linearizability; watches by a check of its own.
package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hollyspur/internal/lab/launch"
	"hollyspur/internal/lab/relay"
	"hollyspur/internal/registry/client"
	"hollyspur/internal/registry/replica"
	"hollyspur/internal/registry/state"
)

// Options say what is played.
type Options struct {
	Seed     uint64
	Replicas int           // 1, 3 or 5
	For      time.Duration // of faults; 0: 3 s
	Replica  []string      // command of a replica, which takes --config FILE; none: this program's own
	// Wrap stands in for a replica's address towards clients; nil: none does. Tests let it lie.
	Wrap func(address string) string
	Log  func(format string, args ...any) // may be nil
}

// Result is what came of a run.
type Result struct {
	Seed     uint64   `json:"seed"`
	Writes   int      `json:"writes"`
	Unknown  int      `json:"unknown"` // whose answer never came
	Reads    int      `json:"reads"`
	Watched  int      `json:"watched"` // states that watchers came to
	Faults   []string `json:"faults"`
	Broken   []string `json:"broken"`    // what did not hold
	RecoverS float64  `json:"recover_s"` // from the end of the faults to the first write that was answered
}

// cluster is the processes, and the relays from each to each.
type cluster struct {
	opt    Options
	dir    string
	launch *launch.Launcher
	nodes  []*member
	links  map[[2]int]*relay.Relay
}

type member struct {
	id, raft, address, config string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	paused bool
}

// Bounds of the waits.
const (
	defaultFor  = 3 * time.Second
	startWithin = 20 * time.Second
	healWithin  = 30 * time.Second
	tick        = "60ms"
)

// free is an address that nobody listens on now. It may be lost to another by the time it is used; starting again
// tells.
func free() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newCluster makes the files and relays; nothing runs yet.
func newCluster(opt Options) (c *cluster, err error) {
	c = &cluster{opt: opt, launch: launch.New(), links: map[[2]int]*relay.Relay{}}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if c.dir, err = os.MkdirTemp("", "umberbank-trial-"); err != nil {
		return c, err
	}
	for i := range opt.Replicas {
		m := &member{id: fmt.Sprintf("r%d", i), config: filepath.Join(c.dir, fmt.Sprintf("r%d.toml", i))}
		for _, addr := range []*string{&m.raft, &m.address} {
			if *addr, err = free(); err != nil {
				return c, err
			}
		}
		c.nodes = append(c.nodes, m)
	}
	for i, m := range c.nodes {
		text := fmt.Sprintf("id = %q\ndir = %q\nraft = %q\naddress = %q\ntick = %q\n", m.id, filepath.Join(c.dir, m.id), m.raft, m.address, tick)
		for j, o := range c.nodes {
			via := o.raft
			if i != j {
				r, err := relay.Listen("127.0.0.1", o.raft)
				if err != nil {
					return c, err
				}
				c.links[[2]int{i, j}] = r
				via = r.Addr()
			}
			text += fmt.Sprintf("[[peer]]\nid = %q\nraft = %q\naddress = %q\nvia = %q\n", o.id, o.raft, o.address, via)
		}
		if err = os.WriteFile(m.config, []byte(text), 0o600); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) close() {
	for i := range c.nodes {
		c.kill(i)
	}
	for _, r := range c.links {
		r.Close()
	}
	c.launch.Close()
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
}

func (c *cluster) start(i int) error {
	m := c.nodes[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(c.dir, m.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(c.opt.Replica[0], append(c.opt.Replica[1:len(c.opt.Replica):len(c.opt.Replica)], "--config", m.config)...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := c.launch.Start(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended, m.paused = cmd, ended, false
	go func() {
		cmd.Wait() // killed, or ended by itself: nothing is served then, which the run shows
		close(ended)
	}()
	return nil
}

func (c *cluster) kill(i int) {
	m := c.nodes[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.cmd.Process.Kill()
		<-m.ended
		m.cmd = nil
	}
}

func (c *cluster) signal(i int, s syscall.Signal) {
	m := c.nodes[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.cmd.Process.Signal(s)
	}
}

// logs is the end of what a replica wrote.
func (c *cluster) logs(i int) string {
	text, err := os.ReadFile(filepath.Join(c.dir, c.nodes[i].id+".log"))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-800):]))
}

func (c *cluster) addresses() []string {
	var l []string
	for _, m := range c.nodes {
		a := m.address
		if c.opt.Wrap != nil {
			a = c.opt.Wrap(a)
		}
		l = append(l, a)
	}
	return l
}

// keys is how many entries are written and read.
const keys = 3

func uid(k int) string { return fmt.Sprintf("s%d", k) }

func entry(k int) *state.Entry {
	return &state.Entry{UID: uid(k), Endpoint: "10.0.0.1:3000", State: state.Serving}
}

// Run plays one run.
func Run(ctx context.Context, opt Options) (*Result, error) {
	if opt.For == 0 {
		opt.For = defaultFor
	}
	if opt.Log == nil {
		opt.Log = func(string, ...any) {}
	}
	if len(opt.Replica) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		opt.Replica = []string{self, "registry", "serve"}
	}
	c, err := newCluster(opt)
	if err != nil {
		return nil, err
	}
	defer c.close()
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return nil, err
		}
	}
	w, err := client.NewWriter(client.Options{Endpoints: c.addresses()})
	if err != nil {
		return nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	var ops []state.Op
	for k := range keys {
		ops = append(ops, state.Op{Kind: state.Register, Entry: entry(k)})
	}
	if _, err := w.Write(starting, ops...); err != nil {
		return nil, fmt.Errorf("the registry did not start: %w: %s", err, c.logs(0))
	}

	h := newHistory()
	res := &Result{Seed: opt.Seed}
	var users sync.WaitGroup
	busy, stop := context.WithCancel(ctx)
	defer stop()
	r := rand.New(rand.NewPCG(opt.Seed, 1))
	for i := range 4 {
		seed := r.Uint64()
		users.Go(func() { h.use(busy, i, seed, c.addresses()) })
	}
	var watching sync.WaitGroup
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	readers := make([]*client.Reader, 3)
	for i := range readers {
		if readers[i], err = client.NewReader(client.Options{Endpoints: c.addresses(), Silence: 3 * time.Second, RestMost: 300 * time.Millisecond}); err != nil {
			return nil, err
		}
		watching.Go(func() { readers[i].Run(watchCtx, func() { h.watched(i, readers[i].View()) }) })
	}
	if err := c.play(ctx, opt, res); err != nil {
		return nil, err
	}
	healed := time.Now()
	c.heal()
	final, err := c.settle(ctx, w, readers)
	if err == nil {
		res.RecoverS = time.Since(healed).Seconds()
	}
	stop()
	users.Wait()
	stopWatching()
	watching.Wait()
	if err != nil {
		res.Broken = append(res.Broken, "after the faults: "+err.Error())
	}
	h.judge(res, final)
	return res, ctx.Err()
}

// heal ends all faults.
func (c *cluster) heal() {
	for i := range c.nodes {
		c.signal(i, syscall.SIGCONT)
		c.start(i) // one that cannot start shows in what follows
	}
}

// settle waits until the registry is written to again and all watchers hold what it holds, which it gives.
func (c *cluster) settle(ctx context.Context, w *client.Writer, readers []*client.Reader) (*list, error) {
	ctx, cancel := context.WithTimeout(ctx, healWithin)
	defer cancel()
	a, err := w.Write(ctx, state.Op{Kind: state.Register, Entry: &state.Entry{UID: "last", Endpoint: "10.0.0.9:3000", State: state.Serving}})
	if err != nil {
		return nil, err
	}
	for {
		behind := false
		for _, r := range readers {
			behind = behind || r.View().Rev < a[0].Rev
		}
		if !behind {
			break
		}
		select {
		case <-ctx.Done():
			return nil, errors.New("a watcher never came to the last revision")
		case <-time.After(20 * time.Millisecond):
		}
	}
	var l list
	return &l, w.Call(ctx, "GET", "/registry/instances?consistent=1", nil, &l)
}

// list is a list as the registry gives it.
type list struct {
	Rev     int64          `json:"rev"`
	Targets []*state.Entry `json:"targets"`
}

// play plays faults drawn by the seed, one after another and over each other.
func (c *cluster) play(ctx context.Context, opt Options, res *Result) error {
	r := rand.New(rand.NewPCG(opt.Seed, 2))
	end := time.Now().Add(opt.For)
	var undo sync.WaitGroup
	defer undo.Wait()
	for time.Now().Before(end) {
		i := r.IntN(len(c.nodes))
		if r.IntN(2) == 0 {
			i = c.leader(i) // the one whose loss hurts
		}
		lasts := time.Duration(200+r.IntN(1000)) * time.Millisecond
		kind := []string{"kill", "stop", "isolate", "deaf", "mute", "cut", "kill-all", "slow"}[r.IntN(8)]
		res.Faults = append(res.Faults, fmt.Sprintf("%s %s %v", kind, c.nodes[i].id, lasts))
		opt.Log("%s %s for %v", kind, c.nodes[i].id, lasts)
		after := func(do func()) {
			undo.Go(func() {
				select {
				case <-time.After(lasts):
				case <-ctx.Done():
				}
				do()
			})
		}
		switch kind {
		case "kill":
			c.kill(i)
			after(func() { c.start(i) })
		case "kill-all":
			for k := range c.nodes {
				c.kill(k)
			}
			after(func() {
				for k := range c.nodes {
					c.start(k)
				}
			})
		case "stop":
			c.signal(i, syscall.SIGSTOP)
			after(func() { c.signal(i, syscall.SIGCONT) })
		default:
			e := &relay.Effect{Silent: kind != "slow", There: true, Back: true}
			if kind == "slow" {
				e.Delay, e.Jitter = 30*time.Millisecond, 50*time.Millisecond
			}
			hit := c.hit(kind, i, r.IntN(len(c.nodes)))
			for _, l := range hit {
				if err := l.Add(e); err != nil {
					return err
				}
			}
			after(func() {
				for _, l := range hit {
					l.Remove(e) // it only lifts the silence
				}
			})
		}
		select {
		case <-time.After(time.Duration(100+r.IntN(900)) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// hit names the links of a fault: all of a replica's, only those by which it hears or calls others, or those to one.
func (c *cluster) hit(kind string, i, j int) []*relay.Relay {
	var l []*relay.Relay
	for k, r := range c.links {
		to, from := k[1] == i, k[0] == i
		switch {
		case kind == "isolate" && (to || from), kind == "slow" && (to || from), kind == "deaf" && to, kind == "mute" && from,
			kind == "cut" && (to && k[0] == j || from && k[1] == j):
			l = append(l, r)
		}
	}
	return l
}

// leader is the replica that says that it leads, or another.
func (c *cluster) leader(other int) int {
	for i, m := range c.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		w, err := client.NewWriter(client.Options{Endpoints: []string{m.address}})
		var st replica.Status
		if err == nil && w.Call(ctx, "GET", "/registry/status", nil, &st) == nil && st.Leads {
			cancel()
			return i
		}
		cancel()
	}
	return other
}
