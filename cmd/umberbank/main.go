// Command umberbank is the whole product on one command line: the node, and the lab that tries fleets of them.
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
	exitFailed = 1
	exitError  = 2
)

// errCheckFailed says that a run was played and something did not hold, which has been printed.
var errCheckFailed = errors.New("not held")

// cli is the command line.
type cli struct {
	LogLevel  slog.Level `name:"log-level" help:"Least level of what is logged: debug, info, warn or error." default:"warn"`
	LogFormat string     `name:"log-format" help:"Form of the log, on standard error." enum:"text,json" default:"text"`

	Node     nodeCmd     `name:"node" cmd:"" help:"Run one node, as bin/umberbank-node does."`
	Lab      labCmd      `name:"lab" cmd:"" help:"Play scenarios on fleets of nodes, with faults."`
	Registry registryCmd `name:"registry" cmd:"" help:"Run, read and change the registry of servers."`
	Fleet    fleetCmd    `name:"fleet" cmd:"" help:"Take units out and change their version, by agreement."`
	Config   configCmd   `name:"config" cmd:"" help:"Look at a node's configuration."`
	State    stateCmd    `name:"state" cmd:"" help:"Look at what processes have kept on disk."`
	Version  versionCmd  `name:"version" cmd:"" help:"Say which version this is."`
}

// environment is what commands work with.
type environment struct {
	ctx            context.Context
	stdout, stderr io.Writer
	log            *slog.Logger
}

const description = `A load balancer node for services in tiers, and a lab that plays fleets of it.

Exit codes: 0 held, 1 not held, 2 could not run.

Examples:
  umberbank lab run                            the default scenario, on real processes
  umberbank lab run labs/calm.toml --virtual   a file, on the virtual clock
  umberbank lab check labs/*.toml              are these scenarios in order?
  umberbank config check config.json           is this node's configuration?`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// exitRequest carries kong's wish to end, as after --help.
type exitRequest int

// run carries out one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if e, is := recover().(exitRequest); is {
			code = int(e)
		} else if r := recover(); r != nil {
			panic(r)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("umberbank"), kong.Description(description), kong.UsageOnError(), kong.Writers(out, errOut),
		kong.Exit(func(n int) {
			if n != 0 {
				n = exitError
			}
			panic(exitRequest(n))
		}))
	if err != nil {
		fmt.Fprintln(errOut, "umberbank:", err)
		return exitError
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "umberbank: %v (see umberbank --help)\n", err)
		return exitError
	}
	opts := &slog.HandlerOptions{Level: c.LogLevel}
	var handler slog.Handler = slog.NewTextHandler(errOut, opts)
	if c.LogFormat == "json" {
		handler = slog.NewJSONHandler(errOut, opts)
	}
	switch err := parsed.Run(&environment{ctx: ctx, stdout: out, stderr: errOut, log: slog.New(handler)}); {
	case err == nil:
		return exitOK
	case errors.Is(err, errCheckFailed):
		return exitFailed
	default:
		fmt.Fprintln(errOut, "umberbank:", strings.TrimSpace(err.Error()))
		return exitError
	}
}
