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

	"umberbank/internal/registry/api"
	"umberbank/internal/registry/state"
)

// callTimeout is how long one replica may take to answer a call.
const callTimeout = 4 * time.Second

// opIDBytes is the length of the id that is drawn for a write.
const opIDBytes = 12

// Client calls the registry over several replicas.
type Client struct {
	opt  Options
	http *http.Client

	mu      sync.Mutex
	current int // index, modulo the endpoints, of the replica to call first; it moves on after each failure
}

// New returns a Client.
func New(opt Options) (*Client, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, err
	}
	c := &Client{opt: opt, http: &http.Client{Timeout: callTimeout}, current: mathrand.IntN(len(opt.Endpoints))}
	if opt.Dial != nil {
		own := http.DefaultTransport.(*http.Transport).Clone() // nothing replaces the default
		own.DialContext = opt.Dial
		c.http.Transport = own
	}
	return c, nil
}

// rejectedError is an error that a retry does not change.
type rejectedError struct{ err error }

// Error is the text of the underlying error.
func (e rejectedError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e rejectedError) Unwrap() error { return e.err }

// Call calls replicas in turn until one succeeds or rejects the call (status 400 to 499), or ctx ends. The JSON of body is sent, and
// what comes back is decoded into the value that result points to.
func (c *Client) Call(ctx context.Context, method, path string, body, result any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	pauses := c.opt.newBackoff()
	for {
		replica := c.currentReplica()
		err := c.callReplica(ctx, c.opt.Endpoints[replica%len(c.opt.Endpoints)], method, path, text, result)
		if rejected := (rejectedError{}); err == nil || errors.As(err, &rejected) {
			return err
		}
		c.skipReplica(replica)
		select {
		case <-time.After(pauses.NextBackOff()):
		case <-ctx.Done():
			return fmt.Errorf("%w; the last answer: %w", ctx.Err(), err)
		}
	}
}

func (c *Client) currentReplica() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// skipReplica makes the next replica the current one, unless another call has done so.
func (c *Client) skipReplica(replica int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == replica {
		c.current++
	}
}

// callReplica calls one replica once.
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
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(endpoint, resp, text)
	}
	return json.Unmarshal(text, result)
}

// responseError is the error that a replica answered with.
func responseError(endpoint string, resp *http.Response, text []byte) error {
	var body api.Error
	if json.Unmarshal(text, &body) != nil || body.Error == "" {
		body.Error = resp.Status
	}
	err := fmt.Errorf("%s: %s", endpoint, body.Error)
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return rejectedError{err}
	}
	return err
}

// Write has ops carried out, in their order and each once, and returns what became of each. It retries until a replica
// answers or ctx ends; in the latter case it is unknown whether they were carried out.
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
		return nil, fmt.Errorf("%d answers to %d writes", len(response.Results), len(ops))
	}
	return response.Results, nil
}

func newOpID() string {
	var b [opIDBytes]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
