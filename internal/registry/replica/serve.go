package replica

import (
	"context"
	"log/slog"
)

// Serve runs a replica with the configuration file at path; see [ReadConfig]. It calls ready with the address on which it
// serves. It closes the replica and returns when ctx is done, or returns an error when the replica fails.
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
