package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/node"
	"umberbank/internal/registry/replica"
)

// The test binary is also the program of the processes of a measurement. It supports the command lines that a measurement uses.
func TestMain(m *testing.M) {
	if os.Getenv("SCALE_TEST") == "" {
		os.Exit(m.Run())
	}
	after := func(flag string) string {
		for i, a := range os.Args[:len(os.Args)-1] {
			if a == flag {
				return os.Args[i+1]
			}
		}
		return ""
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	var err error
	switch os.Args[1] {
	case "registry":
		err = replica.Serve(context.Background(), after("--config"), log, func(string) {})
	case "fleet":
		err = (&controller.Controller{Registry: strings.Split(after("--at"), ","), Name: "c0", TTL: time.Second, Log: log}).Run(context.Background())
	case "node":
		err = node.RunProgram(context.Background(), make(chan os.Signal))
	}
	if err != nil {
		panic(err)
	}
}

// A complete run of one play and one size, with real processes. Every figure is either measured or has a reason why it is not,
// such as a version that a failure blocked.
func TestRun(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	pace := Pace{IdleTime: 1500 * time.Millisecond, SingleVersions: 1, Bursts: []int{2, 3}, VersionTimeout: 20 * time.Second, BlockedTimeout: 300 * time.Millisecond}
	r, err := Run(t.Context(), Options{Nodes: []int{8}, Plays: 1, Program: []string{"/usr/bin/env", "SCALE_TEST=1", self}, Pace: pace})
	if err != nil {
		t.Fatal(err)
	}
	f := r.Sizes[0]
	for _, k := range Keys {
		v, has := f.Values[k]
		if why := f.Missing[k]; has == (why != "") {
			t.Errorf("%s: %v, %q", k, v, why)
		}
	}
	for _, k := range []Key{KeyIdleBytes, KeyIdleCalls, KeyAgentIdleBytes, KeyReplicaCores, KeyReplicaMB, KeyControllerMB, KeyLoaderMB, KeyConnect, KeyConnectBytes, KeyReconnect, KeyFullListBytes,
		KeyInForceP99, KeyVersionWrites, KeyBurst10, KeyBurst40, KeyBurstRate, KeyReplicaLost, KeyZoneRecovered, KeyPartitionHealed, KeyPeakMB} {
		if f.Values[k] <= 0 {
			t.Errorf("%s: %v, %q", k, f.Values[k], f.Missing[k])
		}
	}
	// An acknowledgment and a report of each of the 9 nodes, and at least one write for the proposal and the commit.
	if w := f.Values[KeyVersionWrites]; w < 1+2*9 {
		t.Errorf("a version came into force with %v writes, want at least 19", w)
	}
	if !f.WithinBounds || f.Values[KeyProcesses] != 7 {
		t.Errorf("within bounds: %v with %v processes, want 7 processes", f.WithinBounds, f.Values[KeyProcesses])
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var top map[string]any
	if err := json.Unmarshal(text, &top); err != nil {
		t.Fatal(err)
	}
	for _, k := range []string{"nodes", "rest_bytes_s", "rest_cpu_share", "control_mb", "in_force_p99_s", "burst_in_force_s", "dead_in_force_s",
		"zone_lost_in_force_s", "cut_in_force_s", "blocked_s", "reconnect_s", "replica_cores", "bounds_held", "sizes", "slopes", "not_measured"} {
		if _, has := top[k]; !has {
			t.Errorf("no key %s", k)
		}
	}
}

// Invalid options, or options that exceed the bounds, are rejected with an error of one line before any process starts.
func TestInvalidOptions(t *testing.T) {
	for want, o := range map[string]Options{
		"no size":              {Plays: 1},
		"0 is not from 7":      {Nodes: []int{0}, Plays: 1},
		"-3 is not from 7":     {Nodes: []int{-3}, Plays: 1},
		"50 is not above 100":  {Nodes: []int{100, 50}, Plays: 1},
		"100 is not above 100": {Nodes: []int{100, 100}, Plays: 1},
		"plays: 0":             {Nodes: []int{100}},
		"plays: 21":            {Nodes: []int{100}, Plays: 21},
		"10001 is not from 7":  {Nodes: []int{10_001}, Plays: 1},
	} {
		o.Program = []string{"/bin/false"}
		r, err := Run(t.Context(), o)
		if r != nil || err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, %v", want, r, err)
		}
	}
	o := Options{Nodes: []int{100, 920}, Plays: 1}
	if err := o.validateWithin(2540, 7360); err != nil {
		t.Error(err)
	}
	for want, err := range map[string]error{"920: exceeds the bounds of a run: about 2540 MB": o.validateWithin(2539, 7360),
		"920: exceeds the bounds of a run: about 7360 open files": o.validateWithin(2540, 7359)} {
		if !errors.Is(err, ErrBounds) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// A run that exceeds its bounds is canceled with ErrBounds.
func TestGuard(t *testing.T) {
	for name, g := range map[string]*guard{"memory": {maxMB: 1, maxProcesses: 10}, "processes": {maxMB: 1 << 20, maxProcesses: 1}} {
		ctx, end := context.WithCancelCause(t.Context())
		g.check([]int{os.Getpid(), os.Getppid()}, end)
		if mb, n := g.peak(); !errors.Is(context.Cause(ctx), ErrBounds) || mb <= 1 || n != 2 {
			t.Errorf("%s: %v after %v MB in %d", name, context.Cause(ctx), mb, n)
		}
		end(nil)
	}
	ctx, end := context.WithCancelCause(t.Context())
	defer end(nil)
	(&guard{maxMB: 1 << 20, maxProcesses: 2}).check([]int{os.Getpid(), os.Getppid(), 0}, end)
	if ctx.Err() != nil {
		t.Error(context.Cause(ctx))
	}
}

// Slopes are computed over all plays, and their standard deviation from the slopes of single plays. A figure that a play did not
// measure is reported as missing.
func TestSummarize(t *testing.T) {
	play := func(per float64, sizes ...int) (l []*Figures) {
		for _, n := range sizes {
			f := newFigures(n)
			f.set(KeyVersionWrites, 3+per*float64(n))
			f.set(KeyConnect, 1)
			f.fillMissing("not requested")
			l = append(l, f)
		}
		return l
	}
	r := &Result{ByPlay: [][]*Figures{play(2, 10, 20, 40), play(2.2, 10, 20, 40), play(1.8, 10, 20, 40)}}
	r.ByPlay[1][2].setMissing(KeyConnect, "blocked by n1")
	r.summarize()
	s := r.Slopes[KeyVersionWrites]
	if math.Abs(s.PerNode-2) > 1e-9 || math.Abs(s.Intercept-3) > 1e-9 || math.Abs(s.StdDev-0.2) > 1e-9 || s.Points != 9 || s.R2 < 0.9 {
		t.Errorf("%+v", s)
	}
	if len(r.Sizes) != 3 || r.Sizes[1].Values[KeyVersionWrites] != 43 || r.Slopes[KeyConnect].PerNode != 0 || r.Slopes[KeyInForceP99] != nil {
		t.Errorf("%+v, %+v", r.Sizes[1], r.Slopes)
	}
	if _, has := r.Sizes[2].Values[KeyConnect]; has || r.Sizes[2].Missing[KeyConnect] != "in 1 of 3 plays: blocked by n1" {
		t.Errorf("%+v", r.Sizes[2])
	}
	text, err := json.Marshal(r)
	if err != nil || !bytes.HasPrefix(text, []byte(`{"nodes":40,`)) || !bytes.Contains(text, []byte(`"connect_s":null`)) {
		t.Errorf("%s, %v", text, err)
	}
	var out, svg bytes.Buffer
	if err := Print(&out, r); err != nil || !strings.Contains(out.String(), "40 nodes, connect_s: not measured: in 1 of 3 plays: blocked by n1") {
		t.Errorf("%s, %v", out.String(), err)
	}
	if err := Draw(&svg, r); err != nil || !strings.Contains(svg.String(), "connect_s") {
		t.Errorf("%v: %.100s", err, svg.String())
	}
	if err := Draw(io.Discard, &Result{}); err == nil {
		t.Error("Draw of an empty result did not fail")
	}
}

// A meter counts calls and bytes, including headers. After its connections broke it reports when the client received a response
// again. A partition delays a request, and a killed meter opens no connections.
func TestMeter(t *testing.T) {
	var m meter
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) }))
	defer s.Close()
	c := &http.Client{Transport: &http.Transport{DialContext: m.dial}}
	defer c.CloseIdleConnections()
	send := func() error {
		resp, err := c.Post(s.URL, "text/plain", strings.NewReader("GET / is no call here"))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	for range 3 {
		if err := send(); err != nil {
			t.Fatal(err)
		}
	}
	got := m.traffic()
	if got.calls != 3 || got.bytes < 3*(2*21+100) || m.dials.Load() != 1 {
		t.Errorf("%+v over %d connections", got, m.dials.Load())
	}
	m.breakAll()
	if !m.reconnectedAt().IsZero() {
		t.Error("a response is reported before the next request")
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	if m.reconnectedAt().IsZero() || m.dials.Load() != 2 {
		t.Errorf("response at %v over %d connections, want 2 connections", m.reconnectedAt(), m.dials.Load())
	}
	healed := make(chan struct{})
	m.partition(map[string]bool{strings.TrimPrefix(s.URL, "http://"): true}, healed)
	answered := make(chan error, 1)
	go func() { answered <- send() }()
	select {
	case err := <-answered:
		t.Errorf("a request completed during the partition: %v", err)
	default:
	}
	close(healed)
	if err := <-answered; err != nil {
		t.Error(err)
	}
	m.kill()
	if err := send(); !errors.Is(err, errMachineDown) {
		t.Errorf("a request after kill: got %v, want errMachineDown", err)
	}
}

// A propagation is done when the last expected node runs the version. Repeated reports and reports of other nodes do not count.
func TestTracker(t *testing.T) {
	var tr versionTracker
	a, b := []byte(`{"a":1}`), []byte(`{"b":1}`)
	s := tr.expect(a, []string{"n1", "n2"})
	for _, name := range []string{"n1", "n1", "n3"} {
		tr.recordRunning(name, a)
	}
	tr.recordRunning("n2", b)
	select {
	case <-s.done:
		t.Fatal("the propagation is done before n2 runs the version")
	default:
	}
	tr.recordRunning("n2", a)
	<-s.done
	if l := s.propagationTimes(); len(l) != 2 || l[0] > l[1] {
		t.Errorf("%v", l)
	}
}
