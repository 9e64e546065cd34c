package config

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Used where the configuration names a directory for snapshots and says nothing of the times.
const (
	defaultSnapshotInterval = time.Second
	defaultSnapshotMaxAge   = time.Minute
)

// Snapshots say where a node saves what the balancer has learned, for the process after it. They are read at the start alone.
type Snapshots struct {
	Dir      string        // of this node alone, on a disk that survives; "": nothing is saved
	Interval time.Duration // between snapshots
	MaxAge   time.Duration // what is older counts for nothing; see balancer.Settings
}

// parseSnapshots reads the key "state" of the configuration.
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
	for key, v := range map[string]float64{"every_ms": state.Interval, "max_age_ms": state.MaxAge} {
		if !(v >= 1 && v < math.MaxInt64/1e6) {
			return Snapshots{}, fmt.Errorf("state.%s: %v is no time of a millisecond or more", key, v)
		}
	}
	if state.Dir == "" {
		return Snapshots{}, nil
	}
	return Snapshots{Dir: state.Dir, Interval: milliseconds(state.Interval), MaxAge: milliseconds(state.MaxAge)}, nil
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
