package rollout

import "maps"

// SetNode records the current incarnation of a node and whether it is unreachable. at is the time of the write. A new
// incarnation starts without reports, acknowledgements and violations, and is syncing.
func (s *State) SetNode(id, zone string, incarnation int64, unreachable bool, at Timestamp) {
	n := s.Nodes[id]
	if n == nil {
		n = &Node{
			ID: id, Zone: zone, Incarnation: incarnation, Syncing: true, OutOfSyncSince: &at,
			TargetVersion: s.Committed.Number, HighestPossibleVersion: s.Committed.Number,
		}
		s.Nodes[id] = n
	}
	restarted := n.Incarnation != incarnation
	if n.InSync() && (unreachable || restarted) {
		n.OutOfSyncSince, n.HighestPossibleVersion = &at, n.TargetVersion
	}
	if restarted {
		n.Incarnation = incarnation
		n.Reported, n.Syncing = false, true
		n.AcknowledgedVersion, n.RejectReason, n.Violation = 0, "", ""
	}
	if n.Unreachable && !unreachable {
		n.Reported, n.Syncing = false, true
	}
	n.Zone, n.Unreachable = zone, unreachable
	s.updateLostZones(at)
}

// Decommission removes a node. The caller must ensure that the node no longer runs: it no longer counts in any quorum.
func (s *State) Decommission(id string) {
	delete(s.Nodes, id)
	s.updateLostZones(Timestamp{})
}

// OutOfSync returns the nodes that are unreachable or syncing, in ascending order of their IDs.
func (s *State) OutOfSync() []*Node {
	nodes := []*Node{}
	for _, id := range s.nodeIDs() {
		if n := s.Nodes[id]; !n.InSync() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// updateLostZones adds zones without a reachable node to LostZones, and removes zones that have a node in sync or no nodes left.
func (s *State) updateLostZones(at Timestamp) {
	reachable, inSync := map[string]bool{}, map[string]bool{}
	for _, n := range s.Nodes {
		reachable[n.Zone] = reachable[n.Zone] || !n.Unreachable
		inSync[n.Zone] = inSync[n.Zone] || n.InSync()
	}
	for zone, isReachable := range reachable {
		if _, lost := s.LostZones[zone]; isReachable || lost {
			continue
		}
		if s.LostZones == nil {
			s.LostZones = map[string]Timestamp{}
		}
		s.LostZones[zone] = at
	}
	maps.DeleteFunc(s.LostZones, func(zone string, _ Timestamp) bool {
		_, hasNodes := reachable[zone]
		return !hasNodes || inSync[zone]
	})
}

// markInSync records that a node is in sync, which also means that its zone is not lost.
func (s *State) markInSync(n *Node) {
	n.Syncing, n.OutOfSyncSince, n.HighestPossibleVersion = false, nil, 0
	delete(s.LostZones, n.Zone)
}
