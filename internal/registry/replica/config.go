package replica

import (
	"cmp"
	"fmt"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// Peer is a replica of a new cluster. Its JSON names are those of the call that changes the members.
type Peer struct {
	ID            string `toml:"id" json:"ID"`
	RaftAddress   string `toml:"raft" json:"Raft"`       // host:port that the other replicas call
	ClientAddress string `toml:"address" json:"Address"` // host:port that writers and watchers call
	DialAddress   string `toml:"via" json:"Via"`         // where this replica calls the peer if not at RaftAddress
}

// Config is the configuration of a replica.
type Config struct {
	ID            string
	DataDir       string
	RaftAddress   string // host:port to listen on for the other replicas
	ClientAddress string // host:port to listen on for writers and watchers
	// Peers are the replicas that a new cluster begins with, this one included. Without any, the replica waits until a
	// cluster adds it.
	Peers []Peer
	Guard ExpiryGuard
	// Tick is the unit of raft's times; 0 is 100 ms. An election takes five to ten.
	Tick time.Duration
	// SnapshotThreshold is after how many entries of the log a snapshot is taken; 0 is 8,192.
	SnapshotThreshold uint64
	// SyncDelayFile is for tests with slow disks: each sync of the log first waits for the duration that the file holds.
	// Without a file it does not wait.
	SyncDelayFile string
	Logger        *slog.Logger // nil discards
}

const (
	defaultTick              = 100 * time.Millisecond
	defaultSnapshotThreshold = 8192
)

func (c *Config) setDefaults() {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = defaultSnapshotThreshold
	}
}

// ServerAddr returns the address to call a replica at. Raft asks for it before each connection, and takes the address that
// it has itself after an error.
func (c *Config) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range c.Peers {
		if p.ID == string(id) {
			return raft.ServerAddress(cmp.Or(p.DialAddress, p.RaftAddress)), nil
		}
	}
	return "", fmt.Errorf("no other address of %s", id)
}
