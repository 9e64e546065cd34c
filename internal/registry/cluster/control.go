package cluster

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/client"
)

const (
	statusTimeout    = 200 * time.Millisecond // of a replica that is asked whether it leads
	readyMaxBackoff  = 50 * time.Millisecond
	leaderPollPeriod = 10 * time.Millisecond
)

// Start starts a replica that does not run.
func (c *Cluster) Start(i int) error { return c.members[i].Start() }

// Kill kills a replica, as a crash does.
func (c *Cluster) Kill(i int) { c.members[i].Kill() }

// Signal sends a signal to a replica that runs.
func (c *Cluster) Signal(i int, s syscall.Signal) { c.members[i].Signal(s) }

// ResumeAll lets every replica run again. One that cannot start is found by whoever calls it next.
func (c *Cluster) ResumeAll() {
	for i := range c.members {
		c.Signal(i, syscall.SIGCONT)
		c.Start(i) //nolint:errcheck // see above
	}
}

// SetCommand gives a replica a command of its own from its next start on.
func (c *Cluster) SetCommand(i int, command []string) { c.members[i].SetCommand(command) }

// SetSyncDelay makes each sync of a replica's log wait from now on; 0 ends that.
func (c *Cluster) SetSyncDelay(i int, delay time.Duration) error {
	return renameio.WriteFile(c.syncDelayFile(i), []byte(delay.String()), 0o600)
}

func (c *Cluster) syncDelayFile(i int) string { return filepath.Join(c.dir, c.members[i].id+".sync") }

// Exited is closed when a replica's process has ended; nil: it does not run.
func (c *Cluster) Exited(i int) <-chan struct{} { return c.members[i].Done() }

// Logs returns the end of what a replica has logged.
func (c *Cluster) Logs(i int) string { return c.members[i].LogTail() }

// PID returns the id of a replica's process; 0: it does not run.
func (c *Cluster) PID(i int) int { return c.members[i].Pid() }

// AwaitReady waits until every replica answers and knows a leader. Two of three serve without the third, which may still be
// starting, or never be ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for i, m := range c.members {
		for {
			status, err := m.status(ctx, readyMaxBackoff)
			if err != nil {
				return fmt.Errorf("replica %s: %w: %s", m.id, err, c.Logs(i))
			}
			if status.LeaderID != "" {
				break
			}
			time.Sleep(leaderPollPeriod)
		}
	}
	return nil
}

// Leader returns the replica that says that it leads, or fallback if none does.
func (c *Cluster) Leader(fallback int) int {
	for i, m := range c.members {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		status, err := m.status(ctx, 0)
		cancel()
		if err == nil && status.IsLeader {
			return i
		}
	}
	return fallback
}

// status asks a replica for its status until it answers or ctx ends. maxBackoff is as in client.Options.
func (m *member) status(ctx context.Context, maxBackoff time.Duration) (status api.Status, err error) {
	c, err := client.New(client.Options{Endpoints: []string{m.clientAddress}, MaxBackoff: maxBackoff})
	if err != nil {
		return status, err
	}
	err = c.Call(ctx, http.MethodGet, api.PathStatus, nil, &status)
	return status, err
}
