package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"umberbank/internal/lab/oracle"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/node"
	"umberbank/internal/registry/replica"
	"umberbank/labs"
)

// The test binary is also the program of the node and replica processes. LAB_TEST_NODE selects the correct node, a replica, or a
// mode of the faulty node.
func TestMain(m *testing.M) {
	switch mode := os.Getenv("LAB_TEST_NODE"); mode {
	case "":
		goleak.VerifyTestMain(m)
	case "correct":
		ctx, stop := signalContext()
		defer stop()
		if err := node.RunProgram(ctx, make(chan os.Signal)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	case "replica":
		ctx, stop := signalContext()
		defer stop()
		log := slog.New(slog.NewTextHandler(os.Stderr, nil))
		if err := replica.Serve(ctx, os.Args[len(os.Args)-1], log, func(string) {}); err != nil {
			panic(err)
		}
	default:
		runFaultyNode(mode)
	}
}

// nodeCommand returns the command that runs the test binary as a node in the given mode.
func nodeCommand(t *testing.T, mode string) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{"/usr/bin/env", "LAB_TEST_NODE=" + mode, self}
}

func parseScenario(t testing.TB, text string, overrides ...string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text), overrides)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func shippedScenario(t testing.TB, name string, overrides ...string) *scenario.Scenario {
	t.Helper()
	text, err := labs.Files.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return parseScenario(t, string(text), overrides...)
}

func runScenario(t *testing.T, s *scenario.Scenario, opt Options) *Result {
	t.Helper()
	if opt.Seed == 0 {
		opt.Seed = 1
	}
	r, err := Run(t.Context(), s, opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Every scenario in labs meets its expectations on the virtual clock, and the same seed gives the same bytes.
func TestVirtual(t *testing.T) {
	files, err := labs.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		t.Run(f.Name(), func(t *testing.T) {
			t.Parallel()
			var before []byte
			for range 2 {
				s := shippedScenario(t, f.Name(), "registry.replicas=0")
				if s.Nodes > 100 { // scaled down to a hundredth
					s.Nodes, s.Tiers[0].Servers, s.Load.Rate = s.Nodes/100, s.Tiers[0].Servers/100, s.Load.Rate/100
				}
				r := runScenario(t, s, Options{Virtual: true, Seed: 4})
				if !r.Passed() {
					t.Errorf("expectations not met: %v; violations: %v", r.FailedExpectations, r.Violations)
				}
				text, err := json.Marshal(r)
				if err != nil {
					t.Fatal(err)
				}
				if before != nil && !bytes.Equal(before, text) {
					t.Error("the same seed gave a different result")
				}
				before = text
			}
		})
	}
}

// smallScenario starts fast. Its racks have one server each, so a request with an idempotency key may go to one server only.
const smallScenario = `
name = "small"
duration = "3s"
nodes = 2
[[tier]]
name = "web"
servers = 4
rack_size = 1
kind = [{ cold_from = 0.2, cold_for = ["5s", "5s"] }]
[[class]]
name = "read"
work = ["5ms", "5ms"]
aim = "500ms"
deadline = "1s"
[[class]]
name = "pay"
work = ["5ms", "5ms"]
aim = "500ms"
deadline = "1s"
effect = "unsafe"
[[class]]
name = "apply"
work = ["5ms", "5ms"]
aim = "500ms"
deadline = "1s"
effect = "keyed"
[load]
rate = 60
[clients]
retries = 0
impatient = 0
[discovery]
delay = ["100ms", "200ms"]
[limits]
slack = "400ms"
[expect]
rules_broken = 0
`

// twoTierScenario is smallScenario with a second tier, which the servers of the first tier call through the nodes that they
// own. Servers of both tiers crash, and others of the first tier drain or vanish.
var twoTierScenario = strings.Replace(strings.Replace(smallScenario, "[[tier]]\n", "[[tier]]\ncalls = [1.5, 1.5]\n", 1), "[[class]]\n",
	"[[tier]]\nname = \"data\"\nservers = 4\nwork = 0.5\n[[class]]\n", 1) + `
[[fault]]
kind = "crash"
at = "500ms"
for = "500ms"
names = ["web-0", "data-1"]
[[fault]]
kind = "drain"
at = "1s"
for = "500ms"
names = ["web-1"]
[[fault]]
kind = "vanish"
at = "1s"
for = "700ms"
names = ["web-2"]
`

// On both clocks the node of a server is stopped and started together with the server, and the site keeps serving.
func TestNodesOwnedByServers(t *testing.T) {
	for _, virtual := range []bool{true, false} {
		t.Run(fmt.Sprint("virtual=", virtual), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var log []string
			r := runScenario(t, parseScenario(t, twoTierScenario), Options{Virtual: virtual, Node: nodeCommand(t, "correct"), Log: func(format string, args ...any) {
				mu.Lock()
				defer mu.Unlock()
				log = append(log, fmt.Sprintf(format, args...))
			}})
			if r.RulesBroken > 0 || r.Valid && r.LastQuarterServedShare < 0.8 {
				t.Errorf("served %.3f, in the last quarter %.3f, rules broken %v: %+v", r.ServedShare, r.LastQuarterServedShare, r.ViolationsByRule, r.Violations)
			}
			all := strings.Join(log, "\n")
			for _, node := range []string{"n1-0", "n1-1", "n1-2"} {
				if !strings.Contains(all, "kill "+node) || !strings.Contains(all, "start "+node) {
					t.Errorf("%s was not stopped and started with its server:\n%s", node, all)
				}
			}
		})
	}
}

// Real replicas of the registry replace the simulated discovery. All are killed and restarted while a server crashes, and one is
// paused while a server drains. The site keeps serving and breaks no rule. On the virtual clock the scenario is rejected.
func TestRegistryOutage(t *testing.T) {
	t.Parallel()
	text := smallScenario + `
[registry]
replicas = 3
ttl = "500ms"
[[fault]]
kind = "registry-kill"
at = "500ms"
for = "1s"
[[fault]]
kind = "crash"
at = "700ms"
for = "1500ms"
names = ["web-1"]
[[fault]]
kind = "drain"
at = "2s"
for = "500ms"
names = ["web-2"]
[[fault]]
kind = "registry-stop"
at = "2s"
for = "300ms"
count = 1
`
	r := runScenario(t, parseScenario(t, text), Options{Node: nodeCommand(t, "correct"), Replica: nodeCommand(t, "replica")})
	if r.RulesBroken > 0 || r.Valid && r.ServedShare < 0.8 {
		t.Errorf("served %.3f, rules broken %v: %+v", r.ServedShare, r.ViolationsByRule, r.Violations)
	}
	if _, err := Run(t.Context(), parseScenario(t, text), Options{Seed: 1, Virtual: true}); err == nil {
		t.Error("a scenario with a registry ran on the virtual clock")
	}
}

// drainBehindStalledLink drains a server while its links are stalled. Requests that a node has written and then abandoned must
// not arrive when the links recover.
const drainBehindStalledLink = `
[[fault]]
kind = "silence"
at = "200ms"
for = "2200ms"
names = ["web-0"]
[[fault]]
kind = "drain"
at = "300ms"
for = "2600ms"
names = ["web-0"]
`

// Three hundred nodes with eight requests per second each do not overload a cold server, even if most servers restart at the same
// time.
func TestColdServersOfManyNodes(t *testing.T) {
	t.Parallel()
	text := strings.Replace(smallScenario, "servers = 4", "servers = 20", 1) + "\n[[fault]]\nkind = \"crash\"\nat = \"2s\"\nfor = \"500ms\"\nshare = 0.6\n"
	for seed := uint64(1); seed <= 3; seed++ {
		s := parseScenario(t, text, "nodes=300", "duration=10s", "load.rate=2400", "discovery.notice=300ms")
		r, err := Run(t.Context(), s, Options{Seed: seed, Virtual: true})
		if err != nil {
			t.Fatal(err)
		}
		if r.RulesBroken > 0 || r.Requests < 20_000 {
			t.Errorf("seed %d: %d requests, rules broken %v: %+v", seed, r.Requests, r.ViolationsByRule, r.Violations)
		}
	}
}

// If a deployment leaves only cold servers in the list, nodes reject requests rather than overload a server, whether there are
// few nodes or many.
func TestColdServersAlone(t *testing.T) {
	t.Parallel()
	names := func(from, to int) string {
		var l []string
		for i := from; i < to; i++ {
			l = append(l, fmt.Sprintf("\"web-%d\"", i))
		}
		return strings.Join(l, ", ")
	}
	text := strings.ReplaceAll(strings.Replace(smallScenario, "servers = 4", "servers = 20", 1), "\"5ms\"", "\"100ms\"")
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\"500ms\"", "\"2s\""), "\"1s\"", "\"4s\"") +
		"\n[[fault]]\nkind = \"crash\"\nat = \"2s\"\nfor = \"500ms\"\nnames = [" + names(0, 2) + "]\n" +
		"\n[[fault]]\nkind = \"drain\"\nat = \"3500ms\"\nfor = \"3s\"\nnames = [" + names(2, 20) + "]\n"
	for nodes, rate := range map[string]string{"3": "180", "30": "300", "200": "180", "300": "300"} {
		for seed := uint64(1); seed <= 3; seed++ {
			s := parseScenario(t, text, "nodes="+nodes, "duration=10s", "load.rate="+rate, "discovery.notice=300ms")
			r, err := Run(t.Context(), s, Options{Seed: seed, Virtual: true})
			if err != nil {
				t.Fatal(err)
			}
			if r.RulesBroken > 0 || r.Requests < 1000 {
				t.Errorf("%s nodes, seed %d: %d requests, rules broken %v: %+v", nodes, seed, r.Requests, r.ViolationsByRule, r.Violations)
			}
		}
	}
}

// Two operators drain one zone each at the same time. On both clocks the budget delays drains so that nearly all requests are
// served. Without a budget at least a tenth of the requests is not.
func TestDrainsByBudget(t *testing.T) {
	t.Parallel()
	s := func(set ...string) *scenario.Scenario {
		s := shippedScenario(t, "fleet-drain.toml", append(set, "limits.slack=400ms")...)
		s.Shorten(9 * time.Second)
		return s
	}
	if r := runScenario(t, s(), Options{Node: nodeCommand(t, "correct"), Replica: nodeCommand(t, "replica")}); r.RulesBroken > 0 || r.Valid && r.ServedShare < 0.95 {
		t.Errorf("served %.3f, rules broken %v: %+v", r.ServedShare, r.ViolationsByRule, r.Violations)
	}
	if r := runScenario(t, s("registry.replicas=0"), Options{Virtual: true}); r.RulesBroken > 0 || r.ServedShare < 0.95 {
		t.Errorf("on the virtual clock: served %.3f, rules broken %v", r.ServedShare, r.ViolationsByRule)
	}
	if r := runScenario(t, s("registry.replicas=0", "budget.whole=0", "budget.zone=0"), Options{Virtual: true}); r.ServedShare > 0.9 {
		t.Errorf("served %.3f with two of three zones drained and no budget, want at most 0.9", r.ServedShare)
	}
}

// The oracle reports each rule that a faulty node breaks, with the request and its trace, and reports none for the correct node.
func TestOracleDetectsViolations(t *testing.T) {
	drain := "\n[[fault]]\nkind = \"drain\"\nat = \"300ms\"\nfor = \"2s\"\nnames = [\"web-0\"]\n"
	fresh := "\n[[fault]]\nkind = \"crash\"\nat = \"100ms\"\nfor = \"300ms\"\nnames = [\"web-0\"]\n"
	killed := "\n[[fault]]\nkind = \"kill\"\nat = \"500ms\"\nfor = \"200ms\"\nevery = \"600ms\"\nrepeat = 3\ncount = 1\n"
	// Slow servers keep many requests in flight.
	slow := "\n[[fault]]\nkind = \"slow\"\nat = \"100ms\"\nfor = \"2s\"\ntier = \"web\"\nfactor = 60\n"
	for mode, c := range map[string]struct{ rule, fault, set string }{
		"no-response":                     {rule: oracle.RuleLost},
		"close-connection":                {rule: oracle.RuleLost},
		"send-twice":                      {rule: oracle.RuleRepeated},
		"resend-elsewhere":                {rule: oracle.RuleIdempotencyKey},
		"many-attempts":                   {rule: oracle.RuleAttemptLimit},
		"hedge":                           {rule: oracle.RuleAttemptLimit, set: "limits.second_copies=false"},
		"reject-after-sending":            {rule: oracle.RuleRejection},
		"ignore-discovery":                {rule: oracle.RuleDraining, fault: drain},
		"ignore-silent-watch":             {rule: oracle.RuleDraining, fault: "\n[[fault]]\nkind = \"mute\"\nat = \"200ms\"\n" + drain, set: "discovery.missed=500ms"},
		"close-without-reset":             {rule: oracle.RuleDraining, fault: drainBehindStalledLink, set: "load.rate=300"},
		"overload-new-server":             {rule: oracle.RuleSlowStart, fault: fresh, set: "load.rate=1000"},
		"invent-request":                  {rule: oracle.RuleUnsolicited},
		"alter-body":                      {rule: oracle.RuleUnsolicited},
		"invent-response":                 {rule: oracle.RuleCorruptResponse},
		"send-after-disconnect":           {rule: oracle.RuleDisconnected, set: "clients.impatient=0.9"},
		"exit":                            {rule: oracle.RuleCrash},
		"leak-descriptors":                {rule: oracle.RuleResourceLimit, set: "limits.sockets=64"},
		"resend-after-restart":            {rule: oracle.RuleRepeated, fault: killed + slow, set: "state.keep=true"},
		"correct":                         {fault: drain + fresh + killed + slow, set: "state.keep=true"},
		"correct, stalled link":           {fault: drainBehindStalledLink, set: "load.rate=300"},
		"correct, slow servers and links": {fault: slow + "\n[[fault]]\nkind = \"delay\"\nat = \"100ms\"\nfor = \"2s\"\ndelay = \"60ms\"\n", set: "clients.impatient=0.9"},
	} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			var set []string
			if c.set != "" {
				set = append(set, c.set)
			}
			if c.rule == "" {
				mode = "correct"
			}
			r := runScenario(t, parseScenario(t, smallScenario+c.fault, set...), Options{Node: nodeCommand(t, mode)})
			if c.rule == "" {
				if r.RulesBroken > 0 {
					t.Errorf("the correct node breaks rules: %+v", r.Violations)
				}
				return
			}
			if r.ViolationsByRule[c.rule] == 0 {
				t.Fatalf("rule %s was not reported; rules broken: %v", c.rule, r.ViolationsByRule)
			}
			if r.Passed() {
				t.Error("the run counts as passed")
			}
			for _, v := range r.Violations {
				if v.Rule == c.rule && v.Detail != "" && (len(v.Trace) > 0 || c.rule == oracle.RuleSlowStart || c.rule == oracle.RuleUnsolicited || c.rule == oracle.RuleCrash || c.rule == oracle.RuleResourceLimit) {
					return
				}
			}
			t.Errorf("no violation of %s has a detail and a trace: %+v", c.rule, r.Violations)
		})
	}
}

// With the same faults, the share served on real processes is close to the share served on the virtual clock.
func TestRealAgreesWithVirtual(t *testing.T) {
	t.Parallel()
	s := func() *scenario.Scenario {
		s := shippedScenario(t, "default.toml", "limits.slack=\"400ms\"")
		s.Shorten(10 * time.Second)
		return s
	}
	onProcesses := runScenario(t, s(), Options{Node: nodeCommand(t, "correct")})
	onVirtualClock := runScenario(t, s(), Options{Virtual: true})
	if onProcesses.RulesBroken > 0 {
		t.Errorf("rules broken: %+v", onProcesses.Violations)
	}
	if onProcesses.Requests != onVirtualClock.Requests {
		t.Errorf("%d requests on real processes, %d on the virtual clock", onProcesses.Requests, onVirtualClock.Requests)
	}
	if d := onProcesses.ServedShare - onVirtualClock.ServedShare; onProcesses.Valid && (d > 0.05 || d < -0.05) {
		t.Errorf("served %.3f on real processes, %.3f on the virtual clock", onProcesses.ServedShare, onVirtualClock.ServedShare)
	}
}

// Extreme cases on the virtual clock: no servers at all, all servers down at the same time, overlapping faults, and a thousand
// faults in a minute. The run ends, every request has exactly one outcome, and the share served is within the bounds of the
// case.
func TestHardCases(t *testing.T) {
	every := func(kind, more string) string {
		return fmt.Sprintf("\n[[fault]]\nkind = %q\nrepeat = 125\nevery = \"480ms\"\nfor = \"700ms\"\ncount = 1\n%s\n", kind, more)
	}
	thousand := ""
	for _, k := range []string{"crash", "vanish", "hang", "kill", "stop", "silence", "refuse"} {
		thousand += every(k, "")
	}
	thousand += every("slow", "factor = 4")
	for name, c := range map[string]struct {
		text  string
		set   []string
		least float64
		most  float64
	}{
		"no servers":  {smallScenario, []string{"duration=\"2s\""}, 0, 0},
		"all down":    {smallScenario + "\n[[fault]]\nkind = \"crash\"\nat = \"1s\"\nfor = \"2s\"\n", []string{"duration=\"8s\"", "discovery.notice=\"300ms\""}, 0.4, 0.9},
		"overlapping": {smallScenario + every("delay", "delay = \"5ms\"") + every("silence", "") + every("reset", ""), []string{"duration=\"60s\""}, 0.5, 1},
		"two tiers":   {twoTierScenario, nil, 0.8, 1},
		"thousand":    {smallScenario + thousand, []string{"duration=\"60s\""}, 0.01, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := c.text
			if name == "no servers" {
				text = strings.Replace(text, "servers = 4", "servers = 0", 1)
			}
			r := runScenario(t, parseScenario(t, text, c.set...), Options{Virtual: true})
			if r.RulesBroken > 0 {
				t.Errorf("rules broken: %v %+v", r.ViolationsByRule, r.Violations[0])
			}
			if r.ServedShare < c.least || r.ServedShare > c.most {
				t.Errorf("served %.3f, want %v to %v", r.ServedShare, c.least, c.most)
			}
			for name, k := range r.Classes {
				if k.Requests != k.Served+k.Late+k.Rejected+k.Failed+k.Abandoned || k.Requests == 0 {
					t.Errorf("%s: the outcomes do not add up to the requests: %+v", name, k)
				}
			}
		})
	}
}

// If a node exits while it starts, the run ends with an error that contains its exit status and output.
func TestNodeDiesAtStart(t *testing.T) {
	t.Parallel()
	_, err := Run(t.Context(), parseScenario(t, smallScenario), Options{Seed: 1, Node: []string{"/bin/sh", "-c", "echo cannot start >&2; exit 3"}})
	if err == nil || !strings.Contains(err.Error(), "exit status 3") || !strings.Contains(err.Error(), "cannot start") {
		t.Errorf("got error %v, want one with the exit status and the output of the node", err)
	}
}

// If the networks that a run would try first are reserved by other processes, the run uses a free one.
func TestPortInUse(t *testing.T) {
	t.Parallel()
	var held []net.Listener
	for i := range 3 { // the networks that this process would try first
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:2999", 20+(os.Getpid()+i)%200))
		if err == nil {
			held = append(held, l)
		}
	}
	defer func() {
		for _, l := range held {
			l.Close()
		}
	}()
	r := runScenario(t, parseScenario(t, smallScenario, "duration=\"1s\""), Options{Node: nodeCommand(t, "correct")})
	if r.Requests == 0 || r.RulesBroken > 0 {
		t.Errorf("%d requests, rules broken %v", r.Requests, r.ViolationsByRule)
	}
}

// An interrupted run returns the partial result and leaves no process running.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pids := filepath.Join(t.TempDir(), "pids")
	command := append([]string{"/bin/sh", "-c", `echo $$ >> "$0"; exec "$@"`, pids}, nodeCommand(t, "correct")...)
	var once sync.Once
	r, err := Run(ctx, parseScenario(t, smallScenario, "duration=\"60s\""), Options{Seed: 1, Node: command,
		Progress: func(done, total time.Duration) { once.Do(cancel) }})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want context.Canceled", err)
	}
	if r == nil || !r.Partial || r.Valid || r.Requests == 0 {
		t.Errorf("got result %+v, want a partial and invalid result with requests", r)
	}
	text, err := os.ReadFile(pids)
	if err != nil {
		t.Fatal(err)
	}
	started := strings.Fields(string(text))
	if len(started) != 2 {
		t.Errorf("%d processes were started, want 2", len(started))
	}
	for _, pid := range started {
		if _, err := os.Stat("/proc/" + pid); err == nil {
			t.Errorf("process %s is still running", pid)
		}
	}
}

// If the load generator is suspended, it sends requests late. The run is then reported as invalid, and no request as lost.
func TestStalledLoaderIsInvalid(t *testing.T) {
	t.Parallel()
	if os.Getenv("LAB_TEST_STALL") != "" {
		r := runScenario(t, parseScenario(t, smallScenario, "duration=\"4s\""), Options{Node: nodeCommand(t, "correct"), Progress: func(done, _ time.Duration) {
			fmt.Println("PROGRESS")
		}})
		fmt.Printf("\nRESULT valid=%v late=%.3f lost=%d\n", r.Valid, r.LoaderLateShare, r.ViolationsByRule[oracle.RuleLost])
		return
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, "-test.run=^TestStalledLoaderIsInvalid$")
	cmd.Env = append(os.Environ(), "LAB_TEST_STALL=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var all bytes.Buffer
	buf := make([]byte, 4096)
	stalled := false
	for {
		n, err := out.Read(buf)
		all.Write(buf[:n])
		if !stalled && strings.Contains(all.String(), "PROGRESS") {
			stalled = true
			cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(700 * time.Millisecond) // how long the load generator is suspended
			cmd.Process.Signal(syscall.SIGCONT)
		}
		if err != nil {
			break
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, all.String())
	}
	if !strings.Contains(all.String(), "RESULT valid=false") || !strings.Contains(all.String(), "lost=0") {
		t.Errorf("want an invalid run without lost requests, got:\n%s", all.String())
	}
}
