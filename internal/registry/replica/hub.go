package replica

import (
	"encoding/json"

	"umberbank/internal/modelcheck/checkedsync"
	"umberbank/internal/registry/state"
)

// message is what readers get: the whole list, or what has changed, in discovery's form.
type message struct {
	Rev     int64             `json:"rev"`
	All     bool              `json:"all"`
	Targets []*state.Instance `json:"targets"`
}

// Bounds of what a hub keeps for readers to resume from.
const (
	maxHistory = 20_000 // changed entries
	maxBehind  = 64     // lines; a reader further behind gets one message of the latest state
)

// line is one change, or several that were applied together, encoded once for all readers.
type line struct {
	from, rev int64  // it leads from one revision to the other
	text      []byte // framed for a watch
	changed   []*state.Instance
}

// hub hands changes to any number of readers. Each holds only its revision; nothing is kept for it, so a slow one
// costs nothing and holds nobody up.
type hub struct {
	mu      checkedsync.Mutex
	rev     int64
	lines   []line
	history int // changed entries in lines
	wake    chan struct{}

	whole    []byte // cached, of wholeRev
	wholeRev int64
}

func newHub(rev int64) *hub { return &hub{rev: rev, wake: make(chan struct{})} }

// publish adds a change that leads to a revision.
func (h *hub) publish(rev int64, changed []*state.Instance) error {
	text, err := encode(message{Rev: rev, Targets: changed})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, line{h.rev, rev, chunk(text), changed})
	h.history += len(changed)
	for h.history > maxHistory && len(h.lines) > 1 {
		h.history -= len(h.lines[0].changed)
		h.lines[0] = line{}
		h.lines = h.lines[1:]
	}
	h.move(rev)
	return nil
}

// reset forgets all changes: readers must take the whole list.
func (h *hub) reset(rev int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines, h.history = nil, 0
	h.move(rev)
}

// move wakes all readers at a new revision. h.mu is held.
func (h *hub) move(rev int64) {
	h.rev = rev
	close(h.wake)
	h.wake = make(chan struct{})
}

func encode(m message) ([]byte, error) {
	targets := []*state.Instance{} // a list without targets is none
	for _, e := range m.Targets {
		if e.Role == "" {
			targets = append(targets, e)
		}
	}
	m.Targets = targets
	text, err := json.Marshal(m)
	return append(text, '\n'), err
}

// after is what a reader that holds a revision has not heard, as lines, and the revision that they lead to. whole: it
// must take the whole list. wake is closed at the next change.
func (h *hub) after(since int64) (lines [][]byte, rev int64, whole bool, wake <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if since == h.rev {
		return nil, since, false, h.wake, nil
	}
	// The line that leads on from there; without one, it fell out of the history, or is not of this order at all.
	at := -1
	for i := len(h.lines) - 1; i >= 0 && h.lines[i].from >= since; i-- {
		if h.lines[i].from == since {
			at = i
		}
	}
	if at < 0 {
		return nil, 0, true, h.wake, nil
	}
	missed := h.lines[at:]
	if len(missed) > maxBehind {
		text, err := coalesce(h.rev, missed)
		return [][]byte{chunk(text)}, h.rev, false, h.wake, err
	}
	for _, l := range missed {
		lines = append(lines, l.text)
	}
	return lines, h.rev, false, h.wake, nil
}

// coalesce is the latest state of all that several lines have changed, as one message.
func coalesce(rev int64, lines []line) ([]byte, error) {
	latest := map[string]int{}
	var changed []*state.Instance
	for _, l := range lines {
		for _, e := range l.changed {
			if i, before := latest[e.UID]; before {
				changed[i] = e
			} else {
				latest[e.UID] = len(changed)
				changed = append(changed, e)
			}
		}
	}
	return encode(message{Rev: rev, Targets: changed})
}

// wholeList encodes the whole list once for each revision that somebody asks for it at.
func (h *hub) wholeList(read func() (int64, []*state.Instance)) ([]byte, int64, error) {
	h.mu.Lock()
	text, rev, now := h.whole, h.wholeRev, h.rev
	h.mu.Unlock()
	if text != nil && rev == now {
		return text, rev, nil
	}
	rev, entries := read()
	text, err := encode(message{Rev: rev, All: true, Targets: entries})
	if err != nil {
		return nil, 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if rev > h.wholeRev || h.whole == nil {
		h.whole, h.wholeRev = text, rev
	}
	return text, rev, nil
}
