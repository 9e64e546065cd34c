package balancer

import (
	"errors"
	"math"
	"testing"
)

func TestSettingErrorNamesField(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Classes":                      func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":              func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[2].LatencyObjective":  func(s *Settings) { s.Classes[2].LatencyObjective = 0 },
		"Classes[1].Deadline":          func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[1].IdempotencyWindow": func(s *Settings) { s.Classes[1].IdempotencyWindow = -1 },
		"Classes[0].PriorityWeight":    func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"Classes[0].LateCredit":        func(s *Settings) { s.Classes[0].LateCredit = 2 },
		"SlowStart.InitialFraction":    func(s *Settings) { s.SlowStart.InitialFraction = 1.5 },
		"SlowStart.Duration":           func(s *Settings) { s.SlowStart.Duration = -1 },
		"SlowStart.OverloadMultiple":   func(s *Settings) { s.SlowStart.OverloadMultiple = math.NaN() },
		"ReplicaIndex":                 func(s *Settings) { s.ReplicaIndex = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			s := testSettings()
			change(&s)
			_, err := New(s, 1)
			var invalid *SettingError
			if !errors.As(err, &invalid) || invalid.Field != field {
				t.Fatalf("got %v, want a *SettingError of %s", err, field)
			}
			if want := "balancer: setting " + field + " is missing or out of range"; err.Error() != want {
				t.Errorf("got %q, want %q", err, want)
			}
		})
	}
}
