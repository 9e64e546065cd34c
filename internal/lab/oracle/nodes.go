package oracle

import (
	"time"

	"umberbank/internal/lab/model"
)

// outage is a period in which a node's process was dead or paused.
type outage struct {
	from, to time.Duration // to is zero until the outage ends
	action   model.ProcessAction
}

// RecordProcessAction records an action on a node's process. Calls that overlap an outage of their node are exempt from RuleLost.
func (o *Oracle) RecordProcessAction(node int, action model.ProcessAction) {
	outages := o.outages[node]
	down := len(outages) > 0 && outages[len(outages)-1].to == 0
	switch action {
	case model.Kill, model.Pause:
		if !down {
			o.outages[node] = append(outages, outage{from: o.loop.Now(), action: action})
		}
	case model.Start, model.Resume:
		if down {
			outages[len(outages)-1].to = max(o.loop.Now(), 1)
		}
	}
}

// RecordCrash records that a node's process exited on its own, or did not start.
func (o *Oracle) RecordCrash(node int, reason string) {
	o.recordViolation(RuleCrash, nil, "%s: %s", o.site.Nodes[node].Name, reason)
}

// RecordLimitExceeded records that a node's process exceeds a resource limit. usage states the amounts used and allowed.
func (o *Oracle) RecordLimitExceeded(node int, usage string) {
	o.recordViolation(RuleResourceLimit, nil, "%s uses %s", o.site.Nodes[node].Name, usage)
}

// affectedByOutage reports whether a call's node was dead or paused at any time while the call was in flight.
func (o *Oracle) affectedByOutage(c *model.Call, now time.Duration) bool {
	for _, out := range o.outages[c.Node] {
		if out.from <= now && (out.to == 0 || out.to >= c.SentAt) {
			return true
		}
	}
	return false
}
