package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"umberbank/internal/process"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/state"
)

// pids returns the PIDs of all processes of the run, starting with this one.
func (p *measurement) pids() []int {
	l := []int{os.Getpid()}
	for i := range p.cluster.Len() {
		l = append(l, p.cluster.PID(i))
	}
	for _, started := range []*process.Process{p.controller, p.nodeWithControl, p.nodeWithoutControl} {
		l = append(l, started.Pid())
	}
	return l
}

// close stops the hollow nodes and the processes, and removes their files.
func (p *measurement) close() {
	var all sync.WaitGroup
	for _, h := range p.hollowNodes {
		if h != nil {
			all.Go(h.kill)
		}
	}
	all.Wait()
	p.launcher.Close()
	if p.staticDiscovery != nil {
		p.staticDiscovery.close()
	}
	if p.cluster != nil {
		p.cluster.Close()
	}
	if p.dir != "" {
		os.RemoveAll(p.dir)
	}
}

// program returns the command line of the program with arguments.
func (p *measurement) program(args ...string) []string {
	return append(p.options.Program[:len(p.options.Program):len(p.options.Program)], args...)
}

// startProcesses starts the replicas, the controller, and the two real nodes.
func (p *measurement) startProcesses(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if p.dir, err = os.MkdirTemp("", "umberbank-scale-"); err != nil {
		return err
	}
	if p.cluster, err = cluster.New(p.program("registry", "serve"), replicaCount, ""); err != nil {
		return err
	}
	for i := range p.cluster.Len() {
		if err := p.cluster.Start(i); err != nil {
			return err
		}
	}
	if err := p.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	p.client, err = client.New(client.Options{
		Endpoints:      p.endpoints(),
		InitialBackoff: 5 * time.Millisecond,
		MaxBackoff:     50 * time.Millisecond,
		Dial:           new(net.Dialer).DialContext,
	})
	if err != nil {
		return err
	}
	p.controller = p.newProcess("controller", nil,
		p.program("fleet", "control", "--at", strings.Join(p.endpoints(), ","), "--name", "c0"))
	if err := p.controller.Start(); err != nil {
		return err
	}
	if p.nodeWithControl, err = p.startNode("n-with", true); err != nil {
		return err
	}
	p.nodeWithoutControl, err = p.startNode("n-without", false)
	return err
}

// newProcess returns a process that has not been started. It logs to a file with its name.
func (p *measurement) newProcess(name string, env []string, command []string) *process.Process {
	created := &process.Process{Launcher: p.launcher, LogPath: filepath.Join(p.dir, name+".log")}
	if len(env) > 0 {
		command = append(append([]string{"/usr/bin/env"}, env...), command...)
	}
	created.SetCommand(command)
	return created
}

// startNode starts a real node. Both real nodes have the same list from the start. With control the node also follows the
// registry.
func (p *measurement) startNode(name string, control bool) (*process.Process, error) {
	list := p.serverList()
	if err := p.serveDiscovery(list); err != nil {
		return nil, err
	}
	config, err := p.nodeConfig(name, control, list)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.dir, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	node := p.newProcess(name, []string{"ROUTER_CONFIG=" + file}, p.program("node"))
	return node, node.Start()
}

// serverList returns all servers of the size in the form of the discovery protocol.
func (p *measurement) serverList() map[string]any {
	var targets []map[string]any
	for i := range p.nodes {
		loc := locationOf(i)
		targets = append(targets, map[string]any{"uid": loc.server, "endpoint": endpointOf(i), "az": loc.zone, "model": loc.service,
			"pod_group": loc.rack, "state": state.Serving, "capacity_hint": 1})
	}
	return map[string]any{"rev": 1, "all": true, "targets": targets}
}

// serveDiscovery starts the discovery of the real nodes, unless it is running.
func (p *measurement) serveDiscovery(list map[string]any) error {
	if p.staticDiscovery != nil {
		return nil
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	p.staticDiscovery, err = serveStaticList(append(text, '\n'))
	return err
}

// nodeConfig returns the configuration file of a real node.
func (p *measurement) nodeConfig(name string, control bool, list map[string]any) ([]byte, error) {
	listen, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	settings, err := settingsOf(0)
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"name":      name,
		"listen":    listen,
		"discovery": p.staticDiscovery.addr(),
		"seed":      "1",
		"limits":    map[string]any{"memory_mb": 192, "sockets": 1024},
		"settings":  json.RawMessage(settings),
		"known":     list,
	}
	if control {
		config["registry"] = map[string]any{"endpoints": p.endpoints()}
		config["agreed"] = map[string]any{"endpoints": p.endpoints(), "tier": "front", "zone": "z0", "region": "r0", "sends_to": "svc00"}
	}
	return json.Marshal(config)
}

// restartExitedReplicas restarts replicas that have exited by themselves, as they do when their disk hangs, and records a note.
func (p *measurement) restartExitedReplicas() {
	if p.cluster == nil {
		return
	}
	for i := range p.cluster.Len() {
		select {
		case <-p.cluster.Exited(i):
			log := strings.TrimSpace(p.cluster.Logs(i))
			lastLine := firstLine(log[strings.LastIndexByte(log, '\n')+1:])
			p.figures.Notes = append(p.figures.Notes, fmt.Sprintf("replica %s had exited by itself: %s", p.cluster.ID(i), lastLine))
			if err := p.cluster.Start(i); err != nil {
				p.figures.Notes = append(p.figures.Notes, fmt.Sprintf("replica %s: %v", p.cluster.ID(i), err))
			}
		default:
		}
	}
}

// replicaProcessorTime returns the total processor time of all replicas so far.
func (p *measurement) replicaProcessorTime() (sum time.Duration) {
	for i := range p.cluster.Len() {
		sum += processorTime(p.cluster.PID(i))
	}
	return sum
}
