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
	watchHeartbeat      = 2 * time.Second // interval of empty lines, which show the watcher that the watch is alive
	watchWriteTimeout   = 10 * time.Second
	watchLeaderlessTime = 5 * time.Second // a replica ends its watches after this time without a leader
)

// watchHead is the head of the response to a watch, and watchHeartbeatFrame is a heartbeat as an HTTP chunk.
const (
	watchHead           = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	watchHeartbeatFrame = "1\r\n\n\r\n"
)

// startWatch takes over a watcher's connection and serves it from a new goroutine, which needs a fraction of the memory that
// a pending request of net/http needs.
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

// watch sends the changes since a revision as they happen, until either side closes the connection. It also ends if a write
// fails or takes longer than watchWriteTimeout, because the watcher has then disconnected or no longer reads. A watcher that is
// ahead of this replica gets only heartbeats until the replica has caught up; a watcher of another epoch gets the full list. A
// replica that has lost its leader ends its watches, so that the watchers connect to one that has a leader.
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
		case <-r.closing:
			return
		case <-heartbeat.C:
			if r.staleness() > watchLeaderlessTime || !send(conn, []byte(watchHeartbeatFrame)) {
				return
			}
		}
	}
}

// send writes a frame to a watcher and reports whether that succeeded.
func send(conn net.Conn, frame []byte) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
		return false
	}
	_, err := conn.Write(frame)
	return err == nil
}

// fullListFrame returns the full list as an HTTP chunk, and its revision.
func (r *Replica) fullListFrame() ([][]byte, int64, error) {
	text, revision, err := r.fsm.events.encodedList(r.fsm.list)
	return [][]byte{chunk(text)}, revision, err
}

// isAhead reports whether a revision is later than that of this replica. A revision of another epoch is not ahead.
func (r *Replica) isAhead(revision int64) (ahead bool) {
	r.fsm.read(func(s *state.State) {
		ahead = revision > s.Revision() && state.Epoch(revision) == state.Epoch(s.Revision())
	})
	return ahead
}

// chunk encodes a line as an HTTP chunk.
func chunk(line []byte) []byte {
	const framing = 16 // room for a length of up to 12 hex digits and two line ends
	b := make([]byte, 0, len(line)+framing)
	b = strconv.AppendInt(b, int64(len(line)), 16)
	b = append(b, "\r\n"...)
	b = append(b, line...)
	return append(b, "\r\n"...)
}

// watchSet holds the connections of open watches. Its zero value is an empty set.
type watchSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool

	running sync.WaitGroup // one for each open connection
}

// add adds the connection of a watch, which must be removed later. It returns false if the set is closed.
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
	s.running.Add(1)
	return true
}

// remove closes the connection of a watch and removes it.
func (s *watchSet) remove(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
	s.running.Done()
}

func (s *watchSet) len() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.open))
}

// wait waits until all connections have been removed. The set must be closed.
func (s *watchSet) wait() { s.running.Wait() }

// close closes the connections of all watches. Their goroutines return at the next event or heartbeat, or when the replica is
// closed.
func (s *watchSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		conn.Close()
	}
}
