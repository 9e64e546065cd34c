package node

import (
	"context"

	"golang.org/x/sync/semaphore"
)

const (
	// uncounted is the size up to which a body is taken for part of its connection's own buffers.
	uncounted = 4 << 10
	// bodyShare is the share of the memory limit that bodies may hold, and defaultBudget what they may
	// where no limit is told.
	bodyShare     = 0.25
	defaultBudget = 16 << 20
)

// budget bounds what bodies hold of the memory. Requests' and answers' have a part each: a request keeps its
// body until its answer has come, and must not keep the answer from coming.
type budget struct {
	requests, answers *semaphore.Weighted
}

func newBudget(bytes int64) *budget {
	part := max(bytes/2, maxBody)
	return &budget{semaphore.NewWeighted(part), semaphore.NewWeighted(part)}
}

// budgetFor is the budget under the configuration's limits. Where the process can be replaced, two
// processes share them.
func budgetFor(cfg Config) *budget {
	bytes := int64(defaultBudget)
	if cfg.MemoryMB > 0 {
		bytes = int64(cfg.MemoryMB * bodyShare * (1 << 20))
	}
	if cfg.AcceptFD > 0 {
		bytes /= 2
	}
	return newBudget(bytes)
}

// hold takes room for a body of the given length, -1 if it is not known, or for the part of it that is ever
// held. It waits until there is room or ctx ends.
func hold(ctx context.Context, part *semaphore.Weighted, length int64) (release func(), err error) {
	if length < 0 || length > maxBody {
		length = maxBody
	}
	if length <= uncounted {
		return func() {}, nil
	}
	if err := part.Acquire(ctx, length); err != nil {
		return nil, err
	}
	return func() { part.Release(length) }, nil
}
