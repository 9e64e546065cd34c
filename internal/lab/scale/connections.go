package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// connectAll starts all hollow nodes without waiting between them, and measures the time until each has the full list and is
// registered. It then brings a first version into force.
func (p *measurement) connectAll(ctx context.Context) error {
	began := time.Now()
	for i := range p.nodes {
		h, err := startHollow(ctx, i, p.endpoints(), p.versions.recordRunning)
		if err != nil {
			return err
		}
		p.hollowNodes = append(p.hollowNodes, h)
	}
	complete := 0
	if err := pollUntil(ctx, 20*time.Millisecond, startTimeout, func(context.Context) (bool, string) {
		for complete < p.nodes && len(p.hollowNodes[complete].watcher.View().Instances) == p.nodes {
			complete++
		}
		return complete == p.nodes, fmt.Sprintf("%d of %d nodes have the full list", complete, p.nodes)
	}); err != nil {
		return err
	}
	if err := p.awaitConvergence(ctx); err != nil {
		return err
	}
	p.figures.set(KeyConnect, time.Since(began).Seconds())
	nodes, _ := p.traffic()
	p.figures.set(KeyConnectBytes, float64(nodes.bytes)/float64(p.nodes))
	if _, err := p.proposeNext(ctx, p.options.Pace.VersionTimeout); err != nil {
		return err
	}
	return p.awaitConvergence(ctx)
}

// measureListChange changes one server and measures the time until all nodes have the change. It also measures the size of a full
// list.
func (p *measurement) measureListChange(ctx context.Context) error {
	before, _ := p.traffic()
	capacity := 2.0
	began := time.Now()
	results, err := p.client.Write(ctx, state.Op{Kind: state.OpUpdate, UID: p.hollowNodes[0].server, Capacity: &capacity})
	if err != nil {
		return err
	}
	if code := results[0].Code; code != "" {
		return errors.New(string(code))
	}
	done := 0
	if err := pollUntil(ctx, time.Millisecond, p.options.Pace.VersionTimeout, func(context.Context) (bool, string) {
		for done < p.nodes && p.hollowNodes[done].listRevision.Load() >= results[0].Revision {
			done++
		}
		return done == p.nodes, fmt.Sprintf("%d of %d nodes have the change", done, p.nodes)
	}); err != nil {
		return err
	}
	took := time.Since(began)
	after, _ := p.traffic()
	p.figures.set(KeyListChange, took.Seconds())
	p.figures.set(KeyListChangeBytes, float64(after.bytes-before.bytes)/float64(p.nodes)-float64(p.idleBytesPerSecond)*took.Seconds())
	var fullList json.RawMessage
	if err := p.client.Call(ctx, "GET", api.PathInstances, nil, &fullList); err != nil {
		return err
	}
	p.figures.set(KeyFullListBytes, float64(len(fullList)))
	return nil
}

// measureReconnect closes all connections of all hollow nodes and agents and measures the time until each has received a response
// again.
func (p *measurement) measureReconnect(ctx context.Context) error {
	before, _ := p.traffic()
	began := time.Now()
	var meters []*meter
	for _, h := range p.hollowNodes {
		for _, m := range h.meters() {
			m.breakAll()
			meters = append(meters, m)
		}
	}
	done := 0
	if err := pollUntil(ctx, 10*time.Millisecond, convergeTimeout, func(context.Context) (bool, string) {
		for done < len(meters) && !meters[done].reconnectedAt().IsZero() {
			done++
		}
		return done == len(meters), fmt.Sprintf("%d of %d clients have received a response again", done, len(meters))
	}); err != nil {
		return err
	}
	last := began
	for _, m := range meters {
		if at := m.reconnectedAt(); at.After(last) {
			last = at
		}
	}
	took := last.Sub(began).Seconds()
	after, _ := p.traffic()
	p.figures.set(KeyReconnect, took)
	p.figures.set(KeyReconnectBytes, float64(after.bytes-before.bytes)/float64(p.nodes))
	return p.awaitConvergence(ctx)
}
