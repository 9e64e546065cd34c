package replica

import (
	"context"
	_ "embed"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"umberbank/internal/stricttoml"
)

//go:embed registry.toml
var builtIn []byte

// Serve is the program that is one replica, by its configuration file; see ReadConfig. It calls ready with where it
// serves, and ends with ctx, or with an error when its data fails it.
func Serve(ctx context.Context, path string, log *slog.Logger, ready func(address string)) error {
	cfg, err := ReadConfig(path)
	if err != nil {
		return err
	}
	cfg.Logger = log
	r, err := New(cfg)
	if err != nil {
		return err
	}
	ready(r.Addr())
	select {
	case <-ctx.Done():
		return r.Close()
	case err := <-r.Failed():
		return err
	}
}

// file is a replica's configuration as it is written.
type file struct {
	ID      string `toml:"id"`
	Dir     string `toml:"dir"`
	Raft    string `toml:"raft"`
	Address string `toml:"address"`
	Tick    string `toml:"tick"`
	Wait    string `toml:"sync_wait"`
	Peers   []Peer `toml:"peer"`
	Guard   struct {
		Share   float64 `toml:"share"`
		Least   int     `toml:"least"`
		Window  string  `toml:"window"`
		Confirm string  `toml:"confirm"`
	} `toml:"guard"`
}

// ReadConfig reads a replica's configuration; "": the one that is built in, a whole registry by itself. What a file leaves
// out is as in that one, but for its peers.
func ReadConfig(path string) (Config, error) {
	text, name := builtIn, "registry.toml (built in)"
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return Config{}, err
		}
		name = path
	}
	var f file
	if err := stricttoml.Decode(name, builtIn, &f); err != nil {
		return Config{}, err
	}
	if path != "" {
		f.Peers = nil
		if err := stricttoml.Decode(name, text, &f); err != nil {
			return Config{}, err
		}
	}
	bad := func(key, reason string, args ...any) error {
		return &stricttoml.Error{File: name, Key: key, Reason: fmt.Sprintf(reason, args...)}
	}
	c := Config{ID: f.ID, DataDir: f.Dir, RaftAddress: f.Raft, ClientAddress: f.Address, Peers: f.Peers, SyncDelayFile: f.Wait,
		Guard: ExpiryGuard{MaxZoneShare: f.Guard.Share, MinExpired: f.Guard.Least}}
	for _, d := range []struct {
		key, text string
		to        *time.Duration
	}{{"tick", f.Tick, &c.Tick}, {"guard.window", f.Guard.Window, &c.Guard.Window}, {"guard.confirm", f.Guard.Confirm, &c.Guard.ConfirmAfter}} {
		v, err := time.ParseDuration(d.text)
		if err != nil || v <= 0 {
			return c, bad(d.key, "%q is no time above 0 with a unit", d.text)
		}
		*d.to = v
	}
	for key, addr := range map[string]string{"raft": c.RaftAddress, "address": c.ClientAddress} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return c, bad(key, "%q is no host:port", addr)
		}
	}
	switch {
	case c.ID == "":
		return c, bad("id", "missing")
	case c.DataDir == "":
		return c, bad("dir", "missing")
	case c.Guard.MaxZoneShare <= 0 || c.Guard.MaxZoneShare > 1:
		return c, bad("guard.share", "%v is no share above 0", c.Guard.MaxZoneShare)
	case c.Guard.MinExpired < 1:
		return c, bad("guard.least", "%d is below 1", c.Guard.MinExpired)
	}
	for i, p := range c.Peers {
		if p.ID == "" || p.RaftAddress == "" || p.ClientAddress == "" {
			return c, bad(fmt.Sprintf("peer[%d]", i), "wants id, raft and address")
		}
	}
	if len(c.Peers) > 0 && !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.ID == c.ID }) {
		return c, bad("peer", "this replica, %q, is none of them", c.ID)
	}
	return c, nil
}
