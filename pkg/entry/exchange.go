package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
)

// forwardedHeaders are the request headers that are forwarded to a plain
// service. API keys, cookies and connection headers are not among them.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "Prefer", "Range", "User-Agent", headerIdempotencyKey, headerShop,
}

// serviceResponse is the response of a plain service. Its body consists of the
// bytes in buffered and those still to be read from remainder, which is nil if
// the whole body was buffered.
type serviceResponse struct {
	status int
	header http.Header
	// length is the Content-Length, or -1 if it is unknown.
	length int64
	// unframed is set if only the end of the connection marks the end of the body, address
	// is that of the service.
	unframed  bool
	address   string
	buffered  []byte
	remainder io.ReadCloser
	// relayErr is the error that ended the relay of remainder.
	relayErr error
	// done reports the end of the attempt to the router.
	done func(error)
}

// serviceProbeTimeout bounds the connection that shows whether a service is still there.
const serviceProbeTimeout = time.Second

// endedWithService reports whether the body ended because the service's process did: a body
// without a framing then ends in good order too, but the service refuses connections.
func (r *serviceResponse) endedWithService(ctx context.Context) bool {
	if !r.unframed {
		return false
	}
	conn, err := (&net.Dialer{Timeout: serviceProbeTimeout}).DialContext(ctx, "tcp", r.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (r *serviceResponse) close() {
	if r.remainder != nil {
		_ = r.remainder.Close()
	}
	r.done(r.relayErr)
}

// sendServiceCall sends the call to a backend server. Non-idempotent calls use a
// new connection each, on which net/http never retries them.
func (h *Handler) sendServiceCall(ctx context.Context, c *call, baseURL string) (*serviceResponse, error) {
	req, err := serviceRequest(ctx, c, baseURL)
	if err != nil {
		return nil, err
	}
	retry := engine.SendOnce
	if c.idempotent() {
		retry = engine.RetryIdempotent
	}
	onSend := func() { _ = c.outcome.Apply(atmostonce.EventSend) }
	resp, err := h.engines.Transports().Do(req, retry, onSend)
	if err != nil {
		return nil, eris.Wrap(err, "call service")
	}
	if resp.Header.Get(engine.HeaderRequestID) != string(c.id) {
		_ = resp.Body.Close()
		return nil, eris.Wrap(engine.ErrForeign, "call service")
	}
	if resp.StatusCode == http.StatusServiceUnavailable && c.idempotent() {
		_ = resp.Body.Close()
		return nil, &engine.StatusError{Status: resp.StatusCode}
	}
	_ = c.outcome.Apply(atmostonce.EventResponse)
	return h.bufferServiceBody(ctx, c, resp)
}

func serviceRequest(ctx context.Context, c *call, baseURL string) (*http.Request, error) {
	target := baseURL + c.r.URL.EscapedPath()
	if c.r.URL.RawQuery != "" {
		target += "?" + c.r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, c.r.Method, target, bytes.NewReader(c.body))
	if err != nil {
		return nil, eris.Wrap(err, "build service call")
	}
	for _, name := range forwardedHeaders {
		if values := c.r.Header.Values(name); len(values) > 0 {
			req.Header[name] = values
		}
	}
	req.Header.Set(engine.HeaderRequestID, string(c.id))
	if c.org != "" {
		req.Header.Set(engine.HeaderOrganisation, string(c.org))
	}
	return req, nil
}

// bufferServiceBody reads short responses in full, so that a failed read can
// still be retried, and leaves the remainder of longer ones to be relayed as it
// arrives. The response to a non-idempotent call is read up to the size that is
// recorded for duplicates.
func (h *Handler) bufferServiceBody(ctx context.Context, c *call, resp *http.Response) (*serviceResponse, error) {
	response := &serviceResponse{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength}
	response.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	response.address = resp.Request.URL.Host
	if resp.Body == http.NoBody {
		return response, nil
	}
	limit := int64(0)
	switch {
	case resp.ContentLength >= 0 && resp.ContentLength <= h.settings.BufferedResponseBytes:
		limit = resp.ContentLength
	case !c.idempotent():
		limit = logrec.MaxOutcomeBody + 1
	}
	buffered, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err == nil && resp.ContentLength == limit && int64(len(buffered)) < limit {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, eris.Wrap(err, "read service response")
	}
	response.buffered = buffered
	response.remainder = resp.Body
	if int64(len(buffered)) == resp.ContentLength || !c.idempotent() && int64(len(buffered)) < limit {
		_ = resp.Body.Close()
		response.remainder = nil
		if response.endedWithService(ctx) {
			return nil, eris.Wrap(io.ErrUnexpectedEOF, "read service response: the service has ended with its connection")
		}
	}
	return response, nil
}
