package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// object is a JSON object.
type object = map[string]any

// settings returns the settings of a small deployment with the classes of amman-main.
func settings() object {
	lane := func(name, effect, scope string, target, deadline, window int) object {
		return object{
			"name": name, "effect": effect, "key-scope": scope, "target-ms": target, "deadline-ms": deadline, "window-ms": window,
			"late-share": 0, "stream": false, "worth": 3,
		}
	}
	return object{
		"balancers": 2, "tier": 0, "tiers": []string{"gateway", "board-api", "records"}, "zone": "amman-dc", "localities": []string{"amman-dc"},
		"lanes": []object{
			lane("job-search", "read_like", "all", 2000, 5000, 5000),
			lane("cv-update", "read_like", "all", 2500, 6000, 5000),
			lane("paid-posting", "non_idempotent", "all", 2500, 6000, 5000),
			lane("apply", "idempotency_key", "cell", 2500, 6000, 10000),
		},
		"limits": object{
			"cancelling": true, "conn-idle-ms": 30000, "connect-timeout-ms": 250, "max-attempts": 6, "max-retry-after-ms": 2000,
			"retry-after": true, "second-copies": true, "open-cap": 20000, "max-streams": 1,
		},
		"rules": object{
			"answer-slack-ms": 20, "ask-within-ms": 10000, "cold-from": 0.33, "fall-ms": 2000, "fall-multiple": 3,
			"stop-sending-within-ms": 500, "warm-after-ms": 8800,
		},
		"registry-mode": "pushed", "weights": "rough", "tick-ms": 5, "callers": object{"marks-retry": true},
	}
}

// node is a running node program.
type node struct {
	*process
	addr string
	env  []string
}

// startNode starts the node program by the run line of the deploy file and waits until it is ready. extra has further keys of
// its configuration.
func (s *site) startNode(name, discovery string, known []object, extra object) (*node, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config := object{
		"name": name, "listen": addr, "discovery": discovery, "seed": fmt.Sprintf("%x", len(name)+7),
		"limits":   object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    object{"rev": 1, "all": true, "targets": known},
		"settings": settings(),
	}
	for key, value := range extra {
		config[key] = value
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	file, err := s.write(name+".json", string(text))
	if err != nil {
		return nil, err
	}
	env := []string{
		"ROUTER_NAME=" + name, "ROUTER_LISTEN=" + addr, "ROUTER_DISCOVERY=" + discovery, "ROUTER_CONFIG=" + file, "TMPDIR=" + s.dir,
	}
	p, err := s.start(name, env, "/bin/sh", "-c", "exec bin/umberbank-node")
	if err != nil {
		return nil, err
	}
	ready := "http://" + addr + "/health/ready"
	return &node{p, addr, env}, eventually(name+" is ready", 30*time.Second, func() bool { return status(ready) == http.StatusOK })
}

// discoveryStub is discovery that tells one list and then that nothing changes.
type discoveryStub struct {
	addr string
	list []byte

	mu     sync.Mutex
	closed chan struct{}
}

// startDiscovery starts discovery with a list.
func (s *site) startDiscovery(targets []object) (*discoveryStub, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	list, err := json.Marshal(object{"rev": 2, "all": true, "targets": targets})
	if err != nil {
		return nil, err
	}
	d := &discoveryStub{addr: addr, list: append(list, '\n'), closed: make(chan struct{})}
	server := &http.Server{Addr: addr, Handler: d}
	s.onClose(server)
	s.onClose(d)
	go server.ListenAndServe() //nolint:errcheck // it returns when the server is closed
	return d, eventually("discovery listens", 5*time.Second, func() bool { return status("http://"+addr+"/registry/instances") == http.StatusOK })
}

// ServeHTTP answers with the list, or with a watch that begins with it.
func (d *discoveryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Write(d.list)
	if r.URL.Query().Get("follow") == "" {
		return
	}
	for {
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(2 * time.Second):
			w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		case <-d.closed:
			return
		}
	}
}

// Close ends all watches.
func (d *discoveryStub) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	return nil
}
