package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Key names a figure.
type Key string

// The figures of one size. Times of versions are from the proposal until every node that lives runs it.
const (
	RestBytes    Key = "rest_bytes_s"         // of a node, on the wire, both ways
	RestCalls    Key = "rest_calls_s"         // of a node
	AgentBytes   Key = "agent_rest_bytes_s"   // of an agent
	AgentCalls   Key = "agent_rest_calls_s"   // of an agent
	RestCPU      Key = "rest_cpu_share"       // of a core: a real node with control, less one without
	ControlMB    Key = "control_mb"           // likewise, resident memory
	ReplicaCores Key = "replica_cores"        // at rest, all three
	LeaderCores  Key = "leader_cores"         // at rest
	FollowCores  Key = "follower_cores"       // at rest, the busier of the two
	ReplicaMB    Key = "replica_mb"           // resident, the largest of the three
	ControlCores Key = "controller_cores"     // at rest, the controller that acts
	ControllerMB Key = "controller_mb"        // resident
	LoaderCores  Key = "loader_cores"         // at rest: what all hollow nodes and agents cost this process
	LoaderMB     Key = "loader_mb"            // resident
	Connect      Key = "connect_s"            // from the start of all hollow nodes until all is known of all
	ConnectBytes Key = "connect_bytes"        // of a node until then
	Reconnect    Key = "reconnect_s"          // after all connections broke, until the last was answered again
	ReconnectB   Key = "reconnect_bytes"      // of a node until then
	ListChange   Key = "list_change_s"        // from a server's change until all nodes hold it
	ListChangeB  Key = "list_change_bytes"    // of a node, net of what it spends at rest
	WholeList    Key = "whole_list_bytes"     // of one answer with it
	InForceP99   Key = "in_force_p99_s"       // of all nodes and single versions
	InForceMax   Key = "in_force_max_s"       //
	VersionBytes Key = "version_bytes"        // of a node, net of what it spends at rest
	VersionAgent Key = "version_agent_bytes"  // of an agent, likewise: it is woken too
	VersionCalls Key = "version_calls"        // likewise
	VersionWrite Key = "version_writes"       // revisions
	VersionCPU   Key = "version_replica_s"    // processor time of all three, net of what they spend at rest
	Burst10      Key = "burst_10_in_force_s"  // until the last of 10 versions that were proposed at once
	Burst40      Key = "burst_in_force_s"     // and of 40
	BurstRate    Key = "burst_versions_s"     // versions a second that came into force, in the larger burst that was played
	ReplicaLost  Key = "replica_in_force_s"   // a version that is proposed as the leader is killed
	DeadFirst    Key = "dead_first_s"         // the first version after one node has died
	DeadInForce  Key = "dead_in_force_s"      // the next one, as from then on for all
	ZoneLost     Key = "zone_lost_in_force_s" // a version while a zone's nodes are lost
	ZoneBack     Key = "zone_back_in_force_s" // from the zone's return until that version is in force everywhere
	CutInForce   Key = "cut_in_force_s"       // a version while the regions cannot reach each other
	CutBack      Key = "cut_back_in_force_s"  // from healing until that version is in force everywhere
	Blocked      Key = "blocked_s"            // how long the run waited, at most, for a version that was blocked
	SyncP50      Key = "sync_p50_ms"          // of 4 KB to the replicas' disk, beside them, at rest
	SyncMax      Key = "sync_max_ms"          // the longest of 40
	PeakMB       Key = "peak_mb"              // of all processes of the run together
	Processes    Key = "processes"            // at most at a time
)

// Keys are all figures in the order in which they are shown.
var Keys = []Key{RestBytes, RestCalls, AgentBytes, AgentCalls, RestCPU, ControlMB, ReplicaCores, LeaderCores, FollowCores, ReplicaMB, ControlCores,
	ControllerMB, LoaderCores, LoaderMB, Connect, ConnectBytes, Reconnect, ReconnectB, ListChange, ListChangeB, WholeList, InForceP99, InForceMax,
	VersionBytes, VersionAgent, VersionCalls, VersionWrite, VersionCPU, Burst10, Burst40, BurstRate, ReplicaLost, DeadFirst, DeadInForce, ZoneLost, ZoneBack,
	CutInForce, CutBack, Blocked, SyncP50, SyncMax, PeakMB, Processes}

// Figures are those of one size. A key is in Values if it was measured, and else in Missing with the reason.
type Figures struct {
	Nodes     int
	Values    map[Key]float64
	Missing   map[Key]string
	BlockedBy []string // who stood in the way of versions
	Notes     []string // what else went wrong
	Held      bool     // the run stayed within its bounds
}

func newFigures(nodes int) *Figures {
	return &Figures{Nodes: nodes, Values: map[Key]float64{}, Missing: map[Key]string{}, Held: true}
}

func (f *Figures) set(k Key, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		f.miss(k, "no figure came out")
		return
	}
	f.Values[k] = v
	delete(f.Missing, k)
}

func (f *Figures) miss(k Key, format string, args ...any) {
	delete(f.Values, k)
	f.Missing[k] = fmt.Sprintf(format, args...)
}

// finish gives every key that has neither a value nor a reason one.
func (f *Figures) finish(reason string) {
	for _, k := range Keys {
		if _, has := f.Values[k]; !has && f.Missing[k] == "" {
			f.Missing[k] = reason
		}
	}
}

// MarshalJSON writes every key, null where nothing was measured, with the reasons beside.
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
	}{f.Held, f.BlockedBy, f.Notes, f.Missing})
	b.WriteByte(',')
	b.Write(text[1 : len(text)-1])
	return b.Bytes(), err
}

// round keeps five digits, which is more than any figure here is good for.
func round(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, 4-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// Slope is how a figure grows with the number of nodes, by a straight line through all plays.
type Slope struct {
	PerNode float64 `json:"per_node"`
	AtZero  float64 `json:"at_zero"`
	Spread  float64 `json:"spread"` // standard deviation of the slopes of the plays by themselves; 0 with one play
	R2      float64 `json:"r2"`
	Points  int     `json:"points"`
}

// Result is what a run has measured.
type Result struct {
	Machine string         `json:"machine"`
	Plays   int            `json:"plays"`
	Sizes   []*Figures     `json:"sizes"`    // medians of the plays
	Slopes  map[Key]*Slope `json:"slopes"`   // of what was measured at two sizes or more
	Each    [][]*Figures   `json:"each"`     // play by play
	Failed  []string       `json:"failed"`   // sizes that were not played to their end, and why
	Bounds  string         `json:"bounds"`   // what a run may take
	Took    float64        `json:"took_s"`   // the whole run
	Longest float64        `json:"play_s"`   // the longest play
	Load    float64        `json:"load_avg"` // of the machine as the run began, over a minute
}

// MarshalJSON writes the figures of the largest size at the top, and all else beside them.
func (r *Result) MarshalJSON() ([]byte, error) {
	type plain Result
	rest, err := json.Marshal((*plain)(r))
	if err != nil || len(r.Sizes) == 0 {
		return rest, err
	}
	top, err := r.Sizes[len(r.Sizes)-1].members()
	return slices.Concat([]byte{'{'}, top, []byte{','}, rest[1:]), err
}

// reckon makes medians and slopes of the plays.
func (r *Result) reckon() {
	r.Sizes, r.Slopes = nil, map[Key]*Slope{}
	bySize := map[int][]*Figures{}
	var sizes []int
	for _, play := range r.Each {
		for _, f := range play {
			if bySize[f.Nodes] == nil {
				sizes = append(sizes, f.Nodes)
			}
			bySize[f.Nodes] = append(bySize[f.Nodes], f)
		}
	}
	slices.Sort(sizes)
	for _, n := range sizes {
		r.Sizes = append(r.Sizes, median(bySize[n]))
	}
	for _, k := range Keys {
		if s := slopeOf(r.Each, k); s != nil {
			r.Slopes[k] = s
		}
	}
}

// median is of each figure that every play has measured; where one has not, it tells that one's reason.
func median(plays []*Figures) *Figures {
	m := newFigures(plays[0].Nodes)
	for _, k := range Keys {
		var l []float64
		why := ""
		for _, f := range plays {
			if v, has := f.Values[k]; has {
				l = append(l, v)
			} else {
				why = f.Missing[k]
			}
		}
		if len(l) < len(plays) {
			m.miss(k, "in %d of %d plays: %s", len(plays)-len(l), len(plays), why)
			continue
		}
		slices.Sort(l)
		m.set(k, (l[(len(l)-1)/2]+l[len(l)/2])/2)
	}
	for _, f := range plays {
		m.Held, m.Notes = m.Held && f.Held, append(m.Notes, f.Notes...)
		for _, who := range f.BlockedBy {
			if !slices.Contains(m.BlockedBy, who) {
				m.BlockedBy = append(m.BlockedBy, who)
			}
		}
	}
	return m
}

// slopeOf is nil where fewer than two sizes have a figure.
func slopeOf(plays [][]*Figures, k Key) *Slope {
	var xs, ys, alone []float64
	sizes := map[int]bool{}
	for _, play := range plays {
		var x, y []float64
		for _, f := range play {
			if v, has := f.Values[k]; has {
				x, y = append(x, float64(f.Nodes)), append(y, v)
				sizes[f.Nodes] = true
			}
		}
		if len(x) > 1 {
			_, b := stat.LinearRegression(x, y, nil, false)
			alone = append(alone, b)
		}
		xs, ys = append(xs, x...), append(ys, y...)
	}
	if len(sizes) < 2 {
		return nil
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	s := &Slope{PerNode: b, AtZero: a, Points: len(xs)}
	if r2 := stat.RSquared(xs, ys, nil, a, b); !math.IsNaN(r2) && !math.IsInf(r2, 0) {
		s.R2 = r2
	}
	if len(alone) > 1 {
		s.Spread = stat.StdDev(alone, nil)
	}
	return s
}

// Print shows a result as a table.
func Print(w io.Writer, r *Result) error {
	fmt.Fprintf(w, "%s\n%d plays, %.0f s, the longest %.0f s; load of the machine before: %.1f; bounds: %s\n", r.Machine, r.Plays, r.Took, r.Longest, r.Load, r.Bounds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "nodes\t")
	for _, f := range r.Sizes {
		fmt.Fprintf(t, "%d\t", f.Nodes)
	}
	fmt.Fprint(t, "at zero\ta node more\tspread\tr2\t\n")
	for _, k := range Keys {
		fmt.Fprintf(t, "%s\t", k)
		for _, f := range r.Sizes {
			if v, has := f.Values[k]; has {
				fmt.Fprintf(t, "%.4g\t", v)
			} else {
				fmt.Fprint(t, "-\t")
			}
		}
		if s := r.Slopes[k]; s != nil {
			fmt.Fprintf(t, "%.4g\t%.4g\t%.2g\t%.2f\t\n", s.AtZero, s.PerNode, s.Spread, s.R2)
		} else {
			fmt.Fprint(t, "-\t-\t-\t-\t\n")
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, f := range r.Sizes {
		for _, k := range Keys {
			if why := f.Missing[k]; why != "" {
				fmt.Fprintf(w, "%d nodes, %s: not measured: %s\n", f.Nodes, k, why)
			}
		}
		for _, who := range f.BlockedBy {
			fmt.Fprintf(w, "%d nodes, BLOCKED by: %s\n", f.Nodes, who)
		}
		for _, n := range f.Notes {
			fmt.Fprintf(w, "%d nodes: %s\n", f.Nodes, n)
		}
		if !f.Held {
			fmt.Fprintf(w, "%d nodes: NOT within the bounds of a run\n", f.Nodes)
		}
	}
	for _, f := range r.Failed {
		fmt.Fprintf(w, "FAILED: %s\n", f)
	}
	return nil
}

// Draw draws times over the number of nodes, as SVG.
func Draw(w io.Writer, r *Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Into force everywhere, medians of %d plays", r.Plays)
	p.X.Label.Text, p.Y.Label.Text = "nodes", "s"
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	var lines []any
	for _, k := range []Key{InForceP99, Burst10, Burst40, Connect, Reconnect} {
		var xy plotter.XYs
		for _, f := range r.Sizes {
			if v, has := f.Values[k]; has {
				xy = append(xy, plotter.XY{X: float64(f.Nodes), Y: v})
			}
		}
		if len(xy) > 0 {
			lines = append(lines, string(k), xy)
		}
	}
	if len(lines) == 0 {
		return errors.New("nothing was measured")
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Y.Max *= 1.5 // room for the legend
	c := vgsvg.New(14*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return err
}
