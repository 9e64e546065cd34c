package scale

import (
	"encoding/json"
	"slices"
)

// Result is the outcome of a run.
type Result struct {
	Machine            string         `json:"machine"`
	Plays              int            `json:"plays"`
	Sizes              []*Figures     `json:"sizes"`    // medians over the plays
	Slopes             map[Key]*Slope `json:"slopes"`   // slopes of the figures that were measured at two or more sizes
	ByPlay             [][]*Figures   `json:"each"`     // figures of each play, by size
	Failed             []string       `json:"failed"`   // plays that did not complete, with the reason
	Bounds             string         `json:"bounds"`   // the bounds of a run
	Seconds            float64        `json:"took_s"`   // duration of the run
	LongestPlaySeconds float64        `json:"play_s"`   // duration of the longest play
	LoadAverage        float64        `json:"load_avg"` // of the machine before the run, over one minute
}

// MarshalJSON adds the figures of the largest size as members of the result itself.
func (r *Result) MarshalJSON() ([]byte, error) {
	type plain Result
	rest, err := json.Marshal((*plain)(r))
	if err != nil || len(r.Sizes) == 0 {
		return rest, err
	}
	top, err := r.Sizes[len(r.Sizes)-1].members()
	return slices.Concat([]byte{'{'}, top, []byte{','}, rest[1:]), err
}
