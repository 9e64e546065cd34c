package node

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"os"
	"runtime"
	"strconv"
)

// RunProgram is the program that is one real node, as its environment tells: $ROUTER_CONFIG names the
// configuration. It reads that again at each of hangups, and ends once ctx has and all that it has taken is answered.
func RunProgram(ctx context.Context, hangups <-chan os.Signal) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set")
	}
	cfg, err := LoadConfig(path)
	if err != nil {
		return err
	}
	if addr := os.Getenv("ROUTER_CONTROL"); addr != "" {
		cfg.Control = addr // the file is the same for a process and the one that replaces it
	}
	if fd := os.Getenv("ROUTER_ACCEPT_FD"); fd != "" {
		if cfg.AcceptFD, err = strconv.Atoi(fd); err != nil || cfg.AcceptFD < 3 {
			return fmt.Errorf("ROUTER_ACCEPT_FD: %q is no inherited descriptor", fd)
		}
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
	log.Printf("listening on %s", n.Addr())
	go reload(n, path, hangups)
	return n.Run(ctx)
}

// reload gives the node its configuration anew at each hangup. One with a fault changes nothing.
func reload(n *Node, path string, hangups <-chan os.Signal) {
	for range hangups {
		if err := n.ReloadFile(path); err != nil {
			log.Printf("reload: the old configuration stays: %v", err)
		}
	}
}
