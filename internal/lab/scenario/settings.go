package scenario

import (
	"encoding/json"
	"time"
)

// nodeSettings is the settings object of a node's configuration. Fields are in the order of their keys.
type nodeSettings struct {
	Balancers    int             `json:"balancers"` // nodes with the same target tier
	Blend        priorityBlend   `json:"blend"`
	Classes      []classSettings `json:"lanes"`
	Limits       limitSettings   `json:"limits"`
	Zones        []string        `json:"localities"`
	Index        int             `json:"me"`
	RegistryMode string          `json:"registry-mode"`
	Rules        ruleSettings    `json:"rules"`
	TickMS       int             `json:"tick-ms"`
	Tier         int             `json:"tier"`
	Weights      string          `json:"weights"`
	Zone         string          `json:"zone"`
}

type priorityBlend struct {
	Whole       float64 `json:"whole"`
	WorstClass  float64 `json:"worst-class"`
	WorstWindow float64 `json:"worst-window"`
}

type classSettings struct {
	DeadlineMS         float64 `json:"deadline-ms"`
	Idempotency        string  `json:"effect"`
	KeyScope           string  `json:"key-scope"`
	LateCredit         float64 `json:"late-share"`
	Name               string  `json:"name"`
	LatencyObjectiveMS float64 `json:"target-ms"`
	KeyWindowMS        float64 `json:"window-ms"`
	PriorityWeight     float64 `json:"worth"`
}

type limitSettings struct {
	Cancellation     bool    `json:"cancelling"`
	IdleTimeoutMS    float64 `json:"conn-idle-ms"`
	ConnectTimeoutMS float64 `json:"connect-timeout-ms"`
	MaxAttempts      int     `json:"max-attempts"`
	MaxRetryAfterMS  float64 `json:"max-retry-after-ms"`
	RetryAfter       bool    `json:"retry-after"`
	Hedging          bool    `json:"second-copies"`
}

type ruleSettings struct {
	InitialCapacity   float64 `json:"cold-from"`
	CrashLoadWindowMS float64 `json:"fall-ms"`
	CrashLoadMultiple float64 `json:"fall-multiple"`
	DrainTimeoutMS    float64 `json:"stop-sending-within-ms"`
	WarmUpMS          float64 `json:"warm-after-ms"`
}

// configIdempotency maps the idempotency of a class to its value in a node's configuration.
var configIdempotency = map[string]string{
	Idempotent:      "read_like",
	IdempotentByKey: "idempotency_key",
	NonIdempotent:   "non_idempotent",
}

// NodeSettings returns the settings of a node as JSON, for its configuration file.
func (s *Site) NodeSettings(node int) []byte {
	n := s.Nodes[node]
	settings := nodeSettings{
		Blend:        priorityBlend{Whole: 0.55, WorstClass: 0.3, WorstWindow: 0.15},
		Limits:       s.limitSettings(),
		Index:        n.Index,
		RegistryMode: "pushed",
		Rules:        s.ruleSettings(n.TargetTier),
		TickMS:       5,
		Tier:         n.TargetTier,
		Weights:      "rough",
		Zone:         s.Zones[n.Zone].Name,
	}
	for _, other := range s.Nodes {
		if other.TargetTier == n.TargetTier {
			settings.Balancers++
		}
	}
	for i := range s.Classes {
		settings.Classes = append(settings.Classes, s.Classes[i].settings())
	}
	for _, z := range s.Zones {
		settings.Zones = append(settings.Zones, z.Name)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		panic(err) // every value of the settings can be encoded
	}
	return text
}

func (c *Class) settings() classSettings {
	return classSettings{
		DeadlineMS:         milliseconds(c.Deadline),
		Idempotency:        configIdempotency[c.Idempotency],
		KeyScope:           c.KeyScope,
		Name:               c.Name,
		LatencyObjectiveMS: milliseconds(c.LatencyObjective),
		KeyWindowMS:        milliseconds(c.KeyWindow),
		PriorityWeight:     c.PriorityWeight,
	}
}

func (s *Site) limitSettings() limitSettings {
	l := &s.Limits
	return limitSettings{
		Cancellation:     l.Cancellation,
		IdleTimeoutMS:    milliseconds(l.IdleTimeout),
		ConnectTimeoutMS: milliseconds(l.ConnectTimeout),
		MaxAttempts:      l.MaxAttempts,
		MaxRetryAfterMS:  milliseconds(l.MaxRetryAfter),
		RetryAfter:       l.MaxRetryAfter > 0,
		Hedging:          l.Hedging,
	}
}

// ruleSettings returns the rules for a tier, with the lowest initial capacity and the longest warm-up of its machine types.
func (s *Site) ruleSettings(tier int) ruleSettings {
	initialCapacity, warmUp := 1.0, Duration(0)
	for _, m := range s.Tiers[tier].MachineTypes {
		initialCapacity = min(initialCapacity, m.InitialCapacity)
		warmUp = max(warmUp, m.WarmUpRange[1])
	}
	l := &s.Limits
	return ruleSettings{
		InitialCapacity:   initialCapacity,
		CrashLoadWindowMS: milliseconds(l.CrashLoadWindow),
		CrashLoadMultiple: l.CrashLoadMultiple,
		DrainTimeoutMS:    milliseconds(l.DrainTimeout),
		WarmUpMS:          milliseconds(warmUp),
	}
}

func milliseconds(d Duration) float64 { return float64(d) / float64(time.Millisecond) }
