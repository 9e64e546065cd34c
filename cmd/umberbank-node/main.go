// Command umberbank-node is one real node. ROUTER_CONFIG names its configuration; SIGHUP makes it read
// that again, and SIGTERM ends it once all that it has taken is answered.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"umberbank/internal/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := node.RunProgram(ctx, hangups); err != nil {
		fmt.Fprintf(os.Stderr, "umberbank-node: %v\n", err)
		os.Exit(1)
	}
}
