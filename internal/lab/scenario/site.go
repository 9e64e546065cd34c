package scenario

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"umberbank/internal/coordination/disruption"
)

// Server is a server of the site as one seed makes it.
type Server struct {
	Name        string
	Tier        int
	MachineType *MachineType
	Zone        int
	Rack        int
	Speed       float64
	WarmUpTime  time.Duration
	Capacity    float64 // cores times speed
}

// Node is a node: at the front, or beside the server that calls through it.
type Node struct {
	Name        string
	TargetTier  int // that it sends to
	Zone        int
	Index       int // among the nodes of its tier
	OwnerServer int // the server it stands beside; -1: at the front
}

// Site is a scenario as one seed makes it.
type Site struct {
	*Scenario
	Seed          uint64
	Servers       []Server
	Nodes         []Node
	MeanClassWork []time.Duration // mean work of each class
	MeanCalls     []float64       // mean calls that each tier makes of the next, for each request
}

// NewSite draws all that the file gives as ranges.
func NewSite(s *Scenario, seed uint64) *Site {
	r := NewRand(seed, "site")
	site := &Site{Scenario: s, Seed: seed}
	for _, c := range s.Classes {
		site.MeanClassWork = append(site.MeanClassWork, Draw(r, c.WorkRange).Std())
	}
	for i := range s.Nodes {
		site.Nodes = append(site.Nodes, Node{Name: nodeName(0, i), Zone: i % len(s.Zones), Index: i, OwnerServer: -1})
	}
	rack := 0
	for t := range s.Tiers {
		tier := &s.Tiers[t]
		site.MeanCalls = append(site.MeanCalls, Draw(r, tier.CallsRange))
		for i, k := range tier.assignMachineTypes() {
			sv := Server{Name: serverName(tier.Name, i), Tier: t, MachineType: k, Zone: i % len(s.Zones),
				Rack: rack + i/(tier.RackSize*len(s.Zones))*len(s.Zones) + i%len(s.Zones), Speed: Draw(r, k.SpeedRange), WarmUpTime: Draw(r, k.WarmUpRange).Std()}
			sv.Capacity = sv.Speed * float64(k.Cores)
			if t+1 < len(s.Tiers) && tier.CallsRange[1] > 0 {
				site.Nodes = append(site.Nodes, Node{Name: nodeName(t+1, i), TargetTier: t + 1, Zone: sv.Zone, Index: i, OwnerServer: len(site.Servers)})
			}
			site.Servers = append(site.Servers, sv)
		}
		rack += tier.Servers + len(s.Zones)
	}
	return site
}

// DisruptionLimits are the budget's, for every tier.
func (s *Site) DisruptionLimits() disruption.Limits {
	share := func(v float64) *float64 {
		if v == 0 {
			return nil
		}
		return &v
	}
	var l disruption.Limits
	for _, t := range s.Tiers {
		l.Tiers = append(l.Tiers, disruption.Limit{Tier: t.Name, Total: share(s.Budget.Tier), Zone: share(s.Budget.Zone), Rack: share(s.Budget.Rack)})
	}
	l.InitialFraction = 1
	for _, sv := range s.Servers {
		l.InitialFraction = min(l.InitialFraction, sv.MachineType.InitialCapacity)
		l.WarmUpMS = max(l.WarmUpMS, sv.WarmUpTime.Milliseconds())
	}
	return l
}

// DisruptionUnit is a server as it counts in the budget while it serves fully.
func (s *Site) DisruptionUnit(server int) disruption.Unit {
	sv := &s.Servers[server]
	z := &s.Zones[sv.Zone]
	return disruption.Unit{ID: sv.Name, Incarnation: 1, Tier: s.Tiers[sv.Tier].Name, Zone: z.Name, Region: z.Region, Rack: sv.Rack, Capacity: sv.AdvertisedCapacity()}
}

// MeanWork is the mean work of a request at a tier, on a yardstick core.
func (s *Site) MeanWork(tier int) time.Duration {
	var sum, shares float64
	for i, c := range s.Classes {
		sum += c.Weight * float64(s.MeanClassWork[i])
		shares += c.Weight
	}
	return time.Duration(sum / shares * s.Tiers[tier].WorkFactor)
}

// assignMachineTypes gives each server of a tier its kind, by the kinds' shares and evenly along it.
func (t *Tier) assignMachineTypes() []*MachineType {
	sum := 0.0
	for _, k := range t.MachineTypes {
		sum += k.Weight
	}
	owed := make([]float64, len(t.MachineTypes))
	l := make([]*MachineType, t.Servers)
	for i := range l {
		next := 0
		for j, k := range t.MachineTypes {
			owed[j] += k.Weight / sum
			if owed[j] > owed[next]+1e-9 {
				next = j
			}
		}
		owed[next]--
		l[i] = &t.MachineTypes[next]
	}
	return l
}

func nodeName(tier, i int) string {
	if tier == 0 {
		return fmt.Sprintf("n%d", i)
	}
	return fmt.Sprintf("n%d-%d", tier, i)
}

func serverName(tier string, i int) string { return fmt.Sprintf("%s-%d", tier, i) }

func (s *Scenario) hasNode(name string) bool {
	for i := range s.Nodes {
		if nodeName(0, i) == name {
			return true
		}
	}
	for t := 1; t < len(s.Tiers); t++ {
		for i := range s.Tiers[t-1].Servers {
			if nodeName(t, i) == name {
				return true
			}
		}
	}
	return false
}

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

// replicaNames are the names of the registry's.
func (s *Scenario) replicaNames() []string {
	var l []string
	for i := range s.Registry.Replicas {
		l = append(l, fmt.Sprint("r", i))
	}
	return l
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// AdvertisedCapacity is the server's capacity as discovery tells it: about the true one.
func (s *Server) AdvertisedCapacity() float64 { return math.Round(s.Capacity*10) / 10 }
