package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"umberbank/internal/process"
	"umberbank/internal/process/relay"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// play is one size, played once.
type play struct {
	o      Options
	n      int
	f      *Figures
	dir    string
	c      *cluster.Cluster
	w      *client.Client
	launch *process.Launcher
	guard  *guard

	control       *process.Process // the controller
	with, without *process.Process // real nodes, with a control part and without one
	quiet         *listServer      // discovery of the one without

	hollows []*hollow // nil: it is dead
	apart   string    // region that is cut from the registry's majority; "": none
	track   tracker
	number  int64 // the version in force, or proposed last
	mark    int
	rest    traffic // of a node a second
	restCPU float64 // cores of the replicas
}

// Bounds of the waits.
const (
	replicas     = 3
	startWithin  = 30 * time.Second
	settleWithin = 30 * time.Second
	knownWithin  = 20 * time.Second // a death
	lookEvery    = 100 * time.Millisecond
	retryEvery   = 30 * time.Millisecond // of a proposal that was turned down
)

// measure plays one size. With an error the figures are what came until then.
func measure(ctx context.Context, o Options, n int, mayMB float64, say string) (*Figures, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	p := &play{o: o, n: n, f: newFigures(n), launch: process.NewLauncher(), guard: &guard{mayMB: mayMB, may: MostProcesses}}
	defer p.close()
	began := time.Now()
	var watching sync.WaitGroup
	defer watching.Wait()
	defer end(nil)
	var err error
	for _, s := range []struct {
		name string
		do   func(context.Context) error
	}{
		{"starts", p.start}, {"first connection of all", p.connect}, {"at rest", p.atRest}, {"a change of the list", p.listChange},
		{"single versions", p.singles}, {"bursts", p.bursts}, {"reconnection of all", p.reconnect}, {"the leader is killed", p.replicaKilled},
		{"one node dead", p.oneDead}, {"a zone lost", p.zoneLost}, {"regions cut from each other", p.regionsCut},
	} {
		o.Step(fmt.Sprintf("%s%s, at %.1f s", say, s.name, time.Since(began).Seconds()))
		p.heal()
		if err = s.do(ctx); err != nil {
			err = fmt.Errorf("%s: %w", s.name, err)
			break
		}
		if s.name == "starts" {
			watching.Go(func() { p.guard.watch(ctx, p.pids, end) })
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	mb, processes := p.guard.most()
	p.f.set(PeakMB, mb)
	p.f.set(Processes, float64(processes))
	p.f.Held = !errors.Is(err, ErrBounds)
	why := "an earlier step left it out"
	if err != nil {
		why = "the play ended before: " + short(err.Error())
	}
	p.f.finish(why)
	return p.f, err
}

// pids are all processes of the run, this one first.
func (p *play) pids() []int {
	l := []int{os.Getpid()}
	for i := range p.c.Len() {
		l = append(l, p.c.PID(i))
	}
	for _, x := range []*process.Process{p.control, p.with, p.without} {
		l = append(l, x.Pid())
	}
	return l
}

func (p *play) close() {
	var all sync.WaitGroup
	for _, h := range p.hollows {
		if h != nil {
			all.Go(h.kill)
		}
	}
	all.Wait()
	p.launch.Close()
	if p.quiet != nil {
		p.quiet.close()
	}
	if p.c != nil {
		p.c.Close()
	}
	if p.dir != "" {
		os.RemoveAll(p.dir)
	}
}

func (p *play) program(args ...string) []string {
	return append(p.o.Program[:len(p.o.Program):len(p.o.Program)], args...)
}

// start starts the replicas, the controller, and the two real nodes.
func (p *play) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if p.dir, err = os.MkdirTemp("", "umberbank-scale-"); err != nil {
		return err
	}
	if p.c, err = cluster.New(p.program("registry", "serve"), replicas, ""); err != nil {
		return err
	}
	for i := range p.c.Len() {
		if err := p.c.Start(i); err != nil {
			return err
		}
	}
	if err := p.c.AwaitReady(ctx); err != nil {
		return err
	}
	if p.w, err = client.New(client.Options{Endpoints: p.c.Addresses(), InitialBackoff: 5 * time.Millisecond, MaxBackoff: 50 * time.Millisecond,
		Dial: new(net.Dialer).DialContext}); err != nil {
		return err
	}
	p.control = p.process("controller", nil, p.program("fleet", "control", "--at", strings.Join(p.c.Addresses(), ","), "--name", "c0"))
	if err := p.control.Start(); err != nil {
		return err
	}
	if p.with, err = p.node("n-with", true); err != nil {
		return err
	}
	p.without, err = p.node("n-without", false)
	return err
}

func (p *play) process(name string, env []string, command []string) *process.Process {
	x := &process.Process{Launcher: p.launch, LogPath: filepath.Join(p.dir, name+".log")}
	if len(env) > 0 {
		command = append(append([]string{"/usr/bin/env"}, env...), command...)
	}
	x.SetCommand(command)
	return x
}

// node starts a real node. Both know the same list from the start; the one with a control part follows the registry too.
func (p *play) node(name string, control bool) (*process.Process, error) {
	listen, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	settings, err := settingsOf(0)
	if err != nil {
		return nil, err
	}
	var targets []map[string]any
	for i := range p.n {
		at := placeOf(i)
		targets = append(targets, map[string]any{"uid": at.server, "endpoint": endpointOf(i), "az": at.zone, "model": at.service, "pod_group": at.rack,
			"state": state.Serving, "capacity_hint": 1})
	}
	list := map[string]any{"rev": 1, "all": true, "targets": targets}
	if p.quiet == nil {
		whole, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		if p.quiet, err = serveList(append(whole, '\n')); err != nil {
			return nil, err
		}
	}
	cfg := map[string]any{"name": name, "listen": listen, "discovery": p.quiet.addr(), "seed": "1", "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings), "known": list}
	if control {
		cfg["registry"] = map[string]any{"endpoints": p.c.Addresses()}
		cfg["agreed"] = map[string]any{"endpoints": p.c.Addresses(), "tier": "front", "zone": "z0", "region": "r0", "sends_to": "svc00"}
	}
	text, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	x := p.process(name, []string{"ROUTER_CONFIG=" + file}, p.program("node"))
	return x, x.Start()
}

// ---- What is asked while playing ----

func (p *play) at() []string { return p.c.Addresses() }

// book asks for what is agreed, without units.
func (p *play) agreed(ctx context.Context) (*state.CoordinationView, error) {
	var a state.CoordinationView
	return &a, p.w.Call(ctx, "GET", "/registry/agreed?consistent=1", nil, &a)
}

// reached are the names of nodes that live and are on the side of the registry's majority, hollow ones.
func (p *play) reached() (names []string) {
	for _, h := range p.hollows {
		if h != nil && h.region != p.apart {
			names = append(names, h.node)
		}
	}
	return names
}

// until looks until is says so.
func until(ctx context.Context, every, within time.Duration, is func(context.Context) (bool, string)) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		done, stands := is(ctx)
		if done {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("not within %v: %s", within, stands)
		}
	}
}

// settled waits until every node that the registry counts runs what is in force, which the next version is to replace: the
// answer to a proposal that was given up may be lost.
func (p *play) settled(ctx context.Context) error {
	return until(ctx, lookEvery, settleWithin, func(ctx context.Context) (bool, string) {
		a, err := p.agreed(ctx)
		switch {
		case err != nil:
			return false, err.Error()
		case a.Rollout == nil || len(a.Rollout.Nodes) < p.n+1:
			return false, "not all nodes are known"
		case !a.Rollout.Converged():
			return false, "not all run what is in force"
		}
		p.number = a.Rollout.Committed.Number
		return true, ""
	})
}

// heal starts replicas again that have ended by themselves, as they do when their disk hangs, and notes that they had.
func (p *play) heal() {
	if p.c == nil {
		return
	}
	for i := range p.c.Len() {
		select {
		case <-p.c.Exited(i):
			said := strings.TrimSpace(p.c.Logs(i))
			p.f.Notes = append(p.f.Notes, fmt.Sprintf("replica %s had ended by itself: %s", p.c.ID(i), short(said[strings.LastIndexByte(said, '\n')+1:])))
			p.c.Start(i) // one that cannot start shows in what follows
		default:
		}
	}
}

// short is the start of a text's first line.
func short(text string) string {
	text, _, _ = strings.Cut(text, "\n")
	return text[:min(len(text), 240)]
}

// spent is the processor time of all replicas.
func (p *play) spent() (sum time.Duration) {
	for i := range p.c.Len() {
		sum += processor(p.c.PID(i))
	}
	return sum
}

// traffic is of all nodes that live, and of all agents.
func (p *play) traffic() (nodes, agents traffic) {
	for _, h := range p.hollows {
		if h == nil {
			continue
		}
		n, a := h.ofNode(), h.agent.traffic()
		nodes.bytes, nodes.calls = nodes.bytes+n.bytes, nodes.calls+n.calls
		agents.bytes, agents.calls = agents.bytes+a.bytes, agents.calls+a.calls
	}
	return nodes, agents
}

func pauseFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ---- Steps ----

// connect starts all hollow nodes at once, and waits until each has the whole list and all are known.
func (p *play) connect(ctx context.Context) error {
	began := time.Now()
	for i := range p.n {
		h, err := startHollow(ctx, i, p.at(), p.track.ran)
		if err != nil {
			return err
		}
		p.hollows = append(p.hollows, h)
	}
	whole := 0
	if err := until(ctx, 20*time.Millisecond, startWithin, func(context.Context) (bool, string) {
		for whole < p.n && len(p.hollows[whole].reader.View().Instances) == p.n {
			whole++
		}
		return whole == p.n, fmt.Sprintf("%d of %d nodes hold the whole list", whole, p.n)
	}); err != nil {
		return err
	}
	if err := p.settled(ctx); err != nil {
		return err
	}
	p.f.set(Connect, time.Since(began).Seconds())
	nodes, _ := p.traffic()
	p.f.set(ConnectBytes, float64(nodes.bytes)/float64(p.n))
	// So that there is a version of the registry's own in force.
	if _, err := p.version(ctx, p.o.Pace.Within); err != nil {
		return err
	}
	return p.settled(ctx)
}

// atRest measures what goes on while nothing does.
func (p *play) atRest(ctx context.Context) error {
	if err := pauseFor(ctx, p.o.Pace.Calm); err != nil {
		return err
	}
	leader := p.c.Leader(0)
	pids := []int{os.Getpid(), p.control.Pid(), p.with.Pid(), p.without.Pid()}
	for i := range p.c.Len() {
		pids = append(pids, p.c.PID(i))
	}
	look := func() (l []time.Duration) {
		for _, pid := range pids {
			l = append(l, processor(pid))
		}
		return l
	}
	nodes, agents := p.traffic()
	cpu, began := look(), time.Now()
	if err := pauseFor(ctx, p.o.Pace.Rest); err != nil {
		return err
	}
	nodesThen, agentsThen := p.traffic()
	cpuThen, s := look(), time.Since(began).Seconds()
	per := func(from, to int64) float64 { return float64(to-from) / s / float64(p.n) }
	cores := func(i int) float64 { return (cpuThen[i] - cpu[i]).Seconds() / s }
	p.f.set(RestBytes, per(nodes.bytes, nodesThen.bytes))
	p.f.set(RestCalls, per(nodes.calls, nodesThen.calls))
	p.f.set(AgentBytes, per(agents.bytes, agentsThen.bytes))
	p.f.set(AgentCalls, per(agents.calls, agentsThen.calls))
	p.rest = traffic{int64(p.f.Values[RestBytes]), 0}
	p.f.set(LoaderCores, cores(0))
	p.f.set(LoaderMB, resident(os.Getpid()))
	p.f.set(ControlCores, cores(1))
	p.f.set(ControllerMB, resident(p.control.Pid()))
	p.f.set(RestCPU, cores(2)-cores(3))
	p.f.set(ControlMB, resident(p.with.Pid())-resident(p.without.Pid()))
	all, follower, mb := 0.0, 0.0, 0.0
	for i := range p.c.Len() {
		c := cores(4 + i)
		all += c
		if i == leader {
			p.f.set(LeaderCores, c)
		} else {
			follower = max(follower, c)
		}
		mb = max(mb, resident(p.c.PID(i)))
	}
	syncs, err := timeSyncs(p.dir)
	if err != nil {
		return err
	}
	p.f.set(SyncP50, quantile(syncs, 0.5).Seconds()*1000)
	p.f.set(SyncMax, quantile(syncs, 1).Seconds()*1000)
	p.restCPU = all
	p.f.set(ReplicaCores, all)
	p.f.set(FollowCores, follower)
	p.f.set(ReplicaMB, mb)
	return nil
}

// syncs is how many syncs of a small file are timed.
const syncs = 40

// timeSyncs times the disk that the replicas sync to, beside them.
func timeSyncs(dir string) (took []time.Duration, err error) {
	f, err := os.CreateTemp(dir, "sync-")
	if err != nil {
		return nil, err
	}
	defer os.Remove(f.Name())
	defer f.Close()
	for range syncs {
		if _, err := f.Write(make([]byte, 4096)); err != nil {
			return nil, err
		}
		began := time.Now()
		if err := f.Sync(); err != nil {
			return nil, err
		}
		took = append(took, time.Since(began))
	}
	return took, nil
}

// listChange changes one server, and waits until all nodes hold that; and asks for the whole list once.
func (p *play) listChange(ctx context.Context) error {
	nodes, _ := p.traffic()
	capacity := 2.0
	began := time.Now()
	a, err := p.w.Write(ctx, state.Op{Kind: state.OpUpdate, UID: p.hollows[0].server, Capacity: &capacity})
	if err != nil {
		return err
	}
	if a[0].Code != "" {
		return errors.New(a[0].Code)
	}
	there := 0
	if err := until(ctx, time.Millisecond, p.o.Pace.Within, func(context.Context) (bool, string) {
		for there < p.n && p.hollows[there].rev.Load() >= a[0].Revision {
			there++
		}
		return there == p.n, fmt.Sprintf("%d of %d nodes hold the change", there, p.n)
	}); err != nil {
		return err
	}
	took := time.Since(began)
	then, _ := p.traffic()
	p.f.set(ListChange, took.Seconds())
	p.f.set(ListChangeB, float64(then.bytes-nodes.bytes)/float64(p.n)-float64(p.rest.bytes)*took.Seconds())
	var whole json.RawMessage
	if err := p.w.Call(ctx, "GET", "/registry/instances", nil, &whole); err != nil {
		return err
	}
	p.f.set(WholeList, float64(len(whole)))
	return nil
}

// blocked is a version that did not come into force in time.
type blocked struct{ who string }

func (b blocked) Error() string { return "blocked: " + b.who }

// version proposes the next version, anew for as long as it is turned down, and waits until all nodes that live and can be reached run it. The error
// is blocked where that takes too long.
func (p *play) version(ctx context.Context, within time.Duration) (*spread, error) {
	p.mark++
	settings, err := settingsOf(p.mark)
	if err != nil {
		return nil, err
	}
	return p.push(ctx, p.track.expect(settings, p.reached()), settings, within)
}

// push brings a version into force.
func (p *play) push(ctx context.Context, s *spread, settings []byte, within time.Duration) (*spread, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	last := ""
	for proposed := false; !proposed; {
		a, err := p.w.Write(ctx, state.Op{Kind: state.OpPropose, Value: settings, Replaces: p.number, Stages: []float64{1}})
		switch {
		case err != nil && last == "":
			last = err.Error()
		case err != nil: // what it was turned down for before tells more
		case a[0].Code == "":
			p.number, proposed = a[0].Token, true
			continue
		case a[0].Reason != "":
			last = a[0].Reason
		default:
			last = a[0].Code
		}
		if pauseFor(ctx, retryEvery) != nil {
			return s, blocked{last}
		}
	}
	select {
	case <-s.done:
		return s, nil
	case <-ctx.Done():
		return s, blocked{p.waits()}
	}
}

// waits says what the version under way waits for.
func (p *play) waits() string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := p.agreed(ctx)
	switch {
	case err != nil:
		return err.Error()
	case a.Rollout == nil || a.Rollout.Pending == nil:
		return "not all nodes run what all were told"
	case a.Rollout.HaltReason != "":
		return a.Rollout.HaltReason
	}
	if err := a.Rollout.CheckReady(); err != nil {
		return err.Error()
	}
	return "no controller tells it"
}

// singles brings versions into force one at a time.
func (p *play) singles(ctx context.Context) error {
	var all []time.Duration
	var bytes, agentBytes, calls, writes, cpu float64
	for range p.o.Pace.Singles {
		before, agents := p.traffic()
		from, err := p.agreed(ctx)
		if err != nil {
			return err
		}
		spent, began := p.spent(), time.Now()
		s, err := p.version(ctx, p.o.Pace.Within)
		if err != nil {
			return err
		}
		if err := p.settled(ctx); err != nil {
			return err
		}
		took := time.Since(began).Seconds()
		after, agentsAfter := p.traffic()
		to, err := p.agreed(ctx)
		if err != nil {
			return err
		}
		all = append(all, s.times()...)
		bytes += float64(after.bytes-before.bytes)/float64(p.n) - p.f.Values[RestBytes]*took
		agentBytes += float64(agentsAfter.bytes-agents.bytes)/float64(p.n) - p.f.Values[AgentBytes]*took
		calls += float64(after.calls-before.calls)/float64(p.n) - p.f.Values[RestCalls]*took
		writes += float64(to.Revision - from.Revision)
		cpu += (p.spent() - spent).Seconds() - p.restCPU*took
	}
	count := float64(p.o.Pace.Singles)
	p.f.set(InForceP99, quantile(all, 0.99).Seconds())
	p.f.set(InForceMax, quantile(all, 1).Seconds())
	p.f.set(VersionBytes, bytes/count)
	p.f.set(VersionAgent, agentBytes/count)
	p.f.set(VersionCalls, calls/count)
	p.f.set(VersionWrite, writes/count)
	p.f.set(VersionCPU, cpu/count)
	return nil
}

// bursts have services propose at once. The registry takes one version at a time, so the rest wait here and try again in turn.
func (p *play) bursts(ctx context.Context) error {
	for i, size := range p.o.Pace.Bursts {
		key := []Key{Burst10, Burst40}[min(i, 1)]
		if before := p.f.Values[BurstRate]; i > 0 && float64(size)/before > p.o.Pace.Within.Seconds() {
			p.f.miss(key, "not played: at %.2f versions a second, as in the burst of %d, it takes %.0f s, over %v",
				before, p.o.Pace.Bursts[i-1], float64(size)/before, p.o.Pace.Within)
			break
		}
		began, came := time.Now(), 0
		burst, cancel := context.WithTimeout(ctx, p.o.Pace.Within)
		why := ""
		for ; came < size; came++ {
			if _, err := p.version(burst, p.o.Pace.Within); err != nil {
				why = err.Error()
				break
			}
		}
		cancel()
		took := time.Since(began).Seconds()
		p.f.set(BurstRate, float64(came)/took)
		if came < size {
			p.f.miss(key, "%d of %d versions were in force after %.1f s (%s)", came, size, took, why)
		} else {
			p.f.set(key, took)
		}
		if err := p.settled(ctx); err != nil {
			return err
		}
	}
	return nil
}

// reconnect breaks all connections of all hollow nodes and agents, and waits until each has been answered again.
func (p *play) reconnect(ctx context.Context) error {
	before, _ := p.traffic()
	began := time.Now()
	var meters []*meter
	for _, h := range p.hollows {
		for _, m := range h.meters() {
			m.breakAll()
			meters = append(meters, m)
		}
	}
	there := 0
	if err := until(ctx, 10*time.Millisecond, settleWithin, func(context.Context) (bool, string) {
		for there < len(meters) && !meters[there].back().IsZero() {
			there++
		}
		return there == len(meters), fmt.Sprintf("%d of %d clients were answered again", there, len(meters))
	}); err != nil {
		return err
	}
	last := began
	for _, m := range meters {
		if at := m.back(); at.After(last) {
			last = at
		}
	}
	took := last.Sub(began).Seconds()
	after, _ := p.traffic()
	p.f.set(Reconnect, took)
	p.f.set(ReconnectB, float64(after.bytes-before.bytes)/float64(p.n))
	return p.settled(ctx)
}

// note takes down what became of a version that may be blocked.
func (p *play) note(key Key, s *spread, err error, took time.Duration) (blockedBy bool, _ error) {
	var b blocked
	switch {
	case err == nil:
		p.f.set(key, quantile(s.times(), 1).Seconds())
		return false, nil
	case errors.As(err, &b):
		p.f.miss(key, "blocked for the %.1f s that the run waited: %s", took.Seconds(), b.who)
		p.f.BlockedBy = append(p.f.BlockedBy, b.who)
		p.f.set(Blocked, max(p.f.Values[Blocked], took.Seconds()))
		return true, nil
	}
	return false, err
}

// replicaKilled kills the replica that leads as a version is proposed.
func (p *play) replicaKilled(ctx context.Context) error {
	leader := p.c.Leader(0)
	p.c.Kill(leader)
	began := time.Now()
	s, err := p.version(ctx, p.o.Pace.Within)
	if _, err := p.note(ReplicaLost, s, err, time.Since(began)); err != nil {
		return err
	}
	p.c.ResumeAll()
	waiting, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := p.c.AwaitReady(waiting); err != nil {
		return err
	}
	return p.settled(ctx)
}

// kill lets nodes with their servers die, and gives what starts them again.
func (p *play) kill(which func(*hollow) bool) (revive func(context.Context) error) {
	var dead []int
	var all sync.WaitGroup
	for i, h := range p.hollows {
		if which(h) {
			dead = append(dead, i)
			p.hollows[i] = nil
			all.Go(h.kill)
		}
	}
	all.Wait()
	return func(ctx context.Context) error {
		for _, i := range dead {
			h, err := startHollow(ctx, i, p.at(), p.track.ran)
			if err != nil {
				return err
			}
			p.hollows[i] = h
		}
		return nil
	}
}

// oneDead proposes versions after a node's death is known.
func (p *play) oneDead(ctx context.Context) error {
	name := p.hollows[p.n-1].node
	revive := p.kill(func(h *hollow) bool { return h.node == name })
	if err := until(ctx, lookEvery, knownWithin, func(ctx context.Context) (bool, string) {
		a, err := p.agreed(ctx)
		if err != nil {
			return false, err.Error()
		}
		return a.Rollout != nil && (a.Rollout.Nodes[name] == nil || a.Rollout.Nodes[name].Unreachable), name + " is not known to be missing"
	}); err != nil {
		return err
	}
	for _, key := range []Key{DeadFirst, DeadInForce} {
		began := time.Now()
		s, err := p.version(ctx, p.o.Pace.Blocked)
		isBlocked, err := p.note(key, s, err, time.Since(began))
		if err != nil {
			return err
		}
		if isBlocked {
			if key == DeadFirst {
				p.f.miss(DeadInForce, "the version before it was blocked")
			}
			break
		}
	}
	if err := revive(ctx); err != nil {
		return err
	}
	return p.settled(ctx)
}

// zoneLost lets the nodes and servers of a zone die at once, proposes a version, and lets them come back.
func (p *play) zoneLost(ctx context.Context) error {
	zone := fmt.Sprint("z", zones-1)
	revive := p.kill(func(h *hollow) bool { return h.zone == zone })
	if err := pauseFor(ctx, p.o.Pace.Lost); err != nil {
		return err
	}
	began := time.Now()
	s, err := p.version(ctx, p.o.Pace.Blocked)
	if _, err := p.note(ZoneLost, s, err, time.Since(began)); err != nil {
		return err
	}
	began = time.Now()
	if err := revive(ctx); err != nil {
		return err
	}
	if err := p.settled(ctx); err != nil {
		return err
	}
	p.f.set(ZoneBack, time.Since(began).Seconds())
	return nil
}

// regionsCut cuts the regions from each other, both ways: the first two replicas are in the first region, the third in the
// second. It proposes a version, and heals.
func (p *play) regionsCut(ctx context.Context) error {
	at := p.at()
	far := map[string]map[string]bool{"r0": {at[2]: true}, "r1": {at[0]: true, at[1]: true}}
	healed := make(chan struct{})
	for _, h := range p.hollows {
		for _, m := range h.meters() {
			m.cut(far[h.region], healed)
		}
	}
	silent := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
	var err error
	var links []*relay.Relay
	p.c.EachLink(func(from, to int, r *relay.Relay) {
		if (from == 2) != (to == 2) {
			err = errors.Join(err, r.Add(silent))
			links = append(links, r)
		}
	})
	if err == nil {
		err = pauseFor(ctx, p.o.Pace.Lost)
	}
	if err == nil {
		p.apart = "r1"
		began := time.Now()
		var s *spread
		s, err = p.version(ctx, p.o.Pace.Blocked)
		_, err = p.note(CutInForce, s, err, time.Since(began))
		p.apart = ""
	}
	began := time.Now()
	for _, r := range links {
		r.Remove(silent)
	}
	close(healed)
	if err != nil {
		return err
	}
	if err := p.settled(ctx); err != nil {
		return err
	}
	p.f.set(CutBack, time.Since(began).Seconds())
	if _, has := p.f.Values[Blocked]; !has {
		p.f.set(Blocked, 0)
	}
	return nil
}
