package scenario

import (
	"encoding/json"
	"time"
)

// Settings is what a node of the site is told, in the words of its configuration.
func (s *Site) Settings(node int) []byte {
	n := s.Nodes[node]
	copies := 0
	for _, o := range s.Nodes {
		if o.Tier == n.Tier {
			copies++
		}
	}
	ms := func(d Duration) float64 { return float64(d) / float64(time.Millisecond) }
	effects := map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
	var lanes []map[string]any
	for _, c := range s.Classes {
		lanes = append(lanes, map[string]any{"name": c.Name, "effect": effects[c.Effect], "key-scope": c.Scope,
			"window-ms": ms(c.Window), "target-ms": ms(c.Aim), "deadline-ms": ms(c.Deadline), "late-share": 0, "worth": c.Worth})
	}
	coldFrom, warm := 1.0, Duration(0)
	for _, k := range s.Tiers[n.Tier].Kinds {
		coldFrom, warm = min(coldFrom, k.ColdFrom), max(warm, k.ColdFor[1])
	}
	var zones []string
	for _, z := range s.Zones {
		zones = append(zones, z.Name)
	}
	l := &s.Limits
	text, err := json.Marshal(map[string]any{
		"balancers": copies, "me": n.Index, "tier": n.Tier, "tick-ms": 5, "weights": "rough", "registry-mode": "pushed",
		"zone": s.Zones[n.Zone].Name, "localities": zones,
		"blend": map[string]any{"whole": 0.55, "worst-class": 0.3, "worst-window": 0.15},
		"lanes": lanes,
		"limits": map[string]any{"cancelling": l.Cancel, "conn-idle-ms": ms(l.Idle), "connect-timeout-ms": ms(l.Connect),
			"max-attempts": l.MaxAttempts, "max-retry-after-ms": ms(l.RetryAfter), "retry-after": l.RetryAfter > 0, "second-copies": l.SecondCopies},
		"rules": map[string]any{"cold-from": coldFrom, "warm-after-ms": ms(warm), "fall-multiple": l.FallMultiple, "fall-ms": ms(l.FallFor),
			"stop-sending-within-ms": ms(l.DrainWithin)},
	})
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return text
}
