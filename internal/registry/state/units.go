package state

import (
	"cmp"
	"maps"
	"slices"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/coordination/rollout"
)

// Reasons why units are unavailable, in addition to disruption.ReasonUnreachable.
const (
	reasonSuspect  = "suspect"
	reasonDraining = "draining"
	reasonEjected  = "avoided"
	reasonWarmUp   = "cold"
)

// Units returns the instances that are counted in a disruption budget, including unreachable ones, in ascending order of
// their UIDs.
func (s *State) Units() []*Instance {
	units := []*Instance{}
	for _, from := range []map[string]*Instance{s.instances, s.unreachable} {
		for _, instance := range from {
			if instance.isUnit() {
				units = append(units, instance)
			}
		}
	}
	return sortedByUID(units)
}

// Unreachable returns the unit with a UID if it counts as unreachable, or nil.
func (s *State) Unreachable(uid string) *Instance { return s.unreachable[uid] }

// unit returns the registered instance or the unreachable unit with a UID, or nil.
func (s *State) unit(uid string) *Instance { return cmp.Or(s.instances[uid], s.unreachable[uid]) }

// updateUnit updates a unit in the budget, and a node also in the rollout. It ignores an instance that is not a unit.
func (s *State) updateUnit(instance *Instance) {
	if !instance.isUnit() {
		return
	}
	if instance.Role == RoleNode {
		// For the rollout a node is unreachable once its lease has expired, even if it stays as a suspect.
		unreachable := instance.Suspect || s.unreachable[instance.UID] != nil
		s.rollout.SetNode(instance.UID, instance.Zone, instance.Token, unreachable, rollout.Timestamp{Revision: s.revision, UnixMS: s.writeTimeMS})
	}
	fraction, reason := s.unavailability(instance)
	s.budget.SetUnit(disruption.Unit{
		ID: instance.UID, Incarnation: instance.Token, StartTimeMS: instance.StartTimeMS,
		Tier: instance.Tier, Zone: instance.Zone, Region: instance.Region, Rack: instance.Rack,
		Capacity: instance.Capacity, UnavailableFraction: fraction, Reason: reason,
	})
}

// unavailability returns the fraction of a unit's capacity that is unavailable, and why.
func (s *State) unavailability(instance *Instance) (fraction float64, reason string) {
	switch {
	case s.unreachable[instance.UID] != nil:
		return 1, disruption.ReasonUnreachable
	case instance.Suspect:
		return 1, reasonSuspect
	case instance.State == Draining:
		return 1, reasonDraining
	case 2*s.ejections.count(instance.UID) > s.tierNodes[instance.Tier]:
		return 1, reasonEjected
	case instance.WarmUpDeficit > 0:
		return instance.WarmUpDeficit, reasonWarmUp
	}
	return 0, ""
}

// forgetUnit removes a unit that will not return.
func (s *State) forgetUnit(uid string) {
	delete(s.unreachable, uid)
	s.budget.Decommission(uid)
	s.rollout.Decommission(uid)
}

// initialWarmUpDeficit returns the fraction of its capacity that an instance lacks when its process starts.
func (s *State) initialWarmUpDeficit(instance *Instance) float64 {
	if s.limits == nil || s.limits.WarmUpMS == 0 || instance.StartTimeMS == 0 {
		return 0
	}
	return 1 - s.limits.InitialFraction
}

// nodeChanged updates the numbers of nodes by tier and the ejections after an instance was stored or removed. It ignores an
// instance that is not a node. old is the instance before the change, or nil. A new process of a node starts without ejections.
func (s *State) nodeChanged(old, instance *Instance) {
	if instance.Role != RoleNode {
		return
	}
	s.countNode(old, -1)
	s.countNode(instance, 1)
	if instance.State == Deleted || old != nil && old.Token != instance.Token {
		s.setEjected(instance.UID, nil)
	}
}

// countNode adds n to the number of nodes that send requests to the tier instance.Kind, if instance is a registered node. It
// then updates the ejected servers, because the number of nodes that is a majority may have changed.
func (s *State) countNode(instance *Instance, n int) {
	if instance == nil || instance.Role != RoleNode || instance.State == Deleted {
		return
	}
	s.tierNodes[instance.Kind] += n
	for uid := range s.ejections.byServer {
		if server := s.instances[uid]; server != nil {
			s.updateUnit(server)
		}
	}
}

// ejections are the servers that nodes have ejected as outliers. A server is unavailable while more than half of the nodes
// that send to its tier have ejected it.
type ejections struct {
	byNode   map[string][]string // UIDs of servers, ascending and without duplicates, by the UID of the node
	byServer map[string]int      // number of nodes that have ejected a server, by the UID of the server
}

func newEjections() ejections {
	return ejections{byNode: map[string][]string{}, byServer: map[string]int{}}
}

// count returns the number of nodes that have ejected a server.
func (e *ejections) count(server string) int { return e.byServer[server] }

// set replaces the servers that a node has ejected. It returns the replaced ones and the new ones.
func (e *ejections) set(node string, servers []string) (affected []string) {
	before := e.byNode[node]
	for _, uid := range before {
		if e.byServer[uid]--; e.byServer[uid] == 0 {
			delete(e.byServer, uid)
		}
	}
	servers = slices.Compact(slices.Sorted(slices.Values(servers)))
	if len(servers) == 0 {
		delete(e.byNode, node)
	} else {
		e.byNode[node] = servers
	}
	for _, uid := range servers {
		e.byServer[uid]++
	}
	return slices.Concat(before, servers)
}

// setEjected records which servers a node has ejected, and updates their availability.
func (s *State) setEjected(node string, servers []string) {
	for _, uid := range s.ejections.set(node, servers) {
		if instance := s.instances[uid]; instance != nil {
			s.updateUnit(instance)
		}
	}
}

// reportEjected applies a node's report of the servers that it has ejected.
func (s *State) reportEjected(op Op) Result {
	instance := s.instances[op.UID]
	switch {
	case instance == nil || instance.Role != RoleNode:
		return Result{Code: CodeNotFound}
	case op.Token != instance.Token:
		return Result{Code: CodeFenced}
	}
	s.setEjected(op.UID, op.Ejected)
	s.revision++
	return Result{}
}

// sortedUIDs returns the UIDs of a map of instances in ascending order.
func sortedUIDs(instances map[string]*Instance) []string { return slices.Sorted(maps.Keys(instances)) }
