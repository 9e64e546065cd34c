package replica

import (
	"cmp"
	"fmt"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// Peer is a replica of the cluster. Its JSON names are those in a request to api.PathMembers.
type Peer struct {
	ID            string `toml:"id" json:"ID"`
	RaftAddress   string `toml:"raft" json:"Raft"`       // host:port where the other replicas connect
	ClientAddress string `toml:"address" json:"Address"` // host:port where writers and watchers connect
	DialAddress   string `toml:"via" json:"Via"`         // host:port where this replica connects; if empty, RaftAddress
}

// Config is the configuration of a replica.
type Config struct {
	ID            string
	DataDir       string
	RaftAddress   string // host:port to listen on for the other replicas
	ClientAddress string // host:port to listen on for writers and watchers
	// Peers are the initial replicas of a new cluster, including this one. If empty, the replica waits until it is added to
	// a cluster.
	Peers []Peer
	Guard ExpiryGuard
	// Tick is the unit of the times of raft; zero means 100 ms. A replica starts an election after 5 to 15 ticks without
	// contact with the leader.
	Tick time.Duration
	// SnapshotThreshold is the number of log entries after which a snapshot is taken; zero means 8,192.
	SnapshotThreshold uint64
	// SyncDelayFile simulates a slow disk in tests: before each sync of the log the replica waits for the duration that the
	// file contains. If empty, or if the file does not exist, there is no delay.
	SyncDelayFile string
	Logger        *slog.Logger // nil discards all messages

	readTimeout, idleTimeout time.Duration // override requestReadTimeout and clientIdleTimeout in tests
}

const (
	defaultTick              = 100 * time.Millisecond
	defaultSnapshotThreshold = 8192

	// requestReadTimeout limits the time in which a client must send a request with its body.
	requestReadTimeout = 30 * time.Second
	// clientIdleTimeout is how long a client's connection may be idle. net/http's clients close theirs after 90 s, so that no
	// request of theirs meets the close.
	clientIdleTimeout = 2 * time.Minute
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
	c.readTimeout = cmp.Or(c.readTimeout, requestReadTimeout)
	c.idleTimeout = cmp.Or(c.idleTimeout, clientIdleTimeout)
}

// ServerAddr returns the address at which to connect to a replica. Raft calls it before each connection, and after an error
// uses the address of its own configuration.
func (c *Config) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, p := range c.Peers {
		if p.ID == string(id) {
			return raft.ServerAddress(cmp.Or(p.DialAddress, p.RaftAddress)), nil
		}
	}
	return "", fmt.Errorf("no address is configured for replica %s", id)
}
