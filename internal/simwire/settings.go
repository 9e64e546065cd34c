package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"umberbank/balancer"
)

// settingsObject is the JSON encoding of the settings. Times are in milliseconds.
type settingsObject struct {
	Replicas int `json:"balancers"`
	Weights  struct {
		TotalValue float64 `json:"whole"`
		WorstClass float64 `json:"worst-class"`
	} `json:"blend"`
	Classes []classObject `json:"lanes"`
	Limits  struct {
		Cancellation   bool    `json:"cancelling"`
		IdleTimeout    float64 `json:"conn-idle-ms"`
		ConnectTimeout float64 `json:"connect-timeout-ms"`
		MaxAttempts    int     `json:"max-attempts"`
		MaxRetryAfter  float64 `json:"max-retry-after-ms"`
		Hedging        bool    `json:"second-copies"`
		RetryAfter     bool    `json:"retry-after"`
	} `json:"limits"`
	DiscoveryMode string `json:"registry-mode"`
	Rules         struct {
		PollInterval     float64 `json:"ask-within-ms"`
		InitialFraction  float64 `json:"cold-from"`
		OverloadWindow   float64 `json:"fall-ms"`
		OverloadMultiple float64 `json:"fall-multiple"`
		WarmUpTime       float64 `json:"warm-after-ms"`
	} `json:"rules"`
	ReplicaIndex int     `json:"me"`
	Tick         float64 `json:"tick-ms"`
	Tier         int     `json:"tier"`
	WeightKind   string  `json:"weights"`
}

// classObject is the JSON encoding of a request class.
type classObject struct {
	Deadline          float64 `json:"deadline-ms"`
	Effect            string  `json:"effect"`
	IdempotencyScope  string  `json:"key-scope"`
	LateCredit        float64 `json:"late-share"`
	Name              string  `json:"name"`
	Streaming         bool    `json:"stream"`
	LatencyObjective  float64 `json:"target-ms"`
	IdempotencyWindow float64 `json:"window-ms"`
	PriorityWeight    float64 `json:"worth"`
}

// pollMode is the discovery mode in which an endpoint list is sent only after a Subscribe.
const pollMode = "on_request"

// Values of enumerations in the JSON encoding. An unknown value means the zero value: the narrowest scope, a weight
// of unknown meaning, and an effect that is not idempotent.
var (
	effects = map[string]balancer.Effect{
		"read_like":       balancer.Idempotent,
		"idempotency_key": balancer.WithIdempotencyKey,
	}
	scopes = map[string]balancer.IdempotencyScope{
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell,
	}
	weightKinds = map[string]balancer.WeightKind{
		"nominal": balancer.WeightNominal,
		"rough":   balancer.WeightApproximate,
		"live":    balancer.WeightLive,
	}
)

// Connections holds the settings of connections to endpoints. The simulator applies them itself, but a node has to
// apply them to its connections. Zero means that a value is not set.
type Connections struct {
	IdleTimeout    time.Duration // an endpoint closes a connection after this time without a request
	ConnectTimeout time.Duration // an endpoint that does not accept a connection within this time is unreachable
}

// ParseSettings parses the settings object. It ignores unknown keys. An unknown effect becomes NonIdempotent, and an
// unknown scope becomes the narrowest one. The settings are not validated.
func ParseSettings(text []byte) (balancer.Settings, Connections, error) {
	var o settingsObject
	if err := json.Unmarshal(text, &o); err != nil {
		return balancer.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	connections := Connections{
		IdleTimeout:    fromMilliseconds(o.Limits.IdleTimeout),
		ConnectTimeout: fromMilliseconds(o.Limits.ConnectTimeout),
	}
	return o.settings(), connections, nil
}

func (o *settingsObject) settings() balancer.Settings {
	s := balancer.Settings{
		Replicas:         o.Replicas,
		ReplicaIndex:     o.ReplicaIndex,
		Tier:             o.Tier,
		TotalValueWeight: o.Weights.TotalValue,
		WorstClassWeight: o.Weights.WorstClass,
		MaxAttempts:      o.Limits.MaxAttempts,
		Hedging:          o.Limits.Hedging,
		Cancellation:     o.Limits.Cancellation,
		WeightKind:       weightKinds[o.WeightKind],
		PollDiscovery:    o.DiscoveryMode == pollMode,
		PollInterval:     fromMilliseconds(o.Rules.PollInterval),
		Tick:             fromMilliseconds(o.Tick),
		SlowStart: balancer.SlowStart{
			InitialFraction:  o.Rules.InitialFraction,
			Duration:         fromMilliseconds(o.Rules.WarmUpTime),
			OverloadMultiple: o.Rules.OverloadMultiple,
			OverloadWindow:   fromMilliseconds(o.Rules.OverloadWindow),
		},
	}
	if o.Limits.RetryAfter {
		s.MaxRetryAfter = fromMilliseconds(o.Limits.MaxRetryAfter)
	}
	for _, c := range o.Classes {
		s.Classes = append(s.Classes, c.class())
	}
	return s
}

func (o classObject) class() balancer.Class {
	return balancer.Class{
		Name:              o.Name,
		Effect:            effects[o.Effect],
		IdempotencyScope:  scopes[o.IdempotencyScope],
		IdempotencyWindow: fromMilliseconds(o.IdempotencyWindow),
		LatencyObjective:  fromMilliseconds(o.LatencyObjective),
		Deadline:          fromMilliseconds(o.Deadline),
		LateCredit:        o.LateCredit,
		PriorityWeight:    o.PriorityWeight,
		Streaming:         o.Streaming,
	}
}
