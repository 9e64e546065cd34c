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

// answerTimeout is how long an answer may take beyond the time that its call waits for a change.
const answerTimeout = time.Second

// PollCoordination polls for the coordination view, as of a later revision than after if there is one within wait. query says
// which part; see api.PathCoordination. It sets after and wait_ms in query.
func (c *Client) PollCoordination(ctx context.Context, query url.Values, after int64, wait time.Duration) (*state.CoordinationView, error) {
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	var view state.CoordinationView
	return &view, c.Call(ctx, http.MethodGet, api.PathCoordination+"?"+query.Encode(), nil, &view)
}

// WriteOne has one write carried out, within a second.
func (c *Client) WriteOne(ctx context.Context, op state.Op) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answers, err := c.Write(ctx, op)
	if err != nil {
		return state.Result{}, err
	}
	return answers[0], nil
}

// NextStartTime returns the time of a unit's start, in Unix milliseconds: by the wall clock, which may have been set back,
// and later than any start of the unit that the registry knows.
func (c *Client) NextStartTime(ctx context.Context, uid string, wall time.Time) (float64, error) {
	known, err := c.PollCoordination(ctx, url.Values{"unit": {uid}, "consistent": {"1"}}, 0, 0)
	if err != nil {
		return 0, err
	}
	start := float64(wall.UnixMilli())
	for _, e := range known.Units {
		start = max(start, e.StartTimeMS+1)
	}
	return start, nil
}
