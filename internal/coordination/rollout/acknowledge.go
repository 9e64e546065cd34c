package rollout

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Report records the version and hash that an incarnation of a node runs. A reachable node that reports its target version is
// in sync from then on. A report that violates a rule is recorded as the node's violation and halts the pending version. Report
// fails if the incarnation is not the node's current one.
func (s *State) Report(id string, incarnation, number int64, hash string) error {
	n := s.Nodes[id]
	if n == nil || n.Incarnation != incarnation {
		return incarnationError(id, incarnation)
	}
	n.Reported, n.RunningVersion = true, number
	n.Violation = s.violation(n, number, hash)
	if n.Violation != "" {
		if s.Pending != nil {
			s.haltUnlessHalted(n.Violation)
		}
		return nil
	}
	if !n.Unreachable && number == n.TargetVersion {
		s.markInSync(n)
	}
	s.pruneHashes()
	return nil
}

// violation returns the rule that a node violates by running a version with a hash, or an empty string. The hash of version 0 and
// of a version whose hash is no longer kept is not checked.
func (s *State) violation(n *Node, number int64, hash string) string {
	want := s.Hashes[number]
	switch {
	case number > n.TargetVersion:
		return fmt.Sprintf("node %s runs version %d, which it was not told to", n.ID, number)
	case number != 0 && want != "" && want != hash:
		return fmt.Sprintf("node %s runs version %d with the hash %.12s, which is %.12s", n.ID, number, hash, want)
	}
	return ""
}

// incarnationError returns the error for a call by an incarnation that is not the node's current one.
func incarnationError(id string, incarnation int64) error {
	return fmt.Errorf("start %d of node %s is not the one that runs", incarnation, id)
}

// pruneHashes removes the hashes of versions that nodes can no longer run or receive. For a node that is not in sync it keeps
// only two, those of the last reported version and of the highest possible one. Otherwise a node that is unreachable for a
// long time would retain the hashes of all versions since.
func (s *State) pruneHashes() {
	oldest, kept := s.Committed.Number, map[int64]bool{}
	for _, n := range s.Nodes {
		if n.InSync() {
			oldest = min(oldest, n.TargetVersion, n.RunningVersion)
		} else {
			kept[n.RunningVersion], kept[n.HighestPossibleVersion] = true, true
		}
	}
	maps.DeleteFunc(s.Hashes, func(number int64, _ string) bool { return number < oldest && !kept[number] })
}

// Acknowledge records that an incarnation of a node can run the pending version. A non-empty rejectReason records instead that
// it cannot, and halts the version. Acknowledge fails if the incarnation is not the node's current one, if no version with this
// number and hash is pending, or if the node is not in sync.
func (s *State) Acknowledge(id string, incarnation, number int64, hash, rejectReason string) error {
	n := s.Nodes[id]
	switch {
	case n == nil || n.Incarnation != incarnation:
		return incarnationError(id, incarnation)
	case s.Pending == nil || s.Pending.Number != number || s.Pending.Hash != hash:
		return fmt.Errorf("version %d (%.12s) is not under way", number, hash)
	case !n.InSync():
		return fmt.Errorf("node %s has not caught up with version %d", id, n.TargetVersion)
	case rejectReason != "":
		n.RejectReason, n.AcknowledgedVersion = rejectReason, 0
		s.haltUnlessHalted(fmt.Sprintf("node %s could not take version %d: %s", id, number, rejectReason))
	default:
		n.AcknowledgedVersion, n.RejectReason = number, ""
	}
	return nil
}

// acknowledgementCount counts nodes, and those of them that are in sync and have acknowledged the pending version.
type acknowledgementCount struct{ nodes, acknowledged int }

func (a *acknowledgementCount) add(acknowledged bool) {
	a.nodes++
	if acknowledged {
		a.acknowledged++
	}
}

// isQuorum reports whether more than half of the nodes have acknowledged.
func (a *acknowledgementCount) isQuorum() bool { return 2*a.acknowledged > a.nodes }

// needed returns the smallest number of acknowledgements that is a quorum.
func (a *acknowledgementCount) needed() int { return a.nodes/2 + 1 }

// CheckQuorum returns nil if the pending version has a quorum in every zone that is not lost, and among all nodes. Otherwise the
// error names the first zone without a quorum. If every such zone has one, the error names the number of acknowledgements among
// all nodes and the number that is needed.
func (s *State) CheckQuorum() error {
	if s.Pending == nil {
		return errors.New("no version is under way")
	}
	zones, all := s.countAcknowledgements()
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if _, lost := s.LostZones[zone]; lost {
			continue
		}
		if c := zones[zone]; !c.isQuorum() {
			return fmt.Errorf("zone %s: %d of %d nodes have acknowledged version %d, %d are needed",
				zone, c.acknowledged, c.nodes, s.Pending.Number, c.needed())
		}
	}
	if !all.isQuorum() {
		return fmt.Errorf("%d of %d nodes have acknowledged version %d, %d are needed",
			all.acknowledged, all.nodes, s.Pending.Number, all.needed())
	}
	return nil
}

// countAcknowledgements counts the acknowledgements of the pending version by zone and over all nodes.
func (s *State) countAcknowledgements() (zones map[string]*acknowledgementCount, all acknowledgementCount) {
	zones = map[string]*acknowledgementCount{}
	for _, n := range s.Nodes {
		if zones[n.Zone] == nil {
			zones[n.Zone] = &acknowledgementCount{}
		}
		acknowledged := n.AcknowledgedVersion == s.Pending.Number && n.InSync()
		zones[n.Zone].add(acknowledged)
		all.add(acknowledged)
	}
	return zones, all
}
