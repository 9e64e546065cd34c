package replica

import (
	"context"
	"log/slog"
)

// Serve runs a replica by the configuration file at path; see ReadConfig. It calls ready with the address that it serves
// on, and returns when ctx ends, or with an error when the replica cannot go on.
func Serve(ctx context.Context, path string, logger *slog.Logger, ready func(address string)) error {
	cfg, err := ReadConfig(path)
	if err != nil {
		return err
	}
	cfg.Logger = logger
	r, err := New(cfg)
	if err != nil {
		return err
	}
	ready(r.Addr())
	select {
	case <-ctx.Done():
		return r.Close()
	case err := <-r.Failed():
		return err
	}
}
