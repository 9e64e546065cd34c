package scenario

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"umberbank/internal/coordination/disruption"
)

// Site is a scenario with a value drawn for each of its ranges.
type Site struct {
	*Scenario
	Seed          uint64
	Servers       []Server        // in the order of their tiers
	Nodes         []Node          // front nodes first, then the nodes that servers own, in the order of the servers
	MeanClassWork []time.Duration // mean work of a request, by class
	MeanCalls     []float64       // mean number of calls to the next tier for each call, by tier
}

// Server is a server of a site.
type Server struct {
	Name        string
	Tier        int
	MachineType *MachineType
	Zone        int
	Rack        int
	Speed       float64       // of a core, relative to the reference core
	WarmUpTime  time.Duration // from the start until it has its full capacity
	Capacity    float64       // in reference cores
}

// AdvertisedCapacity returns the capacity that discovery lists, rounded to tenths.
func (s *Server) AdvertisedCapacity() float64 { return math.Round(s.Capacity*10) / 10 }

// Node is a node of a site. It is a front node, which clients call, or it is owned by a server, which calls the next tier through
// it. An owned node runs on the machine of its server.
type Node struct {
	Name        string
	TargetTier  int // tier that it sends to
	Zone        int
	Index       int // index among the nodes with the same target tier
	OwnerServer int // index of the server that owns it, or noOwner for a front node
}

const noOwner = -1

// NewSite draws a site from a seed. The order of the draws must not change, so that a seed gives the same site in every release.
func NewSite(s *Scenario, seed uint64) *Site {
	r := NewRand(seed, "site")
	site := &Site{Scenario: s, Seed: seed}
	for _, c := range s.Classes {
		site.MeanClassWork = append(site.MeanClassWork, Draw(r, c.WorkRange).Std())
	}
	for i := range s.Nodes {
		site.Nodes = append(site.Nodes, Node{Name: nodeName(0, i), Zone: i % len(s.Zones), Index: i, OwnerServer: noOwner})
	}
	firstRack := 0
	for t := range s.Tiers {
		tier := &s.Tiers[t]
		site.MeanCalls = append(site.MeanCalls, Draw(r, tier.CallsRange))
		for i, machine := range tier.assignMachineTypes() {
			server := Server{
				Name:        serverName(tier.Name, i),
				Tier:        t,
				MachineType: machine,
				Zone:        i % len(s.Zones),
				Rack:        firstRack + tier.rack(i, len(s.Zones)),
				Speed:       Draw(r, machine.SpeedRange),
				WarmUpTime:  Draw(r, machine.WarmUpRange).Std(),
			}
			server.Capacity = server.Speed * float64(machine.Cores)
			site.addServer(server, i)
		}
		firstRack += tier.Servers + len(s.Zones)
	}
	return site
}

// addServer adds a server, and the node that it owns if it calls the next tier. index is the server's index in its tier.
func (s *Site) addServer(server Server, index int) {
	target := server.Tier + 1
	if target < len(s.Tiers) && s.Tiers[server.Tier].CallsRange[1] > 0 {
		s.Nodes = append(s.Nodes, Node{Name: nodeName(target, index), TargetTier: target, Zone: server.Zone, Index: index, OwnerServer: len(s.Servers)})
	}
	s.Servers = append(s.Servers, server)
}

// rack returns the rack of the server with the given index, relative to the tier's first rack. A rack does not span zones.
func (t *Tier) rack(index, zones int) int {
	return index/(t.RackSize*zones)*zones + index%zones
}

// assignMachineTypes returns the machine type of each server. Types are assigned by weight and spread evenly over the servers.
func (t *Tier) assignMachineTypes() []*MachineType {
	const tolerance = 1e-9 // keeps rounding errors from deciding between equal deficits
	sum := 0.0
	for i := range t.MachineTypes {
		sum += t.MachineTypes[i].Weight
	}
	deficits := make([]float64, len(t.MachineTypes)) // by type, the number of servers that are missing from its share
	assigned := make([]*MachineType, t.Servers)
	for i := range assigned {
		next := 0
		for j := range t.MachineTypes {
			deficits[j] += t.MachineTypes[j].Weight / sum
			if deficits[j] > deficits[next]+tolerance {
				next = j
			}
		}
		deficits[next]--
		assigned[i] = &t.MachineTypes[next]
	}
	return assigned
}

// MeanWork returns the mean work of a call at a tier, over all classes.
func (s *Site) MeanWork(tier int) time.Duration {
	var sum, weights float64
	for i := range s.Classes {
		weight := s.Classes[i].Weight
		sum += weight * float64(s.MeanClassWork[i])
		weights += weight
	}
	return time.Duration(sum / weights * s.Tiers[tier].WorkFactor)
}

// DisruptionLimits returns the budget in the form of the registry's limits, which are the same for every tier.
func (s *Site) DisruptionLimits() disruption.Limits {
	optional := func(fraction float64) *float64 {
		if fraction == 0 {
			return nil
		}
		return &fraction
	}
	limits := disruption.Limits{InitialFraction: 1}
	for _, t := range s.Tiers {
		limits.Tiers = append(limits.Tiers, disruption.Limit{
			Tier:  t.Name,
			Total: optional(s.Budget.Tier),
			Zone:  optional(s.Budget.Zone),
			Rack:  optional(s.Budget.Rack),
		})
	}
	for _, server := range s.Servers {
		limits.InitialFraction = min(limits.InitialFraction, server.MachineType.InitialCapacity)
		limits.WarmUpMS = max(limits.WarmUpMS, server.WarmUpTime.Milliseconds())
	}
	return limits
}

// DisruptionUnit returns the unit of the disruption budget for a server. The unit is fully available.
func (s *Site) DisruptionUnit(server int) disruption.Unit {
	spec := &s.Servers[server]
	zone := &s.Zones[spec.Zone]
	return disruption.Unit{
		ID:          spec.Name,
		Incarnation: 1,
		Tier:        s.Tiers[spec.Tier].Name,
		Zone:        zone.Name,
		Region:      zone.Region,
		Rack:        spec.Rack,
		Capacity:    spec.AdvertisedCapacity(),
	}
}

// nodeName returns the name of a node, given its target tier and its index among the nodes with that target tier.
func nodeName(targetTier, index int) string {
	if targetTier == 0 {
		return fmt.Sprintf("n%d", index)
	}
	return fmt.Sprintf("n%d-%d", targetTier, index)
}

func serverName(tier string, index int) string { return fmt.Sprintf("%s-%d", tier, index) }

// hasNode reports whether the scenario may have a node with the given name. It assumes that every server of a tier before the
// last one owns a node, even if the server makes no calls.
func (s *Scenario) hasNode(name string) bool {
	for i := range s.Nodes {
		if nodeName(0, i) == name {
			return true
		}
	}
	for target := 1; target < len(s.Tiers); target++ {
		for i := range s.Tiers[target-1].Servers {
			if nodeName(target, i) == name {
				return true
			}
		}
	}
	return false
}

// hasServer reports whether the scenario has a server with the given name.
func (s *Scenario) hasServer(name string) bool {
	for _, t := range s.Tiers {
		for i := range t.Servers {
			if serverName(t.Name, i) == name {
				return true
			}
		}
	}
	return false
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
