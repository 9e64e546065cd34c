package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// WatchEvent is an event of a watch.
type WatchEvent = api.WatchEvent

// Why a watch was left.
var (
	errIdle        = errors.New("the registry is silent")
	errOlder       = errors.New("the registry has gone back to an older revision")
	errNoInstances = errors.New("a list without targets")
)

// Watcher follows the registry.
type Watcher struct {
	opt   Options
	http  *http.Client
	cache *cache // nil: none

	mu          sync.Mutex
	revision    int64
	instances   map[string]*state.Instance
	lastContact time.Time // when a replica last sent anything; zero: never, the list is from the cache
	fullLists   int       // applied
	changes     int       // applied
}

// NewWatcher returns a Watcher that holds what its cache has, if that is complete.
func NewWatcher(opt Options) (*Watcher, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, err
	}
	w := &Watcher{
		opt:       opt,
		http:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: opt.Dial}},
		instances: map[string]*state.Instance{},
	}
	if opt.CacheDir != "" {
		c := newCache(opt.CacheDir, opt.Logger, &w.mu, w.fullListEvent)
		c.load(w.apply)
		w.cache, w.fullLists, w.changes = c, 0, 0
	}
	return w, nil
}

// View is what a Watcher holds.
type View struct {
	Revision    int64
	Instances   []*state.Instance // in the order of their uids
	LastContact time.Time         // when the registry last sent anything; zero: not since the start
	FullLists   int               // applied since the start
	Changes     int               // applied since the start
}

// View returns what the Watcher holds now.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return View{
		Revision:    w.revision,
		Instances:   w.sortedInstances(),
		LastContact: w.lastContact,
		FullLists:   w.fullLists,
		Changes:     w.changes,
	}
}

// sortedInstances is the list in the order of uids. w.mu is held.
func (w *Watcher) sortedInstances() []*state.Instance {
	return slices.SortedFunc(maps.Values(w.instances), func(a, b *state.Instance) int { return strings.Compare(a.UID, b.UID) })
}

// fullListEvent is the list as an event. w.mu is held.
func (w *Watcher) fullListEvent() WatchEvent {
	return WatchEvent{Revision: w.revision, FullList: true, Instances: w.sortedInstances()}
}

// Run follows the registry until ctx ends, and calls changed with each event, once it is applied. Whatever ends a watch, Run
// goes on at another replica after a backoff.
func (w *Watcher) Run(ctx context.Context, changed func(WatchEvent)) error {
	if w.cache != nil {
		var writing sync.WaitGroup
		writing.Go(func() { w.cache.run(ctx) })
		defer writing.Wait()
	}
	next := rand.IntN(len(w.opt.Endpoints))
	pauses := w.opt.newBackoff()
	for ctx.Err() == nil {
		began := time.Now()
		w.watch(ctx, w.opt.Endpoints[next%len(w.opt.Endpoints)], changed) //nolint:errcheck // any error leads to the next replica
		next++
		if time.Since(began) > w.opt.MaxBackoff {
			pauses.Reset()
		}
		select {
		case <-time.After(pauses.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// watch follows one replica and returns why that ended.
func (w *Watcher) watch(ctx context.Context, endpoint string, changed func(WatchEvent)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(w.opt.IdleTimeout, func() { cancel(errIdle) })
	defer idle.Stop()
	resp, err := w.open(ctx, endpoint)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", endpoint, resp.Status)
	}
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return err // a line without its end is dropped
		}
		idle.Reset(w.opt.IdleTimeout)
		if err := w.receive(line, changed); err != nil {
			return err
		}
	}
}

// open asks a replica for a watch from the Watcher's revision on.
func (w *Watcher) open(ctx context.Context, endpoint string) (*http.Response, error) {
	w.mu.Lock()
	since := w.revision
	w.mu.Unlock()
	url := "http://" + endpoint + api.PathInstances + "?follow=1&since=" + strconv.FormatInt(since, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return w.http.Do(req)
}

// receive applies a line of a watch. An empty one is a heartbeat.
func (w *Watcher) receive(line []byte, changed func(WatchEvent)) error {
	if len(bytes.TrimSpace(line)) == 0 {
		w.noteContact()
		return nil
	}
	var event WatchEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return err
	}
	if event.Instances == nil {
		return errNoInstances
	}
	if !w.apply(event) {
		return errOlder
	}
	w.noteContact()
	changed(event)
	return nil
}

func (w *Watcher) noteContact() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastContact = time.Now()
}

// apply applies an event; false: it is older than what is held.
func (w *Watcher) apply(event WatchEvent) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if event.Revision < w.revision || event.Revision == w.revision && !event.FullList {
		return false
	}
	if event.FullList {
		w.instances = make(map[string]*state.Instance, len(event.Instances))
		w.fullLists++
	} else {
		w.changes++
	}
	for _, e := range event.Instances {
		if e.State == state.Deleted {
			delete(w.instances, e.UID)
		} else {
			w.instances[e.UID] = e
		}
	}
	w.revision = event.Revision
	if w.cache != nil {
		w.cache.add(event)
	}
	return true
}
