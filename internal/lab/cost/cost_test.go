package cost

import (
	"context"
	"flag"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/pprof/profile"

	"umberbank/internal/node"
)

// The test binary is also the program of the measured processes.
func TestMain(m *testing.M) {
	mode := os.Getenv("COST_TEST_PROCESS")
	if mode == "" {
		os.Exit(m.Run())
	}
	flags := flag.NewFlagSet(mode, flag.ExitOnError)
	stats, listen, to := flags.String("stats", "", ""), flags.String("listen", "", ""), flags.String("to", "", "")
	if err := flags.Parse(os.Args[1:]); err != nil {
		panic(err)
	}
	WriteStatsOnSignals(*stats)
	var err error
	if mode == "node" {
		err = node.RunProgram(context.Background(), make(chan os.Signal))
	} else {
		err = ServeRelay(context.Background(), *listen, strings.Split(*to, ","))
	}
	if err != nil {
		panic(err)
	}
}

func command(t *testing.T, mode string) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{"/usr/bin/env", "COST_TEST_PROCESS=" + mode, self}
}

// A measurement of real processes has every figure, and the parts of the processor time add up to the total.
func TestMeasure(t *testing.T) {
	// The profile has 100 samples per second, about one in twenty of them in the balancer.
	r, err := Measure(t.Context(), Options{Node: command(t, "node"), Relay: command(t, "relay"), Duration: 3 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]ProcessCost{"node": r.Node, "relay": r.Relay} {
		if s.Throughput <= 0 || s.CPUMicros <= 0 || s.AllocBytes <= 0 || s.MemoryMB <= 0 || s.Descriptors <= 0 || s.Latency.P50 <= 0 || s.Latency.P99 < s.Latency.P50 {
			t.Errorf("%s: %+v", name, s)
		}
		sum := 0.0
		for _, p := range Parts {
			sum += s.CPUSplit[p]
		}
		if math.Abs(sum-s.CPUMicros) > 0.01*s.CPUMicros {
			t.Errorf("%s: the parts add up to %v us, want %v us", name, sum, s.CPUMicros)
		}
	}
	if r.Node.CPUSplit[PartBalancer] <= 0 || r.Relay.CPUSplit[PartBalancer] != 0 || r.Direct.P50 <= 0 {
		t.Errorf("balancer part of the node %v us, of the relay %v us; direct latency %v", r.Node.CPUSplit[PartBalancer], r.Relay.CPUSplit[PartBalancer], r.Direct)
	}
}

// A measurement uses the given rate and number of servers. Invalid options start no process.
func TestRate(t *testing.T) {
	r, err := Measure(t.Context(), Options{Node: command(t, "node"), Relay: command(t, "relay"), Duration: 500 * time.Millisecond, Rate: 50, Servers: 31})
	if err != nil {
		t.Fatal(err)
	}
	if r.PacedRate != 50 || r.Servers != 31 || r.Node.Rejected != 0 || r.Node.Latency.P99 <= 0 || r.Relay.Latency.P99 <= 0 {
		t.Errorf("%+v", r)
	}
	if want := r.Node.Added.P99 / r.Relay.Added.P99; r.Relay.Added.P99 > 0 && r.AddedP99Ratio != want {
		t.Errorf("the ratio is %v, want %v", r.AddedP99Ratio, want)
	}
	failing := []string{"/bin/sh", "-c", "echo started; exit 1"}
	for want, o := range map[string]Options{"rate: -1 is no number": {Rate: -1}, "rate: NaN": {Rate: math.NaN()}, "rate: +Inf": {Rate: math.Inf(1)},
		"servers: -1 is not": {Servers: -1}, "servers: 4097 is not from 1 to 4096": {Servers: MaxServers + 1}} {
		o.Node = failing
		if _, err := Measure(t.Context(), o); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "started") {
			t.Errorf("%q: %v", want, err)
		}
	}
	if _, err := Measure(t.Context(), Options{Node: command(t, "node"), Relay: command(t, "relay"), Duration: 200 * time.Millisecond, Rate: 1e9}); err == nil || !strings.Contains(err.Error(), "is not below the lower throughput") {
		t.Errorf("a rate above the throughput: %v", err)
	}
}

// If a command exits or does not become ready, the error contains its output.
func TestCannotStart(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := Measure(ctx, Options{Node: []string{"/bin/sh", "-c", "echo cannot start; exit 1"}})
	if err == nil || !strings.Contains(err.Error(), "cannot start") {
		t.Errorf("error %v", err)
	}
}

// A sample belongs to the balancer if the balancer is on its stack, and otherwise to the part of the innermost frame that
// has one.
func TestParts(t *testing.T) {
	for want, stack := range map[string][]string{
		PartBalancer: {"runtime.mapassign", "slices.SortFunc", "umberbank/balancer.(*Balancer).arrange", "umberbank/internal/node.(*loop).handle"},
		PartSockets:  {"internal/runtime/syscall.Syscall6", "internal/poll.(*FD).Write", "net/http.(*conn).serve"},
		PartParsing:  {"runtime.mallocgc", "net/textproto.(*Reader).ReadLine", "umberbank/internal/node.(*upstream).exchange"},
		PartNode:     {"runtime.mallocgc", "umberbank/internal/node.(*download).fill", "net/http.HandlerFunc.ServeHTTP"},
		PartRuntime:  {"runtime.gcBgMarkWorker"},
	} {
		s := &profile.Sample{}
		for _, name := range stack {
			s.Location = append(s.Location, &profile.Location{Line: []profile.Line{{Function: &profile.Function{Name: name}}}})
		}
		if got := partOf(s); got != want {
			t.Errorf("%v is %s, want %s", stack, got, want)
		}
	}
}
