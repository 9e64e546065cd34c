// Package cluster runs the replicas of a registry as processes on loopback, with a relay from each replica to each other, for
// tests, benchmarks and the lab. Replicas are named by their index, from 0.
//
// Methods may be called from any goroutine, except that Close must be the last call.
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

// Cluster is the processes, and the relays between them.
type Cluster struct {
	dir      string
	launcher *process.Launcher
	members  []*member
	links    map[link]*relay.Relay
}

// member is one replica's process.
type member struct {
	process.Process
	id, raftAddress, clientAddress string
	configFile                     string
}

// link is the direction from one replica to another, by which the first calls the second.
type link struct{ from, to int }

// tick is the replicas' tick. It is shorter than the default, so that elections are.
const tick = "60ms"

var errNoCommand = errors.New("no command of a replica")

// FreeAddress returns an address on loopback that nobody listens on now, on a host drawn from many: on 127.0.0.1 the system
// might give its port to a connection before it is used.
func FreeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 220+rand.IntN(30), rand.IntN(250), 1+rand.IntN(250))
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// New makes the replicas' files and relays; nothing runs yet. The command of a replica takes --config FILE. extraConfig is
// appended to each configuration file.
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
		if err := c.connect(from); err != nil {
			return err
		}
		text := c.config(from) + extraConfig
		if err := os.WriteFile(c.members[from].configFile, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// addMember makes replica i, with addresses of its own.
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

// connect makes the relays from one replica to the others.
func (c *Cluster) connect(from int) error {
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

// config is the configuration file of replica i.
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

// Close kills what runs and removes the data.
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

// Len returns how many replicas there are.
func (c *Cluster) Len() int { return len(c.members) }

// ID returns a replica's id.
func (c *Cluster) ID(i int) string { return c.members[i].id }

// DataDir returns the folder of a replica's data.
func (c *Cluster) DataDir(i int) string { return filepath.Join(c.dir, c.members[i].id) }

// Addresses returns where clients call, by replica.
func (c *Cluster) Addresses() []string {
	var l []string
	for _, m := range c.members {
		l = append(l, m.clientAddress)
	}
	return l
}

// EachLink calls visit with the relay from each replica to each other.
func (c *Cluster) EachLink(visit func(from, to int, r *relay.Relay)) {
	for l, r := range c.links {
		visit(l.from, l.to, r)
	}
}
