package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// replica is a replica of the registry.
type replica struct {
	name    string
	address string // for clients
	config  string // path of its configuration
	process *process
}

// startRegistry starts a registry of three replicas with the times of the built-in configuration, and waits until it has a
// leader.
func (p *play) startRegistry() ([]*replica, error) {
	const replicas = 3
	addresses, err := freeAddresses(2 * replicas)
	if err != nil {
		return nil, err
	}
	var peers strings.Builder
	for i := range replicas {
		fmt.Fprintf(&peers, "[[peer]]\nid = \"r%d\"\nraft = %q\naddress = %q\n", i, addresses[2*i], addresses[2*i+1])
	}
	var registry []*replica
	for i := range replicas {
		r := &replica{name: fmt.Sprintf("r%d", i), address: addresses[2*i+1]}
		text := fmt.Sprintf("id = %q\ndir = %q\nraft = %q\naddress = %q\ntick = \"100ms\"\n"+
			"[guard]\nshare = 0.3\nleast = 5\nwindow = \"3s\"\nconfirm = \"15s\"\n%s",
			r.name, p.dir+"/"+r.name, addresses[2*i], r.address, &peers)
		if r.config, err = p.writeFile(r.name+".toml", text); err != nil {
			return nil, err
		}
		if err := p.startReplica(r); err != nil {
			return nil, err
		}
		registry = append(registry, r)
	}
	return registry, awaitTrue("a leader of the registry", readyTimeout, func() bool {
		_, err := getInstances(registry[0].address)
		return err == nil
	})
}

// startReplica starts a replica, or starts it again.
func (p *play) startReplica(r *replica) (err error) {
	r.process, err = p.start(r.name, "exec bin/umberbank registry serve --config "+r.config)
	return err
}

// endpoints returns the addresses of replicas as the commands take them.
func endpoints(registry []*replica) string {
	var addresses []string
	for _, r := range registry {
		addresses = append(addresses, r.address)
	}
	return strings.Join(addresses, ",")
}

// instance is an entry of the registry as an operator reads it.
type instance struct {
	UID   string `json:"uid"`
	State string `json:"state"`
}

// getInstances reads the list of a registry through its leader, and returns the state of each instance.
func getInstances(address string) (map[string]string, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + address + "/registry/instances?consistent=1")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var l struct {
		Targets []instance `json:"targets"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the registry answers %s", resp.Status)
	}
	states := map[string]string{}
	for _, e := range l.Targets {
		states[e.UID] = e.State
	}
	return states, nil
}

// stateOf returns the state of an instance, as a consistent read of the registry shows it, or an empty string.
func (p *play) stateOf(registry []*replica, uid string) string {
	states, err := getInstances(registry[0].address)
	if err != nil {
		p.notef("reading the registry failed: %v", err)
	}
	return states[uid]
}

// epoch returns the epoch of the registry, which each restore of a backup begins anew.
func (s *site) epoch() (int64, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + s.registry[0].address + "/registry/status")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var status struct {
		Epoch int64 `json:"epoch"`
	}
	return status.Epoch, json.NewDecoder(resp.Body).Decode(&status)
}
