package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"umberbank/internal/httpclient"
	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// callTimeout limits a request to one replica, including its response.
const callTimeout = 4 * time.Second

// opIDBytes is the length of a generated write id before it is encoded in hexadecimal.
const opIDBytes = 12

// Client sends requests to the registry and fails over between its replicas. It is safe for concurrent use.
type Client struct {
	opt  Options
	http *http.Client

	mu      sync.Mutex
	current int // index of the replica to call first, modulo the number of endpoints; see skipReplica
}

// New returns a Client that starts with a random replica. It fails if opt has no endpoints.
func New(opt Options) (*Client, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, err
	}
	c := &Client{
		opt:     opt,
		http:    &http.Client{Timeout: callTimeout, CheckRedirect: httpclient.ReturnRedirect},
		current: mathrand.IntN(len(opt.Endpoints)),
	}
	if opt.Dial != nil {
		transport := http.DefaultTransport.(*http.Transport).Clone() // no code replaces the default transport
		transport.DialContext = opt.Dial
		c.http.Transport = transport
	}
	return c, nil
}

// rejectedError is an error for which a retry is pointless.
type rejectedError struct{ err error }

// Error implements error.
func (e rejectedError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error, for errors.Is and errors.As.
func (e rejectedError) Unwrap() error { return e.err }

// Call sends a request with body, encoded as JSON, to one replica after another until a replica responds with status 200 or
// rejects the request (status 400 to 499), or until ctx is done. The response is decoded into the value that result points
// to. A response that cannot be decoded counts as a failed attempt.
func (c *Client) Call(ctx context.Context, method, path string, body, result any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return err
	}
	backoff := c.opt.newBackoff()
	for {
		replica := c.currentReplica()
		err := c.callReplica(ctx, c.opt.Endpoints[replica%len(c.opt.Endpoints)], method, path, payload, result)
		if rejected := (rejectedError{}); err == nil || errors.As(err, &rejected) {
			return err
		}
		c.skipReplica(replica)
		select {
		case <-time.After(backoff.NextBackOff()):
		case <-ctx.Done():
			return fmt.Errorf("%w; last error: %w", ctx.Err(), err)
		}
	}
}

func (c *Client) currentReplica() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// skipReplica advances to the next replica after a request to this replica failed, unless another request has already done
// so.
func (c *Client) skipReplica(replica int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == replica {
		c.current++
	}
}

// callReplica sends one request to one replica, without retries.
func (c *Client) callReplica(ctx context.Context, endpoint, method, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+endpoint+path, bytes.NewReader(body))
	if err != nil {
		return rejectedError{err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(endpoint, resp, data)
	}
	return json.Unmarshal(data, result)
}

// responseError returns the error that a response describes, or its HTTP status if the body has no error message. For
// statuses 400 to 499 it is a rejectedError.
func responseError(endpoint string, resp *http.Response, data []byte) error {
	var body api.Error
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		body.Error = resp.Status
	}
	err := fmt.Errorf("%s: %s", endpoint, body.Error)
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return rejectedError{err}
	}
	return err
}

// Write applies ops in their order, each at most once, and returns the result of each. It sets the ID of each op that has
// none. Write retries as Call does. If ctx is done first, it is unknown whether the ops have been applied.
func (c *Client) Write(ctx context.Context, ops ...state.Op) ([]state.Result, error) {
	for i := range ops {
		if ops[i].ID == "" {
			ops[i].ID = newOpID()
		}
	}
	var response api.WriteResponse
	if err := c.Call(ctx, http.MethodPost, api.PathWrite, api.WriteRequest{Ops: ops}, &response); err != nil {
		return nil, err
	}
	if len(response.Results) != len(ops) {
		return nil, fmt.Errorf("got %d results for %d writes", len(response.Results), len(ops))
	}
	return response.Results, nil
}

func newOpID() string {
	var b [opIDBytes]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
