package balancer

import (
	"errors"
	"math"
	"time"
)

// What a Balancer hands on to the next process of its node, and what that makes of it. What is
// remembered counts by its age, and whatever the settings or the list say otherwise wins.

// Memory is what a Balancer has learned, for a later one of the same node. It holds no request: what
// became of those that a process had in hand when it ended nobody can know, so none of them may be sent
// again.
type Memory struct {
	Tier    int            `json:"tier"`
	Errors  float64        `json:"errors"` // share of bad endings
	Tokens  float64        `json:"tokens"` // retry budget
	Window  float64        `json:"window"` // own calls admitted at once, for each server of a fair share
	Fill    float64        `json:"fill"`   // mean latency over aim
	Calm    float64        `json:"calm"`
	Bare    float64        `json:"bare"`
	Classes []ClassMemory  `json:"classes"`
	Servers []ServerMemory `json:"servers"` // those of which anything is known
}

// ClassMemory is what was learned of a class under these settings.
type ClassMemory struct {
	Name       string        `json:"name"`
	Aim        time.Duration `json:"aim"`
	Deadline   time.Duration `json:"deadline"`
	Mean       float64       `json:"mean"` // latency of successes, in ns
	Dev        float64       `json:"dev"`
	Cost       float64       `json:"cost"` // mean hint of the work, in ns
	LongestTry time.Duration `json:"longest_try"`
}

// ServerMemory is what was learned of a server since a start of it.
type ServerMemory struct {
	ID      string        `json:"id"`
	Boot    time.Duration `json:"boot"`
	Slow    float64       `json:"slow,omitempty"` // mean log of latency over the class mean
	Samples int           `json:"samples,omitempty"`
	Level   int           `json:"level,omitempty"` // doublings of the next ejection
	Left    time.Duration `json:"left,omitempty"`  // of the ejection
}

// Validate says why m cannot be what a Balancer has learned; nil: it may be.
func (m Memory) Validate() error {
	if m.Tier < 0 || !within(0, 1, m.Errors, m.Fill, m.Calm, m.Bare) ||
		!within(0, retryPurse, m.Tokens) || !within(0, math.MaxFloat64, m.Window) {
		return errors.New("balancer: a figure of the memory is out of range")
	}
	for _, c := range m.Classes {
		if !within(0, float64(max(c.Deadline, 0)), c.Mean, c.Dev) || !within(0, math.MaxFloat64, c.Cost) ||
			c.LongestTry < 0 {
			return errors.New("balancer: the memory of class " + c.Name + " is out of range")
		}
	}
	for _, s := range m.Servers {
		if !within(-math.MaxFloat64, math.MaxFloat64, s.Slow) || s.Samples < 0 || s.Level < 0 ||
			s.Level > maxLevel || s.Left < 0 {
			return errors.New("balancer: the memory of server " + s.ID + " is out of range")
		}
	}
	return nil
}

// within says that all of l are numbers from least to most.
func within(least, most float64, l ...float64) bool {
	for _, v := range l {
		if !(v >= least && v <= most) { // false for what is no number
			return false
		}
	}
	return true
}

// Learned returns what b has learned until the clock time now.
func (b *Balancer) Learned(now time.Duration) Memory {
	b.now = max(b.now, now)
	m := Memory{Tier: b.set.Tier, Errors: b.errors, Tokens: b.tokens, Fill: b.fill, Calm: b.calm,
		Bare: b.bare}
	if fair := b.fairServers(); fair > 0 {
		m.Window = b.window / fair
	}
	for _, c := range b.set.Classes {
		k := b.classes[c.Name]
		most := float64(c.Deadline) // a late answer may have taken longer
		m.Classes = append(m.Classes, ClassMemory{c.Name, c.Aim, c.Deadline, min(k.mean, most),
			min(k.dev, most), k.cost, k.longestTry})
	}
	known := 0
	for _, s := range b.ready {
		if s.known(b.now) {
			known++
		}
	}
	m.Servers = make([]ServerMemory, 0, known) // the host waits meanwhile
	for _, s := range b.ready {
		if s.known(b.now) {
			m.Servers = append(m.Servers,
				ServerMemory{s.ID, s.Boot, s.slow, s.samples, s.level, max(0, s.until-b.now)})
		}
	}
	return m
}

// known says that something was learned of a server that is worth handing on.
func (s *server) known(now time.Duration) bool { return s.samples > 0 || s.level > 0 || s.until > now }

// recalled is a Memory that is taken over, as far as it is not used up.
type recalled struct {
	trust   float64 // share that it counts for, against what a fresh Balancer begins with
	age     time.Duration
	window  float64 // for each server of a fair share; 0: not to be taken
	servers map[string]*ServerMemory
}

// recall takes over what an earlier process had learned, before any list has come.
func (b *Balancer) recall(e Recalled) {
	if e.Age < 0 || e.Age >= b.set.Remember || len(b.servers) > 0 || e.Memory.Validate() != nil ||
		e.Memory.Tier != b.set.Tier {
		return
	}
	m := e.Memory
	r := &recalled{trust: 1 - float64(e.Age)/float64(b.set.Remember), age: e.Age,
		servers: make(map[string]*ServerMemory, len(m.Servers))}
	b.errors += r.trust * (m.Errors - b.errors)
	b.tokens += r.trust * (m.Tokens - b.tokens)
	if b.recallClasses(m, r.trust) {
		r.window = m.Window
		b.fill += r.trust * (m.Fill - b.fill)
		b.calm += r.trust * (m.Calm - b.calm)
		b.bare += r.trust * (m.Bare - b.bare)
	}
	for i := range m.Servers {
		r.servers[m.Servers[i].ID] = &m.Servers[i]
	}
	b.recalled = r
}

// recallClasses takes over what was learned of the classes that are as they were, and says whether all
// of them are: the window and how full it was are told in parts of all their aims.
func (b *Balancer) recallClasses(m Memory, trust float64) bool {
	same := 0
	for _, c := range m.Classes {
		k := b.classes[c.Name]
		if k == nil || k.Aim != c.Aim || k.Deadline != c.Deadline {
			continue
		}
		same++
		k.mean += trust * (c.Mean - k.mean)
		k.dev += trust * (c.Dev - k.dev)
		k.cost, k.longestTry = c.Cost, c.LongestTry
	}
	return same == len(b.set.Classes) && same == len(m.Classes)
}

// remind tells a server that is new in the list what was known of it. What had ejected it may be long
// over, so it begins a level lower and owes the rest of its time alone.
func (b *Balancer) remind(s *server) {
	if b.recalled == nil {
		return
	}
	m := b.recalled.servers[s.ID]
	if m == nil || m.Boot != s.Boot {
		return
	}
	s.slow, s.samples = b.recalled.trust*m.Slow, m.Samples
	s.level = int(b.recalled.trust * float64(m.Level))
	if left := m.Left - b.recalled.age; left > 0 {
		s.until = b.now + left
	}
	if s.level > 0 || s.until > b.now {
		b.watch(s)
	}
}

// firstWindow is the window that a Balancer begins with, once it knows how many servers there are.
func (b *Balancer) firstWindow() float64 {
	w := windowStart * b.fairServers()
	if b.recalled == nil || b.recalled.window == 0 {
		return w
	}
	b.unsure = true
	return max(w, w+b.recalled.trust*(b.recalled.window*b.fairServers()-w))
}
