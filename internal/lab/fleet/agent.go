package fleet

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discoveryAgent serves the endpoint list to one node, as an agent on the node's machine does. The loop changes its
// state, and HTTP handlers read it.
type discoveryAgent struct {
	addr string

	mu           sync.Mutex
	changed      chan struct{} // closed at the next change
	silenceCount int           // number of times that the open watches became silent
	silent       bool          // new watches are silent as well
	revision     int64
	fullList     []byte
	changes      []listChange // since the last full list
}

// listChange is an encoded change of the list.
type listChange struct {
	revision int64
	text     []byte
}

// push adds a change and the full list that results from it. If reset is set, earlier changes are dropped.
func (a *discoveryAgent) push(revision int64, change, fullList []byte, reset bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reset {
		a.changes = nil
	}
	a.changes = append(a.changes, listChange{revision, change})
	a.revision, a.fullList = revision, fullList
	close(a.changed)
	a.changed = make(chan struct{})
}

// silenceState returns how many times the open watches became silent, and whether new watches are silent now.
func (a *discoveryAgent) silenceState() (silences int, silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silenceCount, a.silent
}

// maxChanges is the number of changes that are retained. A watcher that is further behind receives the full list.
const maxChanges = 1000

// heartbeatInterval is the interval of heartbeats on a watch.
const heartbeatInterval = 2 * time.Second

// ServeHTTP serves the list, or a watch with follow=1.
func (a *discoveryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	silencesAtOpen, silent := a.silenceState()
	if silent {
		<-r.Context().Done()
		return
	}
	if r.URL.Query().Get("follow") == "" {
		a.mu.Lock()
		text := a.fullList
		a.mu.Unlock()
		w.Write(text)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: no number", http.StatusBadRequest)
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for flush := http.NewResponseController(w); ; {
		if silences, _ := a.silenceState(); silences != silencesAtOpen {
			<-r.Context().Done()
			return
		}
		messages, rev, changed := a.changesSince(since)
		for _, text := range messages {
			if _, err := w.Write(append(text[:len(text):len(text)], '\n')); err != nil {
				return
			}
		}
		since = rev
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the messages that update a watcher from revision since to the current one, the current revision, and a
// channel that is closed at the next change.
func (a *discoveryAgent) changesSince(since int64) (messages [][]byte, rev int64, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.changes) > maxChanges {
		a.changes = a.changes[len(a.changes)-maxChanges:]
	}
	if since == a.revision {
		return nil, a.revision, a.changed
	}
	for i, l := range a.changes {
		if l.revision == since || i == 0 && since == a.revision-int64(len(a.changes)) {
			from := i
			if l.revision == since {
				from++
			}
			for _, l := range a.changes[from:] {
				messages = append(messages, l.text)
			}
			return messages, a.revision, a.changed
		}
	}
	return [][]byte{a.fullList}, a.revision, a.changed
}

// startAgents starts the agent of every node with the current list.
func (f *Fleet) startAgents() error {
	for i := range f.world.Site.Nodes {
		ln, err := net.Listen("tcp", net.JoinHostPort(f.network.host(firstAgentHost+i), "0"))
		if err != nil {
			return err
		}
		l := f.world.Directory.List(i)
		a := &discoveryAgent{addr: ln.Addr().String(), changed: make(chan struct{}), revision: l.Revision + 1, fullList: f.encodeList(i, l)}
		f.agents = append(f.agents, a)
		f.serveHTTP(ln, &http.Server{Handler: a, DisableGeneralOptionsHandler: true})
	}
	return nil
}
