package traffic

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"umberbank/internal/lab/model"
	"umberbank/internal/lab/sim"
)

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
