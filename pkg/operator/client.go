package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/journal"
)

// maxResponseBytes limits the size of a response. The largest response is the
// state dump of a host at the target size.
const maxResponseBytes = 256 << 20

// Client calls the operator API of one host.
type Client struct {
	base  *url.URL
	token string
	http  *http.Client
}

// NewClient returns a client for a base address such as "http://127.0.0.1:8081".
func NewClient(address, token string, client *http.Client) (*Client, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, eris.Wrap(err, "parse operator address")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, eris.Errorf(`operator address %q is not a URL such as "http://127.0.0.1:8081"`, address)
	}
	return &Client{base: base, token: token, http: client}, nil
}

// Run runs a script. A failure reported by the host is an *Error.
func (c *Client) Run(ctx context.Context, script string) (*RunResponse, error) {
	return call[*RunResponse](ctx, c, http.MethodPost, PathRun, nil, RunRequest{Script: script})
}

// Explain returns the journal entries about a subject, or all entries if the
// subject is empty.
func (c *Client) Explain(ctx context.Context, subject string) ([]journal.Entry, error) {
	return call[[]journal.Entry](ctx, c, http.MethodGet, PathExplain, url.Values{"subject": {subject}}, nil)
}

// Dump returns the state of the host's process.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, http.MethodGet, PathDump, nil, nil)
}

// Metrics returns the host's metrics.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, http.MethodGet, PathMetrics, nil, nil)
}

// Ready reports whether the host is ready to receive requests.
func (c *Client) Ready(ctx context.Context) (ReadyResponse, error) {
	return call[ReadyResponse](ctx, c, http.MethodGet, PathReady, nil, nil)
}

// call sends one request through go-kit's HTTP transport and decodes the response.
func call[T any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (T, error) {
	target := *c.base
	target.Path = path
	target.RawQuery = query.Encode()
	endpoint := kithttp.NewClient(method, &target, c.encode, decode[T], kithttp.SetClient(c.http)).Endpoint()
	var zero T
	response, err := endpoint(ctx, body)
	if err != nil {
		return zero, err
	}
	return response.(T), nil
}

func (c *Client) encode(_ context.Context, r *http.Request, body any) error {
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if body == nil {
		return nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	r.Header.Set("Content-Type", contentJSON)
	r.ContentLength = int64(len(data))
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

func decode[T any](_ context.Context, r *http.Response) (any, error) {
	var value T
	data, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return value, eris.Wrap(err, "read response")
	}
	var failure errorBody
	if r.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &failure) == nil && failure.Error != nil {
		failure.Error.Status = r.StatusCode
		return value, failure.Error
	}
	if r.StatusCode >= http.StatusBadRequest && r.StatusCode != http.StatusServiceUnavailable {
		return value, eris.Errorf("unexpected response status %s", r.Status)
	}
	err = json.Unmarshal(data, &value)
	return value, eris.Wrap(err, "decode response")
}
