// Package cluster runs the replicas of a registry as processes on loopback for tests, benchmarks and the lab. For each ordered
// pair of replicas, the raft connections that the first one opens to the second go through a relay of their own. Replicas are
// identified by their index, starting at 0.
//
// Methods are safe for concurrent use, except that Close must be the last call.
package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"

	"umberbank/internal/process"
	"umberbank/internal/process/relay"
)

// Cluster is a set of replica processes and the relays between them. The caller must Close it.
type Cluster struct {
	dir      string
	launcher *process.Launcher
	members  []*member
	links    map[link]*relay.Relay
}

// member is the process of one replica.
type member struct {
	process.Process
	id, raftAddress, clientAddress string
	configFile                     string
}

// link is the path of the connections that one replica opens to another.
type link struct{ from, to int }

// tick is the raft tick of the replicas. It is shorter than the default, so that elections take less time.
const tick = "60ms"

var errNoCommand = errors.New("replica command is empty")

// FreeAddress returns a loopback address, as host:port, on which no process listens at the time of the call. The host is
// chosen at random from many, because on 127.0.0.1 the system might assign the port to an outgoing connection before the
// caller listens on it.
func FreeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 220+rand.IntN(30), rand.IntN(250), 1+rand.IntN(250))
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// New creates the configuration files and relays of the replicas. It does not start the replicas. The command that runs a
// replica takes --config FILE. extraConfig is appended to each configuration file.
func New(command []string, replicas int, extraConfig string) (*Cluster, error) {
	if len(command) == 0 {
		return nil, errNoCommand
	}
	c := &Cluster{launcher: process.NewLauncher(), links: map[link]*relay.Relay{}}
	if err := c.setUp(command, replicas, extraConfig); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) setUp(command []string, replicas int, extraConfig string) error {
	var err error
	if c.dir, err = os.MkdirTemp("", "umberbank-cluster-"); err != nil {
		return err
	}
	for i := range replicas {
		if err := c.addMember(i, command); err != nil {
			return err
		}
	}
	for from := range c.members {
		if err := c.listenLinks(from); err != nil {
			return err
		}
		text := c.config(from) + extraConfig
		if err := os.WriteFile(c.members[from].configFile, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// addMember creates replica i with free addresses.
func (c *Cluster) addMember(i int, command []string) error {
	id := fmt.Sprintf("r%d", i)
	m := &member{id: id, configFile: filepath.Join(c.dir, id+".toml")}
	m.Launcher = c.launcher
	m.Args = []string{"--config", m.configFile}
	m.LogPath = filepath.Join(c.dir, id+".log")
	m.SetCommand(command)
	for _, addr := range []*string{&m.raftAddress, &m.clientAddress} {
		var err error
		if *addr, err = FreeAddress(); err != nil {
			return err
		}
	}
	c.members = append(c.members, m)
	return nil
}

// listenLinks starts the relays from one replica to the others.
func (c *Cluster) listenLinks(from int) error {
	for to, m := range c.members {
		if to == from {
			continue
		}
		r, err := relay.Listen("127.0.0.1", m.raftAddress)
		if err != nil {
			return err
		}
		c.links[link{from, to}] = r
	}
	return nil
}

// config returns the content of the configuration file of replica i, without extraConfig.
func (c *Cluster) config(i int) string {
	var b strings.Builder
	m := c.members[i]
	fmt.Fprintf(&b, "id = %q\ndir = %q\nraft = %q\naddress = %q\ntick = %q\nsync_wait = %q\n",
		m.id, c.DataDir(i), m.raftAddress, m.clientAddress, tick, c.syncDelayFile(i))
	for to, peer := range c.members {
		via := peer.raftAddress
		if r := c.links[link{i, to}]; r != nil {
			via = r.Addr()
		}
		fmt.Fprintf(&b, "[[peer]]\nid = %q\nraft = %q\naddress = %q\nvia = %q\n", peer.id, peer.raftAddress, peer.clientAddress, via)
	}
	return b.String()
}

// Close kills the running replicas, closes the relays and removes all data.
func (c *Cluster) Close() {
	for i := range c.members {
		c.Kill(i)
	}
	for _, r := range c.links {
		r.Close()
	}
	c.launcher.Close()
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
}

// Len returns the number of replicas, running or not.
func (c *Cluster) Len() int { return len(c.members) }

// ID returns the id of a replica in the registry's configuration.
func (c *Cluster) ID(i int) string { return c.members[i].id }

// DataDir returns the data directory of a replica.
func (c *Cluster) DataDir(i int) string { return filepath.Join(c.dir, c.members[i].id) }

// Addresses returns the client addresses of the replicas, as host:port, in the order of the replicas.
func (c *Cluster) Addresses() []string {
	var l []string
	for _, m := range c.members {
		l = append(l, m.clientAddress)
	}
	return l
}

// EachLink calls visit with the relay of each ordered pair of replicas.
func (c *Cluster) EachLink(visit func(from, to int, r *relay.Relay)) {
	for l, r := range c.links {
		visit(l.from, l.to, r)
	}
}
