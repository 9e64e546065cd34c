package node

import (
	"runtime/debug"

	"umberbank/internal/node/control"
)

const (
	// reservedDescriptors are for the listener, the watch, the log and the runtime.
	reservedDescriptors = 32
	// upstreamFractionNum/upstreamFractionDen of the descriptors are for connections to servers. Each attempt belongs to a client's
	// connection, and clients also hold idle ones, so clients get the larger part.
	upstreamFractionNum, upstreamFractionDen = 2, 5
	// memoryLimitFraction is the fraction of the memory limit from which on the garbage collector works harder, well below the limit at
	// which the node is killed.
	memoryLimitFraction = 0.7
)

// A node whose process can be replaced is two processes for a while, under one set of limits. The one that serves keeps to
// servingQuota of them, and one that starts beside it to startingQuota.
const (
	servingQuota  = 2.0 / 3
	startingQuota = 1.0 / 3
)

// setQuota limits the process to a fraction of the node's descriptors and memory.
func (n *Node) setQuota(quota float64) {
	descriptors := n.cfg.Sockets - reservedDescriptors
	if n.cfg.Control != "" {
		descriptors -= control.MaxConnections + 1
	}
	upstreams := max(1, descriptors*upstreamFractionNum/upstreamFractionDen)
	clients := max(1, int(quota*float64(descriptors-upstreams)))
	n.loop.pool.SetLimit(max(1, int(quota*float64(upstreams))))
	n.listener.SetLimit(clients)
	n.frontend.setConnectionLimit(clients)
	if n.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(quota * n.cfg.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
}
