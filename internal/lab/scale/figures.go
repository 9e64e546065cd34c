package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

// Key is the key of a figure in the result's JSON form.
type Key string

// Keys of the figures of one size. The time of a version is measured from its proposal until every node that is alive runs it.
const (
	KeyIdleBytes          Key = "rest_bytes_s"         // of an idle node, on the wire in both directions
	KeyIdleCalls          Key = "rest_calls_s"         // of an idle node
	KeyAgentIdleBytes     Key = "agent_rest_bytes_s"   // of an idle agent
	KeyAgentIdleCalls     Key = "agent_rest_calls_s"   // of an idle agent
	KeyIdleCPUShare       Key = "rest_cpu_share"       // cores of a real idle node with control, minus those of one without
	KeyControlMB          Key = "control_mb"           // resident memory of a real node with control, minus that of one without
	KeyReplicaCores       Key = "replica_cores"        // of all three replicas, idle
	KeyLeaderCores        Key = "leader_cores"         // of the leader, idle
	KeyFollowerCores      Key = "follower_cores"       // of the busier follower, idle
	KeyReplicaMB          Key = "replica_mb"           // resident memory of the largest replica
	KeyControllerCores    Key = "controller_cores"     // of the controller, idle
	KeyControllerMB       Key = "controller_mb"        // resident memory of the controller
	KeyLoaderCores        Key = "loader_cores"         // of this process with all hollow nodes and agents, idle
	KeyLoaderMB           Key = "loader_mb"            // resident memory of this process
	KeyConnect            Key = "connect_s"            // until every hollow node has the full list and is registered
	KeyConnectBytes       Key = "connect_bytes"        // of a node until then
	KeyReconnect          Key = "reconnect_s"          // from the break of all connections until every client has a response
	KeyReconnectBytes     Key = "reconnect_bytes"      // of a node until then
	KeyListChange         Key = "list_change_s"        // from the change of a server until all nodes have it
	KeyListChangeBytes    Key = "list_change_bytes"    // of a node, minus its idle traffic
	KeyFullListBytes      Key = "whole_list_bytes"     // of a response with the full list
	KeyInForceP99         Key = "in_force_p99_s"       // 99th percentile over all nodes and single versions
	KeyInForceMax         Key = "in_force_max_s"       // maximum over all nodes and single versions
	KeyVersionBytes       Key = "version_bytes"        // of a node, minus its idle traffic
	KeyVersionAgentBytes  Key = "version_agent_bytes"  // of an agent, minus its idle traffic; a version wakes agents as well
	KeyVersionCalls       Key = "version_calls"        // of a node, minus its idle calls
	KeyVersionWrites      Key = "version_writes"       // revisions of the registry
	KeyVersionReplicaTime Key = "version_replica_s"    // processor time of all three replicas, minus their idle usage
	KeyBurst10            Key = "burst_10_in_force_s"  // until the last of 10 versions, proposed one after another
	KeyBurst40            Key = "burst_in_force_s"     // the same for 40 versions
	KeyBurstRate          Key = "burst_versions_s"     // versions per second that came into force, in the last measured burst
	KeyReplicaLost        Key = "replica_in_force_s"   // a version proposed when the leader is killed
	KeyDeadFirst          Key = "dead_first_s"         // the first version after one node has died
	KeyDeadInForce        Key = "dead_in_force_s"      // the second version after the node has died; later versions take as long
	KeyZoneLost           Key = "zone_lost_in_force_s" // a version while a zone's nodes are lost
	KeyZoneRecovered      Key = "zone_back_in_force_s" // from the zone's return until that version is in force everywhere
	KeyPartitionInForce   Key = "cut_in_force_s"       // a version while the regions cannot reach each other
	KeyPartitionHealed    Key = "cut_back_in_force_s"  // from healing until that version is in force everywhere
	KeyBlocked            Key = "blocked_s"            // longest time that the run waited for a blocked version
	KeySyncP50            Key = "sync_p50_ms"          // median of syncs of 4 KB to the disk of the idle replicas
	KeySyncMax            Key = "sync_max_ms"          // longest of the 40 syncs
	KeyPeakMB             Key = "peak_mb"              // total resident memory of all processes of the run
	KeyProcesses          Key = "processes"            // largest number of processes at the same time
)

// Keys lists all figures in the order in which they are printed.
var Keys = []Key{KeyIdleBytes, KeyIdleCalls, KeyAgentIdleBytes, KeyAgentIdleCalls, KeyIdleCPUShare, KeyControlMB, KeyReplicaCores, KeyLeaderCores, KeyFollowerCores, KeyReplicaMB, KeyControllerCores,
	KeyControllerMB, KeyLoaderCores, KeyLoaderMB, KeyConnect, KeyConnectBytes, KeyReconnect, KeyReconnectBytes, KeyListChange, KeyListChangeBytes, KeyFullListBytes, KeyInForceP99, KeyInForceMax,
	KeyVersionBytes, KeyVersionAgentBytes, KeyVersionCalls, KeyVersionWrites, KeyVersionReplicaTime, KeyBurst10, KeyBurst40, KeyBurstRate, KeyReplicaLost, KeyDeadFirst, KeyDeadInForce, KeyZoneLost, KeyZoneRecovered,
	KeyPartitionInForce, KeyPartitionHealed, KeyBlocked, KeySyncP50, KeySyncMax, KeyPeakMB, KeyProcesses}

// Figures holds the figures of one size. A key is in Values if it was measured, and in Missing with the reason otherwise.
type Figures struct {
	Nodes        int
	Values       map[Key]float64
	Missing      map[Key]string
	BlockedBy    []string // the reasons of blocked versions
	Notes        []string // other failures during the measurement
	WithinBounds bool     // the measurement stayed within the bounds of a run
}

// newFigures returns empty figures for a number of nodes.
func newFigures(nodes int) *Figures {
	return &Figures{Nodes: nodes, Values: map[Key]float64{}, Missing: map[Key]string{}, WithinBounds: true}
}

// set records a figure. A value that is not a finite number counts as not measured.
func (f *Figures) set(k Key, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		f.setMissing(k, "the value is not a finite number")
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

// MarshalJSON encodes every key, with null for a figure that was not measured, and the reasons under not_measured.
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
