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

// TestWatch checks the events that a watch causes for complete lists, changes, heartbeats, its end and malformed messages,
// and the revision from which the next watch continues.
func TestWatch(t *testing.T) {
	t.Parallel()
	addr, lines, watches := nodetest.StubDiscovery(t)
	events := make(chan balancer.Event, 10)
	startNode(t, testConfig(addr, servingEntry("old", "127.0.0.1:1")),
		balancerFunc(func(e balancer.Event) []balancer.Action {
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
	expectList := func(full, cached bool, ids ...string) {
		t.Helper()
		l, ok := nodetest.Wait(t, events).(balancer.EndpointUpdate)
		if !ok || l.Full != full || l.Cached != cached || len(l.Endpoints) != len(ids) {
			t.Fatalf("got event %+v", l)
		}
		for i, s := range l.Endpoints {
			if s.ID != ids[i] {
				t.Errorf("got endpoint %+v, want %s", s, ids[i])
			}
		}
	}
	expectFailure := func() {
		t.Helper()
		if e, ok := nodetest.Wait(t, events).(balancer.SubscriptionFailed); !ok {
			t.Fatalf("got event %+v, want SubscriptionFailed", e)
		}
	}
	expectWatch := func(since int) {
		t.Helper()
		if got, want := nodetest.Wait(t, watches), fmt.Sprintf("/registry/instances?follow=1&since=%d", since); got != want {
			t.Errorf("got watch %s, want %s", got, want)
		}
	}
	expectList(true, true, "old")
	expectWatch(7)
	lines <- nodetest.Message(8, true, nodetest.Target("a", "SERVING"), nodetest.Target("b", "SERVING"))
	expectList(true, false, "a", "b")
	lines <- "" // a heartbeat
	lines <- nodetest.Message(9, false, nodetest.Target("b", "DRAINING"))
	expectList(false, false, "b")
	lines <- "end"
	expectFailure()
	expectWatch(9)
	// A malformed message ends the watch and changes nothing.
	for _, bad := range []string{"{", nodetest.Message(12, true, nodetest.Target("c", "SLEEPING")), nodetest.Message(12, true, nodetest.Target("", "SERVING")),
		nodetest.Message(12, true, strings.Replace(nodetest.Target("c", "SERVING"), "127.0.0.1:1", "nowhere", 1))} {
		lines <- bad
		expectFailure()
		expectWatch(9)
	}
	lines <- nodetest.Message(13, false, nodetest.Target("a", "DELETED"))
	expectList(false, false, "a")
}

// If the discovery address changes while the watch is silent, the list of the new address arrives within SilenceTimeout,
// even if watches at the new address stay silent too.
func TestReloadWhileWatchIsSilent(t *testing.T) {
	t.Parallel()
	// startDiscovery starts a discovery whose watches send first and then stay silent. Polls receive list unless it is empty.
	startDiscovery := func(first, list string) string {
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
	before := startDiscovery(nodetest.Message(8, true, nodetest.Target("a", "SERVING"))+"\n", "")
	after := startDiscovery("", nodetest.Message(9, true, nodetest.Target("a", "DRAINING")))
	cfg := testConfig(before)
	cfg.Settings.PollDiscovery = false
	updates := make(chan struct{}, 10)
	n := startNode(t, cfg, balancerFunc(func(e balancer.Event) []balancer.Action {
		if l, ok := e.(balancer.EndpointUpdate); ok && !l.Cached {
			updates <- struct{}{}
		}
		return nil
	}))
	nodetest.Wait(t, updates) // confirms the list, so that no poll is due for SilenceTimeout
	cfg.Discovery = after
	reloaded := time.Now()
	if err := n.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	nodetest.Wait(t, updates)
	if took := time.Since(reloaded); took >= discovery.SilenceTimeout {
		t.Errorf("got the update %v after the reload, want less than SilenceTimeout", took)
	}
}

// There is one watch at a time: a new subscription ends the previous watch.
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
		balancerFunc(func(balancer.Event) []balancer.Action { return nil }))
	n.loop.post(func() { n.loop.watcher.client.SilenceTimeout = time.Hour; n.loop.watcher.subscribe() })
	nodetest.Wait(t, open)
	n.loop.post(n.loop.watcher.subscribe)
	nodetest.Wait(t, open)
	nodetest.Wait(t, closed)
}

// In push mode, the node opens a watch itself, and reopens it after it has ended.
func TestPushMode(t *testing.T) {
	t.Parallel()
	addr, lines, watches := nodetest.StubDiscovery(t)
	cfg := testConfig(addr)
	cfg.Settings.PollDiscovery = false
	startNode(t, cfg, nil)
	nodetest.Wait(t, watches)
	lines <- "end"
	nodetest.Wait(t, watches)
}

// After a reload the node watches the new discovery address, from its current revision on.
func TestReload(t *testing.T) {
	t.Parallel()
	before, lines, watches := nodetest.StubDiscovery(t)
	after, newLines, newWatches := nodetest.StubDiscovery(t)
	cfg := testConfig(before)
	cfg.Settings.PollDiscovery = false
	lists := make(chan balancer.EndpointUpdate, 10)
	n := startNode(t, cfg, balancerFunc(func(e balancer.Event) []balancer.Action {
		if l, ok := e.(balancer.EndpointUpdate); ok {
			lists <- l
		}
		return nil
	}))
	nodetest.Wait(t, lists) // the cached list
	nodetest.Wait(t, watches)
	lines <- nodetest.Message(9, true, nodetest.Target("a", "SERVING"))
	nodetest.Wait(t, lists)
	cfg.Discovery = after
	_ = n.Reload(cfg)
	if got := nodetest.Wait(t, newWatches); !strings.HasSuffix(got, "since=9") {
		t.Errorf("got watch %s, want one since revision 9", got)
	}
	newLines <- nodetest.Message(10, false, nodetest.Target("b", "SERVING"))
	if l := nodetest.Wait(t, lists); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "b" {
		t.Errorf("got list %+v", l)
	}
}

// Start times of endpoints and the node's clock are both Unix times, even for endpoints that started before the node.
func TestStartTime(t *testing.T) {
	c := clock{time.Now()}
	boot := c.start.Add(-3 * time.Second) // before the node's start
	s := discovery.Entry{UID: "s", State: "SERVING", StartTimeMS: float64(boot.UnixMilli())}.Endpoint()
	if age := c.now() - s.StartTime; age < 3*time.Second || age > 3*time.Second+nodetest.Timeout {
		t.Errorf("got age %v, want at least 3s and at most nodetest.Timeout more", age)
	}
	if s := (discovery.Entry{}).Endpoint(); s.StartTime != 0 {
		t.Errorf("entry without a start time: got %v, want 0", s.StartTime)
	}
}

// The loop uses only endpoints in the list, at their current addresses.
func TestEndpointsFollowList(t *testing.T) {
	m := balancerFunc(func(balancer.Event) []balancer.Action { return nil })
	cfg := testConfig("127.0.0.1:1")
	l := newLoop(cfg, m, newTestPool(cfg), discovery.NewClient(cfg.Discovery), &metrics.Metrics{})
	l.applyUpdate(discovery.Update{Full: true, Entries: []discovery.Entry{servingEntry("a", "127.0.0.1:1"), servingEntry("b", "127.0.0.1:2"),
		servingEntry("c", "127.0.0.1:3")}}, false)
	a, b, c := l.endpoints["a"], l.endpoints["b"], l.endpoints["c"]
	drain := servingEntry("a", "127.0.0.1:1")
	drain.State = "DRAINING"
	l.applyUpdate(discovery.Update{Entries: []discovery.Entry{drain, servingEntry("b", "127.0.0.1:9")}}, false)
	if a.Ready() || b.Ready() || !c.Ready() || !l.endpoints["b"].Ready() {
		t.Error("after a drains and b moves, only the new b and c must be ready")
	}
	l.applyUpdate(discovery.Update{Entries: []discovery.Entry{servingEntry("a", "127.0.0.1:1")}}, false)
	if !a.Ready() || l.endpoints["a"] != a {
		t.Error("after a serves again, it must be ready and the same endpoint")
	}
	l.applyUpdate(discovery.Update{Full: true, Entries: []discovery.Entry{servingEntry("a", "127.0.0.1:1")}}, false)
	if c.Ready() || len(l.endpoints) != 1 {
		t.Error("after a full list with a alone, c must be removed")
	}
}

// The delay before the next watch doubles up to maxRewatchDelay while watches last for at most maxRewatchDelay. A watch that
// lasted longer resets the delay.
func TestRewatchDelay(t *testing.T) {
	w := &watcher{}
	for i, want := range []time.Duration{minRewatchDelay, 2 * minRewatchDelay, 4 * minRewatchDelay} {
		if got := w.nextRewatchDelay(0); got != want {
			t.Errorf("delay %d is %v, want %v", i, got, want)
		}
	}
	for range 10 {
		w.nextRewatchDelay(0)
	}
	if got := w.nextRewatchDelay(0); got != maxRewatchDelay {
		t.Errorf("after many short watches the delay is %v, want maxRewatchDelay", got)
	}
	if got := w.nextRewatchDelay(time.Minute); got != minRewatchDelay {
		t.Errorf("after a watch of one minute the delay is %v, want minRewatchDelay", got)
	}
}

// Guards against a node that begins to serve with a list that the balancer does not have yet.
func TestListReadyOnceBalancerHasIt(t *testing.T) {
	t.Parallel()
	var n *Node
	updates := 0
	n, err := newNode(testConfig("127.0.0.1:1"), balancerFunc(func(e balancer.Event) []balancer.Action {
		if _, isUpdate := e.(balancer.EndpointUpdate); isUpdate {
			updates++
			if n.loop.watcher.isListReady {
				t.Error("the list is ready before the balancer has it")
			}
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.listener.Close() })
	n.loop.applyUpdate(discovery.Update{Revision: 9, Full: true}, false)
	if updates != 1 || !n.loop.watcher.isListReady {
		t.Errorf("%d updates, list ready %v", updates, n.loop.watcher.isListReady)
	}
}
