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
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"umberbank/internal/lab/cost"
	"umberbank/internal/node"
	"umberbank/internal/node/config"
)

// Exit codes.
const (
	held     = 0
	notHeld  = 1
	couldNot = 2
)

// errNotHeld says that a run was played and something did not hold, which has been printed.
var errNotHeld = errors.New("not held")

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

// app is what commands work with.
type app struct {
	ctx      context.Context
	out, err io.Writer
	log      *slog.Logger
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

// exit carries kong's wish to end, as after --help.
type exit int

// run carries out one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) (code int) {
	defer func() {
		if e, is := recover().(exit); is {
			code = int(e)
		} else if r := recover(); r != nil {
			panic(r)
		}
	}()
	var c cli
	parser, err := kong.New(&c, kong.Name("umberbank"), kong.Description(description), kong.UsageOnError(), kong.Writers(out, errOut),
		kong.Exit(func(n int) {
			if n != 0 {
				n = couldNot
			}
			panic(exit(n))
		}))
	if err != nil {
		fmt.Fprintln(errOut, "umberbank:", err)
		return couldNot
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "umberbank: %v (see umberbank --help)\n", err)
		return couldNot
	}
	opts := &slog.HandlerOptions{Level: c.LogLevel}
	var handler slog.Handler = slog.NewTextHandler(errOut, opts)
	if c.LogFormat == "json" {
		handler = slog.NewJSONHandler(errOut, opts)
	}
	switch err := parsed.Run(&app{ctx: ctx, out: out, err: errOut, log: slog.New(handler)}); {
	case err == nil:
		return held
	case errors.Is(err, errNotHeld):
		return notHeld
	default:
		fmt.Fprintln(errOut, "umberbank:", strings.TrimSpace(err.Error()))
		return couldNot
	}
}

type nodeCmd struct {
	Stats string `name:"stats" hidden:"" help:"Write what was used between SIGUSR1 and SIGUSR2 here."`
}

// Help is shown by --help.
func (nodeCmd) Help() string {
	return `The environment tells the node what it is: ROUTER_CONFIG names its configuration. SIGHUP makes it read that again,
SIGTERM ends it once all that it has taken is answered.

Example:
  ROUTER_CONFIG=config.json umberbank node`
}

func (c *nodeCmd) Run(a *app) error {
	if c.Stats != "" {
		cost.Watch(c.Stats)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return node.RunProgram(a.ctx, hangups)
}

type configCmd struct {
	Check configCheckCmd `name:"check" cmd:"" help:"Check configurations without starting anything."`
}

type configCheckCmd struct {
	Files []string `arg:"" name:"file" help:"Configurations as the platform writes them (JSON)."`
}

// Help is shown by --help.
func (configCheckCmd) Help() string {
	return "Example:\n  umberbank config check /run/balancer/config.json"
}

func (c *configCheckCmd) Run(a *app) error {
	var bad error
	for _, f := range c.Files {
		cfg, err := config.Load(f)
		if err != nil {
			bad = errNotHeld
			fmt.Fprintln(a.out, err)
			continue
		}
		fmt.Fprintf(a.out, "%s: in order: %s listens on %s\n", f, cfg.Name, cfg.Listen)
	}
	return bad
}

type versionCmd struct{}

func (versionCmd) Run(a *app) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build does not tell its version")
	}
	rev, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " with changes"
		}
	}
	_, err := fmt.Fprintf(a.out, "umberbank %s%s, %s\n", rev, dirty, info.GoVersion)
	return err
}
