package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/discovery"
	"umberbank/internal/node/metrics"
	"umberbank/internal/node/nodetest"
)

// TestWatch follows a node through everything that a watch can bring.
func TestWatch(t *testing.T) {
	t.Parallel()
	addr, lines, asked := nodetest.Discovery(t)
	events := make(chan balancer.Event, 10)
	startNode(t, testConfig(addr, serving("old", "127.0.0.1:1")),
		decisionsFunc(func(e balancer.Event) []balancer.Action {
			events <- e
			switch e := e.(type) {
			case balancer.EndpointUpdate:
				if e.Cached {
					return []balancer.Action{balancer.Subscribe{}}
				}
			case balancer.SubscriptionFailed:
				return []balancer.Action{balancer.Subscribe{}}
			}
			return nil
		}))
	list := func(full, cached bool, ids ...string) {
		t.Helper()
		l, is := nodetest.Wait(t, events).(balancer.EndpointUpdate)
		if !is || l.Full != full || l.Cached != cached || len(l.Endpoints) != len(ids) {
			t.Fatalf("event %+v", l)
		}
		for i, s := range l.Endpoints {
			if s.ID != ids[i] {
				t.Errorf("server %+v, want %s", s, ids[i])
			}
		}
	}
	failed := func() {
		t.Helper()
		if e, is := nodetest.Wait(t, events).(balancer.SubscriptionFailed); !is {
			t.Fatalf("event %+v, want ListFailed", e)
		}
	}
	query := func(since int) {
		t.Helper()
		if got, want := nodetest.Wait(t, asked), fmt.Sprintf("/registry/instances?follow=1&since=%d", since); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
	list(true, true, "old")
	query(7)
	lines <- nodetest.Message(8, true, nodetest.Target("a", "SERVING"), nodetest.Target("b", "SERVING"))
	list(true, false, "a", "b")
	lines <- "" // a heartbeat
	lines <- nodetest.Message(9, false, nodetest.Target("b", "DRAINING"))
	list(false, false, "b")
	lines <- "end"
	failed()
	query(9)
	// A line that is not whole or makes no sense ends the watch and changes nothing.
	for _, bad := range []string{"{", nodetest.Message(12, true, nodetest.Target("c", "SLEEPING")), nodetest.Message(12, true, nodetest.Target("", "SERVING")),
		nodetest.Message(12, true, strings.Replace(nodetest.Target("c", "SERVING"), "127.0.0.1:1", "nowhere", 1))} {
		lines <- bad
		failed()
		query(9)
	}
	lines <- nodetest.Message(13, false, nodetest.Target("a", "DELETED"))
	list(false, false, "a")
}

// A reload while the watch is silent: whatever the new address's watches do, its list arrives soon.
func TestReloadAmidSilence(t *testing.T) {
	t.Parallel()
	agent := func(first, list string) string { // what its watches say before they fall silent, and its whole list
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if nodetest.IsPoll(r) && list != "" {
				fmt.Fprint(w, list)
				return
			}
			fmt.Fprint(w, first)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(s.CloseClientConnections)
		return strings.TrimPrefix(s.URL, "http://")
	}
	before := agent(nodetest.Message(8, true, nodetest.Target("a", "SERVING"))+"\n", "")
	after := agent("", nodetest.Message(9, true, nodetest.Target("a", "DRAINING")))
	cfg := testConfig(before)
	cfg.Settings.PollDiscovery = false
	news := make(chan struct{}, 10)
	n := startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
		if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
			news <- struct{}{}
		}
		return nil
	}))
	nodetest.Wait(t, news) // it is proven for a while
	cfg.Discovery = after
	reloaded := time.Now()
	if err := n.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	nodetest.Wait(t, news)
	if took := time.Since(reloaded); took >= discovery.SilenceTimeout {
		t.Errorf("news %v after the reload", took)
	}
}

// There is one watch at a time: a second Subscribe ends the first.
func TestOneWatch(t *testing.T) {
	t.Parallel()
	open, closed := make(chan struct{}, 10), make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if nodetest.IsPoll(r) {
			<-r.Context().Done()
			return
		}
		w.(http.Flusher).Flush()
		open <- struct{}{}
		<-r.Context().Done()
		closed <- struct{}{}
	}))
	t.Cleanup(s.CloseClientConnections)
	n := startNode(t, testConfig(strings.TrimPrefix(s.URL, "http://")),
		decisionsFunc(func(balancer.Event) []balancer.Action { return nil }))
	n.loop.post(func() { n.loop.watcher.client.SilenceTimeout = time.Hour; n.loop.watcher.subscribe() })
	nodetest.Wait(t, open)
	n.loop.post(n.loop.watcher.subscribe)
	nodetest.Wait(t, open)
	nodetest.Wait(t, closed)
}

// Where the list is pushed the node watches by itself, and again after a watch has ended.
func TestPushedList(t *testing.T) {
	t.Parallel()
	addr, lines, asked := nodetest.Discovery(t)
	cfg := testConfig(addr)
	cfg.Settings.PollDiscovery = false
	startNode(t, cfg, nil)
	nodetest.Wait(t, asked)
	lines <- "end"
	nodetest.Wait(t, asked)
}

// After a reload the list is followed at the new address, from the revision that the node has.
func TestReload(t *testing.T) {
	t.Parallel()
	before, lines, asked := nodetest.Discovery(t)
	after, newLines, newAsked := nodetest.Discovery(t)
	cfg := testConfig(before)
	cfg.Settings.PollDiscovery = false
	lists := make(chan balancer.EndpointUpdate, 10)
	n := startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
		if l, is := e.(balancer.EndpointUpdate); is {
			lists <- l
		}
		return nil
	}))
	nodetest.Wait(t, lists) // the cached one
	nodetest.Wait(t, asked)
	lines <- nodetest.Message(9, true, nodetest.Target("a", "SERVING"))
	nodetest.Wait(t, lists)
	cfg.Discovery = after
	_ = n.Reload(cfg)
	if got := nodetest.Wait(t, newAsked); !strings.HasSuffix(got, "since=9") {
		t.Errorf("asked %s", got)
	}
	newLines <- nodetest.Message(10, false, nodetest.Target("b", "SERVING"))
	if l := nodetest.Wait(t, lists); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "b" {
		t.Errorf("list %+v", l)
	}
}

// Start times are Unix time, as is the node's clock, whenever the node itself started.
func TestStartTime(t *testing.T) {
	c := clock{time.Now()}
	boot := c.start.Add(-3 * time.Second) // before the node
	s := discovery.Entry{UID: "s", State: "SERVING", StartTimeMS: float64(boot.UnixMilli())}.Endpoint()
	if age := c.now() - s.StartTime; age < 3*time.Second || age > 3*time.Second+nodetest.Limit {
		t.Errorf("age %v", age)
	}
	if s := (discovery.Entry{}).Endpoint(); s.StartTime != 0 {
		t.Errorf("a boot long ago is %v", s.StartTime)
	}
}

// The loop must not use an endpoint that the list no longer names, nor an address that it has left.
func TestListRulesServers(t *testing.T) {
	m := decisionsFunc(func(balancer.Event) []balancer.Action { return nil })
	cfg := testConfig("127.0.0.1:1")
	l := newLoop(cfg, m, newTestPool(cfg), discovery.NewClient(cfg.Discovery), &metrics.Metrics{})
	l.applyUpdate(discovery.Update{Full: true, Entries: []discovery.Entry{serving("a", "127.0.0.1:1"), serving("b", "127.0.0.1:2"),
		serving("c", "127.0.0.1:3")}}, false)
	a, b, c := l.endpoints["a"], l.endpoints["b"], l.endpoints["c"]
	drain := serving("a", "127.0.0.1:1")
	drain.State = "DRAINING"
	l.applyUpdate(discovery.Update{Entries: []discovery.Entry{drain, serving("b", "127.0.0.1:9")}}, false)
	if a.Ready() || b.Ready() || !c.Ready() || !l.endpoints["b"].Ready() {
		t.Error("after changes: a drains, b moved, c stays")
	}
	l.applyUpdate(discovery.Update{Entries: []discovery.Entry{serving("a", "127.0.0.1:1")}}, false)
	if !a.Ready() || l.endpoints["a"] != a {
		t.Error("a serves again")
	}
	l.applyUpdate(discovery.Update{Full: true, Entries: []discovery.Entry{serving("a", "127.0.0.1:1")}}, false)
	if c.Ready() || len(l.endpoints) != 1 {
		t.Error("a full list that names only a")
	}
}

// The delay between watches doubles while they end at once, and is short again after one that lasted.
func TestRewatchDelay(t *testing.T) {
	w := &watcher{}
	for i, want := range []time.Duration{minRewatchDelay, 2 * minRewatchDelay, 4 * minRewatchDelay} {
		if got := w.nextRewatchDelay(0); got != want {
			t.Errorf("rest %d is %v, want %v", i, got, want)
		}
	}
	for range 10 {
		w.nextRewatchDelay(0)
	}
	if got := w.nextRewatchDelay(0); got != maxRewatchDelay {
		t.Errorf("at last it is %v", got)
	}
	if got := w.nextRewatchDelay(time.Minute); got != minRewatchDelay {
		t.Errorf("after a watch that lasted it is %v", got)
	}
}
