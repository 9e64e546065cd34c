package release

import (
	"encoding/json"
	"strings"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/state"
)

// View is the part of the registry's state that a [Scheduler] needs, as of one revision.
type View struct {
	Units       []*state.Instance
	Unavailable []disruption.UnavailableUnit
	Permits     []*disruption.Permit
	Records     []*state.Record
}

// record decodes the record with the given key into value. It returns the record's modification revision, or zero if there is
// no such record, and whether the value was decoded.
func (v *View) record(key string, value any) (modRevision int64, decoded bool) {
	for _, r := range v.Records {
		if r.Key == key {
			return r.ModRevision, json.Unmarshal(r.Value, value) == nil
		}
	}
	return 0, false
}

// ActivePlans returns the plans of the releases that are neither done nor halted, in the order of v.Records, which is by
// name. Plans that cannot be decoded are skipped.
func ActivePlans(v View) []*Plan {
	var plans []*Plan
	for _, r := range v.Records {
		var p Plan
		if len(r.Key) <= len(PlanKeyPrefix) || !strings.HasPrefix(r.Key, PlanKeyPrefix) || json.Unmarshal(r.Value, &p) != nil {
			continue
		}
		var progress Progress
		if _, started := v.record(ProgressKeyPrefix+p.Name, &progress); started && progress.Done || HaltReason(v, p.Name) != "" {
			continue
		}
		plans = append(plans, &p)
	}
	return plans
}

// HaltReason returns why a release is halted, or an empty string if it is not halted or its halt record cannot be decoded.
func HaltReason(v View, name string) string {
	var h halt
	if _, halted := v.record(state.HaltKeyPrefix+name, &h); !halted {
		return ""
	}
	if h.Reason == "" {
		return "halted"
	}
	return h.Reason
}

// ProgressOf returns the progress of a release, or the zero value if no progress is stored.
func ProgressOf(v View, name string) (p Progress) {
	v.record(ProgressKeyPrefix+name, &p)
	return p
}
