package client

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"umberbank/internal/durable"
	"umberbank/internal/registry/state"
)

// After a restart, the Watcher loads the last list from a snapshot and the log of the changes since. If a cache file is
// truncated at any byte, or any byte of it has a flipped bit, the loaded list is still the one that the registry had at the
// loaded revision.
func TestCache(t *testing.T) {
	cache := filepath.Join(t.TempDir(), "cache")
	listAt := map[int64]string{7: "a b", 8: "a b c", 9: "b c", 0: ""}
	f := &fakeReplica{scripts: [][]string{
		{list(7, true, "a", "b") + "\n", "hang"}, // while a watch hangs until the idle timeout, the cache writes its event
		{list(8, false, "c") + "\n", "hang"},
		{list(9, false, "-a") + "\n", "hang"},
	}}
	opt := Options{Endpoints: []string{serve(t, f)}, CacheDir: cache, IdleTimeout: 50 * time.Millisecond}
	follow(t, opt, func(v View) bool { return v.Revision == 9 })
	restart := func() View {
		w, err := NewWatcher(Options{Endpoints: []string{"127.0.0.1:1"}, CacheDir: cache})
		if err != nil {
			t.Fatal(err)
		}
		return w.View()
	}
	if v := restart(); v.Revision != 9 || uids(v) != listAt[9] || !v.LastContact.IsZero() || v.FullLists != 0 {
		t.Errorf("view after a restart: %+v, want the list of revision 9 without contact", v)
	}
	files, err := filepath.Glob(filepath.Join(cache, "registry-list-*"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, path := range files {
		intact, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for i := range intact {
			for _, damaged := range [][]byte{intact[:i], slices.Concat(intact[:i], []byte{intact[i] ^ 1}, intact[i+1:])} {
				if err := os.WriteFile(path, damaged, 0o600); err != nil {
					t.Fatal(err)
				}
				if v := restart(); uids(v) != listAt[v.Revision] {
					t.Fatalf("%s damaged at byte %d: loaded revision %d with %q", path, i, v.Revision, uids(v))
				}
			}
		}
		if err := os.WriteFile(path, intact, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// logBuffer collects log output from several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// If the cache directory cannot be created, or another Store holds its lock, the Watcher works without a cache and logs the
// reason.
func TestCacheUnavailable(t *testing.T) {
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
		var logged logBuffer
		f := &fakeReplica{scripts: [][]string{{list(7, true, "a") + "\n", list(8, false, "b") + "\n", "hang"}}}
		follow(t, Options{Endpoints: []string{serve(t, f)}, CacheDir: cache, Logger: slog.New(slog.NewTextHandler(&logged, nil))}, func(v View) bool { return v.Revision == 8 })
		if text := logged.String(); !strings.Contains(text, want) {
			t.Errorf("%s: logged %q without the reason", cache, text)
		}
	}
}

// BenchmarkCacheChange measures the cost of caching one change, for two lengths of the list.
func BenchmarkCacheChange(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w, err := NewWatcher(Options{Endpoints: []string{"127.0.0.1:1"}, CacheDir: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			all := WatchEvent{Revision: 1, FullList: true}
			for i := range n {
				all.Instances = append(all.Instances, &state.Instance{UID: fmt.Sprintf("s-%08x", i*7919), Endpoint: "10.1.0.18:3000", Zone: "a", State: state.Serving, ModRevision: 1})
			}
			w.apply(all)
			if err := w.cache.write(); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := range b.N {
				e := *all.Instances[i%n]
				e.ModRevision = int64(i) + 2
				w.apply(WatchEvent{Revision: e.ModRevision, Instances: []*state.Instance{&e}})
				if err := w.cache.write(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// A list that has become empty is cached as an empty list. After a restart it replaces the servers that were removed.
func TestCacheEmptyList(t *testing.T) {
	cache := filepath.Join(t.TempDir(), "cache")
	f := &fakeReplica{scripts: [][]string{{list(7, true) + "\n", "hang"}}}
	opt := Options{Endpoints: []string{serve(t, f)}, CacheDir: cache, IdleTimeout: 50 * time.Millisecond}
	follow(t, opt, func(v View) bool { return v.Revision == 7 })
	w, err := NewWatcher(Options{Endpoints: []string{"127.0.0.1:1"}, CacheDir: cache})
	if err != nil {
		t.Fatal(err)
	}
	if v := w.View(); v.Revision != 7 || len(v.Instances) != 0 {
		t.Errorf("view after a restart: %+v, want the empty list of revision 7", v)
	}
}
