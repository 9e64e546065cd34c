// Package traffic is the clients of a run: arrivals drawn ahead of time, whatever becomes of the requests, and what
// clients do with the answers. Times count from the intended arrival, so a request that the loader sends
// late, or that waits for anything, is not spared the wait.
package traffic

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/scenario"
	"umberbank/internal/lab/sim"
)

// End is what became of a client's request, over all its tries.
type End int

// Ends. Late is served after the aim; Gone has left by itself.
const (
	Served End = iota
	Late
	Refused
	Failed
	Gone
)

// Result is the end of one request.
type Result struct {
	Class   int
	Zone    int
	At      time.Duration // intended arrival
	Latency time.Duration // from it to the end
	End     End
	Tries   int
	SentBy  time.Duration // how late the worst try was written
}

// Clients ask, wait and retry. They belong to the loop.
type Clients struct {
	world  *model.World
	front  *Front
	report func(Result)

	arrive      *rand.Rand
	burst       []float64
	heavy       []heavy
	asked, open int
	ids         uint64
	until       time.Duration
}

type heavy struct {
	class         int
	share, factor float64
}

// New returns clients that report each request's end.
func New(w *model.World, f *Front, report func(Result)) *Clients {
	return &Clients{world: w, front: f, report: report, until: w.Site.Duration.D(),
		arrive: scenario.Rand(w.Site.Seed, "arrivals")}
}

// Asked is how many requests were begun, and Open how many have not ended.
func (c *Clients) Asked() int { return c.asked }

// Open is how many requests have not ended.
func (c *Clients) Open() int { return c.open }

// Burst multiplies the rate, or takes that off again.
func (c *Clients) Burst(factor float64, on bool) {
	if on {
		c.burst = append(c.burst, factor)
		return
	}
	for i, f := range c.burst {
		if f == factor {
			c.burst = append(c.burst[:i:i], c.burst[i+1:]...)
			return
		}
	}
}

// Heavy makes a share of one class's requests cost many times as much, or takes that off again.
func (c *Clients) Heavy(class int, share, factor float64, on bool) {
	h := heavy{class, share, factor}
	if on {
		c.heavy = append(c.heavy, h)
		return
	}
	for i, o := range c.heavy {
		if o == h {
			c.heavy = append(c.heavy[:i:i], c.heavy[i+1:]...)
			return
		}
	}
}

// Start plans the first arrival; each plans the next.
func (c *Clients) Start() { c.planNext(c.world.Loop.Now()) }

// maxStep bounds the gap that is drawn at one rate, so that a burst is felt soon.
const maxStep = 50 * time.Millisecond

// planNext draws the next arrival after a moment. The draw depends on no answer.
func (c *Clients) planNext(after time.Duration) {
	if after >= c.until {
		return
	}
	gap := time.Duration(c.arrive.ExpFloat64() / c.rate(after) * float64(time.Second))
	if gap > maxStep { // the exponential has no memory
		at := after + maxStep
		c.world.Loop.At(at, func() { c.planNext(at) })
	} else if at := after + gap; at < c.until {
		c.world.Loop.At(at, func() { c.begin(at) })
	}
}

// rate is the requests a second at a moment.
func (c *Clients) rate(at time.Duration) float64 {
	l := &c.world.Site.Load
	r := l.Rate * (1 + l.Swing*(2*float64(at)/float64(c.until)-1))
	for _, f := range c.burst {
		r *= f
	}
	return max(r, 1e-3)
}

// request is one of a client, over all its tries.
type request struct {
	Result
	id       uint64
	rng      *rand.Rand // of its own, so that what it is depends on no other request
	work     time.Duration
	key      string
	honours  bool
	leaves   time.Duration // when an impatient client goes; 0: never
	deadline time.Duration
	call     *model.Call
	leave    func()
	timer    *sim.Timer
}

func (c *Clients) begin(at time.Duration) {
	c.planNext(at)
	s := c.world.Site
	c.asked++
	c.open++
	r := &request{id: c.ids, rng: rand.New(rand.NewPCG(s.Seed, c.ids))}
	c.ids++
	class := c.pick(r.rng)
	k := &s.Classes[class]
	r.deadline = at + k.Deadline.D()
	r.Class, r.At, r.Zone = class, at, r.rng.IntN(len(s.Zones))
	r.work = time.Duration(r.rng.ExpFloat64() * float64(s.Work[class]))
	for _, h := range c.heavy {
		if (h.class < 0 || h.class == class) && r.rng.Float64() < h.share {
			r.work = time.Duration(float64(r.work) * h.factor)
		}
	}
	r.honours = r.rng.Float64() < s.Clients.Honour
	if r.rng.Float64() < s.Clients.Impatient {
		r.leaves = at + time.Duration((0.1+0.8*r.rng.Float64())*float64(k.Aim))
	}
	if k.Effect == "keyed" {
		r.key = fmt.Sprintf("%016x%016x", r.rng.Uint64(), r.id)
	}
	c.try(r, at)
}

// pick draws a class by the shares.
func (c *Clients) pick(rng *rand.Rand) int {
	sum := 0.0
	for _, k := range c.world.Site.Classes {
		sum += k.Share
	}
	x := rng.Float64() * sum
	for i, k := range c.world.Site.Classes {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(c.world.Site.Classes) - 1
}

// try sends a request to a node once more, as was planned for a moment.
func (c *Clients) try(r *request, planned time.Duration) {
	w := c.world
	now := w.Loop.Now()
	late := now - planned
	r.Tries++
	node := c.front.pick(r.Zone, r.rng)
	if node < 0 {
		c.again(r, Failed, true, 0)
		return
	}
	k := &w.Site.Classes[r.Class]
	left := min(time.Duration(w.Site.Clients.TryShare*float64(k.Deadline)), r.deadline-now)
	call := &model.Call{ID: "c" + strconv.FormatUint(r.id, 36) + "-" + strconv.Itoa(r.Tries), Class: r.Class, Node: node, Key: r.key,
		Work: time.Duration(float64(r.work) * w.Site.Tiers[0].Work), Left: left, Sent: now, Repeat: r.Tries > 1 && w.Site.Clients.MarksRetry}
	r.call = call
	w.Observer.Sent(call)
	answered := false
	leave := w.Backend.Send(call, func(a model.Answer) {
		answered = true
		if r.call == call { // else the client has gone
			r.SentBy = max(r.SentBy, late+a.Late)
			c.answered(r, a)
		}
	})
	if answered {
		return
	}
	r.leave = leave
	if r.leaves > now && r.leaves < now+left {
		r.timer = w.Loop.At(r.leaves, func() { c.goes(r); c.finish(r, Gone) })
		return
	}
	// It waits a little longer than it says, to hear the answer that comes at the last moment.
	r.timer = w.Loop.After(left+2*w.Site.Limits.Slack.D(), func() { c.goes(r); c.again(r, Failed, false, 0) })
}

// goes ends the wait for a try's answer.
func (c *Clients) goes(r *request) {
	c.world.Observer.Left(r.call)
	r.call = nil
	r.leave()
}

func (c *Clients) answered(r *request, a model.Answer) {
	w := c.world
	w.Observer.Answered(r.call, a)
	w.Loop.Stop(r.timer)
	r.call = nil
	switch a.Reply {
	case model.Served:
		if w.Loop.Now()-r.At <= w.Site.Classes[r.Class].Aim.D() {
			c.finish(r, Served)
		} else {
			c.finish(r, Late)
		}
	case model.Refused:
		c.again(r, Refused, true, a.RetryAfter)
	case model.Unreached:
		c.again(r, Failed, true, 0)
	default:
		c.again(r, Failed, false, 0)
	}
}

// again lets the client retry, if it may and has the time; harmless: the node has promised so, or never had it.
func (c *Clients) again(r *request, end End, harmless bool, advice time.Duration) {
	w := c.world
	k := &w.Site.Classes[r.Class]
	may := harmless || k.Effect == "safe" || k.Effect == "keyed" && k.Scope == "all" && w.Loop.Now()-r.At < k.Window.D()
	wait := w.Site.Clients.Backoff.D()
	if advice > 0 && r.honours {
		wait = min(advice, w.Site.Limits.RetryAfter.D())
	}
	if !may || r.Tries > w.Site.Clients.Retries || w.Loop.Now()+wait >= r.deadline {
		c.finish(r, end)
		return
	}
	at := w.Loop.Now() + wait
	w.Loop.At(at, func() { c.try(r, at) })
}

func (c *Clients) finish(r *request, end End) {
	c.open--
	r.End, r.Latency = end, c.world.Loop.Now()-r.At
	c.report(r.Result)
}

// Front spreads clients over the nodes of their zone, and learns late that one has died.
type Front struct {
	world   *model.World
	zones   [][]int // admitted nodes
	version []int   // of a node, so that late news of an earlier process is known
	in      []bool
	all     []int
}

// NewFront returns a front that has admitted nobody.
func NewFront(w *model.World) *Front {
	return &Front{world: w, version: make([]int, len(w.Site.Nodes)), in: make([]bool, len(w.Site.Nodes)), zones: make([][]int, len(w.Site.Zones))}
}

// Ready admits a node whose process has become ready.
func (f *Front) Ready(node int) {
	f.version[node]++
	f.in[node] = true
	f.rebuild()
}

// Died lets the front notice, late, that a node has died.
func (f *Front) Died(node int) {
	f.version[node]++
	v := f.version[node]
	f.world.Loop.After(f.world.Site.Discovery.Front.D(), func() {
		if f.version[node] == v {
			f.in[node] = false
			f.rebuild()
		}
	})
}

func (f *Front) rebuild() {
	f.all = nil
	for z := range f.zones {
		f.zones[z] = nil
	}
	for i, n := range f.world.Site.Nodes {
		if f.in[i] && n.Owner < 0 {
			f.zones[n.Zone] = append(f.zones[n.Zone], i)
			f.all = append(f.all, i)
		}
	}
}

// pick draws a node for a client of a zone; -1: there is none.
func (f *Front) pick(zone int, r *rand.Rand) int {
	l := f.zones[zone]
	if len(l) == 0 {
		l = f.all
	}
	if len(l) == 0 {
		return -1
	}
	return l[r.IntN(len(l))]
}
