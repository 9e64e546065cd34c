package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// The deployment of neverReady: three nodes that take their settings from the registry, before four servers.
const (
	restartNodes   = 3
	restartServers = 4
	// deadFor is the time until the platform has started a killed node again.
	deadFor = 300 * time.Millisecond
	// noticedAfter is the time for which the front goes on sending clients to a node that was killed.
	noticedAfter = 3 * time.Second
	// readyWithin is the time within which a restarted node has to be ready.
	readyWithin = 30 * time.Second
	// reloadedFor is how long the node serves with its new configuration before it is killed.
	reloadedFor = 5 * time.Second
	// newKey is the key that the platform adds to the settings in the node's file.
	newKey = `"new-key":1.0,`
)

// neverReady replaces the file of a node that follows the versions of its site, at SIGHUP, by one whose settings have one key more
// than the version in force. Then it kills the node, which starts again. It has to be ready again, and to answer what it takes.
func neverReady(p *play) error {
	f, err := p.startFollowers()
	if err != nil {
		return err
	}
	before := newLoad(p, f.configs[0].Listen)
	before.run(registryInterval, 2*time.Second)
	p.logf("before: %d requests; answers by status (0: none): %v", before.asked, before.answers)
	if before.answers[http.StatusOK] < before.asked/2 {
		return errors.New("under half of the requests were served")
	}
	config, err := f.reload(p)
	if err != nil {
		return err
	}
	p.kill(f.nodes[0])
	time.Sleep(deadFor)
	restarted := time.Now()
	if _, err := p.startNode(config); err != nil {
		return err
	}
	after := newLoad(p, config.Listen)
	after.run(registryInterval, noticedAfter)
	p.logf("in the %v after the restart: %d requests; answers by status (0: none): %v; taken and never answered: %d",
		noticedAfter, after.asked, after.answers, after.unanswered)
	readyErr := awaitTrue("ready", readyWithin-time.Since(restarted), func() bool { return isOK("http://" + config.Listen + "/health/ready") })
	p.logf("n0 is ready within %v of its restart: %v", readyWithin, readyErr == nil)
	if _, err := p.command("bin/umberbank fleet config status --endpoints " + endpoints(f.registry)); err != nil {
		return err
	}
	if readyErr != nil || after.unanswered > 0 {
		return fmt.Errorf("%w: n0 is ready within %v of its restart: %v; it took %d requests and never answered them",
			errBroken, readyWithin, readyErr == nil, after.unanswered)
	}
	return nil
}

// reload gives the first node a new configuration that moves discovery, and with the disruption adds a key to the settings in it. It
// waits until the node has served for a while with it.
func (f *followers) reload(p *play) (nodeConfig, error) {
	config := f.configs[0]
	moved, err := p.startDiscovery(f.list)
	if err != nil {
		return config, err
	}
	config.Discovery = moved.addr
	if p.trouble {
		p.logf("the settings in the file of n0 have one key more: %s", newKey)
		config.Settings = json.RawMessage(strings.Replace(settings, "{", "{"+newKey, 1))
	}
	if _, err := p.writeConfig(config); err != nil {
		return config, err
	}
	p.logf("SIGHUP to n0")
	if err := f.nodes[0].cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return config, err
	}
	f.sources[0].leave()
	reloaded := newLoad(p, config.Listen)
	reloaded.run(registryInterval, reloadedFor)
	p.logf("in the %v after SIGHUP: %d requests; answers by status (0: none): %v", reloadedFor, reloaded.asked, reloaded.answers)
	return config, nil
}

// followers is a site whose nodes take their settings from the registry.
type followers struct {
	registry []*replica
	list     list // of the servers
	configs  []nodeConfig
	nodes    []*process
	sources  []*discovery // by node
}

// startFollowers starts the site, and pushes the settings that its nodes have as version 1. It waits until all nodes run it.
func (p *play) startFollowers() (*followers, error) {
	f := &followers{}
	var err error
	if f.registry, err = p.startRegistry(); err != nil {
		return nil, err
	}
	if _, err := p.start("c0", "exec bin/umberbank fleet controller --name c0 --endpoints "+endpoints(f.registry)); err != nil {
		return nil, err
	}
	l := list{Revision: 41, Full: true}
	for i := range restartServers {
		s, err := p.startServer(fmt.Sprintf("s%d", i), registryService, nil)
		if err != nil {
			return nil, err
		}
		l.Targets = append(l.Targets, target{UID: s.name, Endpoint: s.addr, Zone: "amman-dc", Kind: "gw-fast", State: "SERVING", Weight: 1})
	}
	f.list = l
	for i := range restartNodes {
		// The agent of discovery is on the machine of its node.
		source, err := p.startDiscovery(l)
		if err != nil {
			return nil, err
		}
		f.sources = append(f.sources, source)
		if err := f.startFollower(p, fmt.Sprintf("n%d", i), source.addr, l); err != nil {
			return nil, err
		}
	}
	file, err := p.writeFile("settings.json", settings)
	if err != nil {
		return nil, err
	}
	push := "bin/umberbank fleet config push --stages 0.5,1 --bake 200ms --endpoints " + endpoints(f.registry) + " " + file
	if _, err := p.command(push); err != nil {
		return nil, err
	}
	return f, awaitTrue("all nodes run version 1", readyTimeout, func() bool { return f.allRun(1) })
}

// startFollower starts a node that takes its settings from the registry, and waits until it is ready.
func (f *followers) startFollower(p *play, name, discovery string, l list) error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	config := newNodeConfig(name, listen, discovery)
	config.Known = l
	config.Agreed = map[string]any{
		"endpoints": strings.Split(endpoints(f.registry), ","), "tier": "front", "zone": "amman-dc", "sends_to": "gateway",
	}
	node, err := p.startNode(config)
	if err != nil {
		return err
	}
	f.configs, f.nodes = append(f.configs, config), append(f.nodes, node)
	return awaitOK("http://" + listen + "/health/ready")
}

// allRun reports whether a version is in force and all nodes run it.
func (f *followers) allRun(version int) bool {
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + f.registry[0].address + "/registry/agreed?consistent=1")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var view struct {
		Rollout struct {
			Committed struct {
				Number int `json:"number"`
			} `json:"committed"`
			Nodes map[string]struct {
				Running int `json:"running"`
			} `json:"nodes"`
		} `json:"book"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&view); err != nil {
		return false
	}
	for _, node := range view.Rollout.Nodes {
		if node.Running != version {
			return false
		}
	}
	return view.Rollout.Committed.Number == version && len(view.Rollout.Nodes) == restartNodes
}
