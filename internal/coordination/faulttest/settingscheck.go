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
	// noticeTimeout is how soon a node that was unreachable says so itself, once it is reachable again.
	noticeTimeout = 5 * time.Second
	// safeRenewalGap is the longest time between renewals with which a lease cannot end: its TTL, less the interval of the
	// leader's checks and some reserve. On a busy machine a node or the leader may stall for longer.
	safeRenewalGap = leaseTTL - 150*time.Millisecond
)

// checkedNode is what the check knows of one node at a time.
type checkedNode struct {
	startedAt    time.Duration // its process
	running      bool
	version      int    // that its process runs
	highest      int    // that any process of it has run
	content      string // of version
	inSync       bool   // as it says itself in this process, and no fault has affected it since
	wasInSync    bool   // it has said so in this process
	incarnation  int64  // with which it said so last
	earlier      int64  // the highest incarnation with which an earlier process said so
	required     int    // the version in force when its process started, or when it noticed that it was out of sync
	faults       int    // that affect it
	healthySince time.Duration
}

// settingsCheck walks through the events of a run with versions of settings.
type settingsCheck struct {
	events []eventlog.Event
	result *SettingsResult
	violations
	zones map[string]string // by node
	nodes map[string]*checkedNode

	startRequested map[string]time.Duration   // by version: when a controller last asked to start a stage of it
	acknowledged   map[string]map[string]bool // by version: the nodes that could run it
	hasRun         map[string]bool            // versions that some node has run
	proposedAt     map[string]time.Duration   // by version
	inForce        int                        // the highest version that a controller knew to be in force
	progressAt     time.Duration              // when a version last came into force, or the first one was proposed
	faulty         bool                       // faults have begun and are not over for good
	leader         eventlog.Event             // the act with the highest token
	registryOK     time.Duration              // since when no fault affects the registry
	disturbances   int                        // faults that affect the registry
}

// checkSettings checks what nodes ran.
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
		c.event(i)
	}
}

// event checks the event with this index.
func (c *settingsCheck) event(i int) {
	e := c.events[i]
	n := c.nodes[cmp.Or(e.Unit, e.Process)]
	switch e.Kind {
	case eventlog.StageRequested:
		c.startRequested[e.Version] = e.At
	case nodeCouldRun:
		if c.acknowledged[e.Version] == nil {
			c.acknowledged[e.Version] = map[string]bool{}
		}
		c.acknowledged[e.Version][e.Process] = true
	case faultBegan, faultEnded, processKilled:
		c.fault(e, n)
	case registryFaultBegan:
		c.faulty = true
		c.disturbances++
	case registryFaultEnded:
		c.disturbances--
		c.registryOK = e.At
	case faultsOver:
		c.faulty = false
	case nodeRuns:
		c.runs(i, n)
	case nodeInSync:
		c.inSync(i, n)
	case nodeOutOfSync:
		c.outOfSync(e, n)
	case nodeServes:
		c.serves(e, n)
	case versionProposed:
		c.proposedAt[e.Version] = e.At
		if c.progressAt == 0 {
			c.progressAt = e.At
		}
	case eventlog.WriteApplied:
		c.acted(e)
	}
}

// fault notes a fault of a node. n is nil if it affects another process.
func (c *settingsCheck) fault(e eventlog.Event, n *checkedNode) {
	c.faulty = c.faulty || e.Kind == faultBegan
	if n == nil {
		return
	}
	switch e.Kind {
	case faultBegan:
		n.faults++
		n.inSync = false // as far as is known from outside
	case faultEnded:
		n.faults--
		n.healthySince = e.At
	case processKilled:
		*n = checkedNode{highest: n.highest, earlier: max(n.earlier, n.incarnation), faults: n.faults, healthySince: n.healthySince}
	}
}

// runs checks that a node runs a version that a controller has started and a quorum could run, and none lower than before.
func (c *settingsCheck) runs(i int, n *checkedNode) {
	e := c.events[i]
	version, _ := strconv.Atoi(e.Version) // digits, by the pattern of the logs
	if !n.running {
		n.running, n.startedAt, n.required = true, e.At, c.inForce
	}
	if version < n.highest {
		c.add(&c.result.VersionDecreases, "%s runs version %d after %d", e.Process, version, n.highest)
	}
	n.version, n.highest, n.content = version, version, e.Reason
	if _, requested := c.startRequested[e.Version]; !requested {
		c.add(&c.result.Uncommitted, "%s runs version %s, which no controller had started", e.Process, e.Version)
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

// inSync checks that a node counts as in sync by its present incarnation, with what is in force.
func (c *settingsCheck) inSync(i int, n *checkedNode) {
	e := c.events[i]
	if e.Token <= n.earlier {
		c.add(&c.result.OldIncarnations, "%s counts as in sync by the incarnation %d of an earlier process", e.Process, e.Token)
	}
	if n.version < n.required {
		c.add(&c.result.ServedEarly, "%s counts as in sync with version %d, and %d was in force before", e.Process, n.version, n.required)
	}
	n.inSync, n.wasInSync, n.incarnation = n.faults == 0, true, e.Token
	c.checkContents(i)
}

// outOfSync checks that a node was called out of sync only where a fault may have led to it.
func (c *settingsCheck) outOfSync(e eventlog.Event, n *checkedNode) {
	c.result.OutOfSync++
	nodeOK := n.faults == 0 && e.At-max(n.healthySince, n.startedAt) > noticedAfter
	registryOK := c.disturbances == 0 && e.At-c.registryOK > noticedAfter
	if e.MaxRenewalGap < safeRenewalGap && nodeOK && registryOK {
		c.add(&c.result.WronglyOutOfSync, "%s was called out of sync while no fault affected it", e.Process)
	}
	n.inSync, n.required = false, c.inForce
}

// serves checks that a node serves only once it was in sync, with what is in force.
func (c *settingsCheck) serves(e eventlog.Event, n *checkedNode) {
	if !n.wasInSync {
		c.add(&c.result.ServedEarly, "%s serves before it is in sync, with version %d", e.Process, n.version)
	} else if n.version < n.required {
		c.add(&c.result.ServedEarly, "%s serves with version %d, and %d was in force before", e.Process, n.version, n.required)
	}
}

// acted checks an act of a controller, and notes which version is in force.
func (c *settingsCheck) acted(e eventlog.Event) {
	c.result.AppliedWrites++
	checkLeader(&c.leader, e, func(violation string) { c.add(&c.result.WritesWithoutLease, "%s", violation) })
	version, _ := strconv.Atoi(e.Version) // digits, by the controller
	if e.Reason != "in force" || version <= c.inForce {
		return
	}
	c.inForce = version
	if c.faulty {
		if proposedAt, known := c.proposedAt[e.Version]; known {
			c.result.CommitLatencyMS = append(c.result.CommitLatencyMS, (e.At-proposedAt).Seconds()*1000)
		}
		c.result.LongestCommitGapMS = max(c.result.LongestCommitGapMS, (e.At-c.progressAt).Seconds()*1000)
	}
	c.progressAt = e.At
}

// checkContents checks, as of the event with this index, that the nodes in sync run at most two contents.
func (c *settingsCheck) checkContents(i int) {
	nodesByContent := map[string][]string{}
	for node, n := range c.nodes {
		if n.inSync {
			nodesByContent[n.content] = append(nodesByContent[n.content], node)
		}
	}
	if len(nodesByContent) > 2 {
		for content, nodes := range nodesByContent {
			if nodes = slices.DeleteFunc(nodes, func(node string) bool { return c.noticesOutOfSync(node, i) }); len(nodes) == 0 {
				delete(nodesByContent, content)
			}
		}
	}
	if len(nodesByContent) > 2 {
		e := c.events[i]
		c.add(new(int), "%d contents run at once among nodes in sync, as %s runs version %s: %v",
			len(nodesByContent), e.Process, e.Version, nodesByContent)
	}
	c.result.MaxContents = max(c.result.MaxContents, len(nodesByContent))
}

// noticesOutOfSync reports whether a node notices soon after the event with this index that it was out of sync; it may have
// been for a while then.
func (c *settingsCheck) noticesOutOfSync(node string, i int) bool {
	deadline := c.events[i].At + noticeTimeout
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

// checkQuorum checks that a version that e is the first to run was acknowledged by more than half of all nodes and of each
// zone. A zone whose nodes were all affected by faults may have been lost, and is exempt.
func (c *settingsCheck) checkQuorum(e eventlog.Event) {
	const allNodes = ""
	nodes, acknowledged, healthy := map[string]int{}, map[string]int{}, map[string]bool{}
	for node, zone := range c.zones {
		n := c.nodes[node]
		healthy[zone] = healthy[zone] || n.faults == 0 && e.At-n.healthySince > noticedAfter
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
			c.add(&c.result.Uncommitted, "%s runs version %s, which %d of %d nodes could run",
				e.Process, e.Version, acknowledged[scope], nodes[scope])
		case healthy[scope]:
			c.add(&c.result.Uncommitted, "%s runs version %s, which %d of %d nodes of zone %s could run",
				e.Process, e.Version, acknowledged[scope], nodes[scope], scope)
		}
	}
}
