package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

// Key names a figure.
type Key string

// The figures of one size. A version's time is from its proposal until every node that is alive runs it.
const (
	KeyRestBytes          Key = "rest_bytes_s"         // of a node, on the wire, both ways
	KeyRestCalls          Key = "rest_calls_s"         // of a node
	KeyAgentRestBytes     Key = "agent_rest_bytes_s"   // of an agent
	KeyAgentRestCalls     Key = "agent_rest_calls_s"   // of an agent
	KeyRestCPUShare       Key = "rest_cpu_share"       // of a core: a real node with control, less one without
	KeyControlMB          Key = "control_mb"           // likewise, resident memory
	KeyReplicaCores       Key = "replica_cores"        // at rest, all three
	KeyLeaderCores        Key = "leader_cores"         // at rest
	KeyFollowerCores      Key = "follower_cores"       // at rest, the busier of the two
	KeyReplicaMB          Key = "replica_mb"           // resident, the largest of the three
	KeyControllerCores    Key = "controller_cores"     // at rest, the controller that acts
	KeyControllerMB       Key = "controller_mb"        // resident
	KeyLoaderCores        Key = "loader_cores"         // at rest: what all hollow nodes and agents cost this process
	KeyLoaderMB           Key = "loader_mb"            // resident
	KeyConnect            Key = "connect_s"            // until every hollow node holds the full list and the registry knows all
	KeyConnectBytes       Key = "connect_bytes"        // of a node until then
	KeyReconnect          Key = "reconnect_s"          // after all connections broke, until the last was answered again
	KeyReconnectBytes     Key = "reconnect_bytes"      // of a node until then
	KeyListChange         Key = "list_change_s"        // from a server's change until all nodes hold it
	KeyListChangeBytes    Key = "list_change_bytes"    // of a node, net of what it spends at rest
	KeyFullListBytes      Key = "whole_list_bytes"     // of one answer with it
	KeyInForceP99         Key = "in_force_p99_s"       // of all nodes and single versions
	KeyInForceMax         Key = "in_force_max_s"       // the longest of these
	KeyVersionBytes       Key = "version_bytes"        // of a node, net of what it spends at rest
	KeyVersionAgentBytes  Key = "version_agent_bytes"  // of an agent, likewise: it is woken too
	KeyVersionCalls       Key = "version_calls"        // of a node, net of what it makes at rest
	KeyVersionWrites      Key = "version_writes"       // revisions
	KeyVersionReplicaTime Key = "version_replica_s"    // processor time of all three, net of what they spend at rest
	KeyBurst10            Key = "burst_10_in_force_s"  // until the last of 10 versions that were proposed at once
	KeyBurst40            Key = "burst_in_force_s"     // and of 40
	KeyBurstRate          Key = "burst_versions_s"     // versions a second that came into force, in the larger burst that was played
	KeyReplicaLost        Key = "replica_in_force_s"   // a version that is proposed as the leader is killed
	KeyDeadFirst          Key = "dead_first_s"         // the first version after one node has died
	KeyDeadInForce        Key = "dead_in_force_s"      // the next one, as from then on for all
	KeyZoneLost           Key = "zone_lost_in_force_s" // a version while a zone's nodes are lost
	KeyZoneRecovered      Key = "zone_back_in_force_s" // from the zone's return until that version is in force everywhere
	KeyPartitionInForce   Key = "cut_in_force_s"       // a version while the regions cannot reach each other
	KeyPartitionHealed    Key = "cut_back_in_force_s"  // from healing until that version is in force everywhere
	KeyBlocked            Key = "blocked_s"            // how long the run waited, at most, for a version that was blocked
	KeySyncP50            Key = "sync_p50_ms"          // of 4 KB to the replicas' disk, beside them, at rest
	KeySyncMax            Key = "sync_max_ms"          // the longest of 40
	KeyPeakMB             Key = "peak_mb"              // of all processes of the run together
	KeyProcesses          Key = "processes"            // at most at a time
)

// Keys lists all figures in the order in which they are printed.
var Keys = []Key{KeyRestBytes, KeyRestCalls, KeyAgentRestBytes, KeyAgentRestCalls, KeyRestCPUShare, KeyControlMB, KeyReplicaCores, KeyLeaderCores, KeyFollowerCores, KeyReplicaMB, KeyControllerCores,
	KeyControllerMB, KeyLoaderCores, KeyLoaderMB, KeyConnect, KeyConnectBytes, KeyReconnect, KeyReconnectBytes, KeyListChange, KeyListChangeBytes, KeyFullListBytes, KeyInForceP99, KeyInForceMax,
	KeyVersionBytes, KeyVersionAgentBytes, KeyVersionCalls, KeyVersionWrites, KeyVersionReplicaTime, KeyBurst10, KeyBurst40, KeyBurstRate, KeyReplicaLost, KeyDeadFirst, KeyDeadInForce, KeyZoneLost, KeyZoneRecovered,
	KeyPartitionInForce, KeyPartitionHealed, KeyBlocked, KeySyncP50, KeySyncMax, KeyPeakMB, KeyProcesses}

// Figures holds the figures of one size. A key is in Values if it was measured, and in Missing with the reason otherwise.
type Figures struct {
	Nodes        int
	Values       map[Key]float64
	Missing      map[Key]string
	BlockedBy    []string // the reasons of blocked versions
	Notes        []string // other failures during the play
	WithinBounds bool     // the run stayed within its bounds
}

// newFigures returns empty figures for a number of nodes.
func newFigures(nodes int) *Figures {
	return &Figures{Nodes: nodes, Values: map[Key]float64{}, Missing: map[Key]string{}, WithinBounds: true}
}

// set records a figure. A value that is no finite number counts as not measured.
func (f *Figures) set(k Key, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		f.setMissing(k, "no figure came out")
		return
	}
	f.Values[k] = v
	delete(f.Missing, k)
}

// setMissing records why a figure was not measured.
func (f *Figures) setMissing(k Key, format string, args ...any) {
	delete(f.Values, k)
	f.Missing[k] = fmt.Sprintf(format, args...)
}

// fillMissing gives a reason to every key that has neither value nor reason.
func (f *Figures) fillMissing(reason string) {
	for _, k := range Keys {
		if _, has := f.Values[k]; !has && f.Missing[k] == "" {
			f.Missing[k] = reason
		}
	}
}

// MarshalJSON encodes every key, with null where nothing was measured, and the reasons under not_measured.
func (f *Figures) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	text, err := f.members()
	if err != nil {
		return nil, err
	}
	b.WriteByte('{')
	b.Write(text)
	b.WriteByte('}')
	return b.Bytes(), nil
}

// members returns the members of the JSON object.
func (f *Figures) members() ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, `"nodes":%d`, f.Nodes)
	for _, k := range Keys {
		v, has := f.Values[k]
		if !has {
			fmt.Fprintf(&b, `,%q:null`, k)
			continue
		}
		text, err := json.Marshal(round(v))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&b, `,%q:%s`, k, text)
	}
	text, err := json.Marshal(struct {
		Held    bool           `json:"bounds_held"`
		By      []string       `json:"blocked_by"`
		Notes   []string       `json:"notes"`
		Missing map[Key]string `json:"not_measured"`
	}{f.WithinBounds, f.BlockedBy, f.Notes, f.Missing})
	b.WriteByte(',')
	b.Write(text[1 : len(text)-1])
	return b.Bytes(), err
}

// round rounds to five significant digits.
func round(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, 4-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}
