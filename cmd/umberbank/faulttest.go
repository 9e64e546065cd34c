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

// runMany calls run for each index from 0 to n-1, at most parallel calls at a time, and returns the results in this order.
func runMany[T any](env *environment, n, parallel int, run func(ctx context.Context, i int) (T, error)) ([]T, error) {
	if n < 1 || parallel < 1 {
		return nil, errors.New("--runs and --parallel: want 1 or more")
	}
	show := progress(env.stderr, "runs")
	var mu sync.Mutex
	done := 0
	results := make([]T, n)
	group, ctx := errgroup.WithContext(env.ctx)
	group.SetLimit(parallel)
	for i := range n {
		group.Go(func() error {
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
	err := group.Wait()
	if show != nil {
		fmt.Fprintln(env.stderr)
	}
	return results, err
}

// printViolations prints the violations of a run and its faults. It prints nothing if there are no violations.
func printViolations(w io.Writer, seed uint64, violations, faults []string) {
	if len(violations) > 0 {
		fmt.Fprintf(w, "BROKEN seed %d: %s\n  after %s\n", seed, strings.Join(violations, "; "), strings.Join(faults, ", "))
	}
}
