package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// DefaultTimeout bounds one call, not counting the time that a log read waits for
// entries.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes bounds a response body. It has room for a log read of 1,000
// entries of MaxLogEntryBytes, which take about 350 MB in base64.
const maxResponseBytes = 512 << 20

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the platform's base address, such as http://127.0.0.1:9000.
	Address string
	// LogAddresses are the base addresses of the log. Empty means Address. The
	// client uses one address until a call to it gets no response.
	LogAddresses []string
	// Timeout bounds each call. 0 means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the client to use. Nil means one with its own transport.
	HTTP *http.Client
}

// Client calls the platform over HTTP. It implements Log, Fleet, Usage and
// WeightStore and is safe for concurrent use. It never retries a call.
type Client struct {
	address      string
	logAddresses []string
	logIndex     atomic.Uint32
	timeout      time.Duration
	http         *http.Client
}

var (
	_ Log         = (*Client)(nil)
	_ Fleet       = (*Client)(nil)
	_ Usage       = (*Client)(nil)
	_ WeightStore = (*Client)(nil)
)

// NewClient returns a client of the platform.
func NewClient(c ClientConfig) *Client {
	client := &Client{address: trimAddress(c.Address), timeout: c.Timeout, http: c.HTTP}
	for _, a := range c.LogAddresses {
		client.logAddresses = append(client.logAddresses, trimAddress(a))
	}
	if len(client.logAddresses) == 0 {
		client.logAddresses = []string{client.address}
	}
	if client.timeout <= 0 {
		client.timeout = DefaultTimeout
	}
	if client.http == nil {
		client.http = &http.Client{Transport: upstream.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		})}
	}
	return client
}

func trimAddress(a string) string { return strings.TrimRight(a, "/") }

// Append implements Log.
func (c *Client) Append(ctx context.Context, data []byte) (model.Offset, error) {
	if len(data) > MaxLogEntryBytes {
		return 0, eris.Wrapf(ErrRefused, "log entry of %d bytes is over the limit of %d", len(data), MaxLogEntryBytes)
	}
	var response AppendResponse
	err := c.logCall(func(base string) error {
		return c.post(ctx, base+PathLogAppend, AppendRequest{Data: data}, &response, 0)
	})
	return response.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (ReadResponse, error) {
	wait = min(max(wait, 0), MaxReadWait)
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"max":     {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var response ReadResponse
	err := c.logCall(func(base string) error {
		return c.get(ctx, base+PathLogRead+"?"+query.Encode(), &response, c.timeout+wait)
	})
	return response, err
}

// logCall runs a call against the current log address. When no response comes,
// later calls use the next address. The call itself is not retried, since it may
// have taken effect.
func (c *Client) logCall(call func(base string) error) error {
	index := c.logIndex.Load()
	err := call(c.logAddresses[int(index)%len(c.logAddresses)])
	if eris.Is(err, ErrUnavailable) {
		c.logIndex.CompareAndSwap(index, index+1)
	}
	return err
}

// Backends implements Fleet.
func (c *Client) Backends(ctx context.Context) (list BackendList, err error) {
	err = c.get(ctx, c.address+PathBackends, &list, c.timeout)
	return list, err
}

// Order implements Fleet.
func (c *Client) Order(ctx context.Context, order BackendOrder) (status BackendOrderStatus, err error) {
	err = c.post(ctx, c.address+PathBackendOrder, order, &status, order.Fence)
	return status, err
}

// OrderStatus implements Fleet.
func (c *Client) OrderStatus(ctx context.Context, orderID string) (status BackendOrderStatus, err error) {
	query := url.Values{"order_id": {orderID}}
	err = c.get(ctx, c.address+PathBackendStatus+"?"+query.Encode(), &status, c.timeout)
	return status, err
}

// Hosts implements Fleet.
func (c *Client) Hosts(ctx context.Context) (list HostList, err error) {
	err = c.get(ctx, c.address+PathHosts, &list, c.timeout)
	return list, err
}

// Report implements Usage.
func (c *Client) Report(ctx context.Context, report UsageReport) error {
	return c.post(ctx, c.address+PathUsageReport, report, nil, report.Fence)
}

// ReportStatus implements Usage.
func (c *Client) ReportStatus(ctx context.Context, reportID string) (report UsageReport, err error) {
	query := url.Values{"report_id": {reportID}}
	err = c.get(ctx, c.address+PathUsageStatus+"?"+query.Encode(), &report, c.timeout)
	return report, err
}

// Weights implements WeightStore.
func (c *Client) Weights(ctx context.Context) (status WeightStoreStatus, err error) {
	err = c.get(ctx, c.address+PathWeights, &status, c.timeout)
	return status, err
}

func (c *Client) get(ctx context.Context, address string, into any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrap(err, "build platform request")
	}
	return c.do(request, into)
}

func (c *Client) post(ctx context.Context, address string, body, into any, fence model.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode platform request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build platform request")
	}
	// Without GetBody net/http cannot rewind the body to retry the request.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if fence != 0 {
		request.Header.Set(HeaderFencingToken, strconv.FormatUint(uint64(fence), 10))
	}
	return c.do(request, into)
}

// do sends a request and maps the response status to the errors of this package.
// The body of an error response is decoded too if it is JSON, since ErrDropped
// comes with the first retained offset and ErrRefused with a reason.
func (c *Client) do(request *http.Request, into any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: %v", request.Method, request.URL.Path, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: read answer: %v", request.Method, request.URL.Path, err)
	}
	sentinel := errorForStatus(response.StatusCode)
	if sentinel != nil {
		if into != nil {
			_ = json.Unmarshal(data, into)
		}
		return eris.Wrapf(sentinel, "%s %s: status %d: %.200s", request.Method, request.URL.Path, response.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(ErrUnavailable, "%s %s: malformed answer: %v", request.Method, request.URL.Path, err)
	}
	return nil
}

func errorForStatus(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusGone:
		return ErrDropped
	case status == http.StatusNotFound:
		return ErrUnknown
	case status >= 400 && status < 500:
		return ErrRefused
	default:
		return ErrUnavailable
	}
}
