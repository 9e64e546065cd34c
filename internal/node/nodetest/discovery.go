package nodetest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// StubDiscovery starts a discovery service that is controlled by a test. It sends each line from lines,
// a message or an empty heartbeat, on the open watch; the line "end" ends the watch. It sends the path
// and query of each watch to watches. Polls get no response.
func StubDiscovery(t *testing.T) (addr string, lines, watches chan string) {
	t.Helper()
	lines, watches = make(chan string), make(chan string, 100)
	endNewest := make(chan context.CancelFunc, 1) // ends the newest watch, whose handler may not have noticed a disconnect yet
	endNewest <- func() {}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if IsPoll(r) {
			<-r.Context().Done()
			return
		}
		(<-endNewest)()
		ctx, cancel := context.WithCancel(r.Context())
		ended := make(chan struct{})
		defer close(ended)
		endNewest <- func() { cancel(); <-ended }
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

// IsPoll reports whether a request to discovery is a poll for the complete list, and not a watch.
func IsPoll(r *http.Request) bool { return r.URL.Query().Get("follow") == "" }

// Target returns the JSON of an entry of the endpoint list.
func Target(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,`+
		`"state":%q,"capacity_hint":2,"boot_ms":1500}`, uid, state)
}

// Message returns the JSON of a message from discovery, on one line.
func Message(revision int, complete bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, revision, complete, strings.Join(targets, ","))
}
