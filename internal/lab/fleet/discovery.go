package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"umberbank/internal/lab/model"
)

// agent answers one node's questions for its servers, on the node's own machine. What it holds changes on the loop;
// it is read by any.
type agent struct {
	addr string

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	mutes   int           // how often the watches that were open fell silent
	muted   bool          // and what is opened now is silent too
	rev     int64
	whole   []byte
	lines   []line // since the last whole list
}

// line is a change as it goes to watchers.
type line struct {
	rev  int64
	text []byte
}

// target is an entry in the form of the protocol.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Rack     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

// message words a list for a node.
func (f *Fleet) message(node int, l model.List) []byte {
	type message struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}
	m := message{Rev: l.Rev + 1, All: l.All, Targets: []target{}} // 0 would be no revision
	for _, e := range l.Entries {
		s := &f.w.Site.Servers[e.Server]
		t := target{UID: s.Name, Endpoint: f.linkAddr(node, e.Server), Zone: f.w.Site.Zones[s.Zone].Name, Kind: s.Kind.Name,
			Rack: s.Rack, State: e.State.String(), Size: s.Size()}
		if e.Boot >= 0 {
			t.BootMS = float64(f.began.Add(e.Boot).UnixMicro()) / 1000
		}
		m.Targets = append(m.Targets, t)
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return text
}

// Tell gives a node's agent news.
func (f *Fleet) Tell(node int, l model.List) {
	whole := l
	if !l.All {
		whole = f.w.Directory.List(node)
	}
	f.agents[node].push(l.Rev+1, f.message(node, l), f.message(node, whole), l.All)
}

// push gives an agent a change and the whole list that it leads to. anew: what came before does not lead there.
func (a *agent) push(rev int64, text, whole []byte, anew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if anew {
		a.lines = nil
	}
	a.lines = append(a.lines, line{rev, text})
	a.rev, a.whole = rev, whole
	close(a.changed)
	a.changed = make(chan struct{})
}

// Mute lets a node's watches fall silent.
func (f *Fleet) Mute(node int, on bool) {
	a := f.agents[node]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.muted = on
	if on {
		a.mutes++
		close(a.changed) // every watch sees that it is one of those
		a.changed = make(chan struct{})
	}
}

// silence tells which watches are silent: all that were open before so many mutes, and at all every one that asks now.
func (a *agent) silence() (mutes int, muted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mutes, a.muted
}

// keptLines bounds the changes that an agent keeps; a watcher that is further behind takes the whole list.
const keptLines = 1000

// heartbeat is how often a watch says that it lives.
const heartbeat = 2 * time.Second

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	opened, muted := a.silence()
	if muted {
		<-r.Context().Done()
		return
	}
	if r.URL.Query().Get("follow") == "" {
		a.mu.Lock()
		text := a.whole
		a.mu.Unlock()
		w.Write(text)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: no number", http.StatusBadRequest)
		return
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for flush := http.NewResponseController(w); ; {
		if mutes, _ := a.silence(); mutes != opened {
			<-r.Context().Done()
			return
		}
		news, rev, changed := a.after(since)
		for _, text := range news {
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
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// after is what a watcher that holds revision since has not heard.
func (a *agent) after(since int64) (news [][]byte, rev int64, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.lines) > keptLines {
		a.lines = a.lines[len(a.lines)-keptLines:]
	}
	if since == a.rev {
		return nil, a.rev, a.changed
	}
	for i, l := range a.lines {
		if l.rev == since || i == 0 && since == a.rev-int64(len(a.lines)) {
			from := i
			if l.rev == since {
				from++
			}
			for _, l := range a.lines[from:] {
				news = append(news, l.text)
			}
			return news, a.rev, a.changed
		}
	}
	return [][]byte{a.whole}, a.rev, a.changed
}

// startAgents lets every node's agent listen with the list as it stands.
func (f *Fleet) startAgents() error {
	for i := range f.w.Site.Nodes {
		ln, err := net.Listen("tcp", net.JoinHostPort(f.net.host(agentHosts+i), "0"))
		if err != nil {
			return err
		}
		l := f.w.Directory.List(i)
		a := &agent{addr: ln.Addr().String(), changed: make(chan struct{}), rev: l.Rev + 1, whole: f.message(i, l)}
		f.agents = append(f.agents, a)
		f.serveHTTP(ln, &http.Server{Handler: a})
	}
	return nil
}
