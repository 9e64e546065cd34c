package config

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Defaults for a configuration that names a directory for snapshots and does not set the times.
const (
	defaultSnapshotInterval = time.Second
	defaultSnapshotMaxAge   = time.Minute
)

// Snapshots configures where and how often a node saves the state of its balancer, which a restarted
// process restores. A reload does not change it.
type Snapshots struct {
	Dir      string        // used by this node only, on a persistent disk; empty to save nothing
	Interval time.Duration // time between snapshots
	MaxAge   time.Duration // older state is ignored; see balancer.Settings
}

// parseSnapshots parses the key "state" of the configuration. It returns the zero Snapshots if no
// directory is set. Times are checked even then.
func parseSnapshots(text json.RawMessage) (Snapshots, error) {
	state := struct {
		Dir      string  `json:"dir"`
		Interval float64 `json:"every_ms"`
		MaxAge   float64 `json:"max_age_ms"`
	}{Interval: defaultSnapshotInterval.Seconds() * 1000, MaxAge: defaultSnapshotMaxAge.Seconds() * 1000}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &state); err != nil {
			return Snapshots{}, fmt.Errorf("state: %w", err)
		}
	}
	for _, d := range []struct {
		key string
		ms  float64
	}{{"every_ms", state.Interval}, {"max_age_ms", state.MaxAge}} {
		if !(d.ms >= 1 && d.ms < math.MaxInt64/1e6) {
			return Snapshots{}, fmt.Errorf("state.%s: %v is no time of a millisecond or more", d.key, d.ms)
		}
	}
	if state.Dir == "" {
		return Snapshots{}, nil
	}
	return Snapshots{Dir: state.Dir, Interval: milliseconds(state.Interval), MaxAge: milliseconds(state.MaxAge)}, nil
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
