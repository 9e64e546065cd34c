package main

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"umberbank/internal/lab"
)

const (
	// parallelVirtualRuns is how many runs on the virtual clock are played at once. Runs on the machine's clock are not, as they
	// would disturb each other.
	parallelVirtualRuns = 4
	// maxRealAttempts is how often a run on the machine's clock is played until it is valid.
	maxRealAttempts = 2
)

// play plays all variants on all seeds, and returns how many runs were not valid. A seed without a valid run of every variant is
// left out.
func (c *labCompareCmd) play(env *environment, variants []*playedVariant) (invalid int, err error) {
	runs, err := c.playVirtual(env, variants)
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
			bySeed[k], failed, err = playReal(env, v.variant, seed, label)
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
		return invalid, errors.New("no seed has valid runs of all variants: this machine could not send the load in time")
	}
	return invalid, nil
}

// playVirtual plays the variants on the virtual clock. It returns the results by seed and variant, nil for other variants.
func (c *labCompareCmd) playVirtual(env *environment, variants []*playedVariant) ([][]*lab.Result, error) {
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

// playReal plays a variant on the machine's clock until the run is valid or attempts are used up. It returns the last result and
// how many were not valid.
func playReal(env *environment, v *variant, seed uint64, label string) (result *lab.Result, invalid int, err error) {
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
