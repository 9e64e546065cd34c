package main

import (
	"context"
	"fmt"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// registryFlags select the registry that a command uses.
type registryFlags struct {
	Endpoints []string      `name:"endpoints" aliases:"at" help:"Replicas of the registry, as host:port. The command uses any that responds." default:"127.0.0.1:7400"`
	Timeout   time.Duration `name:"timeout" aliases:"within" help:"Timeout of the command's requests to the registry." default:"5s"`
}

// withClient calls do with a client of the registry and a context that has the timeout.
func (r registryFlags) withClient(ctx context.Context, do func(context.Context, *client.Client) error) error {
	c, err := client.New(client.Options{Endpoints: r.Endpoints})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	return do(ctx, c)
}

// call sends one request to the registry's API and decodes the response into the value that into points to.
func (r registryFlags) call(ctx context.Context, method, path string, body, into any) error {
	return r.withClient(ctx, func(ctx context.Context, c *client.Client) error {
		return c.Call(ctx, method, path, body, into)
	})
}

// coordinationState returns the coordination state of the site.
func (r registryFlags) coordinationState(ctx context.Context) (view *state.CoordinationView, err error) {
	err = r.withClient(ctx, func(ctx context.Context, c *client.Client) error {
		view, err = controller.ReadView(ctx, c)
		return err
	})
	return view, err
}

// applyAll sends writes to the registry and returns the result of each.
func (r registryFlags) applyAll(ctx context.Context, ops ...state.Op) (results []state.Result, err error) {
	err = r.withClient(ctx, func(ctx context.Context, c *client.Client) error {
		results, err = c.Write(ctx, ops...)
		return err
	})
	return results, err
}

// apply sends one write to the registry. If the registry rejects it, the result has the code and the error has the reason.
func (r registryFlags) apply(ctx context.Context, op state.Op) (state.Result, error) {
	results, err := r.applyAll(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	return results[0], results[0].Err()
}

// writeInstances sends writes to the registry and prints the result of each. It returns errCheckFailed if one was rejected.
func (r registryFlags) writeInstances(env *environment, ops ...state.Op) error {
	results, err := r.applyAll(env.ctx, ops...)
	if err != nil {
		return err
	}
	failed := false
	for i, result := range results {
		uid := ops[i].UID
		if ops[i].Instance != nil {
			uid = ops[i].Instance.UID
		}
		if result.Code != "" {
			failed = true
			fmt.Fprintf(env.stdout, "%s: %s\n", uid, result.Code)
		} else {
			fmt.Fprintf(env.stdout, "%s: done at revision %d\n", uid, result.Revision)
		}
	}
	if failed {
		return errCheckFailed
	}
	return nil
}
