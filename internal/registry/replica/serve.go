package replica

import (
	"context"
	"log/slog"
)

// Serve runs a replica with the configuration file at path; see [ReadConfig]. It calls ready with the address on which it
// serves. When ctx is done, Serve closes the replica and returns. When the replica fails, Serve returns the error without
// closing the replica, because Close may block on a disk that hangs.
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
