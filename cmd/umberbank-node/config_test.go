package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// nodeConfig is the configuration of a node under test.
type nodeConfig struct {
	servers    []*httptest.Server
	discovery  string // address
	mode       string // how the list of servers is notified
	classes    []classConfig
	memoryMB   int
	sockets    int
	cancelling bool
	control    string // address; empty for none
}

// classConfig is the configuration of a class of requests.
type classConfig struct {
	name, effect        string
	objective, deadline time.Duration
}

// configOf returns a configuration with one class, "read", whose list of servers does not change.
func configOf(servers ...*httptest.Server) nodeConfig {
	return nodeConfig{
		servers:   servers,
		discovery: "127.0.0.1:1",
		mode:      "on_request",
		classes:   []classConfig{{"read", "read_like", time.Second, 2 * time.Second}},
		memoryMB:  192,
		sockets:   1024,
	}
}

// write writes the configuration to a file, and returns its path and text.
func (c nodeConfig) write(t *testing.T) (path, text string) {
	t.Helper()
	var targets, lanes []string
	for i, server := range c.servers {
		targets = append(targets, fmt.Sprintf(`{"uid":"s%d","endpoint":%q,"az":"a","state":"SERVING"}`,
			i, strings.TrimPrefix(server.URL, "http://")))
	}
	for _, class := range c.classes {
		lanes = append(lanes, fmt.Sprintf(`{"name":%q,"effect":%q,"target-ms":%d,"deadline-ms":%d}`,
			class.name, class.effect, class.objective.Milliseconds(), class.deadline.Milliseconds()))
	}
	control := ""
	if c.control != "" {
		control = fmt.Sprintf(`"control":%q,`, c.control)
	}
	text = fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,%s"seed":"1f",
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"known":{"rev":1,"all":true,"targets":[%s]},
		"settings":{"lanes":[%s],"limits":{"max-attempts":3,"cancelling":%t},"rules":{"ask-within-ms":10000},"registry-mode":%q}}`,
		c.discovery, control, c.memoryMB, c.sockets, strings.Join(targets, ","), strings.Join(lanes, ","), c.cancelling, c.mode)
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, text
}

// start starts a program with the configuration.
func (c nodeConfig) start(t *testing.T) *process {
	t.Helper()
	path, _ := c.write(t)
	return startProgram(t, path)
}
