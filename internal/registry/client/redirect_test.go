package client

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"umberbank/internal/registry/state"
)

// redirectingReplica returns the address of a server that redirects each request, with its method and body, to a server that
// fails the test.
func redirectingReplica(t *testing.T) string {
	t.Helper()
	other := serve(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		t.Errorf("%s of %s was sent to another address", req.Method, req.URL.Path)
		fmt.Fprintln(w, list(9, true, "stranger"))
	}))
	return serve(t, http.RedirectHandler("http://"+other+"/", http.StatusTemporaryRedirect))
}

// Guards against a write that is sent to an address that is not a configured replica: a redirect is a failed attempt.
func TestRedirectedWrite(t *testing.T) {
	t.Parallel()
	replica := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"answers":[{"rev":5}]}`) }))
	c, err := New(Options{Endpoints: []string{redirectingReplica(t), replica}, InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	for range 2 { // the first replica is random
		if _, err := c.Write(t.Context(), state.Op{Kind: state.OpRemove, UID: "a"}); err != nil {
			t.Error(err)
		}
		c.skipReplica(c.currentReplica())
	}
}

// Guards against a list from an address that is not a configured replica: a redirect ends the watch.
func TestRedirectedWatch(t *testing.T) {
	t.Parallel()
	endpoint := redirectingReplica(t)
	w, err := NewWatcher(Options{Endpoints: []string{endpoint}})
	if err != nil {
		t.Fatal(err)
	}
	err = w.watch(t.Context(), endpoint, func(WatchEvent) {})
	if want := endpoint + " returned status 307 Temporary Redirect"; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
