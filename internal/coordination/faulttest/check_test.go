package faulttest

import (
	"slices"
	"testing"
	"time"

	"umberbank/internal/coordination/eventlog"
)

// What processes did, with times in seconds, and the violations that the check finds.
func TestCheckReleases(t *testing.T) {
	at := func(s float64, what eventlog.Kind, unit string) eventlog.Event {
		return eventlog.Event{At: time.Duration(s * float64(time.Second)), SentAt: time.Duration(s * float64(time.Second)), Kind: what, Unit: unit, Plan: "next"}
	}
	act := func(s, sent float64, who string, token int64) eventlog.Event {
		e := at(s, "act", "")
		e.Process, e.Token, e.SentAt = who, token, time.Duration(sent*float64(time.Second))
		return e
	}
	for name, c := range map[string]struct {
		events          []eventlog.Event
		over, two, late int
	}{
		"within":                          {events: []eventlog.Event{at(1, "out", "s00"), at(1, "out", "s01"), at(1, "out", "s02")}},
		"a zone over":                     {events: []eventlog.Event{at(1, "out", "s00"), at(1, "out", "s02"), at(1, "out", "s04")}, over: 1},
		"a tier over":                     {events: []eventlog.Event{at(1, "out", "s00"), at(1, "out", "s02"), at(1, "out", "s01"), at(2, "drained", "s03")}, over: 1},
		"one has warmed up":               {events: []eventlog.Event{at(1, "out", "s00"), at(1, "out", "s02"), at(2, "up", "s00"), at(3, "out", "s04")}},
		"one is warming up":               {events: []eventlog.Event{at(1, "out", "s00"), at(1, "out", "s02"), at(2, "up", "s00"), at(2.1, "out", "s04")}, over: 1},
		"a restart by a crash just now":   {events: []eventlog.Event{at(1, "out", "s00"), at(1, "out", "s02"), at(2, "killed", "s01"), at(2.2, "up", "s01"), at(2.3, "out", "s03")}},
		"a drain that was lifted":         {events: []eventlog.Event{at(1, "drained", "s00"), at(2, "undrained", "s00"), at(3, "out", "s02"), at(3, "out", "s04")}},
		"a death that all know of":        {events: []eventlog.Event{at(1, "killed", "s00"), at(6, "out", "s02"), at(6, "out", "s04")}, over: 1},
		"a death just now":                {events: []eventlog.Event{at(1, "killed", "s00"), at(2, "out", "s02"), at(2, "out", "s04")}},
		"one that a fault may hide":       {events: []eventlog.Event{at(1, "killed", "s00"), at(2, "registry", ""), at(4, "registry over", ""), at(6, "out", "s02"), at(6, "out", "s04")}},
		"one that it hides no more":       {events: []eventlog.Event{at(1, "killed", "s00"), at(2, "registry", ""), at(4, "registry over", ""), at(9, "out", "s02"), at(9, "out", "s04")}, over: 1},
		"two leaders one after the other": {events: []eventlog.Event{act(1, 0.9, "a", 1), act(2, 1.9, "b", 2)}},
		"two leaders at once":             {events: []eventlog.Event{act(1, 0.9, "a", 1), act(2, 1.9, "b", 2), act(3, 2.9, "a", 1)}, two: 1},
		"without the lease":               {events: []eventlog.Event{act(1, 0.9, "a", 0)}, two: 1},
		"an answer that came late":        {events: []eventlog.Event{act(2, 1.9, "b", 2), act(2.5, 1.8, "a", 1)}},
		"begun after a halt":              {events: []eventlog.Event{at(1, "halt", ""), at(2.5, "out", "s00")}, late: 1},
		"within the halt's second":        {events: []eventlog.Event{at(1, "halt", ""), at(1.9, "out", "s00")}},
		"after it was lifted":             {events: []eventlog.Event{at(1, "halt", ""), at(2, "resume", ""), at(2.5, "out", "s00")}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecord()
			r.events = c.events
			var res Result
			r.checkReleases(&res)
			if res.OverBudget != c.over || res.WritesWithoutLease != c.two || res.BegunAfterHalt != c.late || len(res.Violations) != c.over+c.two+c.late {
				t.Errorf("%+v", res)
			}
		})
	}
}

// What nodes ran, with times in seconds, and the violations that the check finds.
func TestCheckSettings(t *testing.T) {
	ev := func(s float64, who string, what eventlog.Kind, version, content string) eventlog.Event {
		return eventlog.Event{At: time.Duration(s * float64(time.Second)), Process: who, Unit: who, Kind: what, Version: version, Reason: content}
	}
	zones := map[string]string{"n0": "a", "n1": "a", "n2": "b"}
	touch := func(s float64, who string, start int64, version, content string) eventlog.Event {
		e := ev(s, who, "in touch", version, content)
		e.Token = start
		return e
	}
	var began []eventlog.Event
	for i, who := range []string{"n0", "n1", "n2"} {
		began = append(began, ev(0, who, "runs", "0", "-"), touch(0.1, who, int64(10+i), "0", "-"), ev(0.2, who, "serves", "", ""))
	}
	could := func(s float64, version, content string, who ...string) (l []eventlog.Event) {
		for _, w := range who {
			l = append(l, ev(s, w, "could run", version, content))
		}
		return l
	}
	join := func(l ...[]eventlog.Event) []eventlog.Event { return slices.Concat(l...) }
	all := []string{"n0", "n1", "n2"}
	agreed := join(began, could(1, "1", "x", all...), []eventlog.Event{ev(2, "", "asks", "1", "")})
	force := func(s float64, version string) eventlog.Event { return ev(s, "", "act", version, "in force") }
	act := func(l ...eventlog.Event) []eventlog.Event {
		for i := range l {
			if l[i].Kind == "act" {
				l[i].Token = 1
			}
		}
		return l
	}
	// Version 1 is in force, n0 runs it, and n0's process has ended and another began with what the registry is said to have.
	again := func(l ...eventlog.Event) []eventlog.Event {
		return join(agreed, act(ev(3, "n0", "runs", "1", "x"), force(3, "1"), ev(4, "n0", "fault", "", ""), ev(4, "n0", "killed", "", ""), ev(4.5, "n0", "fault over", "", "")), l)
	}
	second := join([]eventlog.Event{ev(2, "", "asks", "2", "")}, could(3, "2", "y", all...))
	for name, c := range map[string]struct {
		events                                []eventlog.Event
		uncommitted, back, n, early, old, out int
	}{
		"as told":            {events: join(agreed, []eventlog.Event{ev(3, "n0", "runs", "1", "x"), ev(3, "n2", "runs", "1", "x")})},
		"before it was told": {events: join(began, could(1, "1", "x", all...), []eventlog.Event{ev(1.7, "n0", "runs", "1", "x"), ev(2, "", "asks", "1", "")}), uncommitted: 1},
		"without a zone":     {events: join(began, could(4.5, "1", "x", "n0", "n1"), []eventlog.Event{ev(4.6, "", "asks", "1", ""), ev(5, "n0", "runs", "1", "x")}), uncommitted: 1},
		"half of a zone":     {events: join(began, could(4.5, "1", "x", "n0", "n2"), []eventlog.Event{ev(4.6, "", "asks", "1", ""), ev(5, "n0", "runs", "1", "x")}), uncommitted: 1},
		"without a zone that is lost": {events: join(began, could(4.5, "1", "x", "n0", "n1"),
			[]eventlog.Event{ev(1, "n2", "fault", "", ""), ev(4.6, "", "asks", "1", ""), ev(5, "n0", "runs", "1", "x")})},
		"without a zone that is back": {events: join(began, could(9, "1", "x", "n0", "n1"),
			[]eventlog.Event{ev(1, "n2", "fault", "", ""), ev(2, "n2", "fault over", "", ""), ev(9, "", "asks", "1", ""), ev(9.5, "n0", "runs", "1", "x")}), uncommitted: 1},
		"by too few, all else lost": {events: join(began, could(4.5, "1", "x", "n2"),
			[]eventlog.Event{ev(1, "n0", "fault", "", ""), ev(1, "n1", "fault", "", ""), ev(4.6, "", "asks", "1", ""), ev(5, "n2", "runs", "1", "x")}), uncommitted: 1},
		"lower than before": {events: join(agreed, []eventlog.Event{ev(3, "n0", "runs", "1", "x"), ev(4, "n0", "runs", "0", "-")}), back: 1},
		"three contents":    {events: join(agreed, second, []eventlog.Event{ev(3, "n0", "runs", "1", "x"), ev(4, "n1", "runs", "2", "y")}), n: 1},
		"the third runs nowhere now": {events: join(agreed, second, []eventlog.Event{ev(3, "n0", "runs", "1", "x"),
			ev(3.5, "n0", "killed", "", ""), ev(4, "n1", "runs", "2", "y")})},
		"the third is cut off": {events: join(agreed, second, []eventlog.Event{ev(3, "n0", "runs", "1", "x"), ev(3.5, "n0", "fault", "", ""), ev(4, "n1", "runs", "2", "y")})},
		"and counts again with what it ran": {events: join(agreed, second, []eventlog.Event{ev(3, "n0", "runs", "1", "x"), ev(3.5, "n0", "fault", "", ""), ev(4, "n1", "runs", "2", "y"),
			ev(5, "n0", "fault over", "", ""), ev(5.1, "n0", "out of touch", "1", "x"), touch(5.2, "n0", 10, "1", "x")}), n: 1},
		"a fresh start":                       {events: again(ev(5, "n0", "runs", "1", "x"), touch(5.5, "n0", 20, "1", "x"), ev(5.6, "n0", "serves", "", ""))},
		"it serves before it is in sync":      {events: again(ev(5, "n0", "runs", "1", "x"), ev(5.4, "n0", "serves", "", ""), touch(5.5, "n0", 20, "1", "x")), early: 1},
		"by an earlier incarnation":           {events: again(ev(5, "n0", "runs", "1", "x"), touch(5.5, "n0", 10, "1", "x"), ev(5.6, "n0", "serves", "", "")), old: 1},
		"in sync with less than was in force": {events: again(act(force(4.8, "2"))[0], ev(5, "n0", "runs", "1", "x"), touch(5.5, "n0", 20, "1", "x"), ev(5.6, "n0", "serves", "", "")), early: 2},
		"back with less than was in force": {events: join(agreed, act(ev(3, "n0", "runs", "1", "x"), ev(4, "n0", "fault", "", ""), force(5, "2"), ev(6, "n0", "fault over", "", ""),
			ev(6.1, "n0", "out of touch", "1", "x"), touch(6.2, "n0", 10, "1", "x"))), early: 1},
		"called out of sync without a fault":         {events: join(agreed, []eventlog.Event{ev(9, "n0", "out of touch", "0", "-"), touch(9.2, "n0", 10, "0", "-")}), out: 1},
		"called out of sync after a stall":           {events: join(agreed, []eventlog.Event{{At: 9 * time.Second, Process: "n0", Unit: "n0", Kind: "out of touch", Version: "0", MaxRenewalGap: 500 * time.Millisecond}})},
		"called out of sync after a partition":       {events: join(agreed, []eventlog.Event{ev(6, "n0", "fault", "", ""), ev(8, "n0", "fault over", "", ""), ev(9, "n0", "out of touch", "0", "-")})},
		"called out of sync by a disturbed registry": {events: join(agreed, []eventlog.Event{ev(5, "", "registry", "", ""), ev(6, "", "registry over", "", ""), ev(9, "n0", "out of touch", "0", "-")})},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecord()
			r.events = slices.Clone(c.events)
			var res SettingsResult
			r.checkSettings(&res, zones)
			if res.Uncommitted != c.uncommitted || res.VersionDecreases != c.back || (res.MaxContents > 2) != (c.n > 0) || res.ServedEarly != c.early || res.OldIncarnations != c.old ||
				res.WronglyOutOfSync != c.out || len(res.Violations) != c.uncommitted+c.back+c.n+c.early+c.old+c.out {
				t.Errorf("%+v", res)
			}
		})
	}
}
