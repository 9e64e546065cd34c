package replica

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"umberbank/internal/registry/state"
)

const (
	watchHeartbeat      = 2 * time.Second // an empty line tells the watcher that the watch lives
	watchWriteTimeout   = 10 * time.Second
	watchLeaderlessTime = 5 * time.Second // a replica without a leader ends its watches after this
)

// watchHead begins a watch's answer, and watchHeartbeatFrame is a heartbeat in its framing.
const (
	watchHead           = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	watchHeartbeatFrame = "1\r\n\n\r\n"
)

// startWatch hands a watcher's connection to a goroutine of its own, which needs a fraction of the memory that a request of
// net/http does while it lasts.
func (r *Replica) startWatch(w http.ResponseWriter, since int64) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		reply(w, nil, err)
		return
	}
	if !r.watches.add(conn) {
		conn.Close()
		return
	}
	go func() {
		defer r.watches.remove(conn)
		r.watch(conn, since)
	}()
}

// watch sends changes since a revision as they come, until either side ends; that the watcher has disconnected shows at a
// write. A watcher that is ahead of this replica is sent nothing until the replica has caught up; one of another epoch
// takes the full list. A replica that has lost its leader ends its watches, so that watchers go to one that has not.
func (r *Replica) watch(conn net.Conn, since int64) {
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	if !send(conn, []byte(watchHead)) {
		return
	}
	for {
		missed, err := r.fsm.events.eventsSince(since)
		if err != nil {
			return
		}
		if missed.fullList && !r.isAhead(since) {
			if missed.frames, missed.revision, err = r.fullListFrame(); err != nil {
				return
			}
			missed.fullList = false
			r.metrics.fullLists.Inc()
		}
		if !missed.fullList {
			for _, frame := range missed.frames {
				if !send(conn, frame) {
					return
				}
				r.metrics.events.Inc()
			}
			since = missed.revision
		}
		select {
		case <-missed.next:
		case <-heartbeat.C:
			if r.staleness() > watchLeaderlessTime || !send(conn, []byte(watchHeartbeatFrame)) {
				return
			}
		}
	}
}

// send writes to a watcher; false: that failed.
func send(conn net.Conn, frame []byte) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
		return false
	}
	_, err := conn.Write(frame)
	return err == nil
}

// fullListFrame is the full list in a watch's framing, and its revision.
func (r *Replica) fullListFrame() ([][]byte, int64, error) {
	text, revision, err := r.fsm.events.encodedList(r.fsm.list)
	return [][]byte{chunk(text)}, revision, err
}

// isAhead says whether a watcher holds a later revision of this epoch than the replica has.
func (r *Replica) isAhead(revision int64) (ahead bool) {
	r.fsm.read(func(s *state.State) {
		ahead = revision > s.Revision() && state.Epoch(revision) == state.Epoch(s.Revision())
	})
	return ahead
}

// chunk frames a line as a chunk of HTTP.
func chunk(line []byte) []byte {
	const framing = 16 // no less than the length in hex and two line ends
	b := make([]byte, 0, len(line)+framing)
	b = strconv.AppendInt(b, int64(len(line)), 16)
	b = append(b, "\r\n"...)
	b = append(b, line...)
	return append(b, "\r\n"...)
}

// watchSet has the connections of open watches. Its zero value is empty.
type watchSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// add adds a watch; false: the replica takes no more.
func (s *watchSet) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[conn] = struct{}{}
	return true
}

// remove closes a watch's connection and removes it.
func (s *watchSet) remove(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

func (s *watchSet) len() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.open))
}

// close closes the connections of all watches. Their goroutines see it at the next event or heartbeat.
func (s *watchSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		conn.Close()
	}
}
