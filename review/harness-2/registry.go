package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// replicas is the number of replicas of a registry.
const replicas = 3

// registry is a registry of three replicas, each a process. What one replica sends another goes over a link.
type registry struct {
	site  *site
	addrs [replicas]string          // for clients
	links [replicas][replicas]*link // from one replica to another; nil on the diagonal

	processes []*process
}

// startRegistry starts a registry and waits until it has a leader.
func (s *site) startRegistry() (*registry, error) {
	r := &registry{site: s}
	var raft [replicas]string
	for i := range replicas {
		var err error
		if r.addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
		if raft[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	for i := range replicas {
		var config strings.Builder
		fmt.Fprintf(&config, "id = \"r%d\"\ndir = %q\nraft = %q\naddress = %q\n", i, s.path(fmt.Sprintf("r%d", i)), raft[i], r.addrs[i])
		for k := range replicas {
			fmt.Fprintf(&config, "[[peer]]\nid = \"r%d\"\nraft = %q\naddress = %q\n", k, raft[k], r.addrs[k])
			if k == i {
				continue
			}
			var err error
			if r.links[i][k], err = s.startLink(raft[k]); err != nil {
				return nil, err
			}
			fmt.Fprintf(&config, "via = %q\n", r.links[i][k].addr())
		}
		file, err := s.write(fmt.Sprintf("r%d.toml", i), config.String())
		if err != nil {
			return nil, err
		}
		p, err := s.start(fmt.Sprintf("replica-%d", i), nil, "bin/umberbank", "registry", "serve", "--config", file)
		if err != nil {
			return nil, err
		}
		r.processes = append(r.processes, p)
	}
	return r, eventually("the registry has a leader that all know", 20*time.Second, func() bool {
		leader := r.leader()
		for i := range replicas {
			if leader < 0 || r.status(i).LeaderID != fmt.Sprintf("r%d", leader) {
				return false
			}
		}
		return true
	})
}

// endpoints returns the addresses of all replicas, separated by commas.
func (r *registry) endpoints() string { return strings.Join(r.addrs[:], ",") }

// replicaStatus is the part of a replica's status that the cases use.
type replicaStatus struct {
	Leads    bool   `json:"leads"`
	LeaderID string `json:"leader"`
	Watchers int    `json:"watchers"`
	StaleMS  int64  `json:"stale_ms"`
}

// status returns the status of a replica, or a zero one without an answer.
func (r *registry) status(i int) (v replicaStatus) {
	r.getJSON(r.addrs[i], "/registry/status", &v)
	return v
}

func (r *registry) getJSON(addr, path string, v any) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(v) == nil
}

// leader returns the number of the replica that leads, or -1.
func (r *registry) leader() int {
	for i := range replicas {
		if r.status(i).Leads {
			return i
		}
	}
	return -1
}

// isolate cuts all links of a replica to and from the others.
func (r *registry) isolate(i int) {
	for k := range replicas {
		if k != i {
			r.links[i][k].setCut(true)
			r.links[k][i].setCut(true)
		}
	}
}

// command runs a command of the operators on the registry.
func (r *registry) command(endpoints string, words ...string) (output string, ok bool, err error) {
	output, code, err := r.site.run(append(append([]string{"bin/umberbank"}, words...), "--endpoints", endpoints)...)
	return output, code == 0, err
}

// state returns the state of a server in the registry's list, or an empty string.
func (r *registry) state(uid string) string {
	var list struct {
		Targets []struct {
			UID   string `json:"uid"`
			State string `json:"state"`
		} `json:"targets"`
	}
	for _, addr := range r.addrs {
		if r.getJSON(addr, "/registry/instances?consistent=1", &list) {
			break
		}
	}
	for _, t := range list.Targets {
		if t.UID == uid {
			return t.State
		}
	}
	return ""
}

// lists reports whether the registry's list has all servers as serving.
func (r *registry) lists(servers []*server) bool {
	for _, v := range servers {
		if r.state(v.uid) != "SERVING" {
			return false
		}
	}
	return true
}

// startAgent starts the agent of a server. It only holds the lease of the server, which is a stand-in.
func (r *registry) startAgent(v *server, endpoints string) (*process, error) {
	return r.startAgentNamed("agent-"+v.uid, v, endpoints)
}

func (r *registry) startAgentNamed(name string, v *server, endpoints string) (*process, error) {
	return r.site.start(name, nil, "bin/umberbank", "fleet", "agent", "--endpoints", endpoints, "--uid", v.uid, "--endpoint", v.addr,
		"--tier", "gateway", "--zone", "amman-dc", "--rack", "1", "--version", "v1")
}
