package faulttest

import (
	"slices"
	"testing"
	"time"

	"umberbank/internal/coordination/eventlog"
)

// TestCheckReleases checks the number of violations that are found in event logs of releases. Times are in seconds.
func TestCheckReleases(t *testing.T) {
	event := func(s float64, what eventlog.Kind, unit string) eventlog.Event {
		return eventlog.Event{At: time.Duration(s * float64(time.Second)), SentAt: time.Duration(s * float64(time.Second)), Kind: what, Unit: unit, Plan: "next"}
	}
	write := func(s, sent float64, who string, token int64) eventlog.Event {
		e := event(s, "act", "")
		e.Process, e.Token, e.SentAt = who, token, time.Duration(sent*float64(time.Second))
		return e
	}
	for name, c := range map[string]struct {
		events                                   []eventlog.Event
		overBudget, withoutLease, begunAfterHalt int
	}{
		"within limits":                                                {events: []eventlog.Event{event(1, "out", "s00"), event(1, "out", "s01"), event(1, "out", "s02")}},
		"zone over its limit":                                          {events: []eventlog.Event{event(1, "out", "s00"), event(1, "out", "s02"), event(1, "out", "s04")}, overBudget: 1},
		"tier over its limit":                                          {events: []eventlog.Event{event(1, "out", "s00"), event(1, "out", "s02"), event(1, "out", "s01"), event(2, "drained", "s03")}, overBudget: 1},
		"another unit after one has warmed up":                         {events: []eventlog.Event{event(1, "out", "s00"), event(1, "out", "s02"), event(2, "up", "s00"), event(3, "out", "s04")}},
		"another unit while one warms up":                              {events: []eventlog.Event{event(1, "out", "s00"), event(1, "out", "s02"), event(2, "up", "s00"), event(2.1, "out", "s04")}, overBudget: 1},
		"recent restart after a crash":                                 {events: []eventlog.Event{event(1, "out", "s00"), event(1, "out", "s02"), event(2, "killed", "s01"), event(2.2, "up", "s01"), event(2.3, "out", "s03")}},
		"drain that has ended":                                         {events: []eventlog.Event{event(1, "drained", "s00"), event(2, "undrained", "s00"), event(3, "out", "s02"), event(3, "out", "s04")}},
		"decision past the detection time after a death":               {events: []eventlog.Event{event(1, "killed", "s00"), event(6, "out", "s02"), event(6, "out", "s04")}, overBudget: 1},
		"decision less than the detection time after a death":          {events: []eventlog.Event{event(1, "killed", "s00"), event(2, "out", "s02"), event(2, "out", "s04")}},
		"decision less than the detection time after a registry fault": {events: []eventlog.Event{event(1, "killed", "s00"), event(2, "registry", ""), event(4, "registry over", ""), event(6, "out", "s02"), event(6, "out", "s04")}},
		"decision past the detection time after a registry fault":      {events: []eventlog.Event{event(1, "killed", "s00"), event(2, "registry", ""), event(4, "registry over", ""), event(9, "out", "s02"), event(9, "out", "s04")}, overBudget: 1},
		"successive leaders":                                           {events: []eventlog.Event{write(1, 0.9, "a", 1), write(2, 1.9, "b", 2)}},
		"write with an old lease sent after one with a new lease":      {events: []eventlog.Event{write(1, 0.9, "a", 1), write(2, 1.9, "b", 2), write(3, 2.9, "a", 1)}, withoutLease: 1},
		"write without a lease":                                        {events: []eventlog.Event{write(1, 0.9, "a", 0)}, withoutLease: 1},
		"response to an earlier write arrives late":                    {events: []eventlog.Event{write(2, 1.9, "b", 2), write(2.5, 1.8, "a", 1)}},
		"permit begun after a halt":                                    {events: []eventlog.Event{event(1, "halt", ""), event(2.5, "out", "s00")}, begunAfterHalt: 1},
		"permit begun within the halt timeout":                         {events: []eventlog.Event{event(1, "halt", ""), event(1.9, "out", "s00")}},
		"permit begun after the release resumed":                       {events: []eventlog.Event{event(1, "halt", ""), event(2, "resume", ""), event(2.5, "out", "s00")}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecord()
			r.events = c.events
			var res Result
			r.checkReleases(&res)
			if res.OverBudget != c.overBudget || res.WritesWithoutLease != c.withoutLease || res.BegunAfterHalt != c.begunAfterHalt || len(res.Violations) != c.overBudget+c.withoutLease+c.begunAfterHalt {
				t.Errorf("result does not have the expected violations: %+v", res)
			}
		})
	}
}

// TestCheckSettings checks the number of violations that are found in event logs of settings rollouts. Times are in seconds.
func TestCheckSettings(t *testing.T) {
	event := func(s float64, who string, what eventlog.Kind, version, content string) eventlog.Event {
		return eventlog.Event{At: time.Duration(s * float64(time.Second)), Process: who, Unit: who, Kind: what, Version: version, Reason: content}
	}
	zones := map[string]string{"n0": "a", "n1": "a", "n2": "b"}
	inSync := func(s float64, who string, incarnation int64, version, content string) eventlog.Event {
		e := event(s, who, "in touch", version, content)
		e.Token = incarnation
		return e
	}
	var started []eventlog.Event
	for i, who := range []string{"n0", "n1", "n2"} {
		started = append(started, event(0, who, "runs", "0", "-"), inSync(0.1, who, int64(10+i), "0", "-"), event(0.2, who, "serves", "", ""))
	}
	acknowledge := func(s float64, version, content string, who ...string) (l []eventlog.Event) {
		for _, w := range who {
			l = append(l, event(s, w, "could run", version, content))
		}
		return l
	}
	concat := func(l ...[]eventlog.Event) []eventlog.Event { return slices.Concat(l...) }
	all := []string{"n0", "n1", "n2"}
	firstRequested := concat(started, acknowledge(1, "1", "x", all...), []eventlog.Event{event(2, "", "asks", "1", "")})
	commit := func(s float64, version string) eventlog.Event { return event(s, "", "act", version, "in force") }
	withToken := func(l ...eventlog.Event) []eventlog.Event {
		for i := range l {
			if l[i].Kind == "act" {
				l[i].Token = 1
			}
		}
		return l
	}
	// restarted returns events in which version 1 is committed, n0 runs it and is killed, followed by the given events of n0's
	// next process.
	restarted := func(l ...eventlog.Event) []eventlog.Event {
		return concat(firstRequested, withToken(event(3, "n0", "runs", "1", "x"), commit(3, "1"), event(4, "n0", "fault", "", ""), event(4, "n0", "killed", "", ""), event(4.5, "n0", "fault over", "", "")), l)
	}
	secondRequested := concat([]eventlog.Event{event(2, "", "asks", "2", "")}, acknowledge(3, "2", "y", all...))
	for name, c := range map[string]struct {
		events                                                                           []eventlog.Event
		uncommitted, decreased, contents, servedEarly, oldIncarnations, wronglyOutOfSync int
	}{
		"version requested after a quorum": {events: concat(firstRequested, []eventlog.Event{event(3, "n0", "runs", "1", "x"), event(3, "n2", "runs", "1", "x")})},
		"version not yet requested":        {events: concat(started, acknowledge(1, "1", "x", all...), []eventlog.Event{event(1.7, "n0", "runs", "1", "x"), event(2, "", "asks", "1", "")}), uncommitted: 1},
		"quorum without a zone":            {events: concat(started, acknowledge(4.5, "1", "x", "n0", "n1"), []eventlog.Event{event(4.6, "", "asks", "1", ""), event(5, "n0", "runs", "1", "x")}), uncommitted: 1},
		"half of a zone acknowledged":      {events: concat(started, acknowledge(4.5, "1", "x", "n0", "n2"), []eventlog.Event{event(4.6, "", "asks", "1", ""), event(5, "n0", "runs", "1", "x")}), uncommitted: 1},
		"quorum without a lost zone": {events: concat(started, acknowledge(4.5, "1", "x", "n0", "n1"),
			[]eventlog.Event{event(1, "n2", "fault", "", ""), event(4.6, "", "asks", "1", ""), event(5, "n0", "runs", "1", "x")})},
		"quorum without a zone that has returned": {events: concat(started, acknowledge(9, "1", "x", "n0", "n1"),
			[]eventlog.Event{event(1, "n2", "fault", "", ""), event(2, "n2", "fault over", "", ""), event(9, "", "asks", "1", ""), event(9.5, "n0", "runs", "1", "x")}), uncommitted: 1},
		"minority of all nodes, other nodes lost": {events: concat(started, acknowledge(4.5, "1", "x", "n2"),
			[]eventlog.Event{event(1, "n0", "fault", "", ""), event(1, "n1", "fault", "", ""), event(4.6, "", "asks", "1", ""), event(5, "n2", "runs", "1", "x")}), uncommitted: 1},
		"lower version than before": {events: concat(firstRequested, []eventlog.Event{event(3, "n0", "runs", "1", "x"), event(4, "n0", "runs", "0", "-")}), decreased: 1},
		"three contents at once":    {events: concat(firstRequested, secondRequested, []eventlog.Event{event(3, "n0", "runs", "1", "x"), event(4, "n1", "runs", "2", "y")}), contents: 1},
		"node with the third content was killed": {events: concat(firstRequested, secondRequested, []eventlog.Event{event(3, "n0", "runs", "1", "x"),
			event(3.5, "n0", "killed", "", ""), event(4, "n1", "runs", "2", "y")})},
		"node with the third content is partitioned": {events: concat(firstRequested, secondRequested, []eventlog.Event{event(3, "n0", "runs", "1", "x"), event(3.5, "n0", "fault", "", ""), event(4, "n1", "runs", "2", "y")})},
		"node with the third content in sync again": {events: concat(firstRequested, secondRequested, []eventlog.Event{event(3, "n0", "runs", "1", "x"), event(3.5, "n0", "fault", "", ""), event(4, "n1", "runs", "2", "y"),
			event(5, "n0", "fault over", "", ""), event(5.1, "n0", "out of touch", "1", "x"), inSync(5.2, "n0", 10, "1", "x")}), contents: 1},
		"node restarted":                             {events: restarted(event(5, "n0", "runs", "1", "x"), inSync(5.5, "n0", 20, "1", "x"), event(5.6, "n0", "serves", "", ""))},
		"serves before it is in sync":                {events: restarted(event(5, "n0", "runs", "1", "x"), event(5.4, "n0", "serves", "", ""), inSync(5.5, "n0", 20, "1", "x")), servedEarly: 1},
		"in sync with an earlier incarnation":        {events: restarted(event(5, "n0", "runs", "1", "x"), inSync(5.5, "n0", 10, "1", "x"), event(5.6, "n0", "serves", "", "")), oldIncarnations: 1},
		"restarted node in sync with an old version": {events: restarted(withToken(commit(4.8, "2"))[0], event(5, "n0", "runs", "1", "x"), inSync(5.5, "n0", 20, "1", "x"), event(5.6, "n0", "serves", "", "")), servedEarly: 2},
		"returned node in sync with an old version": {events: concat(firstRequested, withToken(event(3, "n0", "runs", "1", "x"), event(4, "n0", "fault", "", ""), commit(5, "2"), event(6, "n0", "fault over", "", ""),
			event(6.1, "n0", "out of touch", "1", "x"), inSync(6.2, "n0", 10, "1", "x"))), servedEarly: 1},
		"out of sync without a fault":        {events: concat(firstRequested, []eventlog.Event{event(9, "n0", "out of touch", "0", "-"), inSync(9.2, "n0", 10, "0", "-")}), wronglyOutOfSync: 1},
		"out of sync after a stall":          {events: concat(firstRequested, []eventlog.Event{{At: 9 * time.Second, Process: "n0", Unit: "n0", Kind: "out of touch", Version: "0", MaxRenewalGap: 500 * time.Millisecond}})},
		"out of sync after a partition":      {events: concat(firstRequested, []eventlog.Event{event(6, "n0", "fault", "", ""), event(8, "n0", "fault over", "", ""), event(9, "n0", "out of touch", "0", "-")})},
		"out of sync after a registry fault": {events: concat(firstRequested, []eventlog.Event{event(5, "", "registry", "", ""), event(6, "", "registry over", "", ""), event(9, "n0", "out of touch", "0", "-")})},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecord()
			r.events = slices.Clone(c.events)
			var res SettingsResult
			r.checkSettings(&res, zones)
			if res.Uncommitted != c.uncommitted || res.VersionDecreases != c.decreased || (res.MaxContents > 2) != (c.contents > 0) || res.ServedEarly != c.servedEarly || res.OldIncarnations != c.oldIncarnations ||
				res.WronglyOutOfSync != c.wronglyOutOfSync || len(res.Violations) != c.uncommitted+c.decreased+c.contents+c.servedEarly+c.oldIncarnations+c.wronglyOutOfSync {
				t.Errorf("result does not have the expected violations: %+v", res)
			}
		})
	}
}
