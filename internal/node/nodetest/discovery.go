package nodetest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// StubDiscovery is a stub of discovery. What comes on lines goes out on the watch that is open, one message or heartbeat at a time; "end"
// ends it. watches receives the path and query of each watch. Polls are not answered.
func StubDiscovery(t *testing.T) (addr string, lines, watches chan string) {
	t.Helper()
	lines, watches = make(chan string), make(chan string, 100)
	newest := make(chan context.CancelFunc, 1) // ends the watch before, which may not know yet that it is over
	newest <- func() {}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if IsPoll(r) {
			<-r.Context().Done()
			return
		}
		(<-newest)()
		ctx, cancel := context.WithCancel(r.Context())
		ended := make(chan struct{})
		defer close(ended)
		newest <- func() { cancel(); <-ended }
		watches <- r.URL.Path + "?" + r.URL.RawQuery
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		sendLines(ctx, w, lines)
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), lines, watches
}

func sendLines(ctx context.Context, w http.ResponseWriter, lines <-chan string) {
	for {
		select {
		case l := <-lines:
			if l == "end" {
				return
			}
			fmt.Fprintln(w, l)
			w.(http.Flusher).Flush()
		case <-ctx.Done():
			return
		}
	}
}

// IsPoll reports whether a request to discovery is one for the complete list, and no watch.
func IsPoll(r *http.Request) bool { return r.URL.Query().Get("follow") == "" }

// Target is an entry of discovery's list.
func Target(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,`+
		`"state":%q,"capacity_hint":2,"boot_ms":1500}`, uid, state)
}

// Message is a message of discovery.
func Message(revision int, complete bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, revision, complete, strings.Join(targets, ","))
}
