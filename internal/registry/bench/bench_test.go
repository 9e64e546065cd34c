package bench

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"umberbank/internal/registry/replica"
)

// TestMain runs a replica instead of the tests if REGISTRYBENCH_REPLICA is set.
func TestMain(m *testing.M) {
	if os.Getenv("REGISTRYBENCH_REPLICA") == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := replica.Serve(ctx, os.Args[len(os.Args)-1], logger, func(string) {}); err != nil {
		panic(err)
	}
}

// A small measurement with real processes fills in the figures of propagation, writes, failover and the reconnect storm.
func TestMeasure(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Measure(t.Context(), Options{Instances: 200, Watches: 30, Changes: 10, ReplicaCommand: []string{"/usr/bin/env", "REGISTRYBENCH_REPLICA=1", self}})
	if err != nil {
		t.Fatal(err)
	}
	if r.PropagationP50MS <= 0 || r.PropagationP99MS < r.PropagationP50MS || r.WritesPerSecond <= 0 || r.FailoverMS <= 0 || r.ReconnectStormSeconds <= 0 || r.ResumedFraction != 1 {
		t.Errorf("a figure is missing or out of range: %+v", r)
	}
}

func TestParseEventHead(t *testing.T) {
	for text, want := range map[string]struct {
		revision     int64
		fullList, ok bool
	}{
		`{"rev":17,"all":true,"targets":[`: {17, true, true}, `{"rev":18,"all":false,"ta`: {18, false, true},
		"": {}, `{"all":true}`: {}, `{"rev":x,"all":true`: {0, true, false},
	} {
		t.Run(text, func(t *testing.T) {
			if revision, fullList, ok := parseEventHead([]byte(text)); revision != want.revision || fullList != want.fullList || ok != want.ok {
				t.Errorf("got revision %d, full list %v, ok %v", revision, fullList, ok)
			}
		})
	}
}
