package host

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"umberbank/internal/coordination/disruption"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/state"
)

// Agent stands beside one unit: it starts its process, holds its lease for as long as the process runs, and changes its
// version when there is a permit for that.
type Agent struct {
	Registry    []string
	Instance    state.Instance // of the unit; its BootMS, and its Version after a change, are the agent's to say
	TTL         time.Duration
	Command     []string      // of the process, with {version} in place of its version; none: the agent is the unit itself
	ReadyURL    string        // a URL that answers 200 once the process serves; "": when it has run for half a second
	DrainTime   time.Duration // from when nodes are told until the process is asked to end
	StopTimeout time.Duration // from then until it is killed
	VersionFile string        // a file that remembers the version over the agent's own restarts; "": Entry.Version holds at each
	Events      *Log
	Log         *slog.Logger
	Clock       func() time.Time // nil: the system's clock
	Dial        client.DialFunc  // nil: the system's

	writer *client.Client
	holder *client.LeaseHolder
	cmd    *exec.Cmd
	ended  chan error         // of cmd
	up     bool               // the process runs, or this is the unit itself
	stop   context.CancelFunc // of its lease; nil: it has none
}

// readyWithin is how long a process may take to serve, and startRest how long the agent waits after one that did not.
const (
	readyWithin = 10 * time.Second
	startRest   = time.Second
	pollWait    = time.Second
)

// Run keeps the unit running until ctx ends, and takes it out of the registry then. It ends with client.ErrFenced when
// another agent has started the same unit.
func (a *Agent) Run(ctx context.Context) (err error) {
	if a.Clock == nil {
		a.Clock = time.Now
	}
	if a.writer, err = client.New(client.Options{Endpoints: a.Registry, MaxBackoff: 300 * time.Millisecond, Dial: a.Dial}); err != nil {
		return err
	}
	a.Instance.TTLMS = a.TTL.Milliseconds()
	if a.VersionFile != "" {
		text, err := os.ReadFile(a.VersionFile)
		switch {
		case err == nil && len(text) > 0:
			a.Instance.Version = string(text)
		case err != nil && !errors.Is(err, os.ErrNotExist):
			return err
		}
	}
	defer a.end()
	var rev int64
	for ctx.Err() == nil {
		if err := a.ensureServing(ctx); errors.Is(err, client.ErrFenced) {
			return err
		} else if err != nil && ctx.Err() == nil {
			a.Log.Warn("the unit does not serve", "unit", a.Instance.UID, "version", a.Instance.Version, "error", err)
			pause(ctx, startRest)
		}
		seen, err := a.writer.Agreed(ctx, url.Values{"unit": {a.Instance.UID}}, rev, pollWait)
		if err != nil {
			rev = 0
			continue
		}
		rev = seen.Revision
		if len(seen.Permits) == 1 && len(seen.Units) == 1 {
			a.follow(ctx, seen.Permits[0], seen.Units[0])
		}
	}
	if a.stop == nil {
		return nil
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveWithin)
	defer cancel()
	_, err = a.writer.Write(leaving, state.Op{Kind: state.OpRemove, UID: a.Instance.UID, Token: a.holder.Token(a.Instance.UID)})
	return err
}

// ensureServing starts the process if it does not run, and registers the unit if it is not.
func (a *Agent) ensureServing(ctx context.Context) error {
	if a.up {
		select {
		case err := <-a.ended:
			a.Log.Warn("the process has ended", "unit", a.Instance.UID, "error", err)
			a.cmd = nil
			a.end()
		default:
		}
	}
	if !a.up {
		if err := a.start(ctx); err != nil {
			return err
		}
	}
	if a.stop == nil {
		return a.register(ctx)
	}
	if a.holder.Token(a.Instance.UID) == 0 {
		return client.ErrFenced
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// follow changes the unit's version if a permit says so. The permit is begun by a write first: whoever is cut off, comes late,
// or has been halted meanwhile changes nothing.
func (a *Agent) follow(ctx context.Context, p *disruption.Permit, e *state.Instance) {
	if p.TargetVersion == a.Instance.Version && p.Begun && e.State == state.Draining && e.StartTimeMS == a.Instance.StartTimeMS && a.stop != nil {
		// It was taken back before anything had changed. Another look tells what came of it.
		a.writer.WriteOne(ctx, state.Op{Kind: state.OpUpdate, UID: p.Unit, Token: a.holder.Token(p.Unit), State: state.Serving})
		return
	}
	if p.TargetVersion == "" || p.TargetVersion == a.Instance.Version {
		return
	}
	sent := Now()
	answer, err := a.writer.WriteOne(ctx, state.Op{Kind: state.OpBeginPermit, UID: p.Unit, Token: p.Token})
	if err != nil || answer.Code != "" {
		return // another look tells more
	}
	a.note(Event{Kind: "out", Plan: p.Plan, Token: p.Token, Version: p.TargetVersion, SentAt: sent})
	a.Log.Info("changes version", "unit", a.Instance.UID, "from", a.Instance.Version, "to", p.TargetVersion)
	if a.up {
		pause(ctx, a.DrainTime)
	}
	a.end()
	a.Instance.Version = p.TargetVersion
	if a.VersionFile != "" {
		if err := renameio.WriteFile(a.VersionFile, []byte(p.TargetVersion), 0o600); err != nil {
			a.Log.Error("the version is not remembered", "unit", a.Instance.UID, "error", err)
		}
	}
}

// start starts the process.
func (a *Agent) start(ctx context.Context) error {
	a.ended = make(chan error, 1)
	if len(a.Command) > 0 {
		args := make([]string, len(a.Command))
		for i, arg := range a.Command {
			args[i] = strings.ReplaceAll(arg, "{version}", a.Instance.Version)
		}
		cmd := exec.Command(args[0], args[1:]...)
		cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return err
		}
		ended := a.ended
		go func() { ended <- cmd.Wait() }()
		a.cmd = cmd
		if err := a.ready(ctx); err != nil {
			a.end()
			return err
		}
	}
	a.up = true
	a.Instance.StartTimeMS = 0
	a.note(Event{Kind: "up", Version: a.Instance.Version})
	return nil
}

// register enters the unit's start, and holds its lease from then on.
func (a *Agent) register(ctx context.Context) error {
	if a.Instance.StartTimeMS == 0 {
		boot, err := a.writer.NextStartTime(ctx, a.Instance.UID, a.Clock())
		if err != nil {
			return err
		}
		a.Instance.StartTimeMS = boot
	}
	a.Instance.State = state.Serving
	entry := a.Instance
	a.holder = client.NewLeaseHolder(a.writer)
	holding, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := a.holder.Register(holding, &entry); err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	a.stop = stop
	go a.holder.Run(running, a.TTL)
	return nil
}

// Append writes an event of this unit down.
func (a *Agent) note(e Event) {
	e.Process, e.Unit = a.Instance.UID, a.Instance.UID
	if err := a.Events.Append(e); err != nil {
		a.Log.Error("journal", "error", err)
	}
}

// ready waits until the process serves.
func (a *Agent) ready(ctx context.Context) error {
	if a.ReadyURL == "" {
		select {
		case err := <-a.ended:
			a.cmd = nil
			return fmt.Errorf("the process ended at once: %v", err)
		case <-time.After(startRest / 2):
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.ReadyURL, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-a.ended:
			a.cmd = nil
			return fmt.Errorf("the process ended before it served: %v", err)
		case <-ctx.Done():
			return fmt.Errorf("%s does not answer 200: %w", a.ReadyURL, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// end stops the process and lets its lease go.
func (a *Agent) end() {
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
	if a.up {
		a.up = false
		a.note(Event{Kind: "down", Version: a.Instance.Version})
	}
	if a.cmd == nil {
		return
	}
	a.cmd.Process.Signal(syscall.SIGTERM) // one that has ended needs none
	select {
	case <-a.ended:
	case <-time.After(a.StopTimeout):
		a.cmd.Process.Kill()
		<-a.ended
	}
	a.cmd = nil
}
