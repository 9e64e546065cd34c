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

// The test binary is the replicas too.
func TestMain(m *testing.M) {
	if os.Getenv("BENCH_TEST_REPLICA") == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := replica.Serve(ctx, os.Args[len(os.Args)-1], log, func(string) {}); err != nil {
		panic(err)
	}
}

// A small measurement of real processes gives every figure.
func TestMeasure(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Measure(t.Context(), Options{Instances: 200, Watches: 30, Changes: 10, ReplicaCommand: []string{"/usr/bin/env", "BENCH_TEST_REPLICA=1", self}})
	if err != nil {
		t.Fatal(err)
	}
	if r.PropagationP50MS <= 0 || r.PropagationP99MS < r.PropagationP50MS || r.WritesPerSecond <= 0 || r.FailoverMS <= 0 || r.ReconnectStormSeconds <= 0 || r.ResumedShare != 1 {
		t.Errorf("%+v", r)
	}
}

func TestHead(t *testing.T) {
	for text, want := range map[string]struct {
		rev       int64
		whole, ok bool
	}{
		`{"rev":17,"all":true,"targets":[`: {17, true, true}, `{"rev":18,"all":false,"ta`: {18, false, true},
		"": {}, `{"all":true}`: {}, `{"rev":x,"all":true`: {0, true, false},
	} {
		if rev, whole, ok := parseHead([]byte(text)); rev != want.rev || whole != want.whole || ok != want.ok {
			t.Errorf("%q: %d, %v, %v", text, rev, whole, ok)
		}
	}
}
