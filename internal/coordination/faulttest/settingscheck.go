package faulttest

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"umberbank/internal/coordination/eventlog"
)

const (
	// outOfSyncReportTimeout is the time within which a node that was unreachable logs that it is out of sync, once it is
	// reachable again.
	outOfSyncReportTimeout = 5 * time.Second
	// safeRenewalGap is a time between two renewals within which a lease does not end: the TTL of the lease less 150 ms, for the
	// interval of the leader's checks and a margin. A longer gap, which a busy machine may cause, explains that a node was out
	// of sync without a fault.
	safeRenewalGap = leaseTTL - 150*time.Millisecond
)

// checkedNode is the state of one node as the check derives it from the events.
type checkedNode struct {
	startedAt          time.Duration // start of the present process
	running            bool
	version            int    // that the present process runs
	highestVersion     int    // that any of its processes has run
	content            string // of version
	inSync             bool   // the present process has logged that it is in sync, and no fault has affected it since
	wasInSync          bool   // the present process has logged that it is in sync
	incarnation        int64  // of the last time that the node logged that it is in sync
	earlierIncarnation int64  // the highest incarnation with which an earlier process logged that it is in sync
	requiredVersion    int    // the one committed when the process started, or when it logged that it was out of sync
	faults             int    // number of faults that affect the node now
	healthySince       time.Duration
}

// settingsCheck checks the events of a run with versions of settings in order of time.
type settingsCheck struct {
	events []eventlog.Event
	result *SettingsResult
	violations
	zones map[string]string // by node
	nodes map[string]*checkedNode

	startRequested       map[string]time.Duration   // when a controller last requested a stage, by version
	acknowledged         map[string]map[string]bool // the nodes that have acknowledged a version, by version
	hasRun               map[string]bool            // versions that at least one node has run
	proposedAt           map[string]time.Duration   // by version
	committed            int                        // the highest version that a controller has logged as committed
	lastCommitAt         time.Duration              // of the last commit, or of the first proposal before any commit
	faultsOngoing        bool                       // the first fault has begun, and the run has not ended all faults
	leaderWrite          eventlog.Event             // the first write with the highest token so far
	registryHealthySince time.Duration              // when the last fault that affected the registry ended
	registryFaults       int                        // number of faults that affect the registry now
}

// checkSettings checks the versions that nodes ran, and adds the violations to result. zones maps nodes to their zones.
func (r *record) checkSettings(result *SettingsResult, zones map[string]string) {
	r.sort()
	c := &settingsCheck{
		events: r.events, result: result, violations: violations{&result.Result}, zones: zones, nodes: map[string]*checkedNode{},
		startRequested: map[string]time.Duration{"0": 0}, acknowledged: map[string]map[string]bool{}, hasRun: map[string]bool{},
		proposedAt: map[string]time.Duration{},
	}
	for node := range zones {
		c.nodes[node] = &checkedNode{}
	}
	for i := range r.events {
		c.handleEvent(i)
	}
}

// handleEvent checks the event at index i.
func (c *settingsCheck) handleEvent(i int) {
	e := c.events[i]
	n := c.nodes[cmp.Or(e.Unit, e.Process)]
	switch e.Kind {
	case eventlog.StageRequested:
		c.startRequested[e.Version] = e.At
	case nodeAcknowledged:
		if c.acknowledged[e.Version] == nil {
			c.acknowledged[e.Version] = map[string]bool{}
		}
		c.acknowledged[e.Version][e.Process] = true
	case faultBegan, faultEnded, processKilled:
		c.handleFault(e, n)
	case registryFaultBegan:
		c.faultsOngoing = true
		c.registryFaults++
	case registryFaultEnded:
		c.registryFaults--
		c.registryHealthySince = e.At
	case faultsOver:
		c.faultsOngoing = false
	case nodeRuns:
		c.handleRuns(i, n)
	case nodeInSync:
		c.handleInSync(i, n)
	case nodeOutOfSync:
		c.handleOutOfSync(e, n)
	case nodeServes:
		c.handleServes(e, n)
	case versionProposed:
		c.proposedAt[e.Version] = e.At
		if c.lastCommitAt == 0 {
			c.lastCommitAt = e.At
		}
	case eventlog.WriteApplied:
		c.handleWriteApplied(e)
	}
}

// handleFault records the start or the end of a fault, or a kill. n is nil if the process is not a node.
func (c *settingsCheck) handleFault(e eventlog.Event, n *checkedNode) {
	c.faultsOngoing = c.faultsOngoing || e.Kind == faultBegan
	if n == nil {
		return
	}
	switch e.Kind {
	case faultBegan:
		n.faults++
		n.inSync = false // the fault may have ended its lease
	case faultEnded:
		n.faults--
		n.healthySince = e.At
	case processKilled:
		*n = checkedNode{highestVersion: n.highestVersion, earlierIncarnation: max(n.earlierIncarnation, n.incarnation),
			faults: n.faults, healthySince: n.healthySince}
	}
}

// handleRuns checks that the version that a node runs was started by a controller, was acknowledged by a quorum and is not
// lower than an earlier version of the node.
func (c *settingsCheck) handleRuns(i int, n *checkedNode) {
	e := c.events[i]
	version, _ := strconv.Atoi(e.Version) // nodeLogLine matches only digits
	if !n.running {
		n.running, n.startedAt, n.requiredVersion = true, e.At, c.committed
	}
	if version < n.highestVersion {
		c.add(&c.result.VersionDecreases, "%s runs version %d after version %d", e.Process, version, n.highestVersion)
	}
	n.version, n.highestVersion, n.content = version, version, e.Reason
	if _, requested := c.startRequested[e.Version]; !requested {
		c.add(&c.result.Uncommitted, "%s runs version %s, of which no controller has started a stage", e.Process, e.Version)
	}
	if !c.hasRun[e.Version] && version > 0 {
		c.hasRun[e.Version] = true
		c.result.Versions++
		c.checkQuorum(e)
	}
	c.checkContents(i)
	if strings.HasPrefix(lastHash, e.Reason) {
		c.result.PropagationMS = (e.At - c.startRequested[e.Version]).Seconds() * 1000
	}
}

// handleInSync checks that a node is in sync with the incarnation of its present process, and with at least the required
// version.
func (c *settingsCheck) handleInSync(i int, n *checkedNode) {
	e := c.events[i]
	if e.Token <= n.earlierIncarnation {
		c.add(&c.result.OldIncarnations, "%s is in sync with incarnation %d of an earlier process", e.Process, e.Token)
	}
	if n.version < n.requiredVersion {
		c.add(&c.result.ServedEarly, "%s is in sync with version %d, but version %d was committed before",
			e.Process, n.version, n.requiredVersion)
	}
	n.inSync, n.wasInSync, n.incarnation = n.faults == 0, true, e.Token
	c.checkContents(i)
}

// handleOutOfSync handles a node's log line that it was out of sync. This is a violation if nothing explains it: no fault has
// affected the node or the registry within failureDetectionTime, the node's process started earlier than that, and no gap between
// renewals reached safeRenewalGap.
func (c *settingsCheck) handleOutOfSync(e eventlog.Event, n *checkedNode) {
	c.result.OutOfSync++
	nodeOK := n.faults == 0 && e.At-max(n.healthySince, n.startedAt) > failureDetectionTime
	registryOK := c.registryFaults == 0 && e.At-c.registryHealthySince > failureDetectionTime
	if e.MaxRenewalGap < safeRenewalGap && nodeOK && registryOK {
		c.add(&c.result.WronglyOutOfSync, "%s was out of sync while no fault affected it", e.Process)
	}
	n.inSync, n.requiredVersion = false, c.committed
}

// handleServes checks that a node serves only after it was in sync, and with at least the required version.
func (c *settingsCheck) handleServes(e eventlog.Event, n *checkedNode) {
	if !n.wasInSync {
		c.add(&c.result.ServedEarly, "%s serves before it is in sync, with version %d", e.Process, n.version)
	} else if n.version < n.requiredVersion {
		c.add(&c.result.ServedEarly, "%s serves with version %d, but version %d was committed before",
			e.Process, n.version, n.requiredVersion)
	}
}

// handleWriteApplied checks a write of a controller, and records the version that the write has committed, if any.
func (c *settingsCheck) handleWriteApplied(e eventlog.Event) {
	c.result.AppliedWrites++
	checkLeader(&c.leaderWrite, e, func(violation string) { c.add(&c.result.WritesWithoutLease, "%s", violation) })
	version, _ := strconv.Atoi(e.Version) // controllers write only digits
	if e.Reason != "in force" || version <= c.committed {
		return
	}
	c.committed = version
	if c.faultsOngoing {
		if proposedAt, known := c.proposedAt[e.Version]; known {
			c.result.CommitLatencyMS = append(c.result.CommitLatencyMS, (e.At-proposedAt).Seconds()*1000)
		}
		c.result.LongestCommitGapMS = max(c.result.LongestCommitGapMS, (e.At-c.lastCommitAt).Seconds()*1000)
	}
	c.lastCommitAt = e.At
}

// checkContents checks that the nodes in sync run at most two contents after the event at index i.
func (c *settingsCheck) checkContents(i int) {
	nodesByContent := map[string][]string{}
	for node, n := range c.nodes {
		if n.inSync {
			nodesByContent[n.content] = append(nodesByContent[n.content], node)
		}
	}
	if len(nodesByContent) > 2 {
		for content, nodes := range nodesByContent {
			if nodes = slices.DeleteFunc(nodes, func(node string) bool { return c.reportsOutOfSync(node, i) }); len(nodes) == 0 {
				delete(nodesByContent, content)
			}
		}
	}
	if len(nodesByContent) > 2 {
		e := c.events[i]
		c.add(new(int), "nodes in sync run %d contents at once when %s runs version %s: %v",
			len(nodesByContent), e.Process, e.Version, nodesByContent)
	}
	c.result.MaxContents = max(c.result.MaxContents, len(nodesByContent))
}

// reportsOutOfSync reports whether a node logs that it is out of sync within outOfSyncReportTimeout after the event at
// index i, and before it logs that it is in sync. Such a node may have been out of sync already at the event.
func (c *settingsCheck) reportsOutOfSync(node string, i int) bool {
	deadline := c.events[i].At + outOfSyncReportTimeout
	for _, e := range c.events[i:] {
		if e.At > deadline {
			break
		}
		if e.Process == node && (e.Kind == nodeOutOfSync || e.Kind == nodeInSync) {
			return e.Kind == nodeOutOfSync
		}
	}
	return false
}

// checkQuorum checks that the version of e, which runs for the first time, was acknowledged by more than half of all nodes
// and more than half of the nodes of each zone. A zone whose nodes were all affected by faults may have been lost and is
// exempt.
func (c *settingsCheck) checkQuorum(e eventlog.Event) {
	const allNodes = ""
	nodes, acknowledged, healthy := map[string]int{}, map[string]int{}, map[string]bool{}
	for node, zone := range c.zones {
		n := c.nodes[node]
		healthy[zone] = healthy[zone] || n.faults == 0 && e.At-n.healthySince > failureDetectionTime
		for _, scope := range []string{zone, allNodes} {
			nodes[scope]++
			if c.acknowledged[e.Version][node] {
				acknowledged[scope]++
			}
		}
	}
	for scope := range nodes {
		switch {
		case 2*acknowledged[scope] > nodes[scope]:
		case scope == allNodes:
			c.add(&c.result.Uncommitted, "%s runs version %s, which %d of %d nodes have acknowledged",
				e.Process, e.Version, acknowledged[scope], nodes[scope])
		case healthy[scope]:
			c.add(&c.result.Uncommitted, "%s runs version %s, which %d of %d nodes of zone %s have acknowledged",
				e.Process, e.Version, acknowledged[scope], nodes[scope], scope)
		}
	}
}
