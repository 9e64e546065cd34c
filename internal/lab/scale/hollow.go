package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"umberbank/internal/coordination/agent"
	"umberbank/internal/node/config"
	"umberbank/internal/node/follower"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
	"umberbank/internal/simwire"
)

// The site: zones and services are dealt out in turn, so each has its share at every size.
const (
	zones    = 7
	regions  = 2
	services = 30
	leaseTTL = 2 * time.Second // as nodes and agents have it by default
)

// place is where a server with its node stands.
type place struct {
	node, server, zone, region, service string
	rack                                int
}

func placeOf(i int) place {
	z := i % zones
	return place{node: fmt.Sprintf("n%04d", i), server: fmt.Sprintf("s%04d", i), zone: fmt.Sprint("z", z),
		region: fmt.Sprint("r", z*regions/zones), service: fmt.Sprintf("svc%02d", i%services), rack: i / 20}
}

// endpointOf is an address that nobody calls: hollow servers have no traffic.
func endpointOf(i int) string { return fmt.Sprintf("10.%d.%d.1:3000", i/250, i%250) }

// hollow is a server with its node and agent, without traffic: the same clients of the control plane as in the real ones.
type hollow struct {
	place
	list, versions, agent meter
	reader                *client.Watcher
	rev                   atomic.Int64 // of the list
	cancel                context.CancelFunc
	running               sync.WaitGroup
}

// startHollow starts one; ran is called with settings that its node runs from then on.
func startHollow(ctx context.Context, i int, at []string, ran func(node string, settings []byte)) (*hollow, error) {
	h := &hollow{place: placeOf(i)}
	var err error
	if h.reader, err = client.NewWatcher(client.Options{Endpoints: at, Dial: h.list.dial}); err != nil {
		return nil, err
	}
	ctx, h.cancel = context.WithCancel(ctx)
	follow := follower.Options{Name: h.node, Addr: func() string { return endpointOf(i) }, Dial: h.versions.dial,
		Rollout:  config.Rollout{Endpoints: at, Tier: "front", Zone: h.zone, Region: h.region, SendsTo: h.service},
		Validate: couldRun, Notify: func(follower.Event) {}, Log: slog.New(slog.DiscardHandler),
		Apply: func(settings json.RawMessage) error {
			if err := couldRun(settings); err != nil {
				return err
			}
			ran(h.node, settings)
			return nil
		}}
	unit := &agent.Agent{Registry: at, TTL: leaseTTL, Dial: h.agent.dial, Log: slog.New(slog.DiscardHandler),
		Instance: state.Instance{UID: h.server, Endpoint: endpointOf(i), Tier: h.service, Kind: h.service, Zone: h.zone, Region: h.region, Rack: h.rack, Capacity: 1}}
	h.running.Go(func() { h.reader.Run(ctx, func(u client.WatchEvent) { h.rev.Store(u.Revision) }) }) // it ends with ctx
	h.running.Go(func() { follower.Run(ctx, follow) })
	h.running.Go(func() { unit.Run(ctx) })
	return h, nil
}

// couldRun looks at settings as a node does.
func couldRun(settings json.RawMessage) error {
	set, _, err := simwire.ParseSettings(settings)
	if err != nil {
		return err
	}
	return set.Validate()
}

func (h *hollow) meters() []*meter { return []*meter{&h.list, &h.versions, &h.agent} }

// kill ends it as a crash does: without a word to anybody.
func (h *hollow) kill() {
	for _, m := range h.meters() {
		m.kill()
	}
	h.cancel()
	h.running.Wait()
}

// ofNode is the traffic of its node, and agent.traffic that of its agent.
func (h *hollow) ofNode() traffic {
	l, v := h.list.traffic(), h.versions.traffic()
	return traffic{l.bytes + v.bytes, l.calls + v.calls}
}

// settingsOf are the site's settings with a mark by which a version is known: a class for each service.
func settingsOf(mark int) ([]byte, error) {
	var lanes []map[string]any
	for i := range services {
		lanes = append(lanes, map[string]any{"name": fmt.Sprintf("svc%02d", i), "effect": "read_like", "target-ms": 100, "deadline-ms": 400, "worth": 1})
	}
	return json.Marshal(map[string]any{"lanes": lanes, "balancers": 1, "tick-ms": 5, "registry-mode": "pushed",
		"limits": map[string]any{"conn-idle-ms": 30_000 + mark, "connect-timeout-ms": 200, "max-attempts": 3}})
}
