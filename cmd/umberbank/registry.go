package main

import (
	"context"
	"fmt"
	"time"

	"umberbank/internal/coordination/controller"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// coordinationState asks for all that is agreed.
func (r registryFlags) coordinationState(ctx context.Context) (*state.CoordinationView, error) {
	w, err := r.writer()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	return controller.ReadView(ctx, w)
}

// apply has one write carried out; a fault is an error that says why.
func (r registryFlags) apply(ctx context.Context, op state.Op) (state.Result, error) {
	w, err := r.writer()
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	answers, err := w.Write(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	return answers[0], answers[0].Err()
}

type registryCmd struct {
	Serve     registryServeCmd     `name:"serve" cmd:"" help:"Run one replica; alone it is a whole registry."`
	Status    registryStatusCmd    `name:"status" cmd:"" help:"Show what each replica says of itself."`
	Get       registryGetCmd       `name:"get" cmd:"" help:"Show entries."`
	Watch     registryWatchCmd     `name:"watch" cmd:"" help:"Show changes as they come."`
	Put       registryPutCmd       `name:"put" cmd:"" help:"Enter servers, from a file of JSON."`
	Drain     registryDrainCmd     `name:"drain" cmd:"" help:"Tell nodes to send servers nothing new."`
	Restore   registryRestoreCmd   `name:"restore" cmd:"" help:"Put a backup in the place of what the registry holds, in a new epoch."`
	Backup    registryBackupCmd    `name:"backup" cmd:"" help:"Write all that the registry holds to a file."`
	Remove    registryRemoveCmd    `name:"remove" cmd:"" help:"Take servers out."`
	Members   registryMembersCmd   `name:"members" cmd:"" help:"Show the replicas, take one in or out."`
	Bench     registryBenchCmd     `name:"bench" cmd:"" help:"Measure a registry of three processes."`
	FaultTest registryFaultTestCmd `name:"fault-test" aliases:"trial" cmd:"" help:"Play faults on registries of real processes, and judge what their users saw."`
}

// registryFlags says which registry a command is for.
type registryFlags struct {
	Endpoints []string      `name:"endpoints" aliases:"at" help:"Replicas, as host:port; any that answers will do." default:"127.0.0.1:7400"`
	Timeout   time.Duration `name:"timeout" aliases:"within" help:"How long to try." default:"5s"`
}

func (r registryFlags) writer() (*client.Client, error) {
	return client.New(client.Options{Endpoints: r.Endpoints})
}

// call makes one call to the registry.
func (r registryFlags) call(ctx context.Context, method, path string, body, into any) error {
	w, err := r.writer()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	return w.Call(ctx, method, path, body, into)
}

// write has writes carried out, and gives the first fault.
func (r registryFlags) write(env *environment, ops ...state.Op) error {
	w, err := r.writer()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.ctx, r.Timeout)
	defer cancel()
	answers, err := w.Write(ctx, ops...)
	if err != nil {
		return err
	}
	failed := false
	for i, answer := range answers {
		uid := ops[i].UID
		if ops[i].Instance != nil {
			uid = ops[i].Instance.UID
		}
		if answer.Code != "" {
			failed = true
			fmt.Fprintf(env.stdout, "%s: %s\n", uid, answer.Code)
		} else {
			fmt.Fprintf(env.stdout, "%s: done at revision %d\n", uid, answer.Revision)
		}
	}
	if failed {
		return errCheckFailed
	}
	return nil
}
