package trial

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

	"hollyspur/internal/agree/host"
	"hollyspur/internal/procs"
	"hollyspur/internal/registry/cluster"
	"hollyspur/internal/registry/state"
)

// ConfigResult is what came of a run with versions of nodes' settings.
type ConfigResult struct {
	Result
	Versions    int     `json:"versions"`             // that some node ran
	Uncommitted int     `json:"versions_uncommitted"` // that a node ran before a controller told any, or without a quorum's word
	AtOnceMost  int     `json:"versions_at_once_max"` // contents that ran at a time
	WentBack    int     `json:"went_back"`            // nodes that ran a lower version than before
	SpreadMS    float64 `json:"spread_ms"`            // of the last version: from when its last stage was told until all nodes ran it
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
		p := &process{name: fmt.Sprintf("n%02d", i)}
		p.Process = procs.Process{Launcher: s.launch, Log: filepath.Join(s.dir, p.name+".log")}
		at, err := s.links(p)
		if err != nil {
			return err
		}
		listen, err := cluster.Free()
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
	return s.await(ctx, "all nodes are to say what they run", func(v *state.Agreed) bool {
		return v.Book != nil && len(v.Book.Nodes) == nodes && v.Book.Settled() && v.Lead != nil
	})
}

// push proposes settings as a person would.
func (s *site) push(ctx context.Context, attempts int, stages string) error {
	file := filepath.Join(s.dir, fmt.Sprintf("settings-%d.json", attempts))
	if err := os.WriteFile(file, settings(attempts), 0o600); err != nil {
		return err
	}
	if out, err := s.staff(ctx, "config", "push", "--stages", stages, "--bake", "200ms", file); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// pushes lets staff and faults at the site. What a person asks for may be turned down; the end settles it.
func (s *site) pushes(ctx context.Context) error {
	if err := s.push(ctx, 2, "1"); err != nil { // so that there is a content to go back to
		return err
	}
	end := time.Now().Add(s.opt.For)
	for next := 3; time.Now().Before(end); {
		if !s.opt.Calm {
			if err := s.fault(); err != nil {
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
	within := settleWithin
	if s.opt.Node != nil {
		within = wrongWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := s.cluster.Await(ctx); err != nil {
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
	return s.await(ctx, "all nodes are to run the last version: "+last, func(v *state.Agreed) bool {
		return v.Book != nil && len(v.Book.Nodes) == nodes && v.Book.Settled() && v.Book.Committed.Hash == lastHash
	})
}

var lastHash = func() string {
	text, err := json.Marshal(json.RawMessage(settings(lastAttempts))) // as it travels
	if err != nil {
		panic(err) // it is JSON
	}
	return state.Hash(text)
}()

var said = regexp.MustCompile(`agreed: (runs|could run) version (\d+) (\S+) at (\d+)`)

// readLogs adds what nodes wrote of their versions.
func (r *record) readLogs(nodes []*process) error {
	for _, p := range nodes {
		f, err := os.Open(p.Log)
		if err != nil {
			return err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			if m := said.FindStringSubmatch(lines.Text()); m != nil {
				at, _ := strconv.ParseInt(m[4], 10, 64) // digits
				r.events = append(r.events, host.Event{At: time.Duration(at), Who: p.name, Unit: p.name, What: m[1], Version: m[2], Why: m[3]})
			}
		}
		f.Close()
	}
	return nil
}

// judgeConfig walks through what nodes ran.
func (r *record) judgeConfig(res *ConfigResult, zones map[string]string) {
	slices.SortStableFunc(r.events, func(a, b host.Event) int { return cmp.Compare(a.At, b.At) })
	broken := func(count *int, format string, args ...any) {
		*count++
		if len(res.Broken) < 20 {
			res.Broken = append(res.Broken, fmt.Sprintf(format, args...))
		}
	}
	all := map[string]int{}
	for _, z := range zones {
		all[z]++
	}
	runs := map[string]string{}              // content by node; none: it does not run
	number := map[string]int{}               // the highest version by node
	told := map[string]time.Duration{"0": 0} // versions, by when a controller last asked to tell them
	could := map[string]map[string]bool{}    // nodes by version
	ran := map[string]bool{}
	var lead host.Event
	var lastRun time.Duration
	for _, e := range r.events {
		switch e.What {
		case "asks":
			told[e.Version] = e.At
		case "could run":
			if could[e.Version] == nil {
				could[e.Version] = map[string]bool{}
			}
			could[e.Version][e.Who] = true
		case "killed":
			delete(runs, e.Unit)
		case "runs":
			n, _ := strconv.Atoi(e.Version) // digits
			if n < number[e.Who] {
				broken(&res.WentBack, "%s runs version %d after %d", e.Who, n, number[e.Who])
			}
			number[e.Who], runs[e.Who] = n, e.Why
			if _, is := told[e.Version]; !is {
				broken(&res.Uncommitted, "%s runs version %s, which no controller had told anybody", e.Who, e.Version)
			}
			if !ran[e.Version] && n > 0 {
				ran[e.Version] = true
				res.Versions++
				acked := map[string]int{}
				for who := range could[e.Version] {
					acked[zones[who]]++
				}
				for z := range all {
					if 2*acked[z] <= all[z] {
						broken(&res.Uncommitted, "%s runs version %s, which %d of %d nodes of zone %s could run", e.Who, e.Version, acked[z], all[z], z)
					}
				}
			}
			contents := map[string]bool{}
			for _, c := range runs {
				contents[c] = true
			}
			if len(contents) > 2 {
				broken(new(int), "%d contents run at once, as %s runs version %s: %v", len(contents), e.Who, e.Version, runs)
			}
			res.AtOnceMost = max(res.AtOnceMost, len(contents))
			if strings.HasPrefix(lastHash, e.Why) {
				lastRun = e.At
				res.SpreadMS = (lastRun - told[e.Version]).Seconds() * 1000
			}
		case "act":
			res.Acts++
			r.judgeAct(&lead, e, func(why string) { broken(&res.TwoActors, "%s", why) })
		}
	}
}
