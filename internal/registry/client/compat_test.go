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

// recorder is a fake registry that records each request and returns a fixed response for each path.
type recorder struct {
	mu        sync.Mutex
	out       bytes.Buffer
	responses map[string]string
}

// idPattern matches the id that a client generates for a write.
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
	io.WriteString(w, r.responses[q.URL.Path])
}

// The encodings of requests and responses must not change, because clients and replicas of different versions exchange them.
func TestRequestsGolden(t *testing.T) {
	r := &recorder{responses: map[string]string{
		"/registry/write":     `{"answers":[{"rev":3,"token":4},{"rev":5,"fault":"conflict","why":"because"}]}`,
		"/registry/agreed":    `{"rev":9,"permits":[],"records":[],"units":[{"uid":"u1","endpoint":"a:1","state":"SERVING","boot_ms":2000}]}`,
		"/registry/renew":     `{"unknown":["u1"]}`,
		"/registry/instances": `{"rev":12,"all":true,"targets":[{"uid":"a","endpoint":"a:1","state":"SERVING","mod":11}]}` + "\n",
	}}
	address := serve(t, r)
	cl, err := New(Options{Endpoints: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	defer cl.http.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	results, err := cl.Write(ctx, state.Op{Kind: state.OpRemove, UID: "a"}, state.Op{Kind: state.OpNoop, ID: "own"})
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(results)
	if err != nil || string(text) != `[{"rev":3,"token":4},{"rev":5,"fault":"conflict","why":"because"}]` {
		t.Errorf("results encode as %s, error %v", text, err)
	}
	if _, err := cl.PollCoordination(ctx, url.Values{"unit": {"u1"}}, 7, 250*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	startTime, err := cl.NextStartTime(ctx, "u1", time.UnixMilli(1000))
	if err != nil || startTime != 2001 {
		t.Errorf("got start time %v, error %v; want 2001", startTime, err)
	}
	r.responses["/registry/write"] = `{"answers":[{"rev":3,"token":4}]}`
	if _, err := cl.WriteOne(ctx, state.Op{Kind: state.OpBeginPermit, UID: "u1", Token: 4}); err != nil {
		t.Fatal(err)
	}
	h := NewLeaseHolder(cl)
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

// failOnWrite is a log writer that fails the test on any output.
type failOnWrite struct{ t *testing.T }

func (w failOnWrite) Write(line []byte) (int, error) {
	w.t.Errorf("logged: %s", line)
	return len(line), nil
}

// A cache directory written by an earlier version loads without errors, and gives the list that was stored.
func TestStoredCache(t *testing.T) {
	w, err := NewWatcher(Options{Endpoints: []string{"127.0.0.1:1"}, CacheDir: golden.CopyDir(t, "cache"), Logger: slog.New(slog.NewTextHandler(failOnWrite{t}, nil))})
	if err != nil {
		t.Fatal(err)
	}
	v := w.View()
	entries, err := json.Marshal(v.Instances)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "cache.golden", fmt.Appendf(nil, "%d %s\n", v.Revision, entries))
}

// cacheScript returns the scripts of a fakeReplica: the full list and two changes, each in a watch of its own.
func cacheScript() [][]string {
	const instance = `{"uid":"s0","endpoint":"10.0.0.1:3000","az":"a","model":"m5","pod_group":1,"state":"SERVING","capacity_hint":1.5,"boot_ms":1,` +
		`"role":"node","tier":"web","region":"north","version":"v1","ttl_ms":2000,"token":3,"mod":7,"suspect":true,"cold":0.5}`
	return [][]string{
		{`{"rev":7,"all":true,"targets":[` + instance + `,{"uid":"a","endpoint":"a:1","state":"SERVING","mod":6}]}` + "\n", "hang"}, // while a watch hangs until the idle timeout, the cache writes its event
		{list(8, false, "c") + "\n", "hang"},
		{list(9, false, "-a") + "\n", "hang"},
	}
}

// writeCache runs a Watcher that writes its cache to dir.
func writeCache(t *testing.T, dir string) {
	t.Helper()
	f := &fakeReplica{scripts: cacheScript()}
	follow(t, Options{Endpoints: []string{serve(t, f)}, CacheDir: dir, IdleTimeout: 50 * time.Millisecond}, func(v View) bool { return v.Revision == 9 })
}

// The format of the cache files must not change, because after a rollback an older version reads them.
func TestCacheGolden(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "cache")
	writeCache(t, dir)
	opt := durable.Options{Dir: dir, Kind: "registry-list", Schema: 1}
	var out bytes.Buffer
	snapshot, skipped := durable.Load(opt, func(s durable.Snapshot) error {
		fmt.Fprintf(&out, "%s %d %d\n%s\n", s.Kind, s.Schema, s.Seq, s.Payload)
		return nil
	})
	if snapshot == nil || len(skipped) > 0 {
		t.Fatal(snapshot, skipped)
	}
	if damaged := durable.Replay(opt, snapshot.Seq, func(record []byte) error {
		fmt.Fprintf(&out, "%s\n", record)
		return nil
	}); damaged != nil {
		t.Fatal(damaged)
	}
	golden.Check(t, "cachefiles.golden", out.Bytes())
}
