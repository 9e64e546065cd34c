package release

import (
	"encoding/json"
	"slices"

	"umberbank/internal/registry/state"
)

// Plan is a release as the registry stores it: which units change, in which order.
type Plan struct {
	Name              string   `json:"name"`
	RollsBack         string   `json:"undoes,omitempty"`  // the release that this one rolls back; empty: none
	MaxConcurrent     int      `json:"at_once,omitempty"` // permits held at once; 0: as many as the budget grants
	BakeMS            int64    `json:"bake_ms"`           // from when a stage is done until the next one starts
	RecoveryTimeoutMS int64    `json:"back_within_ms"`    // from when a unit's permit has begun until the release halts
	Stages            [][]Step `json:"stages"`
}

// Step is the change of one unit.
type Step struct {
	Unit        string `json:"unit"`
	FromVersion string `json:"from"`
	ToVersion   string `json:"to"`
}

// Prefixes of the keys of a release's records. The name of the plan follows. See also [state.HaltKeyPrefix].
const (
	PlanKeyPrefix     = "plan/"
	ProgressKeyPrefix = "release/"
)

// Progress is how far a release has come.
type Progress struct {
	Stage     int      `json:"stage"` // number of stages that are done
	Done      bool     `json:"done,omitempty"`
	Requested []string `json:"asked"` // units for which a permit was requested, in that order
}

// halt is the value of the record that halts a release.
type halt struct {
	Reason string `json:"why"`
}

// HaltOp returns the write that halts a release, unless it is halted already.
func HaltOp(name, reason string) state.Op {
	return state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + name, Value: encode(halt{reason}), IfModRevision: state.Absent}
}

// encode encodes a value of strings and numbers, which cannot fail.
func encode(v any) json.RawMessage {
	text, _ := json.Marshal(v)
	return text
}

// RollbackPlan returns the plan that rolls a release back, within the same limits: every unit for which a permit was
// requested, the latest first.
func RollbackPlan(p *Plan, progress Progress) *Plan {
	stepOf := map[string]Step{}
	for _, stage := range p.Stages {
		for _, step := range stage {
			stepOf[step.Unit] = step
		}
	}
	steps := []Step{}
	for _, unit := range slices.Backward(progress.Requested) {
		step := stepOf[unit]
		steps = append(steps, Step{Unit: unit, FromVersion: step.ToVersion, ToVersion: step.FromVersion})
	}
	return &Plan{
		Name: p.Name + "-back", RollsBack: p.Name, MaxConcurrent: p.MaxConcurrent,
		BakeMS: 0, RecoveryTimeoutMS: p.RecoveryTimeoutMS, Stages: [][]Step{steps},
	}
}
