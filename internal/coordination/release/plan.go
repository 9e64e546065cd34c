// Package release carries a plan out that changes the version of units, stage by stage and within the budget. Plan and
// Machine are pure: what the registry holds goes in with the time, orders come out, and any controller's Machine goes on
// from any step of another's.
package release

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
	"umberbank/internal/stricttoml"
)

// PlanFile is a plan as staff write it.
type PlanFile struct {
	Name             string             `toml:"name"`
	Version          string             `toml:"version"`     // that the units are to run
	MaxConcurrent    int                `toml:"at_once"`     // permits held at once; 0: as many as the budget gives
	BakeTime         string             `toml:"bake"`        // a stage must stand so long before the next; "": 2 s
	RecoveryTimeout  string             `toml:"back_within"` // a unit must be back and warm, else the release halts; "": 60 s
	RequiredCapacity map[string]float64 `toml:"needs"`       // by tier: the capacity that the present load needs
	Stages           []PlanFileStage    `toml:"stage"`
}

// PlanFileStage is one stage of it: a share of a tier, counting what earlier stages have taken, or units by name.
type PlanFileStage struct {
	Tier  string   `toml:"tier"`
	Zones []string `toml:"zones"` // none: all
	Share float64  `toml:"share"`
	Units []string `toml:"units"`
}

// Plan is a release as it is kept: which units, in which order.
type Plan struct {
	Name              string   `json:"name"`
	RollsBack         string   `json:"undoes,omitempty"` // the release that this one takes back
	MaxConcurrent     int      `json:"at_once,omitempty"`
	BakeMS            int64    `json:"bake_ms"`
	RecoveryTimeoutMS int64    `json:"back_within_ms"`
	Stages            [][]Step `json:"stages"`
}

// Step is one unit's change.
type Step struct {
	Unit        string `json:"unit"`
	FromVersion string `json:"from"`
	ToVersion   string `json:"to"`
}

// Keys of the records of a release.
const (
	PlanKeyPrefix     = "plan/"
	ProgressKeyPrefix = "release/"
)

// Progress is how far a release has come.
type Progress struct {
	Stage     int      `json:"stage"`
	Done      bool     `json:"done,omitempty"`
	Requested []string `json:"asked"` // units for which a permit was asked, in that order
}

// ParsePlan reads a plan for the units that there are, and says what is wrong with it by file and key.
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

// plan picks the units of each stage.
func (f *PlanFile) plan(units []*state.Instance) (*Plan, error) {
	p := &Plan{Name: f.Name, MaxConcurrent: f.MaxConcurrent}
	switch {
	case f.Name == "" || strings.ContainsAny(f.Name, "/ \t\n"):
		return nil, fmt.Errorf("name: %q is empty, or has a space or slash in it", f.Name)
	case f.Version == "":
		return nil, errors.New("version: missing")
	case f.MaxConcurrent < 0:
		return nil, fmt.Errorf("at_once: %d is negative", f.MaxConcurrent)
	case len(f.Stages) == 0:
		return nil, errors.New("stage: there is none")
	}
	for _, d := range []struct {
		key, text string
		to        *int64
		or        time.Duration
	}{{"bake", f.BakeTime, &p.BakeMS, 2 * time.Second}, {"back_within", f.RecoveryTimeout, &p.RecoveryTimeoutMS, time.Minute}} {
		v := d.or
		if d.text != "" {
			var err error
			if v, err = time.ParseDuration(d.text); err != nil || v < 0 {
				return nil, fmt.Errorf("%s: %q is no time", d.key, d.text)
			}
		}
		*d.to = v.Milliseconds()
	}
	tiers := map[string]bool{}
	byID := map[string]*state.Instance{}
	for _, u := range units {
		tiers[u.Tier] = true
		byID[u.UID] = u
	}
	taken := map[string]bool{}
	for i, st := range f.Stages {
		l, err := st.pick(units, byID, tiers, taken)
		if err != nil {
			return nil, fmt.Errorf("stage[%d].%w", i, err)
		}
		steps := []Step{}
		for _, u := range l {
			taken[u.UID] = true
			if u.Version != f.Version {
				steps = append(steps, Step{u.UID, u.Version, f.Version})
			}
		}
		p.Stages = append(p.Stages, steps)
	}
	for tier := range f.RequiredCapacity {
		if !tiers[tier] {
			return nil, fmt.Errorf("needs.%s: there is no such tier", tier)
		}
	}
	return p, nil
}

// pick gives a stage's units, evenly along the order of their names so that every zone is among the first.
func (st *PlanFileStage) pick(units []*state.Instance, byID map[string]*state.Instance, tiers, taken map[string]bool) ([]*state.Instance, error) {
	var l []*state.Instance
	if len(st.Units) > 0 {
		for _, id := range st.Units {
			u := byID[id]
			switch {
			case u == nil:
				return nil, fmt.Errorf("units: there is no unit %q", id)
			case taken[id]:
				return nil, fmt.Errorf("units: %q is in an earlier stage", id)
			}
			l = append(l, u)
		}
		return l, nil
	}
	if !tiers[st.Tier] {
		return nil, fmt.Errorf("tier: there is no tier %q", st.Tier)
	}
	if !(st.Share > 0 && st.Share <= 1) {
		return nil, fmt.Errorf("share: %v is no share above 0", st.Share)
	}
	zones := map[string]bool{}
	has := 0
	for _, u := range units {
		zones[u.Zone] = true
		if u.Tier != st.Tier || len(st.Zones) > 0 && !slices.Contains(st.Zones, u.Zone) {
			continue
		}
		if taken[u.UID] {
			has++
		} else {
			l = append(l, u)
		}
	}
	for _, z := range st.Zones {
		if !zones[z] {
			return nil, fmt.Errorf("zones: there is no zone %q", z)
		}
	}
	want := int(math.Ceil(st.Share*float64(len(l)+has)-1e-9)) - has
	if want <= 0 {
		return nil, nil
	}
	picked := make([]*state.Instance, want)
	for i := range picked {
		picked[i] = l[i*len(l)/want]
	}
	return picked, nil
}

// CheckCapacity says with the arithmetic why the present load could not be kept with as much out as the plan may take out at
// once beside what is out already; nil: it could.
func CheckCapacity(p *Plan, needs map[string]float64, units []*state.Instance, l disruption.Limits, outs []disruption.UnavailableUnit) error {
	out := map[string]float64{}
	for _, o := range outs {
		out[o.Unit] = o.Share
	}
	for _, limit := range l.Tiers {
		need, asked := needs[limit.Tier]
		if !asked {
			continue
		}
		var capacity, gone, largest float64
		for _, u := range units {
			if u.Tier != limit.Tier {
				continue
			}
			capacity += u.Capacity
			gone += out[u.UID] * u.Capacity
			largest = max(largest, u.Capacity)
		}
		may := *limit.Total * capacity
		if p.MaxConcurrent > 0 {
			may = min(may, float64(p.MaxConcurrent)*largest)
		}
		if left := capacity - max(may, gone); left < need {
			return fmt.Errorf("tier %s has a capacity of %.4g, %.4g of it out, and up to %.4g may be out at once: %.4g would be left where the load needs %.4g",
				limit.Tier, capacity, gone, max(may, gone), left, need)
		}
	}
	return nil
}

// RollbackPlan is the plan that takes a release back, newest change first: what was changed last, or is being changed, goes
// first. It is a release as any other, within the same budget.
func RollbackPlan(p *Plan, done Progress) *Plan {
	from := map[string]Step{}
	for _, stage := range p.Stages {
		for _, s := range stage {
			from[s.Unit] = s
		}
	}
	b := &Plan{Name: p.Name + "-back", RollsBack: p.Name, MaxConcurrent: p.MaxConcurrent, BakeMS: 0, RecoveryTimeoutMS: p.RecoveryTimeoutMS}
	steps := []Step{}
	for _, id := range slices.Backward(done.Requested) {
		s := from[id]
		steps = append(steps, Step{id, s.ToVersion, s.FromVersion})
	}
	b.Stages = [][]Step{steps}
	return b
}
