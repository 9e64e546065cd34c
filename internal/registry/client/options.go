package client

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Client or a Watcher.
type Options struct {
	// Endpoints are the addresses of the replicas, as host:port. At least one is required.
	Endpoints []string
	// CacheDir is the directory in which a Watcher stores its last list for the next start. Only one Watcher at a time can
	// write to it. If empty, the list is not cached.
	CacheDir string
	// Logger receives the errors of the cache. Nil discards them.
	Logger *slog.Logger
	// IdleTimeout is the time after which a watch is closed if neither an event nor a heartbeat has arrived. Zero means 5 s,
	// which is more than two heartbeat intervals.
	IdleTimeout time.Duration
	// InitialBackoff is the mean delay before the first retry. Each delay has a jitter of half its length in both directions,
	// and the delays grow up to MaxBackoff. Zero means 50 ms.
	InitialBackoff time.Duration
	// MaxBackoff is the maximum delay between retries, before jitter. Zero means 2 s.
	MaxBackoff time.Duration
	// Dial opens connections. A Client with its own Dial does not share connections with other clients. Nil means the
	// default dialer.
	Dial DialFunc
}

const (
	defaultIdleTimeout    = 5 * time.Second
	defaultInitialBackoff = 50 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
	backoffJitter         = 0.5 // as a fraction of the delay, in both directions
)

var errNoEndpoint = errors.New("no registry endpoints given")

// setDefaults replaces zero values by defaults. It fails if there are no endpoints.
func (o *Options) setDefaults() error {
	if len(o.Endpoints) == 0 {
		return errNoEndpoint
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.InitialBackoff == 0 {
		o.InitialBackoff = defaultInitialBackoff
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = defaultMaxBackoff
	}
	return nil
}

// newBackoff returns a generator of the delays between retries.
func (o *Options) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = o.InitialBackoff, o.MaxBackoff, backoffJitter
	b.Reset()
	return b
}
