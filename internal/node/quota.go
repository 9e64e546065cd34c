package node

import (
	"math"
	"runtime/debug"

	"umberbank/internal/node/control"
)

const (
	// reservedDescriptors is the number of descriptors for the listener, the watch, the log and the runtime.
	reservedDescriptors = 32
	// upstreamFractionNum/upstreamFractionDen is the fraction of the descriptors for connections to servers. Clients get the
	// larger part, because each attempt belongs to a client connection and clients also keep idle connections.
	upstreamFractionNum, upstreamFractionDen = 2, 5
	// memoryLimitFraction is the fraction of the memory limit at which garbage collection becomes more aggressive. It is
	// well below 1 because the node is killed at the limit.
	memoryLimitFraction = 0.7
	// connectionMemoryFraction is the fraction of the memory limit that client connections may hold, at connectionBytes for
	// the buffers and the goroutine of each.
	connectionMemoryFraction = 0.3
	connectionBytes          = 24 << 10
)

// A node with an inherited socket has two processes during a replacement, which share one set of limits. A process uses
// startingQuota of them until its predecessor has exited, and servingQuota from then on. It keeps servingQuota while it is
// alone, so that its successor can start at any time.
const (
	servingQuota  = 2.0 / 3
	startingQuota = 1.0 / 3
)

// maxConnectionsInMemory returns how many client connections the memory limit of the node allows.
func (n *Node) maxConnectionsInMemory() int {
	if n.cfg.MemoryMB <= 0 {
		return math.MaxInt
	}
	return int(n.cfg.MemoryMB * connectionMemoryFraction * (1 << 20) / connectionBytes)
}

// setQuota limits the process to a fraction of the node's descriptors and memory.
func (n *Node) setQuota(quota float64) {
	descriptors := n.cfg.Sockets - reservedDescriptors
	if n.cfg.Control != "" {
		descriptors -= control.MaxConnections + 1
	}
	upstreams := max(1, descriptors*upstreamFractionNum/upstreamFractionDen)
	clients := max(1, int(quota*float64(min(descriptors-upstreams, n.maxConnectionsInMemory()))))
	n.loop.pool.SetLimit(max(1, int(quota*float64(upstreams))))
	n.listener.SetLimit(clients)
	n.frontend.setConnectionLimit(clients)
	if n.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(quota * n.cfg.MemoryMB * memoryLimitFraction * (1 << 20)))
	}
}
