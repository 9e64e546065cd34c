// Package config reads the configuration of a node: a JSON file that the platform writes, read at the start and again at each
// SIGHUP. docs/oncall/settings.md says what a reload takes over.
//
// Every fault of a file is one line that names the key and the reason. Keys that are not known are ignored.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"umberbank/balancer"
	"umberbank/internal/node/discovery"
	"umberbank/internal/simwire"
)

// Used where the configuration does not say.
const (
	defaultSockets        = 1024
	defaultIdleTimeout    = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// Config is the configuration of a node.
type Config struct {
	Name        string
	Listen      string           // host:port for clients
	Discovery   string           // host:port of the discovery service
	Control     string           // host:port for operators' commands; "": none
	AcceptFD    int              // descriptor of an inherited listening socket for clients; 0: none, listen on Listen
	Seed        uint64           // of the random numbers of the balancer
	Cores       float64          // processor cores that the process may use; 0: no limit
	MemoryMB    float64          // memory limit in MiB; 0: none
	Sockets     int              // file descriptors that the process may hold
	InitialList discovery.Update // the endpoint list as this node last had it
	Registry    Registry
	Snapshots   Snapshots
	Rollout     Rollout
	Settings    balancer.Settings
	Connections simwire.Connections // to servers

	// document is the file as decoded, for a later one to be compared with; nil: the Config was not read from a file.
	document any
	// text is the file as it stands, where its settings can be replaced by those of a rollout.
	text json.RawMessage
}

// Registry says which registry a node follows, over all its replicas, in place of discovery. Without endpoints it follows
// discovery.
type Registry struct {
	Endpoints []string `json:"endpoints"` // host:port of each replica
	// Cache is a directory of this node alone that keeps the last endpoint list over restarts; "": none.
	Cache string `json:"cache"`
}

// Rollout says that a node takes its settings from a site's registry, in versions that a quorum of its nodes has acknowledged.
// Without endpoints it takes them from its file.
type Rollout struct {
	Endpoints []string `json:"endpoints"` // host:port of each replica of the registry
	Tier      string   `json:"tier"`      // in whose disruption budget the process counts
	Zone      string   `json:"zone"`
	Region    string   `json:"region"`
	SendsTo   string   `json:"sends_to"` // the tier that it sends to
	Capacity  float64  `json:"capacity"` // 0: 1
	TTLMS     int64    `json:"ttl_ms"`   // of its lease, in milliseconds; 0: 2,000
	ByAgent   bool     `json:"by_agent"` // an agent beside the node holds its registry entry
	// PersistPath is a file that keeps the version over restarts; "": none.
	PersistPath string `json:"keep"`
}

// file is the form of the configuration file. It is an alias so that errors of encoding/json name the key and no Go type.
type file = struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Control   string `json:"control"`
	Seed      string `json:"seed"` // hexadecimal
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Registry Registry        `json:"registry"`
	State    json.RawMessage `json:"state"`
	Agreed   Rollout         `json:"agreed"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration file at a path.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	c, err := Parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads the text of a configuration file.
func Parse(text []byte) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, err
	}
	c := Config{
		Name:      f.Name,
		Listen:    f.Listen,
		Discovery: f.Discovery,
		Control:   f.Control,
		Cores:     f.Limits.Cores,
		MemoryMB:  f.Limits.MemoryMB,
		Sockets:   f.Limits.Sockets,
		Registry:  f.Registry,
		Rollout:   f.Agreed,
	}
	if len(c.Rollout.Endpoints) > 0 {
		c.text = text
	}
	if err := json.Unmarshal(text, &c.document); err != nil {
		return Config{}, err
	}
	if err := c.checkAddresses(); err != nil {
		return Config{}, err
	}
	if err := c.Rollout.check(); err != nil {
		return Config{}, err
	}
	if err := c.parseSeedAndLimits(f.Seed); err != nil {
		return Config{}, err
	}
	if err := c.parseKnown(f.Known); err != nil {
		return Config{}, err
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return Config{}, err
	}
	var err error
	if c.Snapshots, err = parseSnapshots(f.State); err != nil {
		return Config{}, err
	}
	c.Settings.SnapshotMaxAge = c.Snapshots.MaxAge
	return c, c.Settings.Validate()
}

// checkAddresses says which address is none.
func (c *Config) checkAddresses() error {
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := checkAddress(a.key, a.addr); err != nil {
			return err
		}
	}
	for key, endpoints := range map[string][]string{"registry": c.Registry.Endpoints, "agreed": c.Rollout.Endpoints} {
		for i, addr := range endpoints {
			if err := checkAddress(fmt.Sprintf("%s.endpoints[%d]", key, i), addr); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkAddress checks the value of a key that is to be host:port.
func checkAddress(key, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%s: %q is no host:port", key, addr)
	}
	return nil
}

// check says what is wrong with the keys of a rollout.
func (r *Rollout) check() error {
	switch {
	case len(r.Endpoints) == 0:
		return nil
	case r.Tier == "" && !r.ByAgent:
		return errors.New("agreed.tier: missing")
	case r.Capacity < 0 || r.TTLMS < 0:
		return errors.New("agreed.capacity, agreed.ttl_ms: negative")
	}
	return nil
}

// parseSeedAndLimits reads the seed and checks the process's limits.
func (c *Config) parseSeedAndLimits(seed string) (err error) {
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", seed)
	}
	if c.Cores < 0 || c.MemoryMB < 0 || c.Sockets < 0 {
		return errors.New("limits: negative")
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	return nil
}

// parseKnown reads the endpoint list as the node last had it.
func (c *Config) parseKnown(text json.RawMessage) (err error) {
	if len(text) > 0 {
		if c.InitialList, err = discovery.ParseUpdate(text); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	c.InitialList.Full = true
	return nil
}

// parseSettings reads the settings of the balancer and of connections.
func (c *Config) parseSettings(text json.RawMessage) (err error) {
	if len(text) == 0 {
		return errors.New("settings: missing")
	}
	if c.Settings, c.Connections, err = simwire.ParseSettings(text); err != nil {
		return err
	}
	if c.Connections.IdleTimeout <= 0 {
		c.Connections.IdleTimeout = defaultIdleTimeout
	}
	if c.Connections.ConnectTimeout <= 0 {
		c.Connections.ConnectTimeout = defaultConnectTimeout
	}
	return nil
}

// WithSettings is the configuration with other settings, as if its file had held them. Control and AcceptFD, which do not come
// from the file alone, stay.
func (c Config) WithSettings(settings json.RawMessage) (Config, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(c.text, &keys); err != nil {
		return Config{}, err
	}
	keys["settings"] = settings
	text, err := json.Marshal(keys)
	if err != nil {
		return Config{}, err
	}
	with, err := Parse(text)
	if err != nil {
		return Config{}, err
	}
	with.Control, with.AcceptFD = c.Control, c.AcceptFD
	return with, nil
}
