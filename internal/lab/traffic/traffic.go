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

// Outcome is what became of a client's request, over all its tries.
type Outcome int

// Ends. Late is served after the aim; Gone has left by itself.
const (
	Served Outcome = iota
	Late
	Rejected
	Failed
	Abandoned
)

// Result is the end of one request.
type Result struct {
	Class        int
	Zone         int
	ArrivedAt    time.Duration // intended arrival
	Latency      time.Duration // from it to the end
	Outcome      Outcome
	Attempts     int
	MaxSendDelay time.Duration // how late the worst try was written
}

// Clients ask, wait and retry. They belong to the loop.
type Clients struct {
	world  *model.World
	front  *Front
	report func(Result)

	arrivals         *rand.Rand
	burstFactors     []float64
	heavyClasses     []heavyClass
	started, pending int
	nextID           uint64
	until            time.Duration
}

type heavyClass struct {
	class            int
	fraction, factor float64
}

// New returns clients that report each request's end.
func New(w *model.World, f *Front, report func(Result)) *Clients {
	return &Clients{world: w, front: f, report: report, until: w.Site.Duration.Std(),
		arrivals: scenario.NewRand(w.Site.Seed, "arrivals")}
}

// Started is how many requests were begun, and Open how many have not ended.
func (c *Clients) Started() int { return c.started }

// Pending is how many requests have not ended.
func (c *Clients) Pending() int { return c.pending }

// SetBurst multiplies the rate, or takes that off again.
func (c *Clients) SetBurst(factor float64, on bool) {
	if on {
		c.burstFactors = append(c.burstFactors, factor)
		return
	}
	for i, f := range c.burstFactors {
		if f == factor {
			c.burstFactors = append(c.burstFactors[:i:i], c.burstFactors[i+1:]...)
			return
		}
	}
}

// SetHeavy makes a share of one class's requests cost many times as much, or takes that off again.
func (c *Clients) SetHeavy(class int, share, factor float64, on bool) {
	h := heavyClass{class, share, factor}
	if on {
		c.heavyClasses = append(c.heavyClasses, h)
		return
	}
	for i, o := range c.heavyClasses {
		if o == h {
			c.heavyClasses = append(c.heavyClasses[:i:i], c.heavyClasses[i+1:]...)
			return
		}
	}
}

// Start plans the first arrival; each plans the next.
func (c *Clients) Start() { c.scheduleNext(c.world.Loop.Now()) }

// maxArrivalStep bounds the gap that is drawn at one rate, so that a burst is felt soon.
const maxArrivalStep = 50 * time.Millisecond

// scheduleNext draws the next arrival after a moment. The draw depends on no answer.
func (c *Clients) scheduleNext(after time.Duration) {
	if after >= c.until {
		return
	}
	gap := time.Duration(c.arrivals.ExpFloat64() / c.rate(after) * float64(time.Second))
	if gap > maxArrivalStep { // the exponential has no memory
		at := after + maxArrivalStep
		c.world.Loop.At(at, func() { c.scheduleNext(at) })
	} else if at := after + gap; at < c.until {
		c.world.Loop.At(at, func() { c.begin(at) })
	}
}

// rate is the requests a second at a moment.
func (c *Clients) rate(at time.Duration) float64 {
	l := &c.world.Site.Load
	r := l.Rate * (1 + l.RateSwing*(2*float64(at)/float64(c.until)-1))
	for _, f := range c.burstFactors {
		r *= f
	}
	return max(r, 1e-3)
}

// request is one of a client, over all its tries.
type request struct {
	Result
	id               uint64
	rng              *rand.Rand // of its own, so that what it is depends on no other request
	work             time.Duration
	key              string
	honorsRetryAfter bool
	abandonsAt       time.Duration // when an impatient client goes; 0: never
	deadline         time.Duration
	call             *model.Call
	abandonCall      func()
	timer            *sim.Timer
}

func (c *Clients) begin(at time.Duration) {
	c.scheduleNext(at)
	s := c.world.Site
	c.started++
	c.pending++
	r := &request{id: c.nextID, rng: rand.New(rand.NewPCG(s.Seed, c.nextID))}
	c.nextID++
	class := c.drawClass(r.rng)
	k := &s.Classes[class]
	r.deadline = at + k.Deadline.Std()
	r.Class, r.ArrivedAt, r.Zone = class, at, r.rng.IntN(len(s.Zones))
	r.work = time.Duration(r.rng.ExpFloat64() * float64(s.MeanClassWork[class]))
	for _, h := range c.heavyClasses {
		if (h.class < 0 || h.class == class) && r.rng.Float64() < h.fraction {
			r.work = time.Duration(float64(r.work) * h.factor)
		}
	}
	r.honorsRetryAfter = r.rng.Float64() < s.Clients.HonorRetryAfterFraction
	if r.rng.Float64() < s.Clients.ImpatientFraction {
		r.abandonsAt = at + time.Duration((0.1+0.8*r.rng.Float64())*float64(k.LatencyObjective))
	}
	if k.Idempotency == "keyed" {
		r.key = fmt.Sprintf("%016x%016x", r.rng.Uint64(), r.id)
	}
	c.startAttempt(r, at)
}

// drawNode draws a class by the shares.
func (c *Clients) drawClass(rng *rand.Rand) int {
	sum := 0.0
	for _, k := range c.world.Site.Classes {
		sum += k.Weight
	}
	x := rng.Float64() * sum
	for i, k := range c.world.Site.Classes {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(c.world.Site.Classes) - 1
}

// startAttempt sends a request to a node once more, as was planned for a moment.
func (c *Clients) startAttempt(r *request, planned time.Duration) {
	w := c.world
	now := w.Loop.Now()
	late := now - planned
	r.Attempts++
	node := c.front.drawNode(r.Zone, r.rng)
	if node < 0 {
		c.retryOrFinish(r, Failed, true, 0)
		return
	}
	k := &w.Site.Classes[r.Class]
	left := min(time.Duration(w.Site.Clients.AttemptTimeoutFraction*float64(k.Deadline)), r.deadline-now)
	call := &model.Call{ID: "c" + strconv.FormatUint(r.id, 36) + "-" + strconv.Itoa(r.Attempts), Class: r.Class, Node: node, Key: r.key,
		Work: time.Duration(float64(r.work) * w.Site.Tiers[0].WorkFactor), Timeout: left, SentAt: now, IsRetry: r.Attempts > 1 && w.Site.Clients.MarkRetries}
	r.call = call
	w.Observer.CallSent(call)
	answered := false
	leave := w.Backend.Send(call, func(a model.Answer) {
		answered = true
		if r.call == call { // else the client has gone
			r.MaxSendDelay = max(r.MaxSendDelay, late+a.SendDelay)
			c.answered(r, a)
		}
	})
	if answered {
		return
	}
	r.abandonCall = leave
	if r.abandonsAt > now && r.abandonsAt < now+left {
		r.timer = w.Loop.At(r.abandonsAt, func() { c.abandonAttempt(r); c.finish(r, Abandoned) })
		return
	}
	// It waits a little longer than it says, to hear the answer that comes at the last moment.
	r.timer = w.Loop.After(left+2*w.Site.Limits.Slack.Std(), func() { c.abandonAttempt(r); c.retryOrFinish(r, Failed, false, 0) })
}

// abandonAttempt ends the wait for a try's answer.
func (c *Clients) abandonAttempt(r *request) {
	c.world.Observer.CallAbandoned(r.call)
	r.call = nil
	r.abandonCall()
}

func (c *Clients) answered(r *request, a model.Answer) {
	w := c.world
	w.Observer.CallAnswered(r.call, a)
	w.Loop.Stop(r.timer)
	r.call = nil
	switch a.Reply {
	case model.Served:
		if w.Loop.Now()-r.ArrivedAt <= w.Site.Classes[r.Class].LatencyObjective.Std() {
			c.finish(r, Served)
		} else {
			c.finish(r, Late)
		}
	case model.Rejected:
		c.retryOrFinish(r, Rejected, true, a.RetryAfter)
	case model.Unreachable:
		c.retryOrFinish(r, Failed, true, 0)
	default:
		c.retryOrFinish(r, Failed, false, 0)
	}
}

// retryOrFinish lets the client retry, if it may and has the time; harmless: the node has promised so, or never had it.
func (c *Clients) retryOrFinish(r *request, end Outcome, harmless bool, advice time.Duration) {
	w := c.world
	k := &w.Site.Classes[r.Class]
	may := harmless || k.Idempotency == "safe" || k.Idempotency == "keyed" && k.KeyScope == "all" && w.Loop.Now()-r.ArrivedAt < k.KeyWindow.Std()
	wait := w.Site.Clients.Backoff.Std()
	if advice > 0 && r.honorsRetryAfter {
		wait = min(advice, w.Site.Limits.MaxRetryAfter.Std())
	}
	if !may || r.Attempts > w.Site.Clients.MaxRetries || w.Loop.Now()+wait >= r.deadline {
		c.finish(r, end)
		return
	}
	at := w.Loop.Now() + wait
	w.Loop.At(at, func() { c.startAttempt(r, at) })
}

func (c *Clients) finish(r *request, end Outcome) {
	c.pending--
	r.Outcome, r.Latency = end, c.world.Loop.Now()-r.ArrivedAt
	c.report(r.Result)
}

// Front spreads clients over the nodes of their zone, and learns late that one has died.
type Front struct {
	world      *model.World
	byZone     [][]int // admitted nodes
	generation []int   // of a node, so that late news of an earlier process is known
	admitted   []bool
	all        []int
}

// NewFront returns a front that has admitted nobody.
func NewFront(w *model.World) *Front {
	return &Front{world: w, generation: make([]int, len(w.Site.Nodes)), admitted: make([]bool, len(w.Site.Nodes)), byZone: make([][]int, len(w.Site.Zones))}
}

// NodeReady admits a node whose process has become ready.
func (f *Front) NodeReady(node int) {
	f.generation[node]++
	f.admitted[node] = true
	f.rebuild()
}

// NodeDied lets the front notice, late, that a node has died.
func (f *Front) NodeDied(node int) {
	f.generation[node]++
	v := f.generation[node]
	f.world.Loop.After(f.world.Site.Discovery.NodeDetectionDelay.Std(), func() {
		if f.generation[node] == v {
			f.admitted[node] = false
			f.rebuild()
		}
	})
}

func (f *Front) rebuild() {
	f.all = nil
	for z := range f.byZone {
		f.byZone[z] = nil
	}
	for i, n := range f.world.Site.Nodes {
		if f.admitted[i] && n.OwnerServer < 0 {
			f.byZone[n.Zone] = append(f.byZone[n.Zone], i)
			f.all = append(f.all, i)
		}
	}
}

// drawNode draws a node for a client of a zone; -1: there is none.
func (f *Front) drawNode(zone int, r *rand.Rand) int {
	l := f.byZone[zone]
	if len(l) == 0 {
		l = f.all
	}
	if len(l) == 0 {
		return -1
	}
	return l[r.IntN(len(l))]
}
