package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"umberbank/balancer"
)

// registry is a stub of discovery: what comes on lines goes out on the watch that is open, one
// message or heartbeat at a time; "end" ends it. asked tells the query of each watch.
func registry(t *testing.T) (addr string, lines, asked chan string) {
	t.Helper()
	lines, asked = make(chan string), make(chan string, 100)
	newest := make(chan context.CancelFunc, 1) // ends the watch before, which may not know yet that it is over
	newest <- func() {}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asksWhole(r) {
			<-r.Context().Done()
			return
		}
		(<-newest)()
		ctx, cancel := context.WithCancel(r.Context())
		ended := make(chan struct{})
		defer close(ended)
		newest <- func() { cancel(); <-ended }
		asked <- r.URL.Path + "?" + r.URL.RawQuery
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
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
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), lines, asked
}

// asksWhole says that a question is one for the whole list, beside the watches.
func asksWhole(r *http.Request) bool { return r.URL.Query().Get("follow") == "" }

func entry(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,`+
		`"state":%q,"capacity_hint":2,"boot_ms":1500}`, uid, state)
}

func message(rev int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

// TestWatch follows a node through what a watch can bring.
func TestWatch(t *testing.T) {
	t.Parallel()
	addr, lines, asked := registry(t)
	events := make(chan balancer.Event, 10)
	startNode(t, testConfig(addr, serving("old", "127.0.0.1:1")),
		moduleFunc(func(e balancer.Event) []balancer.Action {
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
		l, is := wait(t, events).(balancer.EndpointUpdate)
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
		if e, is := wait(t, events).(balancer.SubscriptionFailed); !is {
			t.Fatalf("event %+v, want ListFailed", e)
		}
	}
	query := func(since int) {
		t.Helper()
		if got, want := wait(t, asked), fmt.Sprintf("/registry/instances?follow=1&since=%d", since); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
	list(true, true, "old")
	query(7)
	lines <- message(8, true, entry("a", "SERVING"), entry("b", "SERVING"))
	list(true, false, "a", "b")
	lines <- "" // a heartbeat
	lines <- message(9, false, entry("b", "DRAINING"))
	list(false, false, "b")
	lines <- "end"
	failed()
	query(9)
	// A line that is not whole or makes no sense ends the watch and changes nothing.
	for _, bad := range []string{"{", message(12, true, entry("c", "SLEEPING")), message(12, true, entry("", "SERVING")),
		message(12, true, strings.Replace(entry("c", "SERVING"), "127.0.0.1:1", "nowhere", 1))} {
		lines <- bad
		failed()
		query(9)
	}
	lines <- message(13, false, entry("a", "DELETED"))
	list(false, false, "a")
}

// However a message is laid out, it is news once it is whole, with its end of line, and not before.
func TestAssembly(t *testing.T) {
	t.Parallel()
	plain := message(9, true, entry("a", "SERVING"), entry("b", "DRAINING"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(plain), "", "  "); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"one line": plain, "indented": indented.String(), "with empty lines": strings.ReplaceAll(indented.String(), "\n", "\n\n"),
		"a bracket a line": strings.NewReplacer("{", "{\n", "}", "\n}").Replace(plain),
	} {
		var m assembly
		lines := strings.Split(text, "\n")
		for i, line := range lines {
			l, whole, err := m.add(bytes.TrimSpace([]byte(line)))
			if last := i == len(lines)-1; err != nil || whole != last || last && (l.Rev != 9 || len(l.Targets) != 2) {
				t.Fatalf("%s, line %d %q: %+v, whole %v, %v", name, i, line, l, whole, err)
			}
		}
		if len(m) > 0 {
			t.Errorf("%s: %q is left over", name, m)
		}
	}
	for _, bad := range []string{"no list", `{"rev":1}x`, `{"rev":,`, `{"rev":1,"targets":[]]`} {
		var m assembly
		if _, _, err := m.add([]byte(bad)); err == nil {
			t.Errorf("%s was taken for the beginning of a message", bad)
		}
	}
}

// What an agent may do in place of telling its news, several times in a row, and the time by which the node must
// know all the same: news that was missed counts as told 6 s after its watch fell silent, and 4 s after SIGHUP or at
// once where the process is new.
func TestSilentAgents(t *testing.T) {
	t.Parallel()
	says := func(text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, text)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
	whole := message(9, true, entry("a", "SERVING"))
	silent := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	refuses := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	answers := func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, whole) }
	breaks := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	trickles := func(w http.ResponseWriter, r *http.Request) {
		for _, b := range []byte(whole) {
			w.Write([]byte{b})
			w.(http.Flusher).Flush()
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			}
		}
	}
	// The bound by construction: the whole list is asked for so long after the last proof, and answered at once.
	const bound = silence + askEvery
	type handler = func(http.ResponseWriter, *http.Request)
	for name, c := range map[string]struct {
		ask   bool
		bad   []handler
		plain handler // answers questions for the whole list; nil: nothing does, and watches alone must do
		most  time.Duration
	}{
		"three in a row answer and fall silent":          {bad: []handler{says("\n"), says("\n"), says("\n")}, plain: answers, most: bound},
		"three in a row where the list is asked for":     {ask: true, bad: []handler{says("\n"), says("\n"), says("\n")}, plain: answers, most: bound},
		"three in a row that are refused":                {bad: []handler{refuses, refuses, refuses, refuses, refuses}, plain: answers, most: bound},
		"five that break":                                {bad: []handler{breaks, breaks, breaks, breaks, breaks}, plain: answers, most: bound},
		"a byte a second, and silent ones":               {bad: []handler{trickles, trickles, silent, silent}, plain: answers, most: bound},
		"a half list, a broken one and two silent ones":  {bad: []handler{says(whole[:40]), says("no list\n"), says("\n"), says("\n")}, plain: answers, most: bound},
		"a broken list is asked for at once":             {bad: []handler{says("\n\nno list\n"), says("\n"), says("\n")}, plain: answers, most: askEvery},
		"a list without its targets, the same":           {bad: []handler{says(`{"rev":9,"all":true}` + "\n"), says("\n"), says("\n")}, plain: answers, most: askEvery},
		"the first of a new process, and the whole list": {bad: []handler{says(""), says("")}, plain: answers, most: askEvery},

		"a watch falls silent":         {bad: []func(http.ResponseWriter, *http.Request){says("\n")}, most: 6 * time.Second},
		"it is asked for":              {ask: true, bad: []func(http.ResponseWriter, *http.Request){says("\n")}, most: 6 * time.Second},
		"and the next three never say": {bad: []func(http.ResponseWriter, *http.Request){says("\n"), silent, silent, silent}, most: 6 * time.Second},
		"where it is asked for":        {ask: true, bad: []func(http.ResponseWriter, *http.Request){says("\n"), silent, silent, silent}, most: 6 * time.Second},
		"two fall silent":              {bad: []func(http.ResponseWriter, *http.Request){says("\n"), says("\n")}, most: 6 * time.Second},
		"the first of a new process":   {bad: []func(http.ResponseWriter, *http.Request){silent}, most: 500 * time.Millisecond},
		"a line that never ends": {bad: []func(http.ResponseWriter, *http.Request){func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, `{"rev":9,"all":true,"targets":[`)
			for r.Context().Err() == nil {
				fmt.Fprint(w, " ")
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		}}, most: 6 * time.Second},
		"an indented list that stops": {bad: []func(http.ResponseWriter, *http.Request){says("{\n\n")}, most: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plain := c.plain
			if plain == nil {
				plain = silent
			}
			var asked atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if asksWhole(r) {
					plain(w, r)
					return
				}
				if i := int(asked.Add(1)) - 1; i < len(c.bad) {
					c.bad[i](w, r)
					return
				}
				says(whole+"\n")(w, r)
			}))
			t.Cleanup(s.CloseClientConnections)
			cfg := testConfig(strings.TrimPrefix(s.URL, "http://"))
			cfg.Settings.PollDiscovery = c.ask
			news := make(chan time.Time, 10)
			started := time.Now()
			startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
				if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
					news <- time.Now()
				} else if is && c.ask {
					return []balancer.Action{balancer.Subscribe{}}
				}
				return nil
			}))
			took := wait(t, news).Sub(started)
			// The waits add up by design; how late this machine runs them is not the node's doing.
			t.Logf("news after %v", took)
			if slack := 2 * time.Second; took > c.most+slack || c.plain == nil && int(asked.Load()) != len(c.bad)+1 {
				t.Errorf("news after %v and %d watches, due after %v", took, asked.Load(), c.most)
			}
		})
	}
}

// Calls overtake each other: an older list that is late undoes nothing, whichever way the newer one came.
func TestOlderListIsLate(t *testing.T) {
	t.Parallel()
	newer, older := message(9, true, entry("a", "DRAINING")), message(8, true, entry("a", "SERVING"))
	for name, late := range map[string]bool{"the answer to a question": true, "a watch's message": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !asksWhole(r) {
					w.(http.Flusher).Flush() // a watch that has begun may be silent for longer than gate is held
				}
				if asksWhole(r) == late {
					select {
					case <-gate:
					case <-r.Context().Done():
						return
					}
					fmt.Fprintln(w, older)
				} else {
					fmt.Fprintln(w, newer)
				}
				if !asksWhole(r) {
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				}
			}))
			t.Cleanup(s.CloseClientConnections)
			cfg := testConfig(strings.TrimPrefix(s.URL, "http://"))
			cfg.Settings.PollDiscovery = false
			lists := make(chan balancer.EndpointUpdate, 10)
			n := startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
				if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
					lists <- l
				}
				return nil
			}))
			if late {
				n.loop.post(n.loop.ask) // while the watch speaks
			}
			if l := wait(t, lists); l.Endpoints[0].State != balancer.Draining {
				t.Fatalf("first %+v", l)
			}
			start := onLoop(t, n, func() time.Duration { return n.loop.proven })
			close(gate)
			// The older list has been dealt with once no question is out, or once its watch has proven something.
			eventually(t, "the older list", func() bool {
				return onLoop(t, n, func() bool { return late && n.loop.asking == 0 || !late && n.loop.proven > start })
			})
			if len(lists) > 0 {
				t.Errorf("then %+v", <-lists)
			}
		})
	}
}

// A reload amid a silent watch: whatever the new address's watches do, its list is here soon.
func TestReloadAmidSilence(t *testing.T) {
	t.Parallel()
	agent := func(first, list string) string { // what its watches say before they fall silent, and its whole list
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if asksWhole(r) && list != "" {
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
	before := agent(message(8, true, entry("a", "SERVING"))+"\n", "")
	after := agent("", message(9, true, entry("a", "DRAINING")))
	cfg := testConfig(before)
	cfg.Settings.PollDiscovery = false
	news := make(chan struct{}, 10)
	n := startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
		if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
			news <- struct{}{}
		}
		return nil
	}))
	wait(t, news) // it is proven for a while
	cfg.Discovery = after
	reloaded := time.Now()
	if err := n.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	wait(t, news)
	if took := time.Since(reloaded); took >= silence {
		t.Errorf("news %v after the reload", took)
	}
}

// A node that starts serves by what its agent holds, not by the list it was given, which may be old; an agent that
// says nothing keeps it for a moment only.
func TestFirstNews(t *testing.T) {
	t.Parallel()
	for name, news := range map[string]string{"news": message(9, true, entry("a", "SERVING")), "none": "", "silence": "silence"} {
		told, serve := make(chan struct{}), make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if news == "silence" {
				<-r.Context().Done()
				return
			}
			<-serve
			fmt.Fprintln(w, news)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(s.CloseClientConnections)
		cfg := testConfig(strings.TrimPrefix(s.URL, "http://"), serving("old", "127.0.0.1:1"))
		cfg.Settings.PollDiscovery = false
		started := time.Now()
		n := startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
			if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
				close(told)
			}
			return nil
		}))
		if serves := n.serving.Load(); serves && time.Since(started) < firstNews {
			t.Errorf("%s: it serves before its agent has answered", name)
		}
		close(serve)
		for end := time.Now().Add(limit); !n.serving.Load(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: it never serves", name)
			}
		}
		if name == "news" {
			select {
			case <-told:
			default:
				t.Error("it serves before it knows the news")
			}
		}
	}
}

// A watch on a machine that was cut off stays open and silent; heartbeats keep one alive.
func TestWatchSilence(t *testing.T) {
	t.Parallel()
	addr, lines, _ := registry(t)
	d := newDiscovery(addr)
	d.silence = 200 * time.Millisecond
	ended := make(chan error, 1)
	got := make(chan List, 1)
	go func() { ended <- d.watch(context.Background(), 0, func() {}, func() {}, func(l List) { got <- l }) }()
	lines <- message(1, true)
	wait(t, got)
	if err := wait(t, ended); err != errSilent {
		t.Errorf("the watch ended with %v", err)
	}
}

// Heartbeats keep a watch whose list does not change.
func TestHeartbeats(t *testing.T) {
	t.Parallel()
	addr, lines, _ := registry(t)
	d := newDiscovery(addr)
	d.silence = time.Second
	ended := make(chan error, 1)
	go func() { ended <- d.watch(context.Background(), 0, func() {}, func() {}, nil) }()
	longest := time.Duration(0) // between two beats; this machine may stall
	for start, last := time.Now(), time.Now(); time.Since(start) < 2*d.silence; {
		select {
		case lines <- "":
			longest, last = max(longest, time.Since(last)), time.Now()
			time.Sleep(d.silence / 20)
		case err := <-ended:
			if longest = max(longest, time.Since(last)); longest < d.silence/2 {
				t.Fatalf("ended with %v though a beat came every %v", err, longest)
			}
			return
		}
	}
	lines <- "end"
	wait(t, ended)
}

func TestWatchRefused(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	d := newDiscovery(strings.TrimPrefix(s.URL, "http://"))
	if err := d.watch(context.Background(), 0, func() {}, func() {}, nil); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("got %v", err)
	}
}

// One watch at a time: a second Subscribe ends the first, whose news count no more.
func TestOneWatch(t *testing.T) {
	t.Parallel()
	open, closed := make(chan struct{}, 10), make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asksWhole(r) {
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
		moduleFunc(func(balancer.Event) []balancer.Action { return nil }))
	n.loop.post(func() { n.loop.discovery.silence = time.Hour; n.loop.subscribe() })
	wait(t, open)
	n.loop.post(n.loop.subscribe)
	wait(t, open)
	wait(t, closed)
}

// Where the list comes unasked the node watches by itself and again after a break.
func TestPushedList(t *testing.T) {
	t.Parallel()
	addr, lines, asked := registry(t)
	cfg := testConfig(addr)
	cfg.Settings.PollDiscovery = false
	startNode(t, cfg, nil)
	wait(t, asked)
	lines <- "end"
	wait(t, asked)
}

// After a reload the list is followed at the new address, from where the old one left off.
func TestReload(t *testing.T) {
	t.Parallel()
	before, lines, asked := registry(t)
	after, newLines, newAsked := registry(t)
	cfg := testConfig(before)
	cfg.Settings.PollDiscovery = false
	lists := make(chan balancer.EndpointUpdate, 10)
	n := startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
		if l, is := e.(balancer.EndpointUpdate); is {
			lists <- l
		}
		return nil
	}))
	wait(t, lists) // the cached one
	wait(t, asked)
	lines <- message(9, true, entry("a", "SERVING"))
	wait(t, lists)
	cfg.Discovery = after
	n.Reload(cfg)
	if got := wait(t, newAsked); !strings.HasSuffix(got, "since=9") {
		t.Errorf("asked %s", got)
	}
	newLines <- message(10, false, entry("b", "SERVING"))
	if l := wait(t, lists); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "b" {
		t.Errorf("list %+v", l)
	}
}

// Boot times are Unix time, as is the node's clock, whenever the node itself started.
func TestBootTime(t *testing.T) {
	c := clock{time.Now()}
	boot := c.start.Add(-3 * time.Second) // before the node
	s := Target{UID: "s", State: "SERVING", BootMS: float64(boot.UnixMilli())}.server()
	if age := c.now() - s.StartTime; age < 3*time.Second || age > 3*time.Second+limit {
		t.Errorf("age %v", age)
	}
	if s := (Target{}).server(); s.StartTime != 0 {
		t.Errorf("a boot long ago is %v", s.StartTime)
	}
}

// The loop must not use a server that a list no longer names, nor an address that it has left.
func TestListRulesServers(t *testing.T) {
	m := moduleFunc(func(balancer.Event) []balancer.Action { return nil })
	cfg := testConfig("127.0.0.1:1")
	l := newLoop(cfg, m, newUpstream(cfg, 1, &metrics{}, newBudget(defaultBudget)), newDiscovery(cfg.Discovery), &metrics{})
	l.takeList(List{All: true, Targets: []Target{serving("a", "127.0.0.1:1"), serving("b", "127.0.0.1:2"),
		serving("c", "127.0.0.1:3")}}, false)
	a, b, c := l.servers["a"], l.servers["b"], l.servers["c"]
	drain := serving("a", "127.0.0.1:1")
	drain.State = "DRAINING"
	l.takeList(List{Targets: []Target{drain, serving("b", "127.0.0.1:9")}}, false)
	if a.usable.Load() || b.usable.Load() || !c.usable.Load() || !l.servers["b"].usable.Load() {
		t.Error("after changes: a drains, b moved, c stays")
	}
	l.takeList(List{Targets: []Target{serving("a", "127.0.0.1:1")}}, false)
	if !a.usable.Load() || l.servers["a"] != a {
		t.Error("a serves again")
	}
	l.takeList(List{All: true, Targets: []Target{serving("a", "127.0.0.1:1")}}, false)
	if c.usable.Load() || len(l.servers) != 1 {
		t.Error("a full list that names only a")
	}
}

// A list that stops short changes nothing and is asked for again, soon, from the revision that is held.
func TestListCutShort(t *testing.T) {
	t.Parallel()
	whole := message(9, true, entry("a", "SERVING"), entry("b", "SERVING"))
	for name, cut := range map[string]func(w http.ResponseWriter, r *http.Request){
		"and ends": func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, whole[:len(whole)/2]) },
		"and breaks": func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, whole[:len(whole)/2])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"by its end": func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, whole) },
		"and stands still": func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, whole[:len(whole)/2])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
		"by its targets": func(w http.ResponseWriter, r *http.Request) { fmt.Fprintln(w, `{"rev":9,"all":true}`) },
	} {
		asked := make(chan string, 100)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if asksWhole(r) {
				<-r.Context().Done()
				return
			}
			asked <- r.URL.Query().Get("since")
			if len(asked) == 1 {
				cut(w, r)
				return
			}
			fmt.Fprintln(w, whole)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(s.CloseClientConnections)
		cfg := testConfig(strings.TrimPrefix(s.URL, "http://"), serving("old", "127.0.0.1:1"))
		cfg.Settings.PollDiscovery = false
		lists := make(chan balancer.EndpointUpdate, 10)
		startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
			if l, is := e.(balancer.EndpointUpdate); is {
				lists <- l
			}
			return nil
		}))
		if l := wait(t, lists); !l.Cached {
			t.Fatalf("%s: %+v", name, l)
		}
		if l := wait(t, lists); !l.Full || len(l.Endpoints) != 2 {
			t.Errorf("%s: the first news is %+v", name, l)
		}
		if first, second := wait(t, asked), wait(t, asked); first != "7" || second != "7" {
			t.Errorf("%s: asked since %s, then %s", name, first, second)
		}
	}
}

// The rest between watches doubles while they break at once, and is short again after one that lasted.
func TestRestBetweenWatches(t *testing.T) {
	l := &loop{}
	for i, want := range []time.Duration{rewatchFirst, 2 * rewatchFirst, 4 * rewatchFirst} {
		if got := l.restAfter(0); got != want {
			t.Errorf("rest %d is %v, want %v", i, got, want)
		}
	}
	for range 10 {
		l.restAfter(0)
	}
	if got := l.restAfter(0); got != rewatchMost {
		t.Errorf("at last it is %v", got)
	}
	if got := l.restAfter(time.Minute); got != rewatchFirst {
		t.Errorf("after a watch that lasted it is %v", got)
	}
}

// Where lists are asked for, discovery serves the calls of all nodes in turn. One that has refused a watch for its load is
// waited for: the next watch is not given up while it stands in line, so there is one in line and not many; and no
// question for the whole list goes out while another waits.
func TestDiscoveryInTurnIsWaitedFor(t *testing.T) {
	t.Parallel()
	const line = 4 * time.Second / 3 // what standing in line takes; watches of an agent are given up long before
	var watches, questions, together atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asksWhole(r) {
			if questions.Add(1) > 1 {
				together.Add(1)
			}
			<-r.Context().Done()
			questions.Add(-1)
			return
		}
		if watches.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-time.After(line): // a fact of time, nothing is waited for
			fmt.Fprintln(w, message(9, true, entry("a", "SERVING")))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	cfg := testConfig(strings.TrimPrefix(s.URL, "http://"))
	cfg.Settings.PollDiscovery = true
	lists := make(chan balancer.EndpointUpdate, 10)
	startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
		switch e := e.(type) {
		case balancer.EndpointUpdate:
			if e.Cached {
				return []balancer.Action{balancer.Subscribe{}}
			}
			lists <- e
		case balancer.SubscriptionFailed:
			return []balancer.Action{balancer.Subscribe{}}
		}
		return nil
	}))
	wait(t, lists)
	if n, q := watches.Load(), together.Load(); n != 2 || q > 0 {
		t.Errorf("%d watches, %d questions beside another", n, q)
	}
}
