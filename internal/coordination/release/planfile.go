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

// PlanFile is a plan as an operator writes it, in TOML.
type PlanFile struct {
	Name             string             `toml:"name"`
	Version          string             `toml:"version"`     // that the units are to run
	MaxConcurrent    int                `toml:"at_once"`     // permits held at once; 0: as many as the budget grants
	BakeTime         string             `toml:"bake"`        // from when a stage is done until the next one; empty: 2s
	RecoveryTimeout  string             `toml:"back_within"` // a unit must be fully available again by then, or the release halts; empty: 60s
	RequiredCapacity map[string]float64 `toml:"needs"`       // by tier: what the present load needs
	Stages           []PlanFileStage    `toml:"stage"`
}

// PlanFileStage is one stage of a PlanFile: a fraction of a tier, which includes the units of earlier stages, or units by
// name.
type PlanFileStage struct {
	Tier     string   `toml:"tier"`
	Zones    []string `toml:"zones"` // none: all
	Fraction float64  `toml:"share"`
	Units    []string `toml:"units"`
}

// Defaults of a plan file.
const (
	defaultBakeTime        = 2 * time.Second
	defaultRecoveryTimeout = time.Minute
)

// roundingSlack absorbs the error of a fraction times a number of units, so that 0.1 of 30 units is 3 and not 4.
const roundingSlack = 1e-9

// ParsePlan reads a plan file and picks the units of each stage among those of the site, which must be in ascending order
// of their UIDs. Errors are one line with the file, the key and the reason.
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

// plan checks the file and picks the units of each stage.
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

// validate checks what does not depend on the units of the site.
func (f *PlanFile) validate() error {
	switch {
	case f.Name == "" || strings.ContainsAny(f.Name, "/ \t\n"):
		return fmt.Errorf("name: %q is empty, or has a space or slash in it", f.Name)
	case f.Version == "":
		return errors.New("version: missing")
	case f.MaxConcurrent < 0:
		return fmt.Errorf("at_once: %d is negative", f.MaxConcurrent)
	case len(f.Stages) == 0:
		return errors.New("stage: there is none")
	}
	return nil
}

// milliseconds reads a duration under a key of the file.
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

// steps returns the steps of the units that do not run a version yet.
func steps(units []*state.Instance, version string) []Step {
	steps := []Step{}
	for _, u := range units {
		if u.Version != version {
			steps = append(steps, Step{Unit: u.UID, FromVersion: u.Version, ToVersion: version})
		}
	}
	return steps
}

// unitPicker picks the units of one stage after the other. Every unit is picked at most once.
type unitPicker struct {
	units  []*state.Instance // in the order of their UIDs
	byUID  map[string]*state.Instance
	tiers  map[string]bool
	zones  map[string]bool
	picked map[string]bool // by earlier stages
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

// pick returns the units of a stage. Errors begin with the key that is wrong.
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
		}
		units = append(units, u)
	}
	return units, nil
}

// pickFraction returns as many further units as make up a stage's fraction of its tier, evenly along the order of their UIDs.
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
	want := int(math.Ceil(stage.Fraction*float64(len(free)+alreadyPicked)-roundingSlack)) - alreadyPicked
	if want <= 0 {
		return nil, nil
	}
	units := make([]*state.Instance, want)
	for i := range units {
		units[i] = free[i*len(free)/want]
	}
	return units, nil
}
