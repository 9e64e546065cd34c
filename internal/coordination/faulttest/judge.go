package faulttest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"umberbank/internal/coordination/eventlog"
)

// record is what processes did, by their own words, and what befell them, by the trial's.
type record struct {
	mu     sync.Mutex
	events []eventlog.Event
}

func newRecord() *record { return &record{} }

func (r *record) note(e eventlog.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// read adds what processes wrote down. A line that a kill cut short is none.
func (r *record) read(pattern string) error {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return err
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var e eventlog.Event
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				r.events = append(r.events, e)
			}
		}
		f.Close()
	}
	return nil
}

// known is how long after a unit's death every new permit must count it, if the registry is undisturbed for as long: its
// lease ends, the leader waits for others to end too, and permits given before have begun or lapsed.
const known = 4 * time.Second

// haltWithin is how soon after a halt nothing of it may begin any more.
const haltWithin = time.Second

// life is what the judge knows of one unit at a time.
type life struct {
	unit
	out     bool          // it was taken out, and has not come up since
	drained bool          // a person has drained it
	dead    time.Duration // since when it was killed; 0: it was not
	up      time.Duration // its last start, if a permit led to it; 0: none did
}

// judge walks through all that happened in the order of time.
func (r *record) judge(res *Result) {
	slices.SortStableFunc(r.events, func(a, b eventlog.Event) int { return cmp.Compare(a.At, b.At) })
	lives := map[string]*life{}
	for _, u := range units() {
		lives[u.id] = &life{unit: u}
	}
	halts := map[string]time.Duration{}
	var calm time.Duration // since when the registry is undisturbed
	disturbed := 0
	var lead eventlog.Event // the act with the highest token, when it was answered
	broken := func(count *int, format string, args ...any) {
		*count++
		if len(res.Broken) < 20 {
			res.Broken = append(res.Broken, fmt.Sprintf(format, args...))
		}
	}
	for _, e := range r.events {
		l := lives[e.Unit]
		switch e.Kind {
		case "up", "killed", "out", "drained", "undrained":
			if l == nil {
				continue // a controller was killed
			}
		}
		switch e.Kind {
		case "up":
			if l.up = 0; l.out {
				l.up = e.At // its permit lasts until it is warm; a start that no permit led to is known later
			}
			l.out, l.dead = false, 0
		case "killed":
			l.dead = e.At
		case "out":
			l.out = true
			res.Permits++
			if h, is := halts[e.Plan]; is && e.SentAt > h+haltWithin {
				broken(&res.LateBegins, "%s began %v after %s was halted", e.Unit, e.SentAt-h, e.Plan)
			}
			overBudget(lives, e, calm, disturbed, func(why string) { broken(&res.OverBudget, "%s", why) })
		case "drained":
			l.drained = true
			res.Permits++
			overBudget(lives, e, calm, disturbed, func(why string) { broken(&res.OverBudget, "%s", why) })
		case "undrained":
			l.drained = false
		case "registry":
			disturbed++
		case "registry over":
			disturbed--
			calm = e.At
		case "halt":
			if _, is := halts[e.Plan]; !is {
				halts[e.Plan] = e.At
			}
		case "resume":
			delete(halts, e.Plan)
		case "act":
			res.Acts++
			r.judgeAct(&lead, e, func(why string) { broken(&res.TwoActors, "%s", why) })
		}
	}
}

// judgeAct judges a controller's act by the one before with the highest lead.
func (r *record) judgeAct(lead *eventlog.Event, e eventlog.Event, broken func(string)) {
	if e.Token == 0 {
		broken(e.Process + " acted without the lead")
	} else if e.Token < lead.Token && e.SentAt > lead.At {
		broken(fmt.Sprintf("%s acted with the lead %d after %s had with %d", e.Process, e.Token, lead.Process, lead.Token))
	}
	if e.Token > lead.Token {
		*lead = e
	}
}

// overBudget says where more is out than may be, as a unit is taken out.
func overBudget(lives map[string]*life, e eventlog.Event, calm time.Duration, disturbed int, broken func(string)) {
	of := lives[e.Unit]
	for _, scope := range []struct {
		name  string
		share float64
		in    func(*life) bool
	}{
		{"tier " + of.tier, 0.25, func(l *life) bool { return l.tier == of.tier }},
		{"zone " + of.zone + " of " + of.tier, map[string]float64{"web": 0.34, "front": 1}[of.tier], func(l *life) bool { return l.tier == of.tier && l.zone == of.zone }},
	} {
		var all, out float64
		var who []string
		for _, l := range lives {
			if !scope.in(l) {
				continue
			}
			all++
			share := 0.0
			switch {
			case l.out || l.drained:
				share = 1
			case l.dead > 0 && disturbed == 0 && e.At-max(l.dead, calm) > known:
				share = 1
			case l.up > 0 && e.At-l.up < warm:
				share = 0.6 * (1 - float64(e.At-l.up)/float64(warm))
			}
			if out += share; share > 0 {
				who = append(who, fmt.Sprintf("%s %.2f", l.id, share))
			}
		}
		if out > scope.share*all+1e-6 {
			slices.Sort(who)
			broken(fmt.Sprintf("%s was taken out, and of %s %.2f of %.0f were out (%v) where %.2f may be", e.Unit, scope.name, out, all, who, scope.share*all))
		}
	}
}
