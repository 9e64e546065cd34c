package config

import (
	"strings"
	"testing"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/nodetest"
)

func TestParse(t *testing.T) {
	c, err := Parse([]byte(nodetest.Config))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || c.InitialList.Revision != 41 ||
		len(c.InitialList.Entries) != 1 || c.Connections.IdleTimeout != 30*time.Second || c.Connections.ConnectTimeout != 200*time.Millisecond ||
		!c.Settings.PollDiscovery || c.Settings.Classes[0].Effect != balancer.Idempotent {
		t.Errorf("%+v", c)
	}
}

// Each test case is named by a part of its error, and every error is one line.
func TestParseErrors(t *testing.T) {
	for name, replace := range map[string][2]string{
		"listen":    {`"127.0.0.1:3000"`, `"here"`},
		"discovery": {`"discovery"`, `"d"`},
		"seed":      {`8c1f30d27a5be964`, `seed`},
		"limits":    {`"sockets":1024`, `"sockets":-1`},
		"known":     {`"SERVING"`, `"SLEEPING"`},
		"settings":  {`"settings":`, `"s":`},
		"Deadline":  {`"deadline-ms":400`, `"deadline-ms":0`},
		"cannot":    {`"lanes":[`, `"lanes":7,"l":[`},
		"character": {`{"name"`, `name`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(nodetest.Config, replace[0], replace[1], 1)))
			if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v", err)
			}
		})
	}
}

// The key "state" of the configuration, and the errors for invalid values.
func TestParseSnapshots(t *testing.T) {
	for text, want := range map[string]struct {
		snapshots Snapshots
		err       string // prefix of the error; empty if there is none
	}{
		"":                 {Snapshots{}, ""},
		"null":             {Snapshots{}, ""},
		`{"every_ms": 50}`: {Snapshots{}, ""}, // no directory
		`{"dir": "d"}`:     {Snapshots{"d", time.Second, time.Minute}, ""},
		`{"dir":"d","every_ms":250,"max_age_ms":1500.5}`: {Snapshots{"d", 250 * time.Millisecond, 1500500 * time.Microsecond}, ""},
		`{"dir":"d","every_ms":0}`:                       {Snapshots{}, "state.every_ms: 0 is no time"},
		`{"dir":"d","max_age_ms":-3}`:                    {Snapshots{}, "state.max_age_ms: -3 is no time"},
		`{"dir":"d","max_age_ms":1e300}`:                 {Snapshots{}, "state.max_age_ms: 1e+300 is no time"},
		`{"dir":7}`:                                      {Snapshots{}, "state: json"},
	} {
		t.Run(text, func(t *testing.T) {
			got, err := parseSnapshots([]byte(text))
			if got != want.snapshots || (err == nil) != (want.err == "") || err != nil && !strings.HasPrefix(err.Error(), want.err) {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
}

// With several invalid keys the error names the first one, at every try.
func TestFirstInvalidKeyIsNamed(t *testing.T) {
	c := Config{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:1"}
	c.Registry.Endpoints, c.Rollout.Endpoints = []string{"a"}, []string{"b"}
	for range 50 {
		if err := c.checkAddresses(); err == nil || !strings.HasPrefix(err.Error(), "registry.endpoints[0]:") {
			t.Fatalf("got %v, want an error of registry.endpoints[0]", err)
		}
		if _, err := parseSnapshots([]byte(`{"dir":"d","every_ms":0,"max_age_ms":0}`)); err == nil || !strings.HasPrefix(err.Error(), "state.every_ms:") {
			t.Fatalf("got %v, want an error of state.every_ms", err)
		}
	}
}
