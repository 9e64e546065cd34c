package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"umberbank/internal/durable"
	"umberbank/internal/registry/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// limit is how long anything may take that has to happen.
const limit = 20 * time.Second

// fake is a replica that says what it is told to: one script for each watch, in turn.
type fake struct {
	mu      sync.Mutex
	scripts [][]string
	asked   []string // the revisions that watches began from
}

func (f *fake) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	f.asked = append(f.asked, q.URL.Query().Get("since"))
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

// follow runs a Reader until what it holds is as wanted.
func follow(t *testing.T, opt Options, want func(View) bool) View {
	t.Helper()
	opt.InitialBackoff, opt.MaxBackoff = time.Millisecond, 5*time.Millisecond
	r, err := NewWatcher(opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	done := make(chan error, 1)
	reached := false
	go func() {
		done <- r.Run(ctx, func(WatchEvent) {
			if want(r.View()) {
				reached = true
				cancel()
			}
		})
	}()
	if err := <-done; !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("ended with %v", err)
	}
	if !reached {
		t.Errorf("holds %+v", r.View())
	}
	return r.View()
}

func uids(v View) string {
	var l []string
	for _, e := range v.Instances {
		l = append(l, e.UID)
	}
	return strings.Join(l, " ")
}

// Changes cut short, nonsense, older revisions, silence and half a list change nothing that is held, and the Reader goes
// on from its own revision.
func TestReader(t *testing.T) {
	f := &fake{scripts: [][]string{
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
	if got := strings.Join(f.asked[:7], " "); got != "0 11 11 11 11 11 11" {
		t.Errorf("watches began from %s", got)
	}
}

// WriteOne replica is gone, another silent: the third is found.
func TestMovesOn(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	silent := &fake{scripts: [][]string{{"hang"}, {"hang"}, {"hang"}, {"hang"}}}
	good := &fake{}
	for range 20 {
		good.scripts = append(good.scripts, []string{list(5, true, "a") + "\n", "hang"})
	}
	follow(t, Options{Endpoints: []string{strings.TrimPrefix(gone.URL, "http://"), serve(t, silent), serve(t, good)}, IdleTimeout: 50 * time.Millisecond},
		func(v View) bool { return v.Revision == 5 })
}

// The cache brings the last list over a restart, a snapshot with the changes since. However it is spoilt, what is taken
// from it is a list that the registry once had.
func TestCache(t *testing.T) {
	cache := filepath.Join(t.TempDir(), "cache")
	had := map[int64]string{7: "a b", 8: "a b c", 9: "b c", 0: ""}
	f := &fake{scripts: [][]string{
		{list(7, true, "a", "b") + "\n", "hang"}, // a silence each, so that what came is written by itself
		{list(8, false, "c") + "\n", "hang"},
		{list(9, false, "-a") + "\n", "hang"},
	}}
	opt := Options{Endpoints: []string{serve(t, f)}, CacheDir: cache, IdleTimeout: 50 * time.Millisecond}
	follow(t, opt, func(v View) bool { return v.Revision == 9 })
	restart := func() View {
		r, err := NewWatcher(Options{Endpoints: []string{"127.0.0.1:1"}, CacheDir: cache})
		if err != nil {
			t.Fatal(err)
		}
		return r.View()
	}
	if v := restart(); v.Revision != 9 || uids(v) != had[9] || !v.LastContact.IsZero() || v.FullLists != 0 {
		t.Errorf("after a restart: %+v", v)
	}
	files, err := filepath.Glob(filepath.Join(cache, "registry-list-*"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		whole, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for i := range whole {
			for _, spoilt := range [][]byte{whole[:i], slices.Concat(whole[:i], []byte{whole[i] ^ 1}, whole[i+1:])} {
				if err := os.WriteFile(path, spoilt, 0o600); err != nil {
					t.Fatal(err)
				}
				if v := restart(); uids(v) != had[v.Revision] {
					t.Fatalf("%s spoilt at byte %d: revision %d of %q", path, i, v.Revision, uids(v))
				}
			}
		}
		if err := os.WriteFile(path, whole, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// A folder that cannot be had, or is another's, costs the cache and nothing else, and is said.
func TestCacheCannotBe(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, []byte("of an older version"), 0o600); err != nil {
		t.Fatal(err)
	}
	taken := filepath.Join(dir, "taken")
	other, err := durable.Open(durable.Options{Dir: taken, Kind: "registry-list"})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	for cache, want := range map[string]string{file: "not a directory", taken: "another process"} {
		var mu sync.Mutex
		said := ""
		f := &fake{scripts: [][]string{{list(7, true, "a") + "\n", list(8, false, "b") + "\n", "hang"}}}
		follow(t, Options{Endpoints: []string{serve(t, f)}, CacheDir: cache, Log: func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			said += fmt.Sprintf(format, args...)
		}}, func(v View) bool { return v.Revision == 8 })
		if !strings.Contains(said, want) {
			t.Errorf("%s: said %q", cache, said)
		}
	}
}

// What keeping one change costs, by the list's length.
func BenchmarkCacheChange(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, err := NewWatcher(Options{Endpoints: []string{"127.0.0.1:1"}, CacheDir: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			all := message{Revision: 1, FullList: true}
			for i := range n {
				all.Instances = append(all.Instances, &state.Instance{UID: fmt.Sprintf("s-%08x", i*7919), Endpoint: "10.1.0.18:3000", Zone: "a", State: state.Serving, ModRevision: 1})
			}
			r.take(all)
			if err := r.cache.write(r); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := range b.N {
				e := *all.Instances[i%n]
				e.ModRevision = int64(i) + 2
				r.take(message{Revision: e.ModRevision, Instances: []*state.Instance{&e}})
				if err := r.cache.write(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// A write whose answer is lost is repeated with the same id, at another replica; what the registry refuses is not.
func TestWriter(t *testing.T) {
	var ids []string
	calls := 0
	first := serve(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var b strings.Builder
		buf := make([]byte, 4096)
		for n, err := q.Body.Read(buf); ; n, err = q.Body.Read(buf) {
			b.Write(buf[:n])
			if err != nil {
				break
			}
		}
		_, id, _ := strings.Cut(b.String(), `"id":"`)
		ids = append(ids, id[:min(24, len(id))])
		switch calls++; calls {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			fmt.Fprint(w, `{"answers":[{"rev":3}]}`)
		default:
			w.WriteHeader(http.StatusBadRequest)
			fmt.Fprint(w, `{"error":"no"}`)
		}
	}))
	w, err := New(Options{Endpoints: []string{first}, InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	a, err := w.Write(ctx, state.Op{Kind: state.OpRemove, UID: "a"})
	if err != nil || a[0].Revision != 3 || len(ids) != 3 || ids[0] == "" || ids[0] != ids[1] || ids[1] != ids[2] {
		t.Errorf("%+v, %v, ids %q", a, err, ids)
	}
	if _, err := w.Write(ctx, state.Op{Kind: state.OpRemove, UID: "a"}); err == nil || !strings.Contains(err.Error(), "no") || calls != 4 {
		t.Errorf("refused: %v after %d calls", err, calls)
	}
	w.http.CloseIdleConnections()
}
