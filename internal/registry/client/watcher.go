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

	"umberbank/internal/httpclient"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// WatchEvent is an event of a watch: the full list of instances, or a change to it.
type WatchEvent = api.WatchEvent

// Reasons for which a watch is closed.
var (
	errIdle          = errors.New("no data received within the idle timeout")
	errOlderRevision = errors.New("event is not newer than the current list")
	errNoInstances   = errors.New("event has no targets")
	errNullInstance  = errors.New("event has a target that is null")
)

// Watcher maintains a copy of the registry's list of instances. It must be created by NewWatcher.
type Watcher struct {
	opt   Options
	http  *http.Client
	cache *cache // nil without a CacheDir, and while the cached list is being loaded

	mu          sync.Mutex
	revision    int64
	instances   map[string]*state.Instance
	lastContact time.Time // when the last heartbeat or valid event arrived; zero if none has, and any list is from the cache
	fullLists   int       // full lists applied
	changes     int       // changes applied
}

// NewWatcher returns a Watcher with the list from its cache, or with an empty list at revision 0 if there is no intact
// cache. Run must be called to follow the registry.
func NewWatcher(opt Options) (*Watcher, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, err
	}
	w := &Watcher{
		opt: opt,
		http: &http.Client{
			Transport:     &http.Transport{DisableKeepAlives: true, DialContext: opt.Dial},
			CheckRedirect: httpclient.ReturnRedirect,
		},
		instances: map[string]*state.Instance{},
	}
	if opt.CacheDir != "" {
		c := newCache(opt.CacheDir, opt.Logger, &w.mu, w.fullListEvent)
		c.load(w.apply)
		w.cache, w.fullLists, w.changes = c, 0, 0
	}
	return w, nil
}

// View is a snapshot of the list of a Watcher. The instances are shared and must not be modified.
type View struct {
	Revision    int64
	Instances   []*state.Instance // sorted by UID
	LastContact time.Time         // when the last heartbeat or valid event arrived; zero if none has since the start
	FullLists   int               // full lists applied since the start
	Changes     int               // changes applied since the start
}

// View returns the current list. It may be called while Run runs, also from the callback of Run.
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

// sortedInstances returns the instances sorted by UID. w.mu must be held.
func (w *Watcher) sortedInstances() []*state.Instance {
	return slices.SortedFunc(maps.Values(w.instances), func(a, b *state.Instance) int { return strings.Compare(a.UID, b.UID) })
}

// fullListEvent returns the list as an event. w.mu must be held.
func (w *Watcher) fullListEvent() WatchEvent {
	instances := w.sortedInstances()
	if instances == nil {
		instances = []*state.Instance{} // is encoded as [], because an event without a list is invalid
	}
	return WatchEvent{Revision: w.revision, FullList: true, Instances: instances}
}

// Run follows the registry until ctx is done, and returns the error of ctx. It calls changed with each event after the event
// has been applied. When a watch ends for any reason, Run starts one at the next replica after a backoff.
func (w *Watcher) Run(ctx context.Context, changed func(WatchEvent)) error {
	if w.cache != nil {
		var writing sync.WaitGroup
		writing.Go(func() { w.cache.run(ctx) })
		defer writing.Wait()
	}
	next := rand.IntN(len(w.opt.Endpoints))
	backoff := w.opt.newBackoff()
	for ctx.Err() == nil {
		start := time.Now()
		w.watch(ctx, w.opt.Endpoints[next%len(w.opt.Endpoints)], changed) //nolint:errcheck // any error leads to the next replica
		next++
		if time.Since(start) > w.opt.MaxBackoff {
			backoff.Reset()
		}
		select {
		case <-time.After(backoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// watch follows one replica and returns the error that ended the watch.
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
		return fmt.Errorf("%s returned status %s", endpoint, resp.Status)
	}
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return err // an incomplete line is dropped
		}
		idle.Reset(w.opt.IdleTimeout)
		if err := w.receive(line, changed); err != nil {
			return err
		}
	}
}

// open starts a watch at a replica from the current revision of the Watcher.
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

// receive applies a line of a watch. An empty line is a heartbeat.
func (w *Watcher) receive(line []byte, changed func(WatchEvent)) error {
	if len(bytes.TrimSpace(line)) == 0 {
		w.recordContact()
		return nil
	}
	var event WatchEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return err
	}
	if err := checkInstances(event); err != nil {
		return err
	}
	if !w.apply(event) {
		return errOlderRevision
	}
	w.recordContact()
	changed(event)
	return nil
}

// checkInstances returns an error if an event has no list of instances, or a list with null in it.
func checkInstances(event WatchEvent) error {
	switch {
	case event.Instances == nil:
		return errNoInstances
	case slices.Contains(event.Instances, nil):
		return errNullInstance
	}
	return nil
}

func (w *Watcher) recordContact() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastContact = time.Now()
}

// apply applies an event. It returns false, and changes nothing, if the event is older than the current list, or is a change
// at the same revision.
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
