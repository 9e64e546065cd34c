package oracle

import (
	"time"

	"umberbank/internal/lab/model"
)

// nodeServer is a pair of a node and a server, by their indexes.
type nodeServer struct{ node, server int }

// notification is the last notification of a server's state that a node received from discovery.
type notification struct {
	state     model.State
	at        time.Duration
	servingAt time.Duration // when the node was last notified that the server is serving
}

// slowStartLoad is the work that arrived within the last Limits.CrashLoadWindow at a server that warms up.
type slowStartLoad struct {
	startTime       time.Duration
	arrivals        []arrival
	informed, total time.Duration // work of the arrivals from nodes that were notified of the start, and of all arrivals
}

// arrival is the arrival of an attempt at a server that warms up.
type arrival struct {
	at, work time.Duration
	informed bool // whether the attempt's node had been notified of the server's start
}

// NodeNotified records the state of a server that discovery has sent to a node.
func (o *Oracle) NodeNotified(node, server int, st model.State) {
	n := o.notified[nodeServer{node, server}]
	n.state, n.at = st, o.loop.Now()
	if st == model.Serving {
		n.servingAt = n.at
	}
	o.notified[nodeServer{node, server}] = n
}

// checkDraining checks RuleDraining for an attempt that has arrived.
func (o *Oracle) checkDraining(r *callRecord, a *model.Attempt, server int) {
	n, notified := o.notified[nodeServer{a.Node, server}]
	if !notified || n.state == model.Serving {
		return
	}
	from := n.at
	for _, out := range o.outages[a.Node] { // a dead or paused process receives no notification
		from = max(from, out.to)
	}
	late := a.FirstByteAt - from
	grace := o.site.Limits.DrainTimeout.Std() + o.site.Limits.Slack.Std() + o.loop.StallTime(from, o.loop.Now())
	if late > grace {
		o.recordViolation(RuleDraining, r, "sent to %s %v after %s was notified that it is %s",
			o.site.Servers[server].Name, late, o.site.Nodes[a.Node].Name, n.state)
	}
}

// recordSlowStartLoad adds an attempt to the recent load of a server that warms up. It does nothing for other servers.
func (o *Oracle) recordSlowStartLoad(a *model.Attempt, server int) {
	if o.world == nil || !o.world.Servers[server].IsWarmingUp() {
		return
	}
	startTime := o.world.Servers[server].StartTime()
	load := o.slowStarts[server]
	if load == nil || load.startTime != startTime {
		load = &slowStartLoad{startTime: startTime}
		o.slowStarts[server] = load
	}
	now := o.loop.Now()
	informed := o.notified[nodeServer{a.Node, server}].servingAt >= startTime
	latest := arrival{now, a.Call.Work, informed}
	load.add(latest, 1)
	load.arrivals = append(load.arrivals, latest)
	for ; now-load.arrivals[0].at > o.site.Limits.CrashLoadWindow.Std(); load.arrivals = load.arrivals[1:] {
		load.add(load.arrivals[0], -1)
	}
}

// add adds an arrival to the sums if sign is 1, or subtracts it if sign is -1.
func (l *slowStartLoad) add(a arrival, sign time.Duration) {
	l.total += sign * a.work
	if a.informed {
		l.informed += sign * a.work
	}
}

// ServerCrashed records that a server crashed because of too much load during its warm-up. This violates RuleSlowStart if over
// two thirds of the load came from nodes that had been notified of the server's start.
func (o *Oracle) ServerCrashed(server int) {
	load := o.slowStarts[server]
	if load == nil || 3*load.informed <= 2*load.total {
		return
	}
	o.recordViolation(RuleSlowStart, nil, "%s crashed %v after its start; nodes notified of the start had sent %v of %v of work",
		o.site.Servers[server].Name, o.loop.Now()-load.startTime,
		load.informed.Round(time.Millisecond), load.total.Round(time.Millisecond))
}
