package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/replica"
)

// The test binary is the replicas too.
func TestMain(m *testing.M) {
	if os.Getenv("TRIAL_TEST_REPLICA") == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := replica.Serve(ctx, os.Args[len(os.Args)-1], log, func(string) {}); err != nil {
		panic(err)
	}
}

func command(t *testing.T) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{"/usr/bin/env", "TRIAL_TEST_REPLICA=1", self}
}

// started is a cluster of three that runs, with a writer over all of them and more, until the test's end.
func started(t *testing.T, more ...string) (*cluster.Cluster, *client.Client) {
	t.Helper()
	c, err := cluster.New(command(t), 3, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for i := range c.Len() {
		if err := c.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	w, err := client.New(client.Options{Endpoints: append(c.Addresses(), more...)})
	if err != nil {
		t.Fatal(err)
	}
	return c, w
}

func run(t *testing.T, opt Options) *Result {
	t.Helper()
	opt.ReplicaCommand = command(t)
	r, err := Run(t.Context(), opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Three replicas, and one alone, under faults: writes and consistent reads are linearizable, watches have no gaps and
// never go back, and the registry is written to again afterwards.
func TestFaults(t *testing.T) {
	for seed, replicas := range map[uint64]int{1: 3, 2: 3, 3: 1, 4: 5} {
		t.Run(fmt.Sprint(replicas, " replicas, seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := run(t, Options{Seed: seed, Replicas: replicas})
			if len(r.Violations) > 0 {
				t.Errorf("%v, after %v", r.Violations, r.Faults)
			}
			if r.Writes-r.UnknownWrites < 10 || r.Reads < 10 || r.WatchEvents < 10 {
				t.Errorf("too little to judge: %+v", r)
			}
		})
	}
}

// liar stands before a replica and spoils what it says.
func liar(t *testing.T, spoil func(q *http.Request, body []byte) []byte) func(string) string {
	return func(address string) string {
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
		proxy.FlushInterval = -1
		proxy.ErrorLog = log.New(io.Discard, "", 0)
		proxy.ModifyResponse = func(resp *http.Response) error {
			if resp.Request.URL.Query().Get("follow") != "" {
				body := resp.Body
				pr, pw := io.Pipe()
				go func() {
					defer body.Close()
					buf := make([]byte, 1<<20)
					rest := []byte{}
					for {
						n, err := body.Read(buf)
						rest = append(rest, buf[:n]...)
						for i := bytes.IndexByte(rest, '\n'); i >= 0; i = bytes.IndexByte(rest, '\n') {
							pw.Write(spoil(resp.Request, bytes.Clone(rest[:i+1])))
							rest = rest[i+1:]
						}
						if err != nil {
							pw.CloseWithError(err)
							return
						}
					}
				}()
				resp.Body = pr
				return nil
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			text = spoil(resp.Request, text)
			resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
			resp.Header.Set("Content-Length", fmt.Sprint(len(text)))
			return err
		}
		srv := httptest.NewServer(proxy)
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
}

// The checks bite: a replica that answers consistent reads from an old state, and one that drops changes from its
// watches, are named.
func TestChecksBite(t *testing.T) {
	var mu sync.Mutex
	var old []byte
	reads, lines := 0, 0
	for name, c := range map[string]struct {
		spoil func(q *http.Request, body []byte) []byte
		want  string
	}{
		"stale": {func(q *http.Request, body []byte) []byte {
			if q.URL.Query().Get("consistent") == "" {
				return body
			}
			mu.Lock()
			defer mu.Unlock()
			if reads++; reads%20 == 1 || old == nil {
				old = body
			}
			return old
		}, "not linearizable"},
		"dropped": {func(q *http.Request, body []byte) []byte {
			mu.Lock()
			defer mu.Unlock()
			if q.URL.Query().Get("follow") != "" && len(body) > 1 && !bytes.Contains(body, []byte(`"all":true`)) {
				if lines++; lines%7 == 0 {
					return nil
				}
			}
			return body
		}, "missed the write"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := run(t, Options{Seed: 9, Replicas: 1, Duration: time.Second, Proxy: liar(t, c.spoil)})
			if !strings.Contains(strings.Join(r.Violations, "\n"), c.want) {
				t.Errorf("want %q, got %v", c.want, r.Violations)
			}
		})
	}
}
