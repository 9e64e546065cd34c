// Package oracle checks the rules of a run. It observes what clients send and receive, what arrives at servers, what discovery
// sends to nodes, and the state of servers and processes. It never uses what a node reports about itself.
//
// Oracle is a model.Observer. Only the goroutine of the run's loop may use it. Time during which the loop was stalled
// (sim.Loop.StallTime) is added to all time limits.
package oracle

import (
	"fmt"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// Oracle records the calls of a run and the violations of rules. Create it with New.
type Oracle struct {
	Violations      []Violation
	ViolationCounts map[string]int // by the rule's name
	Attempts        int            // attempts that arrived at servers
	Calls           int            // calls sent to nodes by clients and servers

	loop                *sim.Loop
	site                *scenario.Site
	world               *model.World
	calls               map[string]*callRecord
	endedCalls          []endedCall
	notified            map[nodeServer]notification
	outages             [][]outage // by node
	slowStarts          map[int]*slowStartLoad
	lateAfterDisconnect int // attempts that began over disconnectGrace after their client had disconnected
}

// New returns an oracle for a run on the loop. RuleSlowStart is not checked until SetWorld is called.
func New(loop *sim.Loop, site *scenario.Site) *Oracle {
	return &Oracle{
		ViolationCounts: map[string]int{},
		loop:            loop,
		site:            site,
		calls:           map[string]*callRecord{},
		notified:        map[nodeServer]notification{},
		outages:         make([][]outage, len(site.Nodes)),
		slowStarts:      map[int]*slowStartLoad{},
	}
}

// SetWorld sets the model from which the oracle reads when servers started and which of them warm up. It must be called before
// the run.
func (o *Oracle) SetWorld(w *model.World) { o.world = w }

// recordViolation counts a violation. It also records the violation with the history of its call, unless r is nil, as long as
// fewer than maxRecordedViolations are recorded.
func (o *Oracle) recordViolation(rule string, r *callRecord, detail string, args ...any) {
	o.ViolationCounts[rule]++
	if len(o.Violations) >= maxRecordedViolations {
		return
	}
	v := Violation{Rule: rule, At: o.loop.Now(), Detail: fmt.Sprintf(detail, args...)}
	if r != nil {
		v.Request, v.Trace = r.call.ID, o.trace(r)
	}
	o.Violations = append(o.Violations, v)
}

// trace returns the history of a call, one line for each step.
func (o *Oracle) trace(r *callRecord) []string {
	c := r.call
	t := []string{fmt.Sprintf("%v sent to %s as %s, with a timeout of %v",
		c.SentAt, o.site.Nodes[c.Node].Name, o.site.Classes[c.Class].Name, c.Timeout)}
	for i, s := range r.attempts {
		line := fmt.Sprintf("%v attempt %d arrived at %s (rack %d) from %s", s.arrivedAt, i, o.site.Servers[s.server].Name,
			o.site.Servers[s.server].Rack, o.site.Nodes[s.attempt.Node].Name)
		if s.endedAt > 0 {
			line += fmt.Sprintf(", %v %v", s.endedAt, s.outcome)
		}
		t = append(t, line)
	}
	if r.endedAt > 0 {
		t = append(t, fmt.Sprintf("%v %s", r.endedAt, r.result))
	}
	return t
}

// ViolationCount returns the total number of violations of all rules, including those that are only counted.
func (o *Oracle) ViolationCount() int {
	n := 0
	for _, k := range o.ViolationCounts {
		n += k
	}
	return n
}
