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

// Options say which registry a client is for, and its times.
type Options struct {
	// Endpoints are the replicas, as host:port; at least one.
	Endpoints []string
	// CacheDir is a folder that keeps the last list of a Watcher over restarts, for this watcher alone; "" is no cache.
	CacheDir string
	// Logger is told what is wrong with the cache; nil discards.
	Logger *slog.Logger
	// IdleTimeout ends a watch that is silent for so long; 0 is 5 s, which is over two heartbeats.
	IdleTimeout time.Duration
	// InitialBackoff is the pause before the first retry, with a jitter of half of it; 0 is 50 ms. It grows up to MaxBackoff.
	InitialBackoff time.Duration
	// MaxBackoff is the longest pause between retries; 0 is 2 s.
	MaxBackoff time.Duration
	// Dial opens connections, which are then not shared with other clients; nil is the system's.
	Dial DialFunc
}

const (
	defaultIdleTimeout    = 5 * time.Second
	defaultInitialBackoff = 50 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
	backoffJitter         = 0.5 // share of a pause by which it is drawn shorter or longer
)

var errNoEndpoint = errors.New("no endpoint of a registry")

// setDefaults fills in what is missing.
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

// newBackoff returns the pauses between retries.
func (o *Options) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = o.InitialBackoff, o.MaxBackoff, backoffJitter
	b.Reset()
	return b
}
