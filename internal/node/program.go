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
	envConfig   = "ROUTER_CONFIG"    // the path of the configuration
	envControl  = "ROUTER_CONTROL"   // host:port for operators' commands, in place of the configuration's
	envAcceptFD = "ROUTER_ACCEPT_FD" // the descriptor of the inherited listening socket
)

// minInheritedFD is the first descriptor that is not one of the standard streams.
const minInheritedFD = 3

// RunProgram is the program that is one node, as its environment tells. It reads the configuration again at each of hangups, and
// returns once ctx has ended and all that it has accepted is answered.
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
	// Who starts the program reads the address from this line; see docs/oncall/upgrade.md.
	slog.Info(fmt.Sprintf("listening on %s", n.Addr()))
	go reloadAtHangups(n, path, hangups)
	return n.Run(ctx)
}

// loadWithEnvironment reads the configuration, and what the environment has in place of it: the file is the same for a process and
// the one that replaces it.
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

// reloadAtHangups gives the node its configuration anew at each hangup. One with a fault changes nothing.
func reloadAtHangups(n *Node, path string, hangups <-chan os.Signal) {
	for range hangups {
		if err := n.ReloadFile(path); err != nil {
			// Operators search for this line; see docs/oncall/settings.md.
			slog.Error(fmt.Sprintf("reload: the old configuration stays: %v", err))
		}
	}
}
