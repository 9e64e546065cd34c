package replica

import (
	_ "embed"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"umberbank/internal/stricttoml"
)

//go:embed registry.toml
var builtInConfig []byte

// configFile is the configuration file of a replica.
type configFile struct {
	ID            string `toml:"id"`
	DataDir       string `toml:"dir"`
	RaftAddress   string `toml:"raft"`
	ClientAddress string `toml:"address"`
	Tick          string `toml:"tick"`
	SyncDelayFile string `toml:"sync_wait"`
	Peers         []Peer `toml:"peer"`
	Guard         struct {
		MaxZoneFraction float64 `toml:"share"`
		MinExpired      int     `toml:"least"`
		Window          string  `toml:"window"`
		ConfirmAfter    string  `toml:"confirm"`
	} `toml:"guard"`
}

// ReadConfig reads the configuration file of a replica. If path is empty, it returns the built-in configuration, which is
// that of a registry with one replica. Keys that a file omits have the values of the built-in configuration, except for the
// peers. An error names the file, the key and the reason.
func ReadConfig(path string) (Config, error) {
	text, name := builtInConfig, "registry.toml (built in)"
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return Config{}, err
		}
		name = path
	}
	var f configFile
	if err := stricttoml.Decode(name, builtInConfig, &f); err != nil {
		return Config{}, err
	}
	if path != "" {
		f.Peers = nil
		if err := stricttoml.Decode(name, text, &f); err != nil {
			return Config{}, err
		}
	}
	return f.config(name)
}

// config validates the values and returns them as a Config. name is the name of the file in errors.
func (f *configFile) config(name string) (Config, error) {
	c := Config{
		ID: f.ID, DataDir: f.DataDir, RaftAddress: f.RaftAddress, ClientAddress: f.ClientAddress,
		Peers: f.Peers, SyncDelayFile: f.SyncDelayFile,
		Guard: ExpiryGuard{MaxZoneFraction: f.Guard.MaxZoneFraction, MinExpired: f.Guard.MinExpired},
	}
	for _, d := range []struct {
		key, text string
		to        *time.Duration
	}{
		{"tick", f.Tick, &c.Tick},
		{"guard.window", f.Guard.Window, &c.Guard.Window},
		{"guard.confirm", f.Guard.ConfirmAfter, &c.Guard.ConfirmAfter},
	} {
		v, err := time.ParseDuration(d.text)
		if err != nil || v <= 0 {
			return c, invalid(name, d.key, "%q is no time above 0 with a unit", d.text)
		}
		*d.to = v
	}
	for key, addr := range map[string]string{"raft": c.RaftAddress, "address": c.ClientAddress} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return c, invalid(name, key, "%q is no host:port", addr)
		}
	}
	switch {
	case c.ID == "":
		return c, invalid(name, "id", "missing")
	case c.DataDir == "":
		return c, invalid(name, "dir", "missing")
	case c.Guard.MaxZoneFraction <= 0 || c.Guard.MaxZoneFraction > 1:
		return c, invalid(name, "guard.share", "%v is no share above 0", c.Guard.MaxZoneFraction)
	case c.Guard.MinExpired < 1:
		return c, invalid(name, "guard.least", "%d is below 1", c.Guard.MinExpired)
	}
	return c, c.checkPeers(name)
}

func (c *Config) checkPeers(name string) error {
	for i, p := range c.Peers {
		if p.ID == "" || p.RaftAddress == "" || p.ClientAddress == "" {
			return invalid(name, fmt.Sprintf("peer[%d]", i), "wants id, raft and address")
		}
	}
	if len(c.Peers) > 0 && !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.ID == c.ID }) {
		return invalid(name, "peer", "this replica, %q, is none of them", c.ID)
	}
	return nil
}

// invalid returns the error for a key of a configuration file.
func invalid(file, key, reason string, args ...any) error {
	return &stricttoml.Error{File: file, Key: key, Reason: fmt.Sprintf(reason, args...)}
}
