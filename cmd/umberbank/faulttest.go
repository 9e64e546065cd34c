package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// runMany makes n runs, so many of them in parallel, and returns their results in order.
func runMany[T any](env *environment, n, parallel int, run func(ctx context.Context, i int) (T, error)) ([]T, error) {
	if n < 1 || parallel < 1 {
		return nil, errors.New("--runs and --parallel: want 1 or more")
	}
	show := progress(env.stderr, "runs")
	var mu sync.Mutex
	done := 0
	results := make([]T, n)
	all, ctx := errgroup.WithContext(env.ctx)
	all.SetLimit(parallel)
	for i := range n {
		all.Go(func() error {
			r, err := run(ctx, i)
			if err != nil {
				return fmt.Errorf("run %d: %w", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			results[i] = r
			if done++; show != nil {
				fmt.Fprintf(env.stderr, "\r%d of %d runs ", done, n)
			}
			return nil
		})
	}
	err := all.Wait()
	if show != nil {
		fmt.Fprintln(env.stderr)
	}
	return results, err
}

// printViolations prints what a run violated and the faults it was exposed to; nothing if it violated nothing.
func printViolations(w io.Writer, seed uint64, violations, faults []string) {
	if len(violations) > 0 {
		fmt.Fprintf(w, "BROKEN seed %d: %s\n  after %s\n", seed, strings.Join(violations, "; "), strings.Join(faults, ", "))
	}
}
