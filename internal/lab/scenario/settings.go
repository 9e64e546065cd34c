package scenario

import (
	"encoding/json"
	"time"
)

// NodeSettings is what a node of the site is told, in the words of its configuration.
func (s *Site) NodeSettings(node int) []byte {
	n := s.Nodes[node]
	copies := 0
	for _, o := range s.Nodes {
		if o.TargetTier == n.TargetTier {
			copies++
		}
	}
	ms := func(d Duration) float64 { return float64(d) / float64(time.Millisecond) }
	effects := map[string]string{Idempotent: "read_like", IdempotentByKey: "idempotency_key", NonIdempotent: "non_idempotent"}
	var lanes []map[string]any
	for _, c := range s.Classes {
		lanes = append(lanes, map[string]any{"name": c.Name, "effect": effects[c.Idempotency], "key-scope": c.KeyScope,
			"window-ms": ms(c.KeyWindow), "target-ms": ms(c.LatencyObjective), "deadline-ms": ms(c.Deadline), "late-share": 0, "worth": c.PriorityWeight})
	}
	coldFrom, warm := 1.0, Duration(0)
	for _, k := range s.Tiers[n.TargetTier].MachineTypes {
		coldFrom, warm = min(coldFrom, k.InitialCapacity), max(warm, k.WarmUpRange[1])
	}
	var zones []string
	for _, z := range s.Zones {
		zones = append(zones, z.Name)
	}
	l := &s.Limits
	text, err := json.Marshal(map[string]any{
		"balancers": copies, "me": n.Index, "tier": n.TargetTier, "tick-ms": 5, "weights": "rough", "registry-mode": "pushed",
		"zone": s.Zones[n.Zone].Name, "localities": zones,
		"blend": map[string]any{"whole": 0.55, "worst-class": 0.3, "worst-window": 0.15},
		"lanes": lanes,
		"limits": map[string]any{"cancelling": l.Cancellation, "conn-idle-ms": ms(l.IdleTimeout), "connect-timeout-ms": ms(l.ConnectTimeout),
			"max-attempts": l.MaxAttempts, "max-retry-after-ms": ms(l.MaxRetryAfter), "retry-after": l.MaxRetryAfter > 0, "second-copies": l.Hedging},
		"rules": map[string]any{"cold-from": coldFrom, "warm-after-ms": ms(warm), "fall-multiple": l.CrashLoadMultiple, "fall-ms": ms(l.CrashLoadWindow),
			"stop-sending-within-ms": ms(l.DrainTimeout)},
	})
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return text
}
