// Command umberbank is the whole product on one command line: it runs a node, a replica of the registry, a controller or an
// agent, reads and changes what they hold, and plays scenarios on fleets of them in the lab. Each file of the package is one
// command. Names and defaults of commands and flags are an interface that scripts rely on: see testdata/commands.golden.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the command ran, and something that it checks does not hold
	exitError  = 2 // the command line is wrong, or the command could not run
)

// errCheckFailed makes the exit code exitFailed. The command has printed what does not hold.
var errCheckFailed = errors.New("not held")

// cli is the command line.
type cli struct {
	LogLevel  slog.Level `name:"log-level" help:"Lowest level that is logged: debug, info, warn or error." default:"warn"`
	LogFormat string     `name:"log-format" help:"Format of the log, which goes to standard error." enum:"text,json" default:"text"`

	Node     nodeCmd     `name:"node" cmd:"" help:"Run a node, as bin/umberbank-node does."`
	Lab      labCmd      `name:"lab" cmd:"" help:"Run scenarios with faults on fleets of nodes."`
	Registry registryCmd `name:"registry" cmd:"" help:"Run, read and change the registry of instances."`
	Fleet    fleetCmd    `name:"fleet" cmd:"" help:"Coordinate drains, releases and settings of a site's units."`
	Config   configCmd   `name:"config" cmd:"" help:"Check node configurations."`
	State    stateCmd    `name:"state" cmd:"" help:"Inspect and repair state files."`
	Version  versionCmd  `name:"version" cmd:"" help:"Print the version."`
}

// environment is what commands run in. ctx ends at SIGTERM and interrupt.
type environment struct {
	ctx            context.Context
	stdout, stderr io.Writer
	log            *slog.Logger
}

const description = `A load balancer node for services in tiers, the registry and controllers of its fleet, and a lab that tests fleets.

Exit codes: 0 success, 1 a check failed, 2 could not run.

Examples:
  umberbank lab run                            run the default scenario on real processes
  umberbank lab run labs/calm.toml --virtual   run a scenario on the virtual clock
  umberbank lab check labs/*.toml              check scenario files
  umberbank config check config.json           check a node's configuration`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// exitRequest is the panic by which kong's exit function ends a run, as after --help.
type exitRequest int

// run runs the command that args name and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if e, ok := recover().(exitRequest); ok {
			code = int(e)
		} else if r := recover(); r != nil {
			panic(r)
		}
	}()
	var c cli
	parser, err := newParser(&c, stdout, stderr)
	if err != nil {
		fmt.Fprintln(stderr, "umberbank:", err)
		return exitError
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "umberbank: %v (see umberbank --help)\n", err)
		return exitError
	}
	err = command.Run(&environment{ctx: ctx, stdout: stdout, stderr: stderr, log: c.logger(stderr)})
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errCheckFailed):
		return exitFailed
	default:
		fmt.Fprintln(stderr, "umberbank:", strings.TrimSpace(err.Error()))
		return exitError
	}
}

// newParser returns a parser of command lines into c.
func newParser(c *cli, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("umberbank"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitError
			}
			panic(exitRequest(code))
		}))
}

// logger returns the log that the flags ask for.
func (c *cli) logger(w io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: c.LogLevel}
	if c.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
