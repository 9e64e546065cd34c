package client

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"umberbank/internal/registry/state"
)

// answerWithin is how long an answer to a call that waits may take beyond its wait.
const answerWithin = time.Second

// Agreed asks what is agreed, later than a revision if that comes within wait. query says which part; see the replica's
// /registry/agreed.
func (w *Client) Agreed(ctx context.Context, query url.Values, after int64, wait time.Duration) (*state.CoordinationView, error) {
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, wait+answerWithin)
	defer cancel()
	var a state.CoordinationView
	return &a, w.Call(ctx, "GET", "/registry/agreed?"+query.Encode(), nil, &a)
}

// WriteOne has one write carried out, within a second.
func (w *Client) WriteOne(ctx context.Context, op state.Op) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	a, err := w.Write(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	return a[0], nil
}

// NextStartTime is the time of a unit's start, in Unix milliseconds, by a clock that may have been set back: later than any
// start of it that the registry knows.
func (w *Client) NextStartTime(ctx context.Context, uid string, wall time.Time) (float64, error) {
	known, err := w.Agreed(ctx, url.Values{"unit": {uid}, "consistent": {"1"}}, 0, 0)
	if err != nil {
		return 0, err
	}
	boot := float64(wall.UnixMilli())
	for _, e := range known.Units {
		boot = max(boot, e.StartTimeMS+1)
	}
	return boot, nil
}
