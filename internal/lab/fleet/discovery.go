package fleet

import (
	"encoding/json"

	"umberbank/internal/lab/model"
)

// listTarget is an entry of a list in the JSON form of the discovery protocol.
type listTarget struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Rack        int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	StartTimeMS float64 `json:"boot_ms"`
}

// encodeList encodes a list for a node.
func (f *Fleet) encodeList(node int, l model.EndpointList) []byte {
	type message struct {
		Rev     int64        `json:"rev"`
		All     bool         `json:"all"`
		Targets []listTarget `json:"targets"`
	}
	m := message{Rev: l.Revision + 1, All: l.Complete, Targets: []listTarget{}} // in the protocol revision 0 means no list
	for _, e := range l.Entries {
		s := &f.world.Site.Servers[e.Server]
		t := listTarget{UID: s.Name, Endpoint: f.linkAddr(node, e.Server), Zone: f.world.Site.Zones[s.Zone].Name, Kind: s.MachineType.Name,
			Rack: s.Rack, State: e.State.String(), Capacity: s.AdvertisedCapacity()}
		if e.StartTime >= 0 {
			t.StartTimeMS = float64(f.startedAt.Add(e.StartTime).UnixMicro()) / 1000
		}
		m.Targets = append(m.Targets, t)
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // every value in it can be encoded
	}
	return text
}

// SendList sends an endpoint update to a node's agent.
func (f *Fleet) SendList(node int, l model.EndpointList) {
	full := l
	if !l.Complete {
		full = f.world.Directory.List(node)
	}
	f.agents[node].push(l.Revision+1, f.encodeList(node, l), f.encodeList(node, full), l.Complete)
}

// MuteWatches makes the open and new watches of a node silent, or serves new watches again. Silent watches remain silent.
func (f *Fleet) MuteWatches(node int, on bool) {
	a := f.agents[node]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	if on {
		a.silenceCount++
		close(a.changed) // wakes every open watch, which then becomes silent
		a.changed = make(chan struct{})
	}
}
