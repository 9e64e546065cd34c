package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"math"
	"os"
	"runtime"
	"strconv"

	"umberbank/internal/node/config"
)

// Environment variables that the platform sets.
const (
	envConfig   = "ROUTER_CONFIG"    // path of the configuration file
	envControl  = "ROUTER_CONTROL"   // host:port of the control server; overrides the configuration
	envAcceptFD = "ROUTER_ACCEPT_FD" // descriptor of the inherited listening socket
)

// minInheritedFD is the first descriptor that is not one of the standard streams.
const minInheritedFD = 3

// RunProgram runs one node with the configuration that the environment names. It reloads the configuration at each signal
// from hangups. It returns nil once ctx has ended and all accepted requests are completed, and an error if the node
// cannot start or stops serving.
func RunProgram(ctx context.Context, hangups <-chan os.Signal) error {
	path := os.Getenv(envConfig)
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set")
	}
	cfg, err := loadWithEnvironment(path)
	if err != nil {
		return err
	}
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	log.SetPrefix(cfg.Name + " ")
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	n, err := New(cfg)
	if err != nil {
		return err
	}
	// Programs that start a node read its address from this line; see docs/oncall/upgrade.md.
	slog.Info(fmt.Sprintf("listening on %s", n.Addr()))
	go reloadOnHangup(n, path, hangups)
	return n.Run(ctx)
}

// loadWithEnvironment reads the configuration and applies the overrides of the environment. These are not in the file
// because a process and its replacement share the file.
func loadWithEnvironment(path string) (config.Config, error) {
	cfg, err := config.Load(path)
	if err != nil {
		return cfg, err
	}
	if addr := os.Getenv(envControl); addr != "" {
		cfg.Control = addr
	}
	if fd := os.Getenv(envAcceptFD); fd != "" {
		if cfg.AcceptFD, err = strconv.Atoi(fd); err != nil || cfg.AcceptFD < minInheritedFD {
			return cfg, fmt.Errorf("ROUTER_ACCEPT_FD: %q is no inherited descriptor", fd)
		}
	}
	return cfg, nil
}

// reloadOnHangup reloads the configuration at each hangup signal. An invalid configuration changes nothing.
func reloadOnHangup(n *Node, path string, hangups <-chan os.Signal) {
	for range hangups {
		if err := n.ReloadFile(path); err != nil {
			// Operators search for this line; see docs/oncall/settings.md.
			slog.Error(fmt.Sprintf("reload: the old configuration stays: %v", err))
		}
	}
}
