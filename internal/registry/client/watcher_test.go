package client

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Incomplete lines, invalid JSON, older revisions, an event without targets and a watch that stops sending data do not change
// the list. After each of them, the Watcher resumes from its own revision.
func TestWatcher(t *testing.T) {
	f := &fakeReplica{scripts: [][]string{
		{list(10, true, "a", "b") + "\n", list(11, false, "c") + "\n", list(12, false, "-a")}, // the last line is incomplete
		{"nonsense\n"},
		{list(9, true, "old") + "\n"},
		{list(11, false, "old") + "\n"},
		{`{"rev":30,"all":true}` + "\n"},
		{"\n", "hang"},
		{list(12, false, "-a") + "\n", "\n", list(13, false, "d") + "\n", "hang"},
	}}
	v := follow(t, Options{Endpoints: []string{serve(t, f)}, IdleTimeout: 50 * time.Millisecond}, func(v View) bool { return v.Revision == 13 })
	if uids(v) != "b c d" || v.FullLists != 1 || v.LastContact.IsZero() {
		t.Errorf("got instances %q, want \"b c d\": %+v", uids(v), v)
	}
	if got := strings.Join(f.since[:7], " "); got != "0 11 11 11 11 11 11" {
		t.Errorf("watches started from revisions %s", got)
	}
}

// A Watcher finds the healthy replica when one other replica is unreachable and another sends no data.
func TestWatcherChangesReplica(t *testing.T) {
	unreachable := httptest.NewServer(nil)
	unreachable.Close()
	silent := &fakeReplica{scripts: [][]string{{"hang"}, {"hang"}, {"hang"}, {"hang"}}}
	healthy := &fakeReplica{}
	for range 20 {
		healthy.scripts = append(healthy.scripts, []string{list(5, true, "a") + "\n", "hang"})
	}
	follow(t, Options{Endpoints: []string{strings.TrimPrefix(unreachable.URL, "http://"), serve(t, silent), serve(t, healthy)}, IdleTimeout: 50 * time.Millisecond},
		func(v View) bool { return v.Revision == 5 })
}

// An event with null in its list ends the watch without an effect. The next replica is followed instead.
func TestWatcherRejectsNull(t *testing.T) {
	broken := &fakeReplica{scripts: [][]string{{`{"rev":7,"all":true,"targets":[null]}` + "\n", "hang"}}}
	good := &fakeReplica{scripts: [][]string{{list(7, true, "a") + "\n", "hang"}}}
	opt := Options{Endpoints: []string{serve(t, broken), serve(t, good)}, IdleTimeout: time.Second}
	v := follow(t, opt, func(v View) bool { return v.Revision == 7 })
	if got := uids(v); got != "a" {
		t.Errorf("got the list %q, want a", got)
	}
}
