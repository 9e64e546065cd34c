package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/discovery"
	"umberbank/internal/node/nodetest"
)

// What discovery may do in place of sending its update, several times in a row, and by when the node must have the update
// anyhow: 6 s after its watch fell silent, 4 s after SIGHUP, and at once in a new process.
func TestSilentAgents(t *testing.T) {
	t.Parallel()
	says := func(text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, text)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
	complete := nodetest.Message(9, true, nodetest.Target("a", "SERVING"))
	silent := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	refuses := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	answers := func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, complete) }
	breaks := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	trickles := func(w http.ResponseWriter, r *http.Request) {
		for _, b := range []byte(complete) {
			w.Write([]byte{b})
			w.(http.Flusher).Flush()
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			}
		}
	}
	// The bound by construction: the complete list is polled so long after the last confirmation, and answered at once.
	const bound = discovery.SilenceTimeout + pollInterval
	type handler = func(http.ResponseWriter, *http.Request)
	for name, c := range map[string]struct {
		ask    bool
		bad    []handler
		polled handler // answers polls; nil: nothing does, and watches alone must do
		most   time.Duration
	}{
		"three in a row answer and fall silent":          {bad: []handler{says("\n"), says("\n"), says("\n")}, polled: answers, most: bound},
		"three in a row where the list is asked for":     {ask: true, bad: []handler{says("\n"), says("\n"), says("\n")}, polled: answers, most: bound},
		"three in a row that are refused":                {bad: []handler{refuses, refuses, refuses, refuses, refuses}, polled: answers, most: bound},
		"five that break":                                {bad: []handler{breaks, breaks, breaks, breaks, breaks}, polled: answers, most: bound},
		"a byte a second, and silent ones":               {bad: []handler{trickles, trickles, silent, silent}, polled: answers, most: bound},
		"a half list, a broken one and two silent ones":  {bad: []handler{says(complete[:40]), says("no list\n"), says("\n"), says("\n")}, polled: answers, most: bound},
		"a broken list is asked for at once":             {bad: []handler{says("\n\nno list\n"), says("\n"), says("\n")}, polled: answers, most: pollInterval},
		"a list without its targets, the same":           {bad: []handler{says(`{"rev":9,"all":true}` + "\n"), says("\n"), says("\n")}, polled: answers, most: pollInterval},
		"the first of a new process, and the whole list": {bad: []handler{says(""), says("")}, polled: answers, most: pollInterval},

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
			polled := c.polled
			if polled == nil {
				polled = silent
			}
			var asked atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if nodetest.IsPoll(r) {
					polled(w, r)
					return
				}
				if i := int(asked.Add(1)) - 1; i < len(c.bad) {
					c.bad[i](w, r)
					return
				}
				says(complete+"\n")(w, r)
			}))
			t.Cleanup(s.CloseClientConnections)
			cfg := testConfig(strings.TrimPrefix(s.URL, "http://"))
			cfg.Settings.PollDiscovery = c.ask
			news := make(chan time.Time, 10)
			started := time.Now()
			startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
				if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
					news <- time.Now()
				} else if is && c.ask {
					return []balancer.Action{balancer.Subscribe{}}
				}
				return nil
			}))
			took := nodetest.Wait(t, news).Sub(started)
			// The waits add up by design; how late this machine runs them is not the node's doing.
			t.Logf("news after %v", took)
			if slack := 2 * time.Second; took > c.most+slack || c.polled == nil && int(asked.Load()) != len(c.bad)+1 {
				t.Errorf("news after %v and %d watches, due after %v", took, asked.Load(), c.most)
			}
		})
	}
}

// Calls overtake each other: an older list that comes late is ignored, whichever way the newer one came.
func TestOlderListIsLate(t *testing.T) {
	t.Parallel()
	newer, older := nodetest.Message(9, true, nodetest.Target("a", "DRAINING")), nodetest.Message(8, true, nodetest.Target("a", "SERVING"))
	for name, late := range map[string]bool{"the answer to a question": true, "a watch's message": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !nodetest.IsPoll(r) {
					w.(http.Flusher).Flush() // a watch that has begun may be silent for longer than gate is held
				}
				if nodetest.IsPoll(r) == late {
					select {
					case <-gate:
					case <-r.Context().Done():
						return
					}
					fmt.Fprintln(w, older)
				} else {
					fmt.Fprintln(w, newer)
				}
				if !nodetest.IsPoll(r) {
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				}
			}))
			t.Cleanup(s.CloseClientConnections)
			cfg := testConfig(strings.TrimPrefix(s.URL, "http://"))
			cfg.Settings.PollDiscovery = false
			lists := make(chan balancer.EndpointUpdate, 10)
			n := startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
				if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
					lists <- l
				}
				return nil
			}))
			if late {
				n.loop.post(n.loop.watcher.poll) // while the watch speaks
			}
			if l := nodetest.Wait(t, lists); l.Endpoints[0].State != balancer.Draining {
				t.Fatalf("first %+v", l)
			}
			start := callOnLoop(t, n, func() time.Duration { return n.loop.watcher.confirmedAt })
			close(gate)
			// The older list has been dealt with once no question is out, or once its watch has proven something.
			nodetest.Eventually(t, "the older list", func() bool {
				return callOnLoop(t, n, func() bool { return late && n.loop.watcher.polls == 0 || !late && n.loop.watcher.confirmedAt > start })
			})
			if len(lists) > 0 {
				t.Errorf("then %+v", <-lists)
			}
		})
	}
}

// A node that starts serves by the list of its discovery agent, not by the one in its configuration, which may be old. An
// agent that does not answer delays it for a moment only.
func TestFirstUpdateBeforeServing(t *testing.T) {
	t.Parallel()
	for name, news := range map[string]string{"news": nodetest.Message(9, true, nodetest.Target("a", "SERVING")), "none": "", "silence": "silence"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			updated, serve := make(chan struct{}), make(chan struct{})
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
			n := startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
				if l, is := e.(balancer.EndpointUpdate); is && !l.Cached {
					close(updated)
				}
				return nil
			}))
			if serves := n.serving.Load(); serves && time.Since(started) < firstUpdateTimeout {
				t.Errorf("it serves before its agent has answered")
			}
			close(serve)
			for end := time.Now().Add(nodetest.Limit); !n.serving.Load(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("it never serves")
				}
			}
			if name == "news" {
				select {
				case <-updated:
				default:
					t.Error("it serves before it knows the news")
				}
			}
		})
	}
}

// A truncated update changes nothing and is asked for again, soon, from the revision that the node has.
func TestListCutShort(t *testing.T) {
	t.Parallel()
	complete := nodetest.Message(9, true, nodetest.Target("a", "SERVING"), nodetest.Target("b", "SERVING"))
	for name, cut := range map[string]func(w http.ResponseWriter, r *http.Request){
		"and ends": func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, complete[:len(complete)/2]) },
		"and breaks": func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, complete[:len(complete)/2])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"by its end": func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, complete) },
		"and stands still": func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, complete[:len(complete)/2])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
		"by its targets": func(w http.ResponseWriter, r *http.Request) { fmt.Fprintln(w, `{"rev":9,"all":true}`) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked := make(chan string, 100)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if nodetest.IsPoll(r) {
					<-r.Context().Done()
					return
				}
				asked <- r.URL.Query().Get("since")
				if len(asked) == 1 {
					cut(w, r)
					return
				}
				fmt.Fprintln(w, complete)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			t.Cleanup(s.CloseClientConnections)
			cfg := testConfig(strings.TrimPrefix(s.URL, "http://"), serving("old", "127.0.0.1:1"))
			cfg.Settings.PollDiscovery = false
			lists := make(chan balancer.EndpointUpdate, 10)
			startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
				if l, is := e.(balancer.EndpointUpdate); is {
					lists <- l
				}
				return nil
			}))
			if l := nodetest.Wait(t, lists); !l.Cached {
				t.Fatalf("%+v", l)
			}
			if l := nodetest.Wait(t, lists); !l.Full || len(l.Endpoints) != 2 {
				t.Errorf("the first news is %+v", l)
			}
			if first, second := nodetest.Wait(t, asked), nodetest.Wait(t, asked); first != "7" || second != "7" {
				t.Errorf("asked since %s, then %s", first, second)
			}
		})
	}
}

// Where lists are polled, discovery serves the calls of all nodes one after the other. After it has rejected a watch for
// its load the next watch is given all the time that there is, so that only one is waiting; and there is one poll at a
// time.
func TestSerializedDiscoveryIsWaitedFor(t *testing.T) {
	t.Parallel()
	const line = 4 * time.Second / 3 // what standing in line takes; watches of an agent are given up long before
	var watches, questions, together atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if nodetest.IsPoll(r) {
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
			fmt.Fprintln(w, nodetest.Message(9, true, nodetest.Target("a", "SERVING")))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	cfg := testConfig(strings.TrimPrefix(s.URL, "http://"))
	cfg.Settings.PollDiscovery = true
	lists := make(chan balancer.EndpointUpdate, 10)
	startNode(t, cfg, decisionsFunc(func(e balancer.Event) []balancer.Action {
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
	nodetest.Wait(t, lists)
	if n, q := watches.Load(), together.Load(); n != 2 || q > 0 {
		t.Errorf("%d watches, %d questions beside another", n, q)
	}
}
