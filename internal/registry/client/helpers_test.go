package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"umberbank/internal/registry/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits the wait for any event that a test expects.
const testTimeout = 20 * time.Second

// fakeReplica responds to each watch with the texts of the next script. The text "hang" keeps the watch open without data.
type fakeReplica struct {
	mu      sync.Mutex
	scripts [][]string
	since   []string // the revision that each watch started from
}

func (f *fakeReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	f.since = append(f.since, q.URL.Query().Get("since"))
	var script []string
	if len(f.scripts) > 0 {
		script, f.scripts = f.scripts[0], f.scripts[1:]
	}
	f.mu.Unlock()
	for _, l := range script {
		if l == "hang" {
			w.(http.Flusher).Flush()
			<-q.Context().Done()
			return
		}
		fmt.Fprint(w, l)
	}
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// list returns an event in JSON, without a line end. A uid with the prefix "-" is that of a deleted instance.
func list(rev int, all bool, uids ...string) string {
	var l []string
	for _, u := range uids {
		st := state.Serving
		if strings.HasPrefix(u, "-") {
			u, st = u[1:], state.Deleted
		}
		l = append(l, fmt.Sprintf(`{"uid":%q,"endpoint":"a:1","state":%q,"mod":%d}`, u, st, rev))
	}
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(l, ","))
}

// follow runs a Watcher until want returns true for its view, and returns the view.
func follow(t *testing.T, opt Options, want func(View) bool) View {
	t.Helper()
	opt.InitialBackoff, opt.MaxBackoff = time.Millisecond, 5*time.Millisecond
	w, err := NewWatcher(opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	done := make(chan error, 1)
	reached := false
	go func() {
		done <- w.Run(ctx, func(WatchEvent) {
			if want(w.View()) {
				reached = true
				cancel()
			}
		})
	}()
	if err := <-done; !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Run returned %v", err)
	}
	if !reached {
		t.Errorf("the wanted view was not reached: %+v", w.View())
	}
	return w.View()
}

func uids(v View) string {
	var l []string
	for _, e := range v.Instances {
		l = append(l, e.UID)
	}
	return strings.Join(l, " ")
}
