// Command umberbank-node runs one node of the load balancer. The environment variable ROUTER_CONFIG names its configuration;
// SIGHUP makes it read that again, and SIGTERM ends it once all that it has accepted is answered. It exits with 0 then, and with
// 1 after one line on standard error if it cannot start or serve.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"umberbank/internal/node"
)

// exitFailure is the exit code of a node that could not start or serve.
const exitFailure = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := node.RunProgram(ctx, hangups); err != nil {
		fmt.Fprintf(os.Stderr, "umberbank-node: %v\n", err)
		os.Exit(exitFailure)
	}
}
