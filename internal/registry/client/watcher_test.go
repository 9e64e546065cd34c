package client

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Lines cut short, nonsense, older revisions, silence and half a list change nothing that is held, and the Watcher goes on
// from its own revision.
func TestWatcher(t *testing.T) {
	f := &fakeReplica{scripts: [][]string{
		{list(10, true, "a", "b") + "\n", list(11, false, "c") + "\n", list(12, false, "-a")}, // no end
		{"nonsense\n"},
		{list(9, true, "old") + "\n"},
		{list(11, false, "old") + "\n"},
		{`{"rev":30,"all":true}` + "\n"},
		{"\n", "hang"},
		{list(12, false, "-a") + "\n", "\n", list(13, false, "d") + "\n", "hang"},
	}}
	v := follow(t, Options{Endpoints: []string{serve(t, f)}, IdleTimeout: 50 * time.Millisecond}, func(v View) bool { return v.Revision == 13 })
	if uids(v) != "b c d" || v.FullLists != 1 || v.LastContact.IsZero() {
		t.Errorf("holds %q: %+v", uids(v), v)
	}
	if got := strings.Join(f.since[:7], " "); got != "0 11 11 11 11 11 11" {
		t.Errorf("watches began from %s", got)
	}
}

// One replica is unreachable, another silent: the third is found.
func TestWatcherChangesReplica(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	silent := &fakeReplica{scripts: [][]string{{"hang"}, {"hang"}, {"hang"}, {"hang"}}}
	good := &fakeReplica{}
	for range 20 {
		good.scripts = append(good.scripts, []string{list(5, true, "a") + "\n", "hang"})
	}
	follow(t, Options{Endpoints: []string{strings.TrimPrefix(gone.URL, "http://"), serve(t, silent), serve(t, good)}, IdleTimeout: 50 * time.Millisecond},
		func(v View) bool { return v.Revision == 5 })
}
