package balancer

import (
	"math/rand/v2"
	"time"
)

// What a Balancer remembers, how it begins, what of it lasts through new settings and what operators see;
// policy.go fills and reads it.

// Balancer decides for one node. See the package comment for its contract.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	servers  map[string]*server
	ready    []*server // ready servers in the shared order
	largest  float64   // size in the subset
	meanSize float64   // of the subset
	subset   []*server // those of them that this copy's first attempts are drawn from, in that order
	watched  []*server // whoever health may keep out; see watch
	requests map[string]*request
	held     []*request
	classes  map[string]*class
	order    []*class // every class in the order of the settings, then the unknown one

	errors    float64 // share of bad endings among all attempts
	lastOK    time.Duration
	tokens    float64       // retry budget
	window    float64       // own calls admitted at once (first tier)
	fill      float64       // mean latency over aim
	debt      float64       // time that calls hold servers, beyond what the window allows, in ns
	calm      float64       // the same over four times as many answers
	bare      float64       // least calm seen, forgetting slowly
	debtAt    time.Duration // when that was reckoned
	sends     float64       // own calls within about WarmAfter, decaying
	pace      float64       // the same for each server
	span      float64       // the same of time, in ns
	pacedAt   time.Duration // when they were reckoned
	scant     bool          // warm servers were too few at the last pick; see scarce
	inFlight  int
	shed      float64   // share of requests answered without an attempt
	recalled  *recalled // from before the start, until a list has come; nil: nothing
	unsure    bool      // the window is from before the start and was not too large so far
	subFails  int
	subWanted time.Duration
}

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers: map[string]*server{}, requests: map[string]*request{},
		classes: map[string]*class{}, errors: 0.02, tokens: retryPurse / 2,
		fill: aimFill / 2, calm: aimFill / 2, bare: aimFill / 2}
	b.addClasses()
	return b, nil
}

// addClasses adds the classes of the settings and one for requests of any other.
func (b *Balancer) addClasses() {
	longest := b.set.Classes[0]
	for _, c := range b.set.Classes {
		b.addClass(c)
		if c.Deadline > longest.Deadline {
			longest = c
		}
	}
	b.addClass(Class{LatencyObjective: longest.LatencyObjective, Deadline: longest.Deadline, PriorityWeight: longest.PriorityWeight})
}

func (b *Balancer) addClass(c Class) {
	k := &class{Class: c, mean: float64(c.LatencyObjective) / 4, dev: float64(c.LatencyObjective) / 8}
	b.classes[c.Name] = k
	b.order = append(b.order, k)
}

// retune puts new settings in force. Requests in hand keep their class as it was, and what was learned of
// a class goes over to the one of its name, but for what its deadline had shown, if that changes. What was
// learned in parts of the aims is told in those of the new ones. Settings that New would refuse change nothing.
func (b *Balancer) retune(set Settings) {
	if set.Validate() != nil {
		return
	}
	learned := b.classes
	b.set, b.classes, b.order = set, map[string]*class{}, nil
	b.addClasses()
	var calls, parts float64    // of what came lately, and how much longer it is in parts of its aim
	for _, k := range b.order { // in this order, as sums of floats depend on it
		if was := learned[k.Name]; was != nil {
			c := k.Class
			*k = *was
			k.Class = c
			if c.Deadline != was.Deadline {
				k.longestTry = 0
			}
			calls += was.arrive
			parts += was.arrive * float64(was.LatencyObjective) / float64(c.LatencyObjective)
		}
	}
	if calls > 0 {
		for _, v := range []*float64{&b.fill, &b.calm, &b.bare} {
			*v = min(1, *v*parts/calls)
		}
	}
	b.arrange(nil)
	b.release()
}

// class holds what was learned of a class.
type class struct {
	Class
	mean, dev     float64 // latency of successes, in ns
	cost          float64 // mean hint of the work, in ns; 0: none yet
	arrive, serve float64 // decayed counts
	longestTry    time.Duration
}

// server is a listed server, or one that left with calls of ours still out.
type server struct {
	Endpoint
	listed bool
	right  bool       // of the two groups
	place  int        // in the shared order
	calls  int        // own calls in flight
	open   []*attempt // the same calls in order of sending

	streak   int // bad endings in a row
	level    int // doublings of the next ejection
	goods    int // good endings in a row
	until    time.Duration
	slow     float64 // mean log of latency over the class mean
	samples  int
	lastOK   time.Duration
	room     int           // own calls that it had taken when it refused one more
	full     time.Duration // no more than room until then
	refusals int           // in a row
	allowed  int           // own calls that it may still get while it is cold; see affordable
	drawn    time.Duration // until when
	watched  bool          // it is among the Balancer's watched
	moving   bool          // its place in the order is to be found anew
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	id        string
	class     *class
	came      time.Duration
	arrived   time.Duration // the first of its client's tries, as far as is known
	deadline  time.Duration
	most      int     // attempts, by the settings when it came
	cost      float64 // hint of the work, in ns; 0: none
	attempts  []*attempt
	out       int
	repeat    bool // by the client, where clients say so
	held      bool
	answered  bool
	streaming bool
	long      bool // its last byte has not gone out yet
	wake      time.Duration
}

// attempt is one send of a request.
type attempt struct {
	req    *request
	srv    *server
	n      int
	sent   time.Duration
	zone   string
	cell   int
	begun  bool // its answer has
	ended  bool
	unsent bool // proven never to have run
}

// EjectedCount returns how many ready servers are kept out for their health at the clock time now.
func (b *Balancer) EjectedCount(now time.Duration) int {
	b.now = max(b.now, now)
	n := 0
	for _, s := range b.ready {
		if b.ailing(s) {
			n++
		}
	}
	return min(n, b.mostRuledOut())
}
