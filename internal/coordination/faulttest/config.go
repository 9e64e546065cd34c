package faulttest

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberbank/internal/coordination/eventlog"
	"umberbank/internal/process"
	"umberbank/internal/process/relay"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// ConfigResult is what came of a run with versions of nodes' settings.
type ConfigResult struct {
	Result
	Versions    int     `json:"versions"`             // that some node ran
	Uncommitted int     `json:"versions_uncommitted"` // that a node ran before a controller told any, or without a quorum's word
	AtOnceMost  int     `json:"versions_at_once_max"` // contents that ran at a time among nodes in touch
	WentBack    int     `json:"went_back"`            // nodes that ran a lower version than before
	ServedEarly int     `json:"served_early"`         // starts that served before they were in touch, or with less than was in force
	OldStarts   int     `json:"old_starts"`           // processes that counted as in touch by the start of an earlier one
	CalledDead  int     `json:"called_dead"`          // nodes that were called out of touch while nothing befell them
	OutOfTouch  int     `json:"out_of_touch"`         // times that a node heard that it was
	ZonesLost   int     `json:"zones_lost"`           // faults that took a whole zone
	SpreadMS    float64 `json:"spread_ms"`            // of the last version: from when its last stage was told until all nodes ran it
	// InForceMS is how long each version took that came into force while faults went on, from the answer to who pushed it.
	InForceMS []float64 `json:"in_force_ms"`
	// PauseMS is the longest time between two versions that came into force, or from the first push to one, while faults went on;
	// what staff halted, withdrew or never pushed is in it.
	PauseMS float64 `json:"pause_ms"`
	Dead    string  `json:"dead"` // the node that was killed for good
}

// settings are a node's, with a mark by which their content is known.
func settings(attempts int) []byte {
	return fmt.Appendf(nil, `{"lanes":[{"name":"read","effect":"read_like","target-ms":100,"deadline-ms":400,"worth":1}],
 "limits":{"conn-idle-ms":30000,"connect-timeout-ms":200,"max-attempts":%d},"balancers":1,"tick-ms":5,"registry-mode":"pushed"}`, attempts)
}

// RunConfig plays one run with real nodes, in three zones, that take their settings from the registry.
func RunConfig(ctx context.Context, opt Options, nodes int) (*ConfigResult, error) {
	res := &ConfigResult{Result: Result{Seed: opt.Seed}}
	s, err := newSite(opt, &res.Result)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.startNodes(ctx, nodes); err != nil {
		return nil, err
	}
	if err := s.pushes(ctx); err != nil {
		return nil, err
	}
	healed := time.Now()
	res.Dead, res.ZonesLost = s.dead, s.zonesLost
	if err := s.settleConfig(ctx, nodes); err != nil {
		res.Broken = append(res.Broken, "after the faults: "+err.Error())
	}
	res.SettleS = time.Since(healed).Seconds()
	s.launch.Close()
	if err := s.record.read(filepath.Join(s.dir, "*.events")); err != nil {
		return nil, err
	}
	if err := s.record.readLogs(s.units); err != nil {
		return nil, err
	}
	s.record.judgeConfig(res, zoneOf(nodes))
	return res, ctx.Err()
}

func zoneOf(nodes int) map[string]string {
	l := map[string]string{}
	for i := range nodes {
		l[fmt.Sprintf("n%02d", i)] = string("abc"[i%3])
	}
	return l
}

// startNodes starts the registry, nodes and controllers, and waits until all nodes have said what they run.
func (s *site) startNodes(ctx context.Context, nodes int) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := s.registry(ctx); err != nil {
		return err
	}
	zones := zoneOf(nodes)
	for i := range nodes {
		p := &siteProcess{name: fmt.Sprintf("n%02d", i)}
		p.Process = process.Process{Launcher: s.launch, LogPath: filepath.Join(s.dir, p.name+".log")}
		at, err := s.links(p)
		if err != nil {
			return err
		}
		listen, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		host, port, err := net.SplitHostPort(listen)
		if err != nil {
			return err
		}
		cfg := map[string]any{"name": p.name, "listen": net.JoinHostPort(host, port), "discovery": s.cluster.Addresses()[0], "seed": "1",
			"limits": map[string]any{"memory_mb": 64, "sockets": 256}, "settings": json.RawMessage(settings(1)),
			"agreed": map[string]any{"endpoints": at, "tier": "front", "zone": zones[p.name], "sends_to": "web", "ttl_ms": ttl.Milliseconds(),
				"keep": filepath.Join(s.dir, p.name+".settings")}}
		text, err := json.Marshal(cfg)
		if err != nil {
			return err
		}
		file := filepath.Join(s.dir, p.name+".json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		command := s.program("node")
		if i == 0 && s.opt.Node != nil {
			command = s.opt.Node
		}
		p.SetCommand(append([]string{"/usr/bin/env", "ROUTER_CONFIG=" + file}, command...))
		if err := p.Start(); err != nil {
			return err
		}
		s.units = append(s.units, p)
	}
	if err := s.controllers(); err != nil {
		return err
	}
	return s.await(ctx, "all nodes are to say what they run", func(v *state.CoordinationView) bool {
		return v.Rollout != nil && len(v.Rollout.Nodes) == nodes && v.Rollout.Converged() && v.Leader != nil
	})
}

// push proposes settings as a person would, and notes the version.
func (s *site) push(ctx context.Context, attempts int, stages string) error {
	file := filepath.Join(s.dir, fmt.Sprintf("settings-%d.json", attempts))
	if err := os.WriteFile(file, settings(attempts), 0o600); err != nil {
		return err
	}
	out, err := s.staff(ctx, "config", "push", "--stages", stages, "--bake", "200ms", file)
	if err != nil {
		s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "turned down", Reason: out})
		return fmt.Errorf("%w: %s", err, out)
	}
	var version int64
	if _, err := fmt.Sscanf(out, "version %d is proposed", &version); err != nil {
		return fmt.Errorf("%q: %w", out, err)
	}
	s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "pushed", Version: strconv.FormatInt(version, 10)})
	return nil
}

// pushes lets staff and faults at the site. What a person asks for may be turned down; the end settles it.
func (s *site) pushes(ctx context.Context) error {
	if err := s.push(ctx, 2, "1"); err != nil { // so that there is a content to go back to
		return err
	}
	if s.opt.Beside != nil {
		p := &siteProcess{name: "beside", Process: process.Process{Launcher: s.launch, LogPath: filepath.Join(s.dir, "beside.log")}}
		p.SetCommand(s.opt.Beside(s.cluster.Addresses(), s.dir))
		if err := p.Start(); err != nil {
			return err
		}
		defer p.Kill()
	}
	if s.opt.Again {
		if err := s.again(ctx, s.units[0]); err != nil {
			return err
		}
	}
	end := time.Now().Add(s.opt.For)
	die := time.Now().Add(time.Duration(s.r.Int64N(int64(s.opt.For)))) // one is killed for good then
	for next := 3; time.Now().Before(end); {
		if !s.opt.Calm {
			if time.Now().After(die) {
				s.killForGood()
			}
			fault := s.fault
			if s.r.IntN(6) == 0 {
				fault = s.zoneFault
			}
			if err := fault(); err != nil {
				return err
			}
		}
		switch n := s.r.IntN(10); {
		case n < 4:
			if s.push(ctx, next, "0.3,1") == nil {
				next++
			}
		case n == 4:
			s.push(ctx, 0, "1") // which no node can run
		case n == 5:
			s.staff(ctx, "config", "halt")
		case n == 6:
			s.staff(ctx, "config", "withdraw")
		case n == 7:
			s.staff(ctx, "config", "back")
		}
		select {
		case <-time.After(time.Duration(100+s.r.IntN(400)) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if !s.opt.Calm {
		s.killForGood() // if that has not come yet
	}
	s.undo.Wait()
	return nil
}

// lastAttempts marks the content that all nodes are to run in the end.
const lastAttempts = 99

// settleConfig ends all faults and brings every node to one more version, whatever was under way.
func (s *site) settleConfig(ctx context.Context, nodes int) error {
	if err := s.heal(); err != nil {
		return err
	}
	s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "healed"})
	within := settleWithin
	if s.opt.Node != nil || s.opt.Beside != nil {
		within = wrongWithin
	}
	if s.dead != "" {
		nodes--
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := s.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	last := ""
	for ctx.Err() == nil {
		if out, err := s.staff(ctx, "config", "withdraw"); err != nil {
			last = out
			s.staff(ctx, "config", "back") // if it was told to some
		}
		err := s.push(ctx, lastAttempts, "0.3,1")
		if err == nil {
			break
		}
		last = err.Error()
		time.Sleep(300 * time.Millisecond) // between a person's tries
	}
	return s.await(ctx, "all nodes are to run the last version: "+last, func(v *state.CoordinationView) bool {
		return v.Rollout != nil && len(v.Rollout.Nodes)-len(v.Rollout.OutOfSync()) == nodes && v.Rollout.Converged() && v.Rollout.Committed.Hash == lastHash
	})
}

// mayDie is how many nodes there must be for one to be killed for good: three zones that keep a quorum without it.
const mayDie = 9

// killForGood ends one node that no fault has ended yet; it is not started again, and nobody declares it gone.
func (s *site) killForGood() {
	running := slices.DeleteFunc(slices.Clone(s.units), func(p *siteProcess) bool { return p.off })
	if s.dead != "" || len(s.units) < mayDie || len(running) == 0 {
		return
	}
	p := running[s.r.IntN(len(running))]
	p.off, s.dead = true, p.name
	s.res.Faults = append(s.res.Faults, "kill "+p.name+" for good")
	s.opt.Log("kill %s for good", p.name)
	s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "fault", Unit: p.name})
	s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "killed", Unit: p.name})
	p.Kill()
}

// again ends a node once the first version is in force, and starts it again.
func (s *site) again(ctx context.Context, p *siteProcess) error {
	if err := s.await(ctx, "the first version is to be in force", func(v *state.CoordinationView) bool {
		return v.Rollout != nil && v.Rollout.Committed.Number > 0
	}); err != nil {
		return err
	}
	s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "fault", Unit: p.name})
	s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "killed", Unit: p.name})
	p.Kill()
	if err := p.Start(); err != nil {
		return err
	}
	s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "fault over", Unit: p.name})
	return nil
}

// zoneFault lets something befall a whole zone, for long enough that it is lost: its nodes are cut off, or killed, or with a replica
// and a controller they are a region of their own, apart from the rest.
func (s *site) zoneFault() error {
	lasts := time.Duration(2500+s.r.IntN(2500)) * time.Millisecond
	zone := s.r.IntN(3)
	kind := []string{"zone-cut", "zone-kill", "apart"}[s.r.IntN(3)]
	name := string("abc"[zone])
	s.res.Faults = append(s.res.Faults, fmt.Sprintf("%s %s %v", kind, name, lasts))
	s.opt.Log("%s %s for %v", kind, name, lasts)
	s.zonesLost++
	silent := &relay.Impairment{Stall: true, ToTarget: true, FromTarget: true}
	var links []*relay.Relay
	var killed []*siteProcess
	var there []*siteProcess
	for i, p := range s.units {
		if i%3 != zone {
			if kind == "apart" { // and it hears nothing from the replica over there
				links = append(links, p.links[zone])
			}
			continue
		}
		there = append(there, p)
		switch {
		case p.name == s.dead:
		case kind == "zone-kill" && !p.off:
			p.off = true
			killed = append(killed, p)
		case kind == "zone-cut":
			links = append(links, p.links...)
		case kind == "apart":
			for r, l := range p.links {
				if r != zone {
					links = append(links, l)
				}
			}
		}
	}
	if kind == "apart" {
		for i, c := range s.controls {
			for r, l := range c.links {
				if (i == zone) != (r == zone) {
					links = append(links, l)
				}
			}
		}
		s.cluster.EachLink(func(from, to int, l *relay.Relay) {
			if (from == zone) != (to == zone) {
				links = append(links, l)
			}
		})
		s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "registry"})
	}
	for _, p := range there {
		s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "fault", Unit: p.name})
	}
	for _, p := range killed {
		s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "killed", Unit: p.name})
		p.Kill()
	}
	for _, l := range links {
		if err := l.Add(silent); err != nil {
			return err
		}
	}
	s.undo.Go(func() {
		time.Sleep(lasts)
		for _, l := range links {
			l.Remove(silent) // it only lifts the silence
		}
		for _, p := range killed {
			p.Start() // one that cannot start shows in what follows
		}
		for _, p := range there {
			s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "fault over", Unit: p.name})
		}
		if kind == "apart" {
			s.record.note(eventlog.Event{At: eventlog.Now(), Kind: "registry over"})
		}
	})
	return nil
}

var lastHash = func() string {
	text, err := json.Marshal(json.RawMessage(settings(lastAttempts))) // as it travels
	if err != nil {
		panic(err) // it is JSON
	}
	return state.ContentHash(text)
}()

var said = regexp.MustCompile(`agreed: (?:(runs|could run|in touch|out of touch)(?: by start (\d+)(?:, renewed within (\d+) ms,)? with)? version (\d+) (\S+)|(serves)) at (\d+)`)

// readLogs adds what nodes wrote of their versions.
func (r *record) readLogs(nodes []*siteProcess) error {
	for _, p := range nodes {
		f, err := os.Open(p.LogPath)
		if err != nil {
			return err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			if m := said.FindStringSubmatch(lines.Text()); m != nil {
				at, _ := strconv.ParseInt(m[7], 10, 64) // digits, as the next ones
				start, _ := strconv.ParseInt(m[2], 10, 64)
				span, _ := strconv.ParseInt(m[3], 10, 64)
				r.events = append(r.events, eventlog.Event{At: time.Duration(at), Process: p.name, Unit: p.name, Kind: eventlog.Kind(m[1] + m[6]), Version: m[4], Reason: m[5], Token: start,
					MaxRenewalGap: time.Duration(span) * time.Millisecond})
			}
		}
		f.Close()
	}
	return nil
}

// touchWithin is how soon a node that nobody hears from says so itself, once it is heard again.
const touchWithin = 5 * time.Second

// surelyRenewed is the longest time between renewals with which a lease cannot end: its own, less the time between the leader's looks
// and some room. On a busy machine a node, or the leader, may be held up for longer.
const surelyRenewed = ttl - 150*time.Millisecond

// seen is what the judge knows of one node at a time.
type seen struct {
	began    time.Duration // its process
	running  bool
	version  int    // that its process runs
	highest  int    // that any process of it ran
	content  string // of version
	inTouch  bool   // by its own word in this process, and nothing has befallen it since
	heard    bool   // it has said so in this process
	start    int64  // by which it said so last
	earlier  int64  // the highest start by which an earlier process said so
	least    int    // what was in force when its process began, or when it heard that it was out of touch
	faults   int    // that last
	wellFrom time.Duration
}

// judgeConfig walks through what nodes ran.
func (r *record) judgeConfig(res *ConfigResult, zones map[string]string) {
	slices.SortStableFunc(r.events, func(a, b eventlog.Event) int { return cmp.Compare(a.At, b.At) })
	broken := func(count *int, format string, args ...any) {
		*count++
		if len(res.Broken) < 20 {
			res.Broken = append(res.Broken, fmt.Sprintf(format, args...))
		}
	}
	all := map[string]int{}
	nodes := map[string]*seen{}
	for who, z := range zones {
		all[z]++
		nodes[who] = &seen{}
	}
	told := map[string]time.Duration{"0": 0} // versions, by when a controller last asked to tell them
	could := map[string]map[string]bool{}    // nodes by version
	ran := map[string]bool{}
	pushed := map[string]time.Duration{} // versions, by when who pushed them knew
	inForce := 0                         // the highest version that a controller knew to be in force
	moved := time.Duration(0)            // when a version last came into force, or the first push was made
	faults := false                      // pauses count from the first fault on, and not in the end
	var lead eventlog.Event
	var calm time.Duration // since when the registry is undisturbed
	disturbed := 0
	// soonOut says that a node hears soon that it was out of touch, which it may have been for a while then.
	soonOut := func(who string, i int) bool {
		for _, e := range r.events[i:] {
			if e.At > r.events[i].At+touchWithin {
				break
			}
			if e.Process == who && (e.Kind == "out of touch" || e.Kind == "in touch") {
				return e.Kind == "out of touch"
			}
		}
		return false
	}
	contents := func(i int) {
		e := r.events[i]
		run := map[string][]string{}
		for who, n := range nodes {
			if n.inTouch {
				run[n.content] = append(run[n.content], who)
			}
		}
		if len(run) > 2 {
			for c, l := range run {
				if l = slices.DeleteFunc(l, func(who string) bool { return soonOut(who, i) }); len(l) == 0 {
					delete(run, c)
				}
			}
		}
		if len(run) > 2 {
			broken(new(int), "%d contents run at once among nodes in touch, as %s runs version %s: %v", len(run), e.Process, e.Version, run)
		}
		res.AtOnceMost = max(res.AtOnceMost, len(run))
	}
	for i, e := range r.events {
		n := nodes[cmp.Or(e.Unit, e.Process)]
		switch e.Kind {
		case "asks":
			told[e.Version] = e.At
		case "could run":
			if could[e.Version] == nil {
				could[e.Version] = map[string]bool{}
			}
			could[e.Version][e.Process] = true
		case "fault":
			faults = true
			if n != nil {
				n.faults++
				n.inTouch = false // as far as is known from here
			}
		case "fault over":
			if n != nil {
				n.faults--
				n.wellFrom = e.At
			}
		case "healed":
			faults = false
		case "registry":
			faults = true
			disturbed++
		case "registry over":
			disturbed--
			calm = e.At
		case "killed":
			if n != nil {
				*n = seen{highest: n.highest, earlier: max(n.earlier, n.start), faults: n.faults, wellFrom: n.wellFrom}
			}
		case "runs":
			v, _ := strconv.Atoi(e.Version) // digits
			if !n.running {
				n.running, n.began, n.least = true, e.At, inForce
			}
			if v < n.highest {
				broken(&res.WentBack, "%s runs version %d after %d", e.Process, v, n.highest)
			}
			n.version, n.highest, n.content = v, v, e.Reason
			if _, is := told[e.Version]; !is {
				broken(&res.Uncommitted, "%s runs version %s, which no controller had told anybody", e.Process, e.Version)
			}
			if !ran[e.Version] && v > 0 {
				ran[e.Version] = true
				res.Versions++
				r.judgeQuorum(res, broken, e, could[e.Version], zones, nodes)
			}
			contents(i)
			if strings.HasPrefix(lastHash, e.Reason) {
				res.SpreadMS = (e.At - told[e.Version]).Seconds() * 1000
			}
		case "in touch":
			if e.Token <= n.earlier {
				broken(&res.OldStarts, "%s counts as in touch by the start %d of an earlier process", e.Process, e.Token)
			}
			if n.version < n.least {
				broken(&res.ServedEarly, "%s counts as in touch with version %d, and %d was in force before", e.Process, n.version, n.least)
			}
			n.inTouch, n.heard, n.start = n.faults == 0, true, e.Token
			contents(i)
		case "out of touch":
			res.OutOfTouch++
			if e.MaxRenewalGap < surelyRenewed && n.faults == 0 && e.At-max(n.wellFrom, n.began) > known && disturbed == 0 && e.At-calm > known {
				broken(&res.CalledDead, "%s was called out of touch while nothing befell it", e.Process)
			}
			n.inTouch, n.least = false, inForce
		case "serves":
			if !n.heard {
				broken(&res.ServedEarly, "%s serves before it is in touch, with version %d", e.Process, n.version)
			} else if n.version < n.least {
				broken(&res.ServedEarly, "%s serves with version %d, and %d was in force before", e.Process, n.version, n.least)
			}
		case "pushed":
			pushed[e.Version] = e.At
			if moved == 0 {
				moved = e.At
			}
		case "act":
			res.Acts++
			r.judgeAct(&lead, e, func(why string) { broken(&res.TwoActors, "%s", why) })
			if v, _ := strconv.Atoi(e.Version); e.Reason == "in force" && v > inForce {
				inForce = v
				if at, is := pushed[e.Version]; is && faults {
					res.InForceMS = append(res.InForceMS, (e.At-at).Seconds()*1000)
				}
				if faults {
					res.PauseMS = max(res.PauseMS, (e.At-moved).Seconds()*1000)
				}
				moved = e.At
			}
		}
	}
}

// judgeQuorum says in which zone, or of all, too few could run a version that a node runs. A zone that something befell whole may have
// been lost; of all there is always more than half.
func (r *record) judgeQuorum(res *ConfigResult, broken func(*int, string, ...any), e eventlog.Event, could map[string]bool, zones map[string]string, nodes map[string]*seen) {
	all, acked, well := map[string]int{}, map[string]int{}, map[string]bool{}
	for who, z := range zones {
		n := nodes[who]
		well[z] = well[z] || n.faults == 0 && e.At-n.wellFrom > known
		for _, of := range []string{z, ""} {
			all[of]++
			if could[who] {
				acked[of]++
			}
		}
	}
	for of := range all {
		switch {
		case 2*acked[of] > all[of]:
		case of == "":
			broken(&res.Uncommitted, "%s runs version %s, which %d of %d nodes could run", e.Process, e.Version, acked[of], all[of])
		case well[of]:
			broken(&res.Uncommitted, "%s runs version %s, which %d of %d nodes of zone %s could run", e.Process, e.Version, acked[of], all[of], of)
		}
	}
}
