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

// An impatient client disconnects at a random time after the arrival, between minPatience and minPatience+patienceRange times the
// latency objective.
const (
	minPatience   = 0.1
	patienceRange = 0.8
)

// request is the state of a client's request over all its attempts.
type request struct {
	Result
	id               uint64
	rng              *rand.Rand // separate for each request, so that its draws do not depend on other requests
	work             time.Duration
	key              string // idempotency key, empty if it has none
	honorsRetryAfter bool
	abandonsAt       time.Duration // when an impatient client disconnects; zero for other clients
	deadline         time.Duration

	// The attempt in flight.
	call        *model.Call // nil if no attempt is in flight
	abandonCall func()
	timer       *sim.Timer
}

// begin draws a request that arrives now, starts its first attempt and schedules the next arrival.
func (c *Clients) begin(now time.Duration) {
	c.scheduleNext(now)
	c.started++
	c.pending++
	c.startAttempt(c.drawRequest(now), now)
}

// drawRequest draws the properties of a request. The order of the draws must not change, so that a seed always gives the same
// requests.
func (c *Clients) drawRequest(now time.Duration) *request {
	site := c.world.Site
	r := &request{id: c.nextID, rng: rand.New(rand.NewPCG(site.Seed, c.nextID))}
	c.nextID++
	r.ArrivedAt = now
	r.Class = c.drawClass(r.rng)
	class := &site.Classes[r.Class]
	r.deadline = now + class.Deadline.Std()
	r.Zone = r.rng.IntN(len(site.Zones))
	r.work = time.Duration(r.rng.ExpFloat64() * float64(site.MeanClassWork[r.Class]))
	for _, heavy := range c.heavyClasses {
		if (heavy.class < 0 || heavy.class == r.Class) && r.rng.Float64() < heavy.fraction {
			r.work = time.Duration(float64(r.work) * heavy.factor)
		}
	}
	r.honorsRetryAfter = r.rng.Float64() < site.Clients.HonorRetryAfterFraction
	if r.rng.Float64() < site.Clients.ImpatientFraction {
		r.abandonsAt = now + time.Duration((minPatience+patienceRange*r.rng.Float64())*float64(class.LatencyObjective))
	}
	if class.Idempotency == scenario.IdempotentByKey {
		r.key = fmt.Sprintf("%016x%016x", r.rng.Uint64(), r.id)
	}
	return r
}

// startAttempt sends a request to a node. intended is when the attempt was intended to be sent, which may be in the past.
func (c *Clients) startAttempt(r *request, intended time.Duration) {
	now := c.world.Loop.Now()
	delay := now - intended
	r.Attempts++
	node := c.frontend.drawNode(r.Zone, r.rng)
	if node == noNode {
		c.retryOrFinish(r, Failed, notProcessed, 0)
		return
	}
	call := c.newCall(r, node, now)
	r.call = call
	c.world.Observer.CallSent(call)
	responded := false
	abandon := c.world.Backend.Send(call, func(response model.Response) {
		responded = true
		if r.call == call { // otherwise the client has abandoned the attempt
			r.MaxSendDelay = max(r.MaxSendDelay, delay+response.SendDelay)
			c.responded(r, response)
		}
	})
	if responded {
		return
	}
	r.abandonCall = abandon
	c.setAttemptTimer(r, now, call.Timeout)
}

// newCall returns the call of an attempt.
func (c *Clients) newCall(r *request, node int, now time.Duration) *model.Call {
	site := c.world.Site
	attemptTimeout := time.Duration(site.Clients.AttemptTimeoutFraction * float64(site.Classes[r.Class].Deadline))
	return &model.Call{
		ID:      "c" + strconv.FormatUint(r.id, 36) + "-" + strconv.Itoa(r.Attempts),
		Class:   r.Class,
		Node:    node,
		Key:     r.key,
		Work:    time.Duration(float64(r.work) * site.Tiers[0].WorkFactor),
		Timeout: min(attemptTimeout, r.deadline-now),
		SentAt:  now,
		IsRetry: r.Attempts > 1 && site.Clients.MarkRetries,
	}
}

// setAttemptTimer ends an attempt when an impatient client disconnects. Otherwise it ends the attempt 2*Limits.Slack after its
// timeout, so that a response sent just before the timeout still arrives.
func (c *Clients) setAttemptTimer(r *request, now, timeout time.Duration) {
	loop := c.world.Loop
	if r.abandonsAt > now && r.abandonsAt < now+timeout {
		r.timer = loop.At(r.abandonsAt, func() {
			c.abandonAttempt(r)
			c.finish(r, Abandoned)
		})
		return
	}
	r.timer = loop.After(timeout+2*c.world.Site.Limits.Slack.Std(), func() {
		c.abandonAttempt(r)
		c.retryOrFinish(r, Failed, mayBeProcessed, 0)
	})
}

// abandonAttempt stops waiting for the response to an attempt.
func (c *Clients) abandonAttempt(r *request) {
	c.world.Observer.CallAbandoned(r.call)
	r.call = nil
	r.abandonCall()
}

// responded ends an attempt with its response. It ends the request or schedules a retry.
func (c *Clients) responded(r *request, response model.Response) {
	w := c.world
	w.Observer.ResponseReceived(r.call, response)
	w.Loop.Stop(r.timer)
	r.call = nil
	switch response.Result {
	case model.Served:
		outcome := Late
		if w.Loop.Now()-r.ArrivedAt <= w.Site.Classes[r.Class].LatencyObjective.Std() {
			outcome = Served
		}
		c.finish(r, outcome)
	case model.Rejected:
		c.retryOrFinish(r, Rejected, notProcessed, response.RetryAfter)
	case model.Unreachable:
		c.retryOrFinish(r, Failed, notProcessed, 0)
	default:
		c.retryOrFinish(r, Failed, mayBeProcessed, 0)
	}
}

// processing states whether a server may have processed an attempt.
type processing int

const (
	notProcessed processing = iota
	mayBeProcessed
)

// retryOrFinish schedules another attempt if a retry is safe, allowed and possible before the deadline. Otherwise it ends the
// request. retryAfter is the delay that the node requested, or zero if it requested none.
func (c *Clients) retryOrFinish(r *request, outcome Outcome, p processing, retryAfter time.Duration) {
	limits, clients := &c.world.Site.Limits, &c.world.Site.Clients
	now := c.world.Loop.Now()
	wait := clients.Backoff.Std()
	if retryAfter > 0 && r.honorsRetryAfter {
		wait = min(retryAfter, limits.MaxRetryAfter.Std())
	}
	safe := p == notProcessed || c.idempotent(r, now)
	if !safe || r.Attempts > clients.MaxRetries || now+wait >= r.deadline {
		c.finish(r, outcome)
		return
	}
	at := now + wait
	c.world.Loop.At(at, func() { c.startAttempt(r, at) })
}

// idempotent reports whether a request may safely be processed a second time by any server.
func (c *Clients) idempotent(r *request, now time.Duration) bool {
	class := &c.world.Site.Classes[r.Class]
	switch class.Idempotency {
	case scenario.Idempotent:
		return true
	case scenario.IdempotentByKey:
		return class.KeyScope == scenario.KeyScopeAll && now-r.ArrivedAt < class.KeyWindow.Std()
	default:
		return false
	}
}

// finish ends a request and reports its result.
func (c *Clients) finish(r *request, outcome Outcome) {
	c.pending--
	r.Outcome, r.Latency = outcome, c.world.Loop.Now()-r.ArrivedAt
	c.report(r.Result)
}
