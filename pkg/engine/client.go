package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// ClientSettings holds the limits of calls to engines.
type ClientSettings struct {
	// CallTimeout bounds calls other than chat and KV transfers. Unit: duration. Default: 2s.
	CallTimeout time.Duration
	// KVTimeout bounds one KV export or import. Unit: duration. Default: 5s.
	KVTimeout time.Duration
	// MaxResponseBytes bounds a response that is not streamed. Unit: bytes. Default: 8 MiB.
	MaxResponseBytes int64
	// MaxForeignChunks is the number of chunks of other requests that one stream
	// tolerates; the next one fails the stream. Unit: chunks. Default: 64.
	MaxForeignChunks int
}

// DefaultClientSettings returns the defaults.
func DefaultClientSettings() ClientSettings {
	return ClientSettings{
		CallTimeout:      2 * time.Second,
		KVTimeout:        5 * time.Second,
		MaxResponseBytes: 8 << 20,
		MaxForeignChunks: 64,
	}
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	settings   ClientSettings
	transports *Transports
}

// NewClient returns a client that uses the transports.
func NewClient(s ClientSettings, t *Transports) *Client {
	return &Client{settings: s, transports: t}
}

// Transports returns the transports of the client.
func (c *Client) Transports() *Transports { return c.transports }

// StatusError is a response with a status outside 200 to 299.
type StatusError struct {
	Status int
	Body   string
	// Unattributed is set if the response to a chat request names no request.
	Unattributed bool
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server answered %d: %s", e.Status, e.Body)
}

// ReportsNotRun reports whether the engine states in the body that it did not run the
// request. The status alone is no proof, since an intermediary may have sent it.
func (e *StatusError) ReportsNotRun() bool {
	if e.Unattributed {
		return false
	}
	var body struct {
		Error struct {
			Ran model.Ran `json:"ran"`
		} `json:"error"`
	}
	return json.Unmarshal([]byte(e.Body), &body) == nil && body.Error.Ran == model.NotRun
}

// maxErrorBytes is the length to which the body of an error response is cut.
const maxErrorBytes = 512

// Cancel cancels a request on an engine.
func (c *Client) Cancel(ctx context.Context, base string, id model.RequestID) error {
	return c.call(ctx, c.settings.CallTimeout, RetryIdempotent, base, PathCancel, CancelRequest{RequestID: id}, nil)
}

// Load returns the load report of an engine.
func (c *Client) Load(ctx context.Context, base string) (LoadReport, error) {
	var report LoadReport
	err := c.call(ctx, c.settings.CallTimeout, RetryIdempotent, base, PathLoad, nil, &report)
	return report, err
}

// CacheEvents returns the cache events starting at a sequence number.
func (c *Client) CacheEvents(ctx context.Context, base string, from uint64) (CacheEvents, error) {
	var events CacheEvents
	path := PathCacheEvents + "?from=" + strconv.FormatUint(from, 10)
	err := c.call(ctx, c.settings.CallTimeout, RetryIdempotent, base, path, nil, &events)
	return events, err
}

// Order sends an order at most once, since a second copy could arrive after a
// later order.
func (c *Client) Order(ctx context.Context, base string, order Order) (OrderStatus, error) {
	var status OrderStatus
	err := c.call(ctx, c.settings.CallTimeout, SendOnce, base, PathOrders, order, &status)
	return status, err
}

// OrderStatus returns the status of an order. The error is a StatusError with
// status 404 when the engine does not know the order.
func (c *Client) OrderStatus(ctx context.Context, base, orderID string) (OrderStatus, error) {
	var status OrderStatus
	path := PathOrderStatus + "?order_id=" + url.QueryEscape(orderID)
	err := c.call(ctx, c.settings.CallTimeout, RetryIdempotent, base, path, nil, &status)
	return status, err
}

// State returns the current role, model and adapters of an engine.
func (c *Client) State(ctx context.Context, base string) (State, error) {
	var state State
	err := c.call(ctx, c.settings.CallTimeout, RetryIdempotent, base, PathState, nil, &state)
	return state, err
}

// ExportKV exports the KV cache of a running request.
func (c *Client) ExportKV(ctx context.Context, base string, id model.RequestID) (KVBlob, error) {
	var blob KVBlob
	err := c.call(ctx, c.settings.KVTimeout, RetryIdempotent, base, PathKVExport, KVExport{RequestID: id}, &blob)
	if err == nil && blob.RequestID != id {
		return KVBlob{}, eris.Wrapf(ErrForeign, "KV export of %s", id)
	}
	return blob, err
}

// ImportKV imports an exported KV cache.
func (c *Client) ImportKV(ctx context.Context, base string, blob KVBlob) error {
	return c.call(ctx, c.settings.KVTimeout, RetryIdempotent, base, PathKVImport, blob, nil)
}

// call sends a POST request with a JSON body, or a GET request if in is nil, and
// decodes the response into out.
func (c *Client) call(ctx context.Context, limit time.Duration, retry RetryMode, base, path string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	req, err := jsonRequest(ctx, base+path, in)
	if err != nil {
		return err
	}
	resp, err := c.transports.Do(req, retry, nil)
	if err != nil {
		return eris.Wrapf(err, "call %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkStatus(resp); err != nil {
		return err
	}
	return c.decodeResponse(resp.Body, out)
}

func (c *Client) decodeResponse(body io.Reader, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, c.settings.MaxResponseBytes+1))
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	if int64(len(data)) > c.settings.MaxResponseBytes {
		return eris.Wrap(ErrMalformed, "response is too long")
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrapf(ErrMalformed, "decode response: %v", err)
	}
	return nil
}

func jsonRequest(ctx context.Context, target string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, eris.Wrap(err, "encode call")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "build call")
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func checkStatus(resp *http.Response) error {
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return &StatusError{Status: resp.StatusCode, Body: string(text)}
}
