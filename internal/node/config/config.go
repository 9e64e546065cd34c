// Package config reads the configuration of a node: a JSON file that the platform writes. It is read at
// startup and again on each SIGHUP. docs/oncall/settings.md describes which keys a reload applies.
//
// Each error about a file's content is one line with the reason. It names the key, or the field of
// balancer.Settings, unless the file is not valid JSON. Unknown keys are ignored.
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

// Defaults for keys that are missing or zero.
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
	Control     string           // host:port for operators' commands; empty to accept none
	AcceptFD    int              // descriptor of an inherited listening socket for clients; zero to listen on Listen
	Seed        uint64           // seed of the balancer's random numbers
	Cores       float64          // processor cores that the process may use; zero if there is no limit
	MemoryMB    float64          // memory limit in MiB; zero if there is no limit
	Sockets     int              // file descriptors that the process may hold
	InitialList discovery.Update // the endpoint list that this node last received
	Registry    Registry
	Snapshots   Snapshots
	Rollout     Rollout
	Settings    balancer.Settings
	Connections simwire.Connections // to servers

	// document is the decoded file, which CheckReload compares with a later one. It is nil if the
	// Config was not read from a file.
	document any
	// text is the content of the file, for WithSettings. It is nil unless settings come from rollouts.
	text json.RawMessage
}

// Registry names the replicas of the registry that a node watches instead of discovery. Without
// endpoints the node watches discovery.
type Registry struct {
	Endpoints []string `json:"endpoints"` // host:port of each replica
	// Cache is a directory, used by this node only, that keeps the last endpoint list across restarts.
	// Empty to keep none.
	Cache string `json:"cache"`
}

// Rollout configures a node to take its settings from a site's registry, in versions that a quorum of
// the site's nodes has acknowledged. Without endpoints the node takes its settings from its file.
type Rollout struct {
	Endpoints []string `json:"endpoints"` // host:port of each replica of the registry
	Tier      string   `json:"tier"`      // the tier whose disruption budget the node counts against
	Zone      string   `json:"zone"`
	Region    string   `json:"region"`
	SendsTo   string   `json:"sends_to"` // the tier that the node sends requests to
	Capacity  float64  `json:"capacity"` // zero for the default of 1
	TTLMS     int64    `json:"ttl_ms"`   // time to live of the node's lease in milliseconds; zero for the default of 2,000
	ByAgent   bool     `json:"by_agent"` // an agent on the same machine holds the node's registry entry
	// PersistPath is a file that keeps the running version across restarts. Empty to keep none.
	PersistPath string `json:"keep"`
}

// file is the format of the configuration file. It is an alias so that errors of encoding/json name the
// key and no Go type.
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

// Load reads and checks the configuration file at path. Errors name the path.
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

// Parse reads and checks the text of a configuration file.
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

// checkAddresses returns an error that names an address that is not host:port. It does not check the
// address of Control, which fails when the node listens on it.
func (c *Config) checkAddresses() error {
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := checkAddress(a.key, a.addr); err != nil {
			return err
		}
	}
	if err := checkEndpoints("registry", c.Registry.Endpoints); err != nil {
		return err
	}
	return checkEndpoints("agreed", c.Rollout.Endpoints)
}

// checkEndpoints returns an error that names the first of the endpoints of a section that is not host:port.
func checkEndpoints(section string, endpoints []string) error {
	for i, addr := range endpoints {
		if err := checkAddress(fmt.Sprintf("%s.endpoints[%d]", section, i), addr); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress returns an error if addr, the value of key, is not host:port.
func checkAddress(key, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%s: %q is no host:port", key, addr)
	}
	return nil
}

// check returns an error that names the invalid keys of a rollout. It accepts any values if there are
// no endpoints.
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

// parseSeedAndLimits parses the seed and checks the limits of the process.
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

// parseKnown parses the endpoint list that the node last received, and makes it a full list.
func (c *Config) parseKnown(text json.RawMessage) (err error) {
	if len(text) > 0 {
		if c.InitialList, err = discovery.ParseUpdate(text); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	c.InitialList.Full = true
	return nil
}

// parseSettings parses the settings of the balancer and of connections to servers.
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

// WithSettings returns the configuration with other settings, as if its file contained them. Control
// and AcceptFD, which may have other sources than the file, keep their values. WithSettings fails
// unless settings come from rollouts.
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
