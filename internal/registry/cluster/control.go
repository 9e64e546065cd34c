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
	statusTimeout    = 200 * time.Millisecond // limit of a status request that looks for the leader
	readyMaxBackoff  = 50 * time.Millisecond
	leaderPollPeriod = 10 * time.Millisecond
)

// Start starts a replica unless it is running.
func (c *Cluster) Start(i int) error { return c.members[i].Start() }

// Kill kills a replica without a graceful shutdown, like a crash.
func (c *Cluster) Kill(i int) { c.members[i].Kill() }

// Signal sends a signal to a running replica.
func (c *Cluster) Signal(i int, s syscall.Signal) { c.members[i].Signal(s) }

// ResumeAll resumes all suspended replicas and starts all that have exited. If a replica cannot start, the next request to
// it fails.
func (c *Cluster) ResumeAll() {
	for i := range c.members {
		c.Signal(i, syscall.SIGCONT)
		c.Start(i) //nolint:errcheck // see above
	}
}

// SetCommand sets the command of one replica from its next start on.
func (c *Cluster) SetCommand(i int, command []string) { c.members[i].SetCommand(command) }

// SetSyncDelay delays each sync of a replica's log that begins from now on. Zero removes the delay.
func (c *Cluster) SetSyncDelay(i int, delay time.Duration) error {
	return renameio.WriteFile(c.syncDelayFile(i), []byte(delay.String()), 0o600)
}

func (c *Cluster) syncDelayFile(i int) string { return filepath.Join(c.dir, c.members[i].id+".sync") }

// Exited returns a channel that is closed when the current process of a replica has exited. It is nil if no process was started
// or if it was killed with Kill.
func (c *Cluster) Exited(i int) <-chan struct{} { return c.members[i].Done() }

// Logs returns the end of the log output of a replica.
func (c *Cluster) Logs(i int) string { return c.members[i].LogTail() }

// PID returns the id of the process of a replica, even if that process has exited by itself. It is 0 if no process was started
// or if it was killed with Kill.
func (c *Cluster) PID(i int) int { return c.members[i].Pid() }

// AwaitReady waits until every replica responds and has a leader, and fails if ctx is done first. It checks every replica
// because two of three serve requests while the third is still starting or never becomes ready.
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

// Leader returns the first replica that reports itself as the leader, or fallback if none does within 200 ms each.
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

// status requests the status of a replica until it responds or ctx is done. maxBackoff is as in client.Options.
func (m *member) status(ctx context.Context, maxBackoff time.Duration) (status api.Status, err error) {
	c, err := client.New(client.Options{Endpoints: []string{m.clientAddress}, MaxBackoff: maxBackoff})
	if err != nil {
		return status, err
	}
	err = c.Call(ctx, http.MethodGet, api.PathStatus, nil, &status)
	return status, err
}
