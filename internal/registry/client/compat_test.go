package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/registry/golden"
	"umberbank/internal/registry/state"
)

// recorder is a registry that writes down what it is asked and answers by path.
type recorder struct {
	mu      sync.Mutex
	out     bytes.Buffer
	answers map[string]string
}

// idPattern finds the id that a client draws for a write.
var idPattern = regexp.MustCompile(`"id":"[0-9a-f]{24}"`)

func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.out, "%s %s %s\n", q.Method, q.URL.RequestURI(), q.Proto)
	var headers []string
	for name, values := range q.Header {
		headers = append(headers, name+": "+strings.Join(values, ", "))
	}
	if q.Close {
		headers = append(headers, "Connection: close")
	}
	slices.Sort(headers)
	for _, h := range headers {
		fmt.Fprintln(&r.out, h)
	}
	fmt.Fprintf(&r.out, "%s\n\n", idPattern.ReplaceAll(body, []byte(`"id":"ID"`)))
	io.WriteString(w, r.answers[q.URL.Path])
}

// What a client sends keeps its form, as replicas of other versions read it, and so does what it reads.
func TestRequestsGolden(t *testing.T) {
	r := &recorder{answers: map[string]string{
		"/registry/write":     `{"answers":[{"rev":3,"token":4},{"rev":5,"fault":"conflict","why":"because"}]}`,
		"/registry/agreed":    `{"rev":9,"permits":[],"records":[],"units":[{"uid":"u1","endpoint":"a:1","state":"SERVING","boot_ms":2000}]}`,
		"/registry/renew":     `{"unknown":["u1"]}`,
		"/registry/instances": `{"rev":12,"all":true,"targets":[{"uid":"a","endpoint":"a:1","state":"SERVING","mod":11}]}` + "\n",
	}}
	address := serve(t, r)
	w, err := New(Options{Endpoints: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	defer w.http.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	answers, err := w.Write(ctx, state.Op{Kind: state.OpRemove, UID: "a"}, state.Op{Kind: state.OpNoop, ID: "own"})
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(answers)
	if err != nil || string(text) != `[{"rev":3,"token":4},{"rev":5,"fault":"conflict","why":"because"}]` {
		t.Errorf("%s, %v", text, err)
	}
	if _, err := w.PollCoordination(ctx, url.Values{"unit": {"u1"}}, 7, 250*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	boot, err := w.NextStartTime(ctx, "u1", time.UnixMilli(1000))
	if err != nil || boot != 2001 {
		t.Errorf("%v, %v", boot, err)
	}
	r.answers["/registry/write"] = `{"answers":[{"rev":3,"token":4}]}`
	if _, err := w.WriteOne(ctx, state.Op{Kind: state.OpBeginPermit, UID: "u1", Token: 4}); err != nil {
		t.Fatal(err)
	}
	h := NewLeaseHolder(w)
	if err := h.Register(ctx, &state.Instance{UID: "u1", Endpoint: "a:1", State: state.Serving, TTLMS: 2000}); err != nil {
		t.Fatal(err)
	}
	if err := h.Renew(ctx); err != nil {
		t.Fatal(err)
	}
	watcher, err := NewWatcher(Options{Endpoints: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	watching, stop := context.WithCancel(ctx)
	err = watcher.Run(watching, func(u WatchEvent) {
		text, err := json.Marshal(u)
		r.mu.Lock()
		defer r.mu.Unlock()
		fmt.Fprintf(&r.out, "event %s %v\n", text, err)
		stop()
	})
	if !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	golden.Check(t, "requests.golden", r.out.Bytes())
}

// failOnWrite fails the test with whatever is logged.
type failOnWrite struct{ t *testing.T }

func (w failOnWrite) Write(line []byte) (int, error) {
	w.t.Errorf("logged: %s", line)
	return len(line), nil
}

// A cache folder that an earlier version wrote gives the list that it held.
func TestStoredCache(t *testing.T) {
	r, err := NewWatcher(Options{Endpoints: []string{"127.0.0.1:1"}, CacheDir: golden.CopyDir(t, "cache"), Logger: slog.New(slog.NewTextHandler(failOnWrite{t}, nil))})
	if err != nil {
		t.Fatal(err)
	}
	v := r.View()
	entries, err := json.Marshal(v.Instances)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "cache.golden", fmt.Appendf(nil, "%d %s\n", v.Revision, entries))
}

// cacheScript is what a registry says while a cache is written: the list, and changes one by one.
func cacheScript() [][]string {
	const entry = `{"uid":"s0","endpoint":"10.0.0.1:3000","az":"a","model":"m5","pod_group":1,"state":"SERVING","capacity_hint":1.5,"boot_ms":1,` +
		`"role":"node","tier":"web","region":"north","version":"v1","ttl_ms":2000,"token":3,"mod":7,"suspect":true,"cold":0.5}`
	return [][]string{
		{`{"rev":7,"all":true,"targets":[` + entry + `,{"uid":"a","endpoint":"a:1","state":"SERVING","mod":6}]}` + "\n", "hang"}, // a silence each, so that what came is written by itself
		{list(8, false, "c") + "\n", "hang"},
		{list(9, false, "-a") + "\n", "hang"},
	}
}

// writeCache has a Watcher write its cache.
func writeCache(t *testing.T, dir string) {
	t.Helper()
	f := &fakeReplica{scripts: cacheScript()}
	follow(t, Options{Endpoints: []string{serve(t, f)}, CacheDir: dir, IdleTimeout: 50 * time.Millisecond}, func(v View) bool { return v.Revision == 9 })
}

// What a cache's files hold keeps its form, for an older version that is started again on them.
func TestCacheGolden(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "cache")
	writeCache(t, dir)
	opt := durable.Options{Dir: dir, Kind: "registry-list", Schema: 1}
	var out bytes.Buffer
	found, thrown := durable.Load(opt, func(s durable.Snapshot) error {
		fmt.Fprintf(&out, "%s %d %d\n%s\n", s.Kind, s.Schema, s.Seq, s.Payload)
		return nil
	})
	if found == nil || len(thrown) > 0 {
		t.Fatal(found, thrown)
	}
	if bad := durable.Replay(opt, found.Seq, func(record []byte) error {
		fmt.Fprintf(&out, "%s\n", record)
		return nil
	}); bad != nil {
		t.Fatal(bad)
	}
	golden.Check(t, "cachefiles.golden", out.Bytes())
}
