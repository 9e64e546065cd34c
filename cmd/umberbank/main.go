// Command umberbank runs nodes, registry replicas, controllers and agents, reads and changes the state of a registry and its
// fleet, and runs lab scenarios. Each command has a file of its own. Scripts rely on the names and defaults of commands and
// flags, which testdata/commands.golden pins.
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
	exitFailed = 1 // the command ran, and one of its checks failed
	exitError  = 2 // the command line is wrong, or the command could not run
)

// errCheckFailed is returned by commands that have run and printed a failed check. The exit code is then exitFailed.
var errCheckFailed = errors.New("check failed")

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

// environment is passed to every command. ctx is cancelled at SIGTERM and at an interrupt.
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

// exitRequest is the value with which kong's exit function panics, for example after --help. run recovers the panic.
type exitRequest int

// run parses the command line, runs the command and returns the exit code. It recovers a panic with an exitRequest, whose value
// it returns, and no other.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case exitRequest:
			code = int(reason)
		default:
			panic(reason)
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

// newParser returns a parser that stores the command line in c.
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

// logger returns a logger with the level and format that the flags set.
func (c *cli) logger(w io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: c.LogLevel}
	if c.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
