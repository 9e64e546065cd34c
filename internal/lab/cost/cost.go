package cost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"umberbank/internal/process"
)

// Options say how the cost is measured.
type Options struct {
	Node  []string      // the command of a node that Watches if told so by --stats FILE; none: this program's own
	Relay []string      // and of the bare relay; see ServeRelay
	For   time.Duration // of each measurement; 0: 3 s
	Step  func(string)  // hears what is being done; may be nil
	// Rate is how many requests a second latencies are measured at; 0: half of what the slower one holds.
	Rate float64
	// Servers is how many there are in the list, up to MostServers; 0: 8.
	Servers int
}

// Result is the cost of a node and of a bare relay. The added latency is over asking the servers directly, at the same
// rate.
type Result struct {
	Node      Subject `json:"node"`
	Relay     Subject `json:"bare_relay"`
	Direct    Latency `json:"direct"`
	Servers   int     `json:"servers"`    // in the list
	RatePaced float64 `json:"paced_rps"`  // as asked for, or half of what the slower one holds
	AddedP99  float64 `json:"p99_ratio"`  // of the added latencies, node to bare relay; 0 where the relay's is not above 0
	Held      float64 `json:"held_ratio"` // node to bare relay
	CPU       float64 `json:"cpu_ratio"`
	Alloc     float64 `json:"alloc_ratio"`
	Valid     bool    `json:"valid"`  // the load was sent in time
	Pinned    bool    `json:"pinned"` // each ran on one core of its own
}

// Subject is what one process costs.
type Subject struct {
	Held        float64            `json:"held_rps"` // served a second with every connection busy
	Refused     int                `json:"refused"`
	CPUMicros   float64            `json:"cpu_us_per_request"`
	AllocBytes  float64            `json:"alloc_bytes_per_request"`
	Allocs      float64            `json:"allocs_per_request"`
	CPUSplit    map[string]float64 `json:"cpu_us_split"`
	AllocSplit  map[string]float64 `json:"alloc_bytes_split"`
	Latency     Latency            `json:"latency"`
	Added       Latency            `json:"added"`
	MemoryMB    float64            `json:"memory_mb"`      // resident, after the load
	MemoryRest  float64            `json:"memory_mb_rest"` // and before it
	Descriptors int                `json:"descriptors"`
}

// Latency is in microseconds.
type Latency struct {
	P50 float64 `json:"p50_us"`
	P99 float64 `json:"p99_us"`
}

// How the load is made.
const (
	busyConns  = 32
	pacedConns = 64
	servers    = 8
	sockets    = 1024 // of the node; and two for each server over 8
	warmFor    = time.Second
	startFor   = 10 * time.Second
	defaultFor = 3 * time.Second
	lateMost   = 0.01
	clockTick  = 100 // a second, as /proc counts processor time
)

// MostServers is the longest list that is measured.
const MostServers = 4096

// Check says why Options make no sense; nothing is started for them.
func (o *Options) Check() error {
	switch {
	case o.Rate < 0 || math.IsNaN(o.Rate) || math.IsInf(o.Rate, 0):
		return fmt.Errorf("rate: %v is no number from 0 on", o.Rate)
	case o.Servers < 0 || o.Servers > MostServers:
		return fmt.Errorf("servers: %d is not from 1 to %d", o.Servers, MostServers)
	}
	return nil
}

// Measure runs all of it: about five times Options.For.
func Measure(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Servers == 0 {
		o.Servers = servers
	}
	if o.For == 0 {
		o.For = defaultFor
	}
	if o.Step == nil {
		o.Step = func(string) {}
	}
	var addrs []string
	for range o.Servers {
		s, err := newInstant()
		if err != nil {
			return nil, err
		}
		defer s.close()
		addrs = append(addrs, s.ln.Addr().String())
	}
	dir, err := os.MkdirTemp("", "umberbank-cost-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	by := process.NewLauncher()
	defer by.Close()
	node, err := startNode(ctx, by, o.Node, dir, addrs)
	if err != nil {
		return nil, err
	}
	defer node.stop()
	relay, err := startRelay(ctx, by, o.Relay, dir, addrs)
	if err != nil {
		return nil, err
	}
	defer relay.stop()

	r := &Result{Valid: true, Servers: o.Servers, Pinned: node.pinned && relay.pinned}
	for _, x := range []struct {
		name string
		p    *measuredProcess
		s    *Subject
	}{{"the node", node, &r.Node}, {"the bare relay", relay, &r.Relay}} {
		o.Step("what " + x.name + " holds")
		if err := x.p.hold(ctx, o.For, x.s); err != nil {
			return nil, fmt.Errorf("%s: %w: %s", x.name, err, x.p.said())
		}
	}
	if r.RatePaced = o.Rate; o.Rate == 0 {
		r.RatePaced = min(r.Node.Held, r.Relay.Held) / 2
	}
	if least := min(r.Node.Held, r.Relay.Held); r.RatePaced >= least {
		return nil, fmt.Errorf("rate: %.0f a second is not below what is held, %.0f", r.RatePaced, least)
	}
	paced := func(name string, addr func(int) string) (Latency, error) {
		o.Step("latency of " + name)
		c, err := (&loader{addr: addr}).paced(ctx, pacedConns, r.RatePaced, o.For)
		if err != nil {
			return Latency{}, fmt.Errorf("%s: %w", name, err)
		}
		if float64(c.late) > lateMost*float64(c.served) {
			r.Valid = false
		}
		return Latency{float64(c.latency.ValueAtQuantile(50)) / 1000, float64(c.latency.ValueAtQuantile(99)) / 1000}, nil
	}
	if r.Direct, err = paced("no relay", func(i int) string { return addrs[i%len(addrs)] }); err != nil {
		return nil, err
	}
	if r.Node.Latency, err = paced("the node", node.at); err != nil {
		return nil, err
	}
	if r.Relay.Latency, err = paced("the bare relay", relay.at); err != nil {
		return nil, err
	}
	for _, s := range []*Subject{&r.Node, &r.Relay} {
		s.Added = Latency{s.Latency.P50 - r.Direct.P50, s.Latency.P99 - r.Direct.P99}
	}
	if r.Relay.Added.P99 > 0 {
		r.AddedP99 = r.Node.Added.P99 / r.Relay.Added.P99
	}
	r.Held, r.CPU, r.Alloc = r.Node.Held/r.Relay.Held, r.Node.CPUMicros/r.Relay.CPUMicros, r.Node.AllocBytes/r.Relay.AllocBytes
	return r, nil
}

// measuredProcess is one that is measured.
type measuredProcess struct {
	cmd    *exec.Cmd
	addr   string
	stats  string
	log    string
	pinned bool
}

func (p *measuredProcess) at(int) string { return p.addr }

// start runs a command with one core, and waits until it says that it is ready.
func start(ctx context.Context, by *process.Launcher, command []string, env []string, dir, name, addr string) (*measuredProcess, error) {
	p := &measuredProcess{addr: addr, stats: filepath.Join(dir, name+".stats"), log: filepath.Join(dir, name+".log")}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(command[0], append(command[1:len(command):len(command)], "--stats", p.stats)...)
	p.cmd.Env = append(append(os.Environ(), "GOMAXPROCS=1"), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := by.Start(p.cmd); err != nil {
		return nil, err
	}
	p.pinned = pin(p.cmd.Process.Pid)
	deadline := time.Now().Add(startFor)
	for {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return p, nil
			}
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			p.stop()
			return nil, errors.Join(fmt.Errorf("%s is not ready: %s", name, p.said()), ctx.Err())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// pin keeps a process to the last core that this program may use; the load is on the others mostly.
func pin(pid int) bool {
	var may unix.CPUSet
	if unix.SchedGetaffinity(0, &may) != nil || may.Count() < 2 {
		return false
	}
	last := 0
	for i := range 8 * len(may) * 8 {
		if may.IsSet(i) {
			last = i
		}
	}
	var one unix.CPUSet
	one.Set(last)
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return false
	}
	for _, t := range threads { // later ones inherit it
		if id, err := strconv.Atoi(t.Name()); err != nil || unix.SchedSetaffinity(id, &one) != nil {
			return false
		}
	}
	return true
}

func (p *measuredProcess) stop() {
	p.cmd.Process.Kill()
	p.cmd.Wait() // killed: there is nothing to learn from how it ends
}

// said is the end of what the process wrote.
func (p *measuredProcess) said() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-500):]))
}

// hold keeps the process as busy as it can be, and reckons what a request costs it.
func (p *measuredProcess) hold(ctx context.Context, d time.Duration, s *Subject) error {
	l := &loader{addr: p.at}
	s.MemoryRest, _ = p.holds()
	if _, err := l.closed(ctx, busyConns, warmFor); err != nil {
		return err
	}
	// First without the profile, which has a cost of its own.
	before, began := p.processor(), time.Now()
	c, err := l.closed(ctx, busyConns, d)
	if err != nil {
		return err
	}
	if c.served == 0 {
		return errors.New("it served nothing")
	}
	s.Held, s.Refused = float64(c.served)/time.Since(began).Seconds(), c.other
	s.CPUMicros = (p.processor() - before).Seconds() * 1e6 / float64(c.served+c.other)
	s.MemoryMB, s.Descriptors = p.holds()

	p.cmd.Process.Signal(syscall.SIGUSR1)
	time.Sleep(100 * time.Millisecond) // the window may begin a little late: shares are what is taken from it
	if c, err = l.closed(ctx, busyConns, d); err != nil {
		return err
	}
	p.cmd.Process.Signal(syscall.SIGUSR2)
	st, err := p.readStats()
	if err != nil {
		return err
	}
	n := float64(c.served + c.other)
	s.AllocBytes, s.Allocs = float64(st.AllocBytes)/n, float64(st.Allocs)/n
	s.CPUSplit, s.AllocSplit = map[string]float64{}, map[string]float64{}
	for _, part := range Parts {
		s.CPUSplit[part] = st.CPUShare[part] * s.CPUMicros
		s.AllocSplit[part] = st.AllocShare[part] * s.AllocBytes
	}
	return nil
}

func (p *measuredProcess) readStats() (Stats, error) {
	var st Stats
	for deadline := time.Now().Add(startFor); ; time.Sleep(10 * time.Millisecond) {
		text, err := os.ReadFile(p.stats)
		if err == nil {
			return st, json.Unmarshal(text, &st)
		}
		if time.Now().After(deadline) {
			return st, fmt.Errorf("it wrote no figures: %w", err)
		}
	}
}

// processor is the processor time that the process has used.
func (p *measuredProcess) processor() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64) // the system writes numbers
	sys, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+sys) * time.Second / clockTick
}

// holds is the process's memory, in MB, and its descriptors.
func (p *measuredProcess) holds() (mb float64, open int) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	if text, err := os.ReadFile(dir + "statm"); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseFloat(f[1], 64)
			mb = pages * float64(os.Getpagesize()) / (1 << 20)
		}
	}
	if l, err := os.ReadDir(dir + "fd"); err == nil {
		open = len(l)
	}
	return mb, open
}

// free is an address that nobody listens on.
func free() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startNode starts a node before the servers. Its discovery does not answer: the list that it starts with holds.
func startNode(ctx context.Context, by *process.Launcher, command []string, dir string, addrs []string) (*measuredProcess, error) {
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		command = []string{self, "node"}
	}
	addr, err := free()
	if err != nil {
		return nil, err
	}
	var targets []map[string]any
	for i, a := range addrs {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s%d", i), "endpoint": a, "az": "a", "state": "SERVING", "capacity_hint": 1})
	}
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": "127.0.0.1:1", "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets + 2*max(0, len(addrs)-servers)},
		"known":  map[string]any{"rev": 1, "all": true, "targets": targets},
		"settings": map[string]any{"balancers": 1, "registry-mode": "pushed", "tick-ms": 5, "blend": map[string]any{"whole": 1},
			"lanes":  []map[string]any{{"name": "read", "effect": "read_like", "target-ms": 2000, "deadline-ms": 9000, "worth": 1}},
			"limits": map[string]any{"max-attempts": 6, "cancelling": true, "second-copies": true, "conn-idle-ms": 30000, "connect-timeout-ms": 250}}})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "node.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	return start(ctx, by, command, []string{"ROUTER_CONFIG=" + path}, dir, "node", addr)
}

func startRelay(ctx context.Context, by *process.Launcher, command []string, dir string, addrs []string) (*measuredProcess, error) {
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		command = []string{self, "lab", "bare-relay"}
	}
	addr, err := free()
	if err != nil {
		return nil, err
	}
	return start(ctx, by, append(command[:len(command):len(command)], "--listen", addr, "--to", strings.Join(addrs, ",")), nil, dir, "relay", addr)
}

// ServeRelay is the program of the bare relay: net/http alone, servers in turn, no decision. It ends with ctx.
func ServeRelay(ctx context.Context, listen string, to []string) error {
	runtime.GOMAXPROCS(1)
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: to[int(next.Add(1))%len(to)]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: busyConns},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", proxy)
	srv := &http.Server{Addr: listen, Handler: mux}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
