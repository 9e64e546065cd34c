package scale

import (
	"encoding/json"
	"slices"
)

// Result is the outcome of a run.
type Result struct {
	Machine            string         `json:"machine"`
	Plays              int            `json:"plays"`
	Sizes              []*Figures     `json:"sizes"`    // medians of the plays
	Slopes             map[Key]*Slope `json:"slopes"`   // of figures measured at two sizes or more
	ByPlay             [][]*Figures   `json:"each"`     // play by play
	Failed             []string       `json:"failed"`   // sizes that were not played to their end, with the reason
	Bounds             string         `json:"bounds"`   // the bounds of a run
	Seconds            float64        `json:"took_s"`   // duration of the run
	LongestPlaySeconds float64        `json:"play_s"`   // duration of the longest play
	LoadAverage        float64        `json:"load_avg"` // of the machine before the run, over a minute
}

// MarshalJSON encodes the figures of the largest size as members of the result itself, beside all else.
func (r *Result) MarshalJSON() ([]byte, error) {
	type plain Result
	rest, err := json.Marshal((*plain)(r))
	if err != nil || len(r.Sizes) == 0 {
		return rest, err
	}
	top, err := r.Sizes[len(r.Sizes)-1].members()
	return slices.Concat([]byte{'{'}, top, []byte{','}, rest[1:]), err
}
