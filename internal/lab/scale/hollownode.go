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

// The site. Servers are assigned to zones and services round-robin, so that they are distributed evenly at every size.
const (
	zoneCount    = 7
	regionCount  = 2
	serviceCount = 30
	leaseTTL     = 2 * time.Second // the default of nodes and agents
)

// location identifies a server and its node, and where they run.
type location struct {
	node, server, zone, region, service string
	rack                                int
}

func locationOf(i int) location {
	z := i % zoneCount
	return location{node: fmt.Sprintf("n%04d", i), server: fmt.Sprintf("s%04d", i), zone: fmt.Sprint("z", z),
		region: fmt.Sprint("r", z*regionCount/zoneCount), service: fmt.Sprintf("svc%02d", i%serviceCount), rack: i / 20}
}

// endpointOf returns the address of a server. Nothing connects to it, because hollow servers get no requests.
func endpointOf(i int) string { return fmt.Sprintf("10.%d.%d.1:3000", i/250, i%250) }

// hollowNode is a server with its node and agent. They run the same clients of the control plane as real ones, and get no
// requests.
type hollowNode struct {
	location
	listMeter, versionsMeter, agentMeter meter
	watcher                              *client.Watcher
	listRevision                         atomic.Int64 // revision of the list that the watcher has
	cancel                               context.CancelFunc
	running                              sync.WaitGroup
}

// startHollow starts the i-th hollow node. registry has the addresses of the replicas. onApply is called with the node's name
// whenever the node applies settings.
func startHollow(ctx context.Context, i int, registry []string, onApply func(name string, settings []byte)) (*hollowNode, error) {
	h := &hollowNode{location: locationOf(i)}
	var err error
	if h.watcher, err = client.NewWatcher(client.Options{Endpoints: registry, Dial: h.listMeter.dial}); err != nil {
		return nil, err
	}
	ctx, h.cancel = context.WithCancel(ctx)
	follow := follower.Options{Name: h.node, Addr: func() string { return endpointOf(i) }, Dial: h.versionsMeter.dial,
		Rollout:  config.Rollout{Endpoints: registry, Tier: "front", Zone: h.zone, Region: h.region, SendsTo: h.service},
		Validate: validateSettings,
		Notify:   func(follower.Event) {},
		Log:      slog.New(slog.DiscardHandler),
		Apply: func(settings json.RawMessage) error {
			if err := validateSettings(settings); err != nil {
				return err
			}
			onApply(h.node, settings)
			return nil
		}}
	unit := &agent.Agent{Registry: registry, TTL: leaseTTL, Dial: h.agentMeter.dial, Log: slog.New(slog.DiscardHandler),
		Instance: state.Instance{UID: h.server, Endpoint: endpointOf(i), Tier: h.service, Kind: h.service, Zone: h.zone, Region: h.region, Rack: h.rack, Capacity: 1}}
	// Each returns when ctx ends, with its error.
	h.running.Go(func() { _ = h.watcher.Run(ctx, func(u client.WatchEvent) { h.listRevision.Store(u.Revision) }) })
	h.running.Go(func() { _ = follower.RunStandalone(ctx, follow) })
	h.running.Go(func() { _ = unit.Run(ctx) })
	return h, nil
}

// validateSettings validates settings as a node does.
func validateSettings(settings json.RawMessage) error {
	set, _, err := simwire.ParseSettings(settings)
	if err != nil {
		return err
	}
	return set.Validate()
}

// meters returns the meters of the hollow node's three clients.
func (h *hollowNode) meters() []*meter {
	return []*meter{&h.listMeter, &h.versionsMeter, &h.agentMeter}
}

// kill stops the hollow node as a crash does, without deregistering the server or the node.
func (h *hollowNode) kill() {
	for _, m := range h.meters() {
		m.kill()
	}
	h.cancel()
	h.running.Wait()
}

// nodeTraffic returns the traffic of the node without that of the agent.
func (h *hollowNode) nodeTraffic() traffic {
	return h.listMeter.traffic().plus(h.versionsMeter.traffic())
}

// settingsOf returns the site's settings, with a class for each service. mark makes the content unique.
func settingsOf(mark int) ([]byte, error) {
	var classes []map[string]any
	for i := range serviceCount {
		classes = append(classes, map[string]any{"name": fmt.Sprintf("svc%02d", i), "effect": "read_like", "target-ms": 100, "deadline-ms": 400, "worth": 1})
	}
	return json.Marshal(map[string]any{"lanes": classes, "balancers": 1, "tick-ms": 5, "registry-mode": "pushed",
		"limits": map[string]any{"conn-idle-ms": 30_000 + mark, "connect-timeout-ms": 200, "max-attempts": 3}})
}
