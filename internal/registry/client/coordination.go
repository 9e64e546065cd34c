package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// responseTimeout limits a call with its retries. The time for which a poll waits for a change is added to it.
const responseTimeout = time.Second

// PollCoordination returns the coordination view as soon as its revision is later than after, or the current view when the
// duration wait is over. A replica waits for at most 10 s. query selects a part of the view; see api.PathCoordination. It must
// not be nil, because PollCoordination sets its parameters after and wait_ms.
func (c *Client) PollCoordination(ctx context.Context, query url.Values, after int64, wait time.Duration) (*state.CoordinationView, error) {
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	var view state.CoordinationView
	return &view, c.Call(ctx, http.MethodGet, api.PathCoordination+"?"+query.Encode(), nil, &view)
}

// WriteOne applies a single write. It retries for at most one second; see Write for what an error means.
func (c *Client) WriteOne(ctx context.Context, op state.Op) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	results, err := c.Write(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	return results[0], nil
}

// NextStartTime returns the start time to register a unit with, in Unix milliseconds. It is now, but at least 1 ms later
// than the start time that the registry has for the unit, because the wall clock may have been set back.
func (c *Client) NextStartTime(ctx context.Context, uid string, now time.Time) (float64, error) {
	view, err := c.PollCoordination(ctx, url.Values{"unit": {uid}, "consistent": {"1"}}, 0, 0)
	if err != nil {
		return 0, err
	}
	start := float64(now.UnixMilli())
	for _, unit := range view.Units {
		start = max(start, unit.StartTimeMS+1)
	}
	return start, nil
}
