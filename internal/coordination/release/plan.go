package release

import (
	"encoding/json"
	"slices"

	"umberbank/internal/registry/state"
)

// Plan is a release as the registry stores it: the units that change, and their order.
type Plan struct {
	Name              string   `json:"name"`
	RollsBack         string   `json:"undoes,omitempty"`  // the release that this one rolls back; empty if none
	MaxConcurrent     int      `json:"at_once,omitempty"` // maximum number of permits held at the same time; zero means 256
	BakeMS            int64    `json:"bake_ms"`           // how long a stage must be finished before the next starts
	RecoveryTimeoutMS int64    `json:"back_within_ms"`    // how long a begun permit may last before the release halts
	Stages            [][]Step `json:"stages"`
}

// Step is the change of one unit.
type Step struct {
	Unit        string `json:"unit"`
	FromVersion string `json:"from"`
	ToVersion   string `json:"to"`
}

// Prefixes of the keys of a release's records. Each is followed by the name of the plan. See also [state.HaltKeyPrefix].
const (
	PlanKeyPrefix     = "plan/"
	ProgressKeyPrefix = "release/"
)

// Progress is the stored progress of a release. The zero value is that of a release that has not started.
type Progress struct {
	Stage     int      `json:"stage"` // number of finished stages, which is the index of the current one
	Done      bool     `json:"done,omitempty"`
	Requested []string `json:"asked"` // units for which a permit was requested, in the order of the requests
}

// halt is the value of the record that halts a release.
type halt struct {
	Reason string `json:"why"`
}

// HaltOp returns the write that halts a release. The write fails if the release is already halted.
func HaltOp(name, reason string) state.Op {
	return state.Op{Kind: state.OpPutRecord, Key: state.HaltKeyPrefix + name, Value: encode(halt{reason}), IfModRevision: state.Absent}
}

// encode returns v as JSON. v must consist of structs and slices of strings, numbers and booleans, whose encoding cannot fail.
func encode(v any) json.RawMessage {
	text, _ := json.Marshal(v)
	return text
}

// RollbackPlan returns the plan that rolls a release back. It has the MaxConcurrent and RecoveryTimeoutMS of the release and no
// bake time. Its single stage has every unit for which the release requested a permit, the most recently requested first.
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
