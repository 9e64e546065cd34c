package faulttest

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"
)

// Replicas that get SIGTERM one after another, beside the elections that this causes, all exit.
func TestReplicasExitDuringElections(t *testing.T) {
	t.Parallel()
	const rounds = 8
	const maxPause = 300 * time.Millisecond // several ticks of 60 ms, so that a replica is ended at any moment of an election
	const exitTimeout = 10 * time.Second
	c, _ := startCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), rounds*testTimeout)
	defer cancel()
	for round := range rounds {
		for i := range c.Len() {
			if err := c.Start(i); err != nil {
				t.Fatal(err)
			}
		}
		if err := c.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		for _, i := range rand.Perm(c.Len()) {
			c.Signal(i, syscall.SIGTERM)
			pause := time.NewTimer(rand.N(maxPause))
			select {
			case <-c.Exited(i):
			case <-pause.C:
			}
		}
		for i := range c.Len() {
			select {
			case <-c.Exited(i):
			case <-time.After(exitTimeout):
				t.Fatalf("round %d: replica %d has not exited %v after SIGTERM: %s", round, i, exitTimeout, c.Logs(i))
			}
		}
	}
}
