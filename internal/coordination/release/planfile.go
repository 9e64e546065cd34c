package release

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"umberbank/internal/registry/state"
	"umberbank/internal/stricttoml"
)

// PlanFile is a release plan as an operator writes it, in TOML. Durations are in the format of [time.ParseDuration].
type PlanFile struct {
	Name             string             `toml:"name"`
	Version          string             `toml:"version"`     // version that the units must run after the release
	MaxConcurrent    int                `toml:"at_once"`     // maximum number of permits held at the same time; zero means 256
	BakeTime         string             `toml:"bake"`        // how long a stage must be finished before the next; empty means 2s
	RecoveryTimeout  string             `toml:"back_within"` // how long a begun permit may last before a halt; empty means 60s
	RequiredCapacity map[string]float64 `toml:"needs"`       // capacity that the current load needs, by tier
	Stages           []PlanFileStage    `toml:"stage"`
}

// PlanFileStage is one stage of a PlanFile. It selects either the units that it names, or as many units as are missing until the
// stages up to this one have selected the given fraction of a tier.
type PlanFileStage struct {
	Tier     string   `toml:"tier"`
	Zones    []string `toml:"zones"` // zones of the tier to select from; empty means all
	Fraction float64  `toml:"share"` // of the number of units in those zones; above 0 and at most 1
	Units    []string `toml:"units"` // UIDs; if not empty, the other fields are ignored
}

// Defaults of PlanFile.BakeTime and PlanFile.RecoveryTimeout.
const (
	defaultBakeTime        = 2 * time.Second
	defaultRecoveryTimeout = time.Minute
)

// roundingTolerance allows for the floating-point error of a fraction times a number of units. Without it, 0.55 of 100 units
// would be rounded up to 56, because 0.55*100 is 55.00000000000001.
const roundingTolerance = 1e-9

// ParsePlan parses a plan file and selects the units of each stage. units are the units of the site, in ascending order of
// their UIDs. An error is one line with the name of the file, the key and the reason.
func ParsePlan(file string, text []byte, units []*state.Instance) (*Plan, *PlanFile, error) {
	var f PlanFile
	if err := stricttoml.Decode(file, text, &f); err != nil {
		return nil, nil, err
	}
	p, err := f.plan(units)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", file, err)
	}
	return p, &f, nil
}

// plan validates the file and selects the units of each stage.
func (f *PlanFile) plan(units []*state.Instance) (*Plan, error) {
	if err := f.validate(); err != nil {
		return nil, err
	}
	p := &Plan{Name: f.Name, MaxConcurrent: f.MaxConcurrent}
	var err error
	if p.BakeMS, err = milliseconds("bake", f.BakeTime, defaultBakeTime); err != nil {
		return nil, err
	}
	if p.RecoveryTimeoutMS, err = milliseconds("back_within", f.RecoveryTimeout, defaultRecoveryTimeout); err != nil {
		return nil, err
	}
	picker := newUnitPicker(units)
	for i := range f.Stages {
		picked, err := picker.pick(&f.Stages[i])
		if err != nil {
			return nil, fmt.Errorf("stage[%d].%w", i, err)
		}
		p.Stages = append(p.Stages, steps(picked, f.Version))
	}
	for tier := range f.RequiredCapacity {
		if !picker.tiers[tier] {
			return nil, fmt.Errorf("needs.%s: there is no such tier", tier)
		}
	}
	return p, nil
}

// validate checks the keys name, version and at_once, and that there is a stage.
func (f *PlanFile) validate() error {
	switch {
	case f.Name == "" || strings.ContainsAny(f.Name, "/ \t\n"):
		return fmt.Errorf("name: %q is empty or contains a space, a tab, a newline or a slash", f.Name)
	case f.Version == "":
		return errors.New("version: missing")
	case f.MaxConcurrent < 0:
		return fmt.Errorf("at_once: %d is negative", f.MaxConcurrent)
	case len(f.Stages) == 0:
		return errors.New("stage: missing, at least one is required")
	}
	return nil
}

// milliseconds parses the duration of a key and returns it in milliseconds, or fallback if the text is empty.
func milliseconds(key, text string, fallback time.Duration) (int64, error) {
	if text == "" {
		return fallback.Milliseconds(), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s: %q is no time", key, text)
	}
	return d.Milliseconds(), nil
}

// steps returns a step for each unit that does not run the version yet.
func steps(units []*state.Instance, version string) []Step {
	steps := []Step{}
	for _, u := range units {
		if u.Version != version {
			steps = append(steps, Step{Unit: u.UID, FromVersion: u.Version, ToVersion: version})
		}
	}
	return steps
}

// unitPicker selects the units of the stages, one stage after another. A unit is never selected for two stages.
type unitPicker struct {
	units  []*state.Instance // in ascending order of their UIDs
	byUID  map[string]*state.Instance
	tiers  map[string]bool
	zones  map[string]bool
	picked map[string]bool // UIDs that earlier stages selected
}

func newUnitPicker(units []*state.Instance) *unitPicker {
	p := &unitPicker{
		units: units, byUID: map[string]*state.Instance{},
		tiers: map[string]bool{}, zones: map[string]bool{}, picked: map[string]bool{},
	}
	for _, u := range units {
		p.byUID[u.UID] = u
		p.tiers[u.Tier] = true
		p.zones[u.Zone] = true
	}
	return p
}

// pick returns the units of a stage. An error starts with the invalid key.
func (p *unitPicker) pick(stage *PlanFileStage) ([]*state.Instance, error) {
	pick := p.pickFraction
	if len(stage.Units) > 0 {
		pick = p.pickNamed
	}
	units, err := pick(stage)
	if err != nil {
		return nil, err
	}
	for _, u := range units {
		p.picked[u.UID] = true
	}
	return units, nil
}

// pickNamed returns the units that a stage names.
func (p *unitPicker) pickNamed(stage *PlanFileStage) ([]*state.Instance, error) {
	var units []*state.Instance
	for _, uid := range stage.Units {
		u := p.byUID[uid]
		switch {
		case u == nil:
			return nil, fmt.Errorf("units: there is no unit %q", uid)
		case p.picked[uid]:
			return nil, fmt.Errorf("units: %q is in an earlier stage", uid)
		case slices.Contains(units, u):
			return nil, fmt.Errorf("units: %q is named twice", uid)
		}
		units = append(units, u)
	}
	return units, nil
}

// pickFraction returns the units with which the selected units make up the stage's fraction of the units in its tier and zones.
// The number of selected units, which includes those of earlier stages, is rounded up. The returned units are evenly spaced
// among the ones that no earlier stage selected, in the order of their UIDs.
func (p *unitPicker) pickFraction(stage *PlanFileStage) ([]*state.Instance, error) {
	if !p.tiers[stage.Tier] {
		return nil, fmt.Errorf("tier: there is no tier %q", stage.Tier)
	}
	if !(stage.Fraction > 0 && stage.Fraction <= 1) {
		return nil, fmt.Errorf("share: %v is no share above 0", stage.Fraction)
	}
	for _, zone := range stage.Zones {
		if !p.zones[zone] {
			return nil, fmt.Errorf("zones: there is no zone %q", zone)
		}
	}
	var free []*state.Instance
	alreadyPicked := 0
	for _, u := range p.units {
		switch {
		case u.Tier != stage.Tier || len(stage.Zones) > 0 && !slices.Contains(stage.Zones, u.Zone):
		case p.picked[u.UID]:
			alreadyPicked++
		default:
			free = append(free, u)
		}
	}
	want := int(math.Ceil(stage.Fraction*float64(len(free)+alreadyPicked)-roundingTolerance)) - alreadyPicked
	if want <= 0 {
		return nil, nil
	}
	units := make([]*state.Instance, want)
	for i := range units {
		units[i] = free[i*len(free)/want]
	}
	return units, nil
}
