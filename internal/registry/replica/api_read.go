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
	// minRevisionTimeout is how long a call with at_least waits for the revision.
	minRevisionTimeout = 5 * time.Second
	// maxPollWait and defaultPollWaitMS are how long a call with after waits for a change.
	maxPollWait       = 10 * time.Second
	defaultPollWaitMS = "1000"
	// maxCoordinationStaleness is how stale a coordination view may be that a replica returns.
	maxCoordinationStaleness = 2 * time.Second
	// neverContacted is the staleness of a replica that has not heard from any leader.
	neverContacted = 24 * time.Hour
)

var (
	errBehind            = errors.New("this replica has not come to that revision")
	errLeaderLost        = errors.New("this replica has lost its leader")
	errInvalidPollNumber = errors.New("after, wait_ms: no number")
)

// staleness is how long ago this replica heard from the leader; 0 on the leader itself.
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

// countSuspects is how many instances have an expired lease that is not believed.
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

// handleInstances returns the full list, or a watch with follow=1 from since=REV on. at_least=REV waits until the replica
// has that revision; consistent=1 reads what was committed when the call came. Else the list may be as stale as its header
// says.
func (r *Replica) handleInstances(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	since, minRevision, err := instancesParameters(query)
	if err != nil {
		reply(w, nil, invalidRequestError{err})
		return
	}
	if query.Get("consistent") != "" && !r.ensureConsistent(w, q) {
		return
	}
	if minRevision > 0 && !r.waitForRevision(q, minRevision, minRevisionTimeout) {
		reply(w, nil, errBehind)
		return
	}
	if query.Get("follow") != "" {
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

// instancesParameters are the revisions of a call; 0 where it names none.
func instancesParameters(query url.Values) (since, minRevision int64, err error) {
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

// handleCoordination returns the coordination view. after=REV waits until there is a later revision, or wait_ms are over;
// unit=UID returns that unit and its permit alone, node=UID what settings that node is to run, without the contents of
// versions that it has (has=N,M); units=1 returns all units, lead=UID that controller; consistent=1 is as for instances.
func (r *Replica) handleCoordination(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	if query.Get("consistent") != "" && !r.ensureConsistent(w, q) {
		return
	}
	if text := query.Get("after"); text != "" {
		after, err := strconv.ParseInt(text, 10, 64)
		ms, msErr := strconv.Atoi(cmp.Or(query.Get("wait_ms"), defaultPollWaitMS))
		if err != nil || msErr != nil || ms < 0 {
			reply(w, nil, invalidRequestError{errInvalidPollNumber})
			return
		}
		r.waitForRevision(q, after+1, min(time.Duration(ms)*time.Millisecond, maxPollWait))
	}
	if r.staleness() > maxCoordinationStaleness {
		reply(w, nil, errLeaderLost)
		return
	}
	text, revision, err := r.encodeCoordination(query)
	w.Header().Set(api.HeaderRevision, strconv.FormatInt(revision, 10))
	reply(w, json.RawMessage(text), err)
}

// encodeCoordination encodes the part of the coordination view that a call is for. That is done under the state's lock, as
// much of it changes in place.
func (r *Replica) encodeCoordination(query url.Values) (text []byte, revision int64, err error) {
	unit, node := query.Get("unit"), query.Get("node")
	known := knownVersions(query.Get("has"))
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

// knownVersions are the numbers of versions whose contents a node has.
func knownVersions(list string) map[int64]bool {
	known := map[int64]bool{}
	for text := range strings.SplitSeq(list, ",") {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			known[n] = true
		}
	}
	return known
}

// ensureConsistent waits until this replica has all that was committed when the call came; false: the call was answered,
// by the leader or with an error.
func (r *Replica) ensureConsistent(w http.ResponseWriter, q *http.Request) bool {
	if r.raft.State() != raft.Leader {
		r.forwardToLeader(w, q, nil)
		return false
	}
	if err := r.catchUp(); err != nil {
		reply(w, nil, err)
		return false
	}
	return true
}

// waitForRevision waits until this replica has a revision; false: that took too long, or the caller disconnected.
func (r *Replica) waitForRevision(q *http.Request, revision int64, timeout time.Duration) bool {
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
		case <-q.Context().Done():
			return false
		}
	}
}
