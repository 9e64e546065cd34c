// Package cluster runs the replicas of a registry as processes on loopback, with a relay from each to each.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"umberbank/internal/process"
	"umberbank/internal/process/relay"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/replica"
)

// Cluster is the processes, and the relays from each to each.
type Cluster struct {
	dir    string
	launch *process.Launcher
	nodes  []*member
	links  map[[2]int]*relay.Relay
}

type member struct {
	process.Process
	id, raft, address, config string
}

// defaultTick is short, so that elections are.
const defaultTick = "60ms"

// FreeAddress is an address on loopback that nobody listens on now, on a host drawn from many: on 127.0.0.1 the system might
// give its port to a connection before it is used.
func FreeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 220+rand.IntN(30), rand.IntN(250), 1+rand.IntN(250))
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// New makes the files and relays; nothing runs yet. The command takes --config FILE; more stands at the end of each
// file.
func New(command []string, replicas int, more string) (c *Cluster, err error) {
	if len(command) == 0 {
		return nil, errors.New("no command of a replica")
	}
	c = &Cluster{launch: process.NewLauncher(), links: map[[2]int]*relay.Relay{}}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	if c.dir, err = os.MkdirTemp("", "umberbank-trial-"); err != nil {
		return c, err
	}
	for i := range replicas {
		m := &member{id: fmt.Sprintf("r%d", i), config: filepath.Join(c.dir, fmt.Sprintf("r%d.toml", i))}
		m.Launcher, m.Args, m.LogPath = c.launch, []string{"--config", m.config}, filepath.Join(c.dir, m.id+".log")
		m.SetCommand(command)
		for _, addr := range []*string{&m.raft, &m.address} {
			if *addr, err = FreeAddress(); err != nil {
				return c, err
			}
		}
		c.nodes = append(c.nodes, m)
	}
	for i, m := range c.nodes {
		text := fmt.Sprintf("id = %q\ndir = %q\nraft = %q\naddress = %q\ntick = %q\nsync_wait = %q\n",
			m.id, filepath.Join(c.dir, m.id), m.raft, m.address, defaultTick, c.syncWait(i))
		for j, o := range c.nodes {
			via := o.raft
			if i != j {
				r, err := relay.Listen("127.0.0.1", o.raft)
				if err != nil {
					return c, err
				}
				c.links[[2]int{i, j}] = r
				via = r.Addr()
			}
			text += fmt.Sprintf("[[peer]]\nid = %q\nraft = %q\naddress = %q\nvia = %q\n", o.id, o.raft, o.address, via)
		}
		if err = os.WriteFile(m.config, []byte(text+more), 0o600); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Close ends all that runs and takes the data away.
func (c *Cluster) Close() {
	for i := range c.nodes {
		c.Kill(i)
	}
	for _, r := range c.links {
		r.Close()
	}
	c.launch.Close()
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
}

// Start starts a replica that does not run.
func (c *Cluster) Start(i int) error { return c.nodes[i].Start() }

// Kill kills a replica, as a crash does.
func (c *Cluster) Kill(i int) { c.nodes[i].Kill() }

// Signal gives a replica that runs a signal.
func (c *Cluster) Signal(i int, s syscall.Signal) { c.nodes[i].Signal(s) }

// SetSyncDelay makes each sync of a replica's log wait from now on; 0: as it was.
func (c *Cluster) SetSyncDelay(i int, wait time.Duration) error {
	return renameio.WriteFile(c.syncWait(i), []byte(wait.String()), 0o600)
}

func (c *Cluster) syncWait(i int) string { return filepath.Join(c.dir, c.nodes[i].id+".sync") }

// Exited is closed when the process that a replica runs as has ended; nil: it does not run.
func (c *Cluster) Exited(i int) <-chan struct{} { return c.nodes[i].Done() }

// Logs is the end of what a replica wrote.
func (c *Cluster) Logs(i int) string { return c.nodes[i].LogTail() }

// Addresses are where writers and readers call.
func (c *Cluster) Addresses() []string {
	var l []string
	for _, m := range c.nodes {
		l = append(l, m.address)
	}
	return l
}

// SetCommand gives a replica a command of its own from its next start on.
func (c *Cluster) SetCommand(i int, command []string) { c.nodes[i].SetCommand(command) }

// Len is how many replicas there are, and Name one's id.
func (c *Cluster) Len() int { return len(c.nodes) }

// ID is a replica's id.
func (c *Cluster) ID(i int) string { return c.nodes[i].id }

// DataDir is where a replica keeps its data.
func (c *Cluster) DataDir(i int) string { return filepath.Join(c.dir, c.nodes[i].id) }

// PID is a replica's process; 0: it does not run.
func (c *Cluster) PID(i int) int { return c.nodes[i].Pid() }

// EachLink calls f with the relay from each replica to each.
func (c *Cluster) EachLink(f func(from, to int, r *relay.Relay)) {
	for k, r := range c.links {
		f(k[0], k[1], r)
	}
}

// ResumeAll lets every replica run again.
func (c *Cluster) ResumeAll() {
	for i := range c.nodes {
		c.Signal(i, syscall.SIGCONT)
		c.Start(i) // one that cannot start shows in what follows
	}
}

// AwaitReady waits until every replica answers and knows a leader. Two of three serve without the third, which may still be
// starting, or never be.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for i, m := range c.nodes {
		w, err := client.New(client.Options{Endpoints: []string{m.address}, MaxBackoff: 50 * time.Millisecond})
		if err != nil {
			return err
		}
		for led := false; !led; {
			var st replica.Status
			if err := w.Call(ctx, "GET", "/registry/status", nil, &st); err != nil {
				return fmt.Errorf("replica %s: %w: %s", m.id, err, c.Logs(i))
			}
			if led = st.LeaderID != ""; !led {
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	return nil
}

// Leader is the replica that says that it leads, or another.
func (c *Cluster) Leader(other int) int {
	for i, m := range c.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		w, err := client.New(client.Options{Endpoints: []string{m.address}})
		var st replica.Status
		if err == nil && w.Call(ctx, "GET", "/registry/status", nil, &st) == nil && st.IsLeader {
			cancel()
			return i
		}
		cancel()
	}
	return other
}
