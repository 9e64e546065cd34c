// Command umberbank-node runs one node of the load balancer. The environment variable ROUTER_CONFIG names its configuration
// file. At SIGHUP the node reloads the file. At SIGTERM it exits with code 0 once all accepted requests are answered. If the node
// cannot start or serve, it prints one line on standard error and exits with code 1.
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
