package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"umberbank/balancer"
)

// List is a message of discovery: the whole list, or the entries that changed.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is an entry of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

var states = map[string]balancer.EndpointState{
	"SERVING": balancer.Ready, "DRAINING": balancer.Draining, "DELETED": balancer.Removed,
}

// parseList reads one message. A message with any bad entry is bad as a whole: half a list would
// pass for news.
func parseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, err
	}
	if l.Targets == nil {
		// In a complete list, what is not named is gone.
		return List{}, errors.New("no targets")
	}
	for i, t := range l.Targets {
		_, known := states[t.State]
		_, _, err := net.SplitHostPort(t.Endpoint)
		switch {
		case t.UID == "":
			return List{}, fmt.Errorf("target %d has no uid", i)
		case !known:
			return List{}, fmt.Errorf("target %d has the unknown state %q", i, t.State)
		case err != nil && t.State != "DELETED": // what is gone needs no address
			return List{}, fmt.Errorf("target %d: endpoint %q is no host:port", i, t.Endpoint)
		}
	}
	return l, nil
}

// server is the entry in the module's form. The node's clock is Unix time, so boot times need no
// conversion but of their unit.
func (t Target) server() balancer.Endpoint {
	return balancer.Endpoint{ID: t.UID, Zone: t.Zone, Cell: t.Cell, State: states[t.State],
		Weight: t.Size, StartTime: time.Duration(t.BootMS * float64(time.Millisecond))}
}

// silence is how long an open watch may say nothing: one heartbeat, every 2 s, and some for a busy core. A
// watch that has fallen silent is broken.
const silence = 2500 * time.Millisecond

// The staleness bound. Once nothing has proven for silence that the list is current, be it that watches fall silent,
// break, are refused or bring what is no list, the whole list is asked for every askEvery, beside whatever watch there
// is, until an answer or a watch proves it again. So discovery, from when it can be reached, is heard after silence +
// askEvery and the time of one answer at the most: 2.75 s and that, of the 6 s after which a change counts as told,
// however many watches go wrong in a row. Before a process has any proof, and after its discovery has moved, the first
// question goes out after askEvery alone.
const (
	askEvery = 250 * time.Millisecond
	// askPatience is how long one question may wait for its whole answer; askMost are out at once at the most.
	askPatience = 2 * time.Second
	askMost     = int(askPatience / askEvery)
	// askRestMost is the longest rest between questions that fail, where discovery serves calls in turn: with the silence and
	// one answer it stays under the 6 s.
	askRestMost = time.Second
)

// firstByte is how long a new watch may take to answer, by how many before it never did. The agent answers at
// once, so the first are given up soon. The last is as patient as an open watch, for an agent whose answer
// begins with its first heartbeat; then it starts over.
var firstByte = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, silence}

// firstByteInTurn is the same where lists are asked for: there discovery serves the calls of all nodes in turn. A watch that is
// given up while it waits has still to be served, and the next one waits behind it, so that none is ever answered. Three
// in a row still leave the 6 s.
var firstByteInTurn = []time.Duration{time.Second, time.Second, time.Second, silence}

// patience is how long the next watch may take to answer. One that has refused a call for its load is given all the time that
// there is: it lives, and a call given up early would only add to the load.
func (d *discovery) patience() time.Duration {
	switch n := int(d.unheard.Load()); {
	case d.busy.Load():
		return d.silence
	case d.inTurn.Load():
		return firstByteInTurn[n%len(firstByteInTurn)]
	default:
		return firstByte[n%len(firstByte)]
	}
}

// lineStall is how long a message that has begun may stand still: discovery writes one in one go. One that goes on
// and on is given up after the silence, as no part of it is news.
const lineStall = time.Second

const maxListBytes = 16 << 20

// discovery opens watches. It keeps no connection between them.
type discovery struct {
	addr    string
	client  *http.Client
	silence time.Duration
	stall   time.Duration
	unheard atomic.Int32 // watches in a row that never answered
	inTurn  atomic.Bool  // it serves all nodes' calls in turn
	busy    atomic.Bool  // it has refused a watch for its load, and none has been answered since
}

func newDiscovery(addr string) *discovery {
	return &discovery{addr: addr, silence: silence, stall: lineStall,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

var (
	errSilent    = errors.New("silent for too long")
	errCutShort  = errors.New("a line was cut short")
	errMalformed = errors.New("malformed message")
)

// list asks for the whole list, once. The error is errMalformed if what came is none.
func (d *discovery) list(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, askPatience, errSilent)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/registry/instances", nil)
	if err != nil {
		return List{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return List{}, causeOr(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, fmt.Errorf("discovery answers %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return List{}, causeOr(ctx, err)
	}
	l, err := parseList(text)
	if err == nil && !l.All {
		err = errors.New("not the whole list")
	}
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return l, nil
}

// watch follows the list from revision since on. It calls opened once discovery has begun to answer, then news with
// each message in order and beat with each heartbeat. It returns the reason for the watch's end, which is never nil
// and is errMalformed if what came was no list.
func (d *discovery) watch(ctx context.Context, since int64, opened, beat func(), news func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(d.patience(), func() { cancel(errSilent) })
	defer quiet.Stop()

	url := "http://" + d.addr + "/registry/instances?follow=1&since=" + strconv.FormatInt(since, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if err = causeOr(ctx, err); err == errSilent {
			d.unheard.Add(1)
		}
		return err
	}
	d.unheard.Store(0)
	quiet.Reset(d.silence)
	defer resp.Body.Close()
	d.busy.Store(resp.StatusCode == http.StatusServiceUnavailable)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	opened()
	cutShort := time.AfterFunc(time.Hour, func() { cancel(errCutShort) })
	defer cutShort.Stop()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxListBytes)
	lines.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		end := bytes.IndexByte(data, '\n')
		switch {
		case end >= 0:
			return end + 1, data[:end], nil
		case atEOF && len(data) > 0:
			return 0, nil, errCutShort
		case len(data) > 0:
			cutShort.Reset(d.stall)
		}
		return 0, nil, nil
	})
	var m assembly
	for lines.Scan() {
		l, whole, err := m.add(bytes.TrimSpace(lines.Bytes()))
		switch {
		case err != nil:
			return fmt.Errorf("%w: %w", errMalformed, err)
		case whole:
			news(l)
		case len(m) > 0:
			cutShort.Reset(d.stall)
			continue
		default:
			beat()
		}
		quiet.Reset(d.silence)
		cutShort.Stop()
	}
	if err := lines.Err(); err != nil {
		return causeOr(ctx, err)
	}
	if len(m) > 0 {
		return errCutShort
	}
	return errors.New("discovery ended the watch")
}

// assembly is as much of a message as has come, line by line: discovery writes it in one line or, indented, in many.
type assembly []byte

// add takes one more line, and with the last gives the whole.
func (m *assembly) add(line []byte) (l List, whole bool, err error) {
	if len(line) == 0 {
		return List{}, false, nil
	}
	first := len(*m) == 0
	*m = append(append(*m, line...), '\n')
	if !first && line[len(line)-1] != '}' && len(*m) <= maxListBytes {
		return List{}, false, nil // it cannot be the last
	}
	l, err = parseList(*m)
	unfinished := new(json.SyntaxError)
	if errors.As(err, &unfinished) && unfinished.Offset == int64(len(*m)) && len(*m) <= maxListBytes {
		return List{}, false, nil
	}
	*m = nil
	return l, err == nil, err
}

// causeOr is why ctx ended, if it has, else err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
