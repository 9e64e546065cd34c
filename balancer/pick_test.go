package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

const pickTrials = 20000

// endpointsWith returns one endpoint for each number of active attempts.
func endpointsWith(activeAttempts ...int) []*endpoint {
	var endpoints []*endpoint
	for i, n := range activeAttempts {
		endpoints = append(endpoints, &endpoint{Endpoint: Endpoint{ID: fmt.Sprint(i, n)}, activeAttempts: n})
	}
	return endpoints
}

func TestPickTwoChoices(t *testing.T) {
	b := newTestBalancer(t, nil)
	for _, c := range []struct {
		name          string
		first, second []*endpoint
		wantFirst     float64 // share of the picks
	}{
		{"fewer in first", endpointsWith(1), endpointsWith(2), 1},
		{"fewer in second", endpointsWith(2), endpointsWith(1), 0},
		{"none in second beats one", endpointsWith(1), endpointsWith(0), 0},
		{"none in first beats one", endpointsWith(0), endpointsWith(1), 1},
		{"tie above zero goes to first", endpointsWith(3), endpointsWith(3), 1},
		{"tie at zero by size of groups", endpointsWith(0, 0, 0), endpointsWith(0), 0.75},
		{"first empty", nil, endpointsWith(1), 0},
		{"second empty", endpointsWith(5), nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			fromFirst := 0
			for range pickTrials {
				if slices.Contains(c.first, b.pick(c.first, c.second)) {
					fromFirst++
				}
			}
			if got := float64(fromFirst) / pickTrials; math.Abs(got-c.wantFirst) > 0.02 {
				t.Errorf("share of the first group: got %.3f, want %.2f", got, c.wantFirst)
			}
		})
	}
	if b.pick(nil, nil) != nil {
		t.Error("got an endpoint from empty groups")
	}
	group, picks := endpointsWith(0, 0, 0, 0), map[*endpoint]int{}
	for range pickTrials {
		picks[b.pick(group, nil)]++
	}
	for _, e := range group {
		if got := float64(picks[e]) / pickTrials; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw from four endpoints: share of one is %.3f, want 0.25", got)
		}
	}
}
