// Command cranegrade is one real node. ROUTER_CONFIG names its configuration; SIGHUP makes it read
// that again, and SIGTERM ends it once all that it has taken is answered.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"syscall"

	"hollyspur/internal/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := run(ctx, hangups); err != nil {
		fmt.Fprintf(os.Stderr, "cranegrade: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, hangups <-chan os.Signal) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG is not set")
	}
	cfg, err := node.LoadConfig(path)
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
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	log.Printf("listening on %s", n.Addr())
	go reload(n, path, hangups)
	return n.Run(ctx)
}

// reload gives the node its configuration anew at each hangup. One with a fault changes nothing.
func reload(n *node.Node, path string, hangups <-chan os.Signal) {
	for range hangups {
		if err := n.ReloadFile(path); err != nil {
			log.Printf("reload: the old configuration stays: %v", err)
		}
	}
}
