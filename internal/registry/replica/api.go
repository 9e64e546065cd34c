package replica

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/registry/state"
)

// Bounds of calls.
const (
	maxRequest  = 64 << 20
	maxOps      = 10_000
	heartbeat   = 2 * time.Second // of a watch: an empty line says that it lives
	writeStall  = 10 * time.Second
	awaitAtMost = 5 * time.Second
)

// Headers.
const (
	// HeaderRevision is the revision of what was read.
	HeaderRevision = "X-Registry-Revision"
	// HeaderStaleness is how long ago, in milliseconds, the replica last heard from its leader: what it says is no older
	// than that and one heartbeat of raft's.
	HeaderStaleness = "X-Registry-Stale-Ms"
	forwarded       = "X-Registry-Forwarded"
)

// Lease names a lease to renew.
type Lease struct {
	UID   string `json:"uid"`
	Token int64  `json:"token"`
}

// Status is what a replica says of itself.
type Status struct {
	ID              string            `json:"id"`
	IsLeader        bool              `json:"leads"`
	LeaderID        string            `json:"leader"`
	Term            string            `json:"term"`
	Revision        int64             `json:"rev"`
	Epoch           int64             `json:"epoch"`
	Entries         int               `json:"entries"`
	Suspects        int               `json:"suspects"`
	Watchers        int64             `json:"watchers"`
	StalenessMS     int64             `json:"stale_ms"`
	ClientAddresses map[string]string `json:"members"`
	RaftAddresses   map[string]string `json:"replicas"` // as raft has them, by id
}

func (r *Replica) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.instances)
	mux.HandleFunc("GET /registry/status", r.status)
	mux.HandleFunc("GET /registry/agreed", r.agreement)
	mux.Handle("GET /metrics", r.meters.handler())
	mux.HandleFunc("GET /registry/backup", func(w http.ResponseWriter, _ *http.Request) {
		text, err := r.backup()
		reply(w, json.RawMessage(text), err)
	})
	mux.HandleFunc("POST /registry/write", r.leaders(func(body []byte) (any, error) {
		var c struct {
			Ops []state.Op `json:"ops"`
		}
		if err := json.Unmarshal(body, &c); err != nil {
			return nil, badRequest{err}
		}
		if len(c.Ops) == 0 || len(c.Ops) > maxOps {
			return nil, badRequest{errors.New("a write wants 1 to 10,000 ops")}
		}
		list, err := r.write(command{Ops: c.Ops})
		return map[string]any{"answers": list}, err
	}))
	mux.HandleFunc("POST /registry/restore", r.leaders(func(body []byte) (any, error) {
		if _, err := state.Load(body); err != nil {
			return nil, badRequest{err}
		}
		_, err := r.write(command{Restore: body})
		return map[string]any{}, err
	}))
	mux.HandleFunc("POST /registry/members", r.leaders(r.changeMember))
	mux.HandleFunc("POST /registry/renew", func(w http.ResponseWriter, q *http.Request) {
		r.leaders(func(body []byte) (any, error) {
			var c struct {
				Leases []Lease `json:"leases"`
			}
			if err := json.Unmarshal(body, &c); err != nil {
				return nil, badRequest{err}
			}
			unknown, err := r.renew(q.Context(), c.Leases)
			return map[string]any{"unknown": unknown}, err
		})(w, q)
	})
	return mux
}

// badRequest is the caller's fault.
type badRequest struct{ error }

// reply answers with JSON, or with an error: 400 the caller's, 503 for which another try may help.
func reply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	var bad badRequest
	switch {
	case errors.As(err, &bad):
		w.WriteHeader(http.StatusBadRequest)
		v = map[string]string{"error": err.Error()}
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		v = map[string]string{"error": err.Error()}
	}
	json.NewEncoder(w).Encode(v) // a caller that has gone needs no answer
}

// leaders carries a call out if this replica leads, and else passes it on to the one that does, once.
func (r *Replica) leaders(do func(body []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		body, err := readAll(q.Body)
		if err != nil {
			reply(w, nil, badRequest{err})
			return
		}
		if r.raft.State() == raft.Leader {
			v, err := do(body)
			reply(w, v, err)
			return
		}
		r.pass(w, q, body)
	}
}

// pass hands a call to the leader.
func (r *Replica) pass(w http.ResponseWriter, q *http.Request, body []byte) {
	_, id := r.raft.LeaderWithID()
	var to string
	r.fsm.read(func(s *state.State) { to = s.Members()[string(id)] })
	if to == "" || q.Header.Get(forwarded) != "" {
		reply(w, nil, errNotLeader)
		return
	}
	out, err := http.NewRequestWithContext(q.Context(), q.Method, "http://"+to+q.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		reply(w, nil, err)
		return
	}
	out.Header.Set(forwarded, r.cfg.ID)
	resp, err := r.forward.Do(out)
	if err != nil {
		reply(w, nil, err)
		return
	}
	defer resp.Body.Close()
	for _, h := range []string{"Content-Type", HeaderRevision, HeaderStaleness} {
		if v := resp.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body) // a caller that has gone needs no answer
}

// changeMember takes a replica in, or out.
func (r *Replica) changeMember(body []byte) (any, error) {
	var c struct {
		Add    *Peer  `json:"add"`
		Remove string `json:"remove"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badRequest{err}
	}
	switch {
	case c.Add != nil && c.Add.ID != "" && c.Add.RaftAddress != "" && c.Add.ClientAddress != "":
		if err := r.raft.AddVoter(raft.ServerID(c.Add.ID), raft.ServerAddress(c.Add.RaftAddress), 0, writeWithin).Error(); err != nil {
			return nil, err
		}
		_, err := r.write(command{Ops: []state.Op{{Kind: state.OpSetMember, UID: c.Add.ID, Address: c.Add.ClientAddress}}})
		return map[string]any{}, err
	case c.Remove != "":
		if _, err := r.write(command{Ops: []state.Op{{Kind: state.OpSetMember, UID: c.Remove}}}); err != nil {
			return nil, err
		}
		return map[string]any{}, r.raft.RemoveServer(raft.ServerID(c.Remove), 0, writeWithin).Error()
	}
	return nil, badRequest{errors.New("want add (id, raft, address) or remove (id)")}
}

// staleness is how long ago this replica heard from the leader; 0 on the leader itself.
func (r *Replica) staleness() time.Duration {
	if r.raft.State() == raft.Leader {
		return 0
	}
	last := r.raft.LastContact()
	if last.IsZero() {
		return 24 * time.Hour // never
	}
	return time.Since(last)
}

func (r *Replica) status(w http.ResponseWriter, _ *http.Request) {
	_, leader := r.raft.LeaderWithID()
	st := Status{ID: r.cfg.ID, IsLeader: r.raft.State() == raft.Leader, LeaderID: string(leader), Term: r.raft.Stats()["term"],
		Watchers: r.streams.len(), StalenessMS: r.staleness().Milliseconds(), RaftAddresses: map[string]string{}}
	r.fsm.read(func(s *state.State) {
		st.Revision, st.Epoch, st.Entries, st.ClientAddresses = s.Revision(), state.Epoch(s.Revision()), s.Len(), s.Members()
		for _, e := range s.Instances() {
			if e.Suspect {
				st.Suspects++
			}
		}
	})
	if f := r.raft.GetConfiguration(); f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			st.RaftAddresses[string(s.ID)] = string(s.Address)
		}
	}
	reply(w, st, nil)
}

// staleMost is how old what is agreed may be that a replica tells.
const staleMost = 2 * time.Second

// maxWait is the longest that a call for what is agreed waits for a change.
const maxWait = 10 * time.Second

// consistent has this replica hold all that was committed when the call came; false: the call has its answer already,
// from the leader or as an error.
func (r *Replica) consistent(w http.ResponseWriter, q *http.Request) bool {
	if r.raft.State() != raft.Leader {
		r.pass(w, q, nil)
		return false
	}
	if err := r.upToDate(); err != nil {
		reply(w, nil, err)
		return false
	}
	return true
}

// agreement tells what is agreed. after=REV waits until there is a later revision, or wait_ms are over; unit=UID gives that
// unit and its permit alone, node=UID what settings it is to run, without the contents of versions that it has (has=N,M); units=1
// gives all units, lead=UID that controller; consistent=1 is as for instances.
func (r *Replica) agreement(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	if query.Get("consistent") != "" && !r.consistent(w, q) {
		return
	}
	if text := query.Get("after"); text != "" {
		rev, err := strconv.ParseInt(text, 10, 64)
		ms, err2 := strconv.Atoi(cmp.Or(query.Get("wait_ms"), "1000"))
		if err != nil || err2 != nil || ms < 0 {
			reply(w, nil, badRequest{errors.New("after, wait_ms: no number")})
			return
		}
		r.await(q, rev+1, min(time.Duration(ms)*time.Millisecond, maxWait))
	}
	if r.staleness() > staleMost {
		reply(w, nil, errors.New("this replica has lost its leader"))
		return
	}
	has := map[int64]bool{}
	for _, text := range strings.Split(query.Get("has"), ",") {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			has[n] = true
		}
	}
	var a state.CoordinationView
	var text []byte
	var err error
	r.fsm.read(func(s *state.State) {
		switch unit, node := query.Get("unit"), query.Get("node"); {
		case unit != "":
			a = s.UnitView(unit)
		case node != "":
			a = s.NodeView(node, has)
		default:
			a = s.CoordinationView(query.Get("units") != "", query.Get("lead"))
		}
		text, err = json.Marshal(a) // much of it changes in place
	})
	w.Header().Set(HeaderRevision, strconv.FormatInt(a.Revision, 10))
	reply(w, json.RawMessage(text), err)
}

// instances is discovery's form: the whole list, or a watch. at_least=REV waits until the replica has that revision;
// consistent=1 reads what was committed when the call came. Else the answer may be stale, by what its header says.
func (r *Replica) instances(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	numbers := map[string]int64{}
	for _, name := range []string{"since", "at_least"} {
		if text := query.Get(name); text != "" {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				reply(w, nil, badRequest{errors.New(name + ": no number")})
				return
			}
			numbers[name] = n
		}
	}
	if query.Get("consistent") != "" && !r.consistent(w, q) {
		return
	}
	if least := numbers["at_least"]; least > 0 && !r.await(q, least, awaitAtMost) {
		reply(w, nil, errors.New("this replica has not come to that revision"))
		return
	}
	if query.Get("follow") != "" {
		r.watch(w, numbers["since"])
		return
	}
	text, rev, err := r.whole()
	if err != nil {
		reply(w, nil, err)
		return
	}
	w.Header().Set(HeaderRevision, strconv.FormatInt(rev, 10))
	w.Header().Set(HeaderStaleness, strconv.FormatInt(r.staleness().Milliseconds(), 10))
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

// await waits for a revision.
func (r *Replica) await(q *http.Request, least int64, most time.Duration) bool {
	late := time.After(most)
	for {
		r.fsm.hub.mu.Lock()
		rev, wake := r.fsm.hub.rev, r.fsm.hub.wake
		r.fsm.hub.mu.Unlock()
		if rev >= least {
			return true
		}
		select {
		case <-wake:
		case <-late:
			return false
		case <-q.Context().Done():
			return false
		}
	}
}

func (r *Replica) whole() ([]byte, int64, error) {
	return r.fsm.hub.wholeList(func() (rev int64, entries []*state.Instance) {
		r.fsm.read(func(s *state.State) { rev, entries = s.Revision(), s.Instances() })
		return rev, entries
	})
}

// watch hands a reader's connection to a goroutine of its own, which needs a fraction of what a request of net/http does
// while it lasts.
func (r *Replica) watch(w http.ResponseWriter, since int64) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		reply(w, nil, err)
		return
	}
	if !r.streams.add(conn) {
		conn.Close()
		return
	}
	go func() {
		defer r.streams.remove(conn)
		r.stream(conn, since)
	}()
}

// streamHead begins a watch's answer, and streamBeat is a heartbeat in its framing.
const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamBeat = "1\r\n\n\r\n"
)

// stream writes changes as they come, until either side ends; that the reader has gone shows at a write. A reader that
// is ahead of this replica hears nothing until the replica has caught up; one of another epoch takes the whole list.
// A replica that has lost its leader ends its watches, so that readers go to one that has not.
func (r *Replica) stream(conn net.Conn, since int64) {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	send := func(b []byte) bool {
		conn.SetWriteDeadline(time.Now().Add(writeStall))
		_, err := conn.Write(b)
		return err == nil
	}
	if !send([]byte(streamHead)) {
		return
	}
	for {
		lines, rev, whole, wake, err := r.fsm.hub.after(since)
		if err != nil {
			return
		}
		if whole && !r.ahead(since) {
			text, at, err := r.whole()
			if err != nil {
				return
			}
			lines, rev, whole = [][]byte{chunk(text)}, at, false
			r.meters.wholes.Inc()
		}
		if !whole {
			for _, l := range lines {
				if !send(l) {
					return
				}
				r.meters.lines.Inc()
			}
			since = rev
		}
		select {
		case <-wake:
		case <-beat.C:
			if r.staleness() > lostAfter || !send([]byte(streamBeat)) {
				return
			}
		}
	}
}

// chunk frames a line for a watch.
func chunk(text []byte) []byte {
	b := make([]byte, 0, len(text)+16)
	b = strconv.AppendInt(b, int64(len(text)), 16)
	b = append(b, "\r\n"...)
	b = append(b, text...)
	return append(b, "\r\n"...)
}

// streams are the open watches.
type streams struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
	ended  sync.WaitGroup
}

// add counts a watch in; false: no more are taken.
func (s *streams) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[c] = struct{}{}
	s.ended.Add(1)
	return true
}

func (s *streams) remove(c net.Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	s.ended.Done()
}

func (s *streams) len() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.open))
}

// close ends all watches. Their goroutines see it at the next change or heartbeat.
func (s *streams) close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
}

// lostAfter is how long a replica goes on with its watches without a leader.
const lostAfter = 5 * time.Second

// ahead tells whether a reader holds a later revision of this epoch than the replica has.
func (r *Replica) ahead(since int64) bool {
	ahead := false
	r.fsm.read(func(s *state.State) { ahead = since > s.Revision() && state.Epoch(since) == state.Epoch(s.Revision()) })
	return ahead
}
