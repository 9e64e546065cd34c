package main

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"umberbank/internal/lab"
)

const (
	// parallelVirtualRuns is the maximum number of concurrent runs on the virtual clock. Runs on the machine's clock are made one
	// at a time, as they would disturb each other.
	parallelVirtualRuns = 4
	// maxRealAttempts is the maximum number of attempts to get a valid run on the machine's clock.
	maxRealAttempts = 2
)

// runVariants runs all variants on all seeds, stores the results in variants and returns the number of invalid runs. A seed
// without a valid run of every variant is left out.
func (c *labCompareCmd) runVariants(env *environment, variants []*variantRuns) (invalid int, err error) {
	runs, err := c.runVirtual(env, variants)
	if err != nil {
		return 0, err
	}
	for i, bySeed := range runs {
		seed := c.Seed + uint64(i)
		for k, v := range variants {
			if v.virtual {
				continue
			}
			label := fmt.Sprintf("seed %d, %c", seed, 'A'+k)
			var failed int
			bySeed[k], failed, err = runReal(env, v.variant, seed, label)
			if err != nil {
				return 0, err
			}
			invalid += failed
		}
		if slices.ContainsFunc(bySeed, func(r *lab.Result) bool { return !r.Valid }) {
			continue
		}
		for k, v := range variants {
			v.results = append(v.results, bySeed[k])
		}
	}
	if len(variants[0].results) == 0 {
		return invalid, errors.New("no seed has a valid run of every variant: this machine could not send the load in time")
	}
	return invalid, nil
}

// runVirtual runs the variants on the virtual clock. It returns the results by seed and variant, nil for variants on the
// machine's clock.
func (c *labCompareCmd) runVirtual(env *environment, variants []*variantRuns) ([][]*lab.Result, error) {
	runs := make([][]*lab.Result, c.Seeds)
	group, ctx := errgroup.WithContext(env.ctx)
	group.SetLimit(parallelVirtualRuns)
	for i := range runs {
		runs[i] = make([]*lab.Result, len(variants))
		for k, v := range variants {
			if !v.virtual {
				continue
			}
			group.Go(func() (err error) {
				runs[i][k], err = lab.Run(ctx, v.scenario, lab.Options{Seed: c.Seed + uint64(i), Virtual: true, Node: v.node})
				return err
			})
		}
	}
	return runs, group.Wait()
}

// runReal runs a variant on the machine's clock until a run is valid or maxRealAttempts is reached. It returns the last result
// and the number of invalid runs.
func runReal(env *environment, v *variant, seed uint64, label string) (result *lab.Result, invalid int, err error) {
	options := lab.Options{Seed: seed, Node: v.node, Progress: progress(env.stderr, label)}
	for range maxRealAttempts {
		result, err = lab.Run(env.ctx, v.scenario, options)
		if err != nil {
			return nil, invalid, err
		}
		if result.Valid {
			break
		}
		invalid++
	}
	return result, invalid, nil
}
