package replica

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

const (
	// minRevisionTimeout is the longest time that a request with the parameter at_least waits for that revision.
	minRevisionTimeout = 5 * time.Second
	// maxPollWait is the longest time that a request with the parameter after waits for a later revision. defaultPollWaitMS
	// is the default of its parameter wait_ms.
	maxPollWait       = 10 * time.Second
	defaultPollWaitMS = "1000"
	// maxCoordinationStaleness is the maximum staleness at which a replica returns a coordination view.
	maxCoordinationStaleness = 2 * time.Second
	// neverContacted is the staleness of a replica that has had no contact with any leader.
	neverContacted = 24 * time.Hour
)

var (
	errBehind            = errors.New("this replica has not come to that revision")
	errLeaderLost        = errors.New("this replica has lost its leader")
	errInvalidPollNumber = errors.New("after, wait_ms: no number")
)

// staleness returns the time since this replica last had contact with the leader. It is zero on the leader itself.
func (r *Replica) staleness() time.Duration {
	if r.raft.State() == raft.Leader {
		return 0
	}
	last := r.raft.LastContact()
	if last.IsZero() {
		return neverContacted
	}
	return time.Since(last)
}

func (r *Replica) handleStatus(w http.ResponseWriter, _ *http.Request) {
	_, leader := r.raft.LeaderWithID()
	status := api.Status{
		ID:            r.cfg.ID,
		IsLeader:      r.raft.State() == raft.Leader,
		LeaderID:      string(leader),
		Term:          r.raft.Stats()["term"],
		Watchers:      r.watches.len(),
		StalenessMS:   r.staleness().Milliseconds(),
		RaftAddresses: map[string]string{},
	}
	r.fsm.read(func(s *state.State) {
		status.Revision, status.Epoch = s.Revision(), state.Epoch(s.Revision())
		status.Entries, status.Suspects = s.Len(), countSuspects(s)
		status.ClientAddresses = s.Members()
	})
	if f := r.raft.GetConfiguration(); f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			status.RaftAddresses[string(s.ID)] = string(s.Address)
		}
	}
	reply(w, status, nil)
}

// countSuspects returns the number of instances that stay as suspects although their leases have expired.
func countSuspects(s *state.State) int {
	n := 0
	for _, e := range s.Instances() {
		if e.Suspect {
			n++
		}
	}
	return n
}

func (r *Replica) handleBackup(w http.ResponseWriter, _ *http.Request) {
	text, err := r.backup()
	reply(w, json.RawMessage(text), err)
}

// handleInstances returns the full list, or with follow=1 a watch that starts at since=REV. at_least=REV waits until the
// replica has that revision. With consistent=1 the list includes everything that was committed when the request arrived;
// without it the list may be as stale as the staleness header says.
func (r *Replica) handleInstances(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	since, minRevision, err := parseRevisions(query)
	if err != nil {
		reply(w, nil, invalidRequestError{err})
		return
	}
	if query.Get("consistent") != "" && !r.ensureConsistent(w, req) {
		return
	}
	if minRevision > 0 && !r.waitForRevision(req, minRevision, minRevisionTimeout) {
		reply(w, nil, errBehind)
		return
	}
	if isWatch(req) {
		r.startWatch(w, since)
		return
	}
	text, revision, err := r.fsm.events.encodedList(r.fsm.list)
	if err != nil {
		reply(w, nil, err)
		return
	}
	w.Header().Set(api.HeaderRevision, strconv.FormatInt(revision, 10))
	w.Header().Set(api.HeaderStaleness, strconv.FormatInt(r.staleness().Milliseconds(), 10))
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}

// isWatch reports whether a request for the list asks for a watch.
func isWatch(req *http.Request) bool { return req.URL.Query().Get("follow") != "" }

// isPoll reports whether a request for the coordination view waits for a later revision.
func isPoll(req *http.Request) bool { return req.URL.Query().Get("after") != "" }

// parseRevisions returns the revisions in a query. A revision that is not given is zero.
func parseRevisions(query url.Values) (since, minRevision int64, err error) {
	for _, p := range []struct {
		name string
		to   *int64
	}{{"since", &since}, {"at_least", &minRevision}} {
		text := query.Get(p.name)
		if text == "" {
			continue
		}
		if *p.to, err = strconv.ParseInt(text, 10, 64); err != nil {
			return 0, 0, errors.New(p.name + ": no number")
		}
	}
	return since, minRevision, nil
}

// handleCoordination returns the coordination view; see state.CoordinationView. unit=UID returns only that unit and its
// permit. node=UID also returns the settings that the node should run, without the contents of the versions that it already
// has (has=N,M). In the view of everything, units=1 adds all units, which are the instances that are counted in a disruption
// budget, and lead=UID adds the controller with that UID. after=REV waits for a later revision, for wait_ms milliseconds at
// most, and then returns the view in either case. consistent=1 has the same meaning as in handleInstances.
func (r *Replica) handleCoordination(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	if query.Get("consistent") != "" && !r.ensureConsistent(w, req) {
		return
	}
	if text := query.Get("after"); text != "" {
		after, err := strconv.ParseInt(text, 10, 64)
		ms, msErr := strconv.Atoi(cmp.Or(query.Get("wait_ms"), defaultPollWaitMS))
		if err != nil || msErr != nil || ms < 0 {
			reply(w, nil, invalidRequestError{errInvalidPollNumber})
			return
		}
		r.waitForRevision(req, after+1, min(time.Duration(ms)*time.Millisecond, maxPollWait))
	}
	if r.staleness() > maxCoordinationStaleness {
		reply(w, nil, errLeaderLost)
		return
	}
	text, revision, err := r.encodeCoordination(query)
	w.Header().Set(api.HeaderRevision, strconv.FormatInt(revision, 10))
	reply(w, json.RawMessage(text), err)
}

// encodeCoordination encodes the part of the coordination view that a query selects. It encodes under the lock of the state,
// because the view shares data that later writes change.
func (r *Replica) encodeCoordination(query url.Values) (text []byte, revision int64, err error) {
	unit, node := query.Get("unit"), query.Get("node")
	known := parseVersionNumbers(query.Get("has"))
	r.fsm.read(func(s *state.State) {
		var view state.CoordinationView
		switch {
		case unit != "":
			view = s.UnitView(unit)
		case node != "":
			view = s.NodeView(node, known)
		default:
			view = s.CoordinationView(query.Get("units") != "", query.Get("lead"))
		}
		revision = view.Revision
		text, err = json.Marshal(view)
	})
	return text, revision, err
}

// parseVersionNumbers parses a comma-separated list of version numbers. It ignores what is not a number.
func parseVersionNumbers(list string) map[int64]bool {
	known := map[int64]bool{}
	for text := range strings.SplitSeq(list, ",") {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			known[n] = true
		}
	}
	return known
}

// ensureConsistent waits until this replica has everything that was committed when the request arrived. It returns false if
// the response has been sent, either that of the leader or an error.
func (r *Replica) ensureConsistent(w http.ResponseWriter, req *http.Request) bool {
	if r.raft.State() != raft.Leader {
		r.forwardToLeader(w, req, nil)
		return false
	}
	if err := r.catchUp(); err != nil {
		reply(w, nil, err)
		return false
	}
	return true
}

// waitForRevision waits until this replica has a revision. It returns false after the timeout, or if the client disconnects.
func (r *Replica) waitForRevision(req *http.Request, revision int64, timeout time.Duration) bool {
	expired := time.After(timeout)
	for {
		current, next := r.fsm.events.current()
		if current >= revision {
			return true
		}
		select {
		case <-next:
		case <-expired:
			return false
		case <-req.Context().Done():
			return false
		}
	}
}
