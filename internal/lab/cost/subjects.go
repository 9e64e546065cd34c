package cost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"

	"umberbank/internal/process"
)

const (
	// nodeSockets is the node's limit of descriptors with up to defaultServers servers. socketsPerServer is added for
	// each further one.
	nodeSockets      = 1024
	socketsPerServer = 2
)

// startNode starts a node in front of the servers. Its discovery is unreachable, so it keeps the list of its configuration.
func startNode(ctx context.Context, launcher *process.Launcher, command []string, dir string, addrs []string) (*measuredProcess, error) {
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		command = []string{self, "node"}
	}
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	var targets []map[string]any
	for i, a := range addrs {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s%d", i), "endpoint": a, "az": "a", "state": "SERVING", "capacity_hint": 1})
	}
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": "127.0.0.1:1", "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": nodeSockets + socketsPerServer*max(0, len(addrs)-defaultServers)},
		"known":  map[string]any{"rev": 1, "all": true, "targets": targets},
		"settings": map[string]any{"balancers": 1, "registry-mode": "pushed", "tick-ms": 5, "blend": map[string]any{"whole": 1},
			"lanes":  []map[string]any{{"name": "read", "effect": "read_like", "target-ms": 2000, "deadline-ms": 9000, "worth": 1}},
			"limits": map[string]any{"max-attempts": 6, "cancelling": true, "second-copies": true, "conn-idle-ms": 30000, "connect-timeout-ms": 250}}})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "node.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	return startMeasured(ctx, launcher, command, []string{"ROUTER_CONFIG=" + path}, dir, "node", addr)
}

// startRelay starts the baseline relay in front of the servers.
func startRelay(ctx context.Context, launcher *process.Launcher, command []string, dir string, addrs []string) (*measuredProcess, error) {
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		command = []string{self, "lab", "bare-relay"}
	}
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return startMeasured(ctx, launcher, append(command[:len(command):len(command)], "--listen", addr, "--to", strings.Join(addrs, ",")), nil, dir, "relay", addr)
}

// ServeRelay runs the baseline relay, a reverse proxy of net/http that uses the servers in turn. It returns nil when ctx ends.
func ServeRelay(ctx context.Context, listen string, to []string) error {
	runtime.GOMAXPROCS(1)
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: to[int(next.Add(1))%len(to)]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: busyConnections},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", proxy)
	srv := &http.Server{Addr: listen, Handler: mux, DisableGeneralOptionsHandler: true}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
