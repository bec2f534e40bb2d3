package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/membudget"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// minRefusalStatus and maxRefusalStatus bound the statuses of a refusal: a success that is
// marked as not run contradicts itself.
const minRefusalStatus, maxRefusalStatus = 400, 599

// belongsTo reports whether a response is the one to the request with the id. A response
// that names no request may be a late copy of an earlier one, except as the first on its
// connection.
func belongsTo(id string, resp *upstream.Response, m ResponseMetadata) bool {
	if m.ID == "" {
		return resp.FirstOnConnection()
	}
	return m.ID == id
}

// refuses reports whether a response states that the request has not run.
func refuses(resp *upstream.Response, m ResponseMetadata) bool {
	return m.Misdirected || m.NotRun && resp.StatusCode >= minRefusalStatus && resp.StatusCode <= maxRefusalStatus
}

// setPlainFraming gives the response to the caller a length, so that the end of this host
// cannot pass for the end of the body.
func (c *call) setPlainFraming(resp *upstream.Response, size int) {
	h := c.w.Header()
	switch {
	case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
	case c.r.Method == http.MethodHead:
		if resp.ContentLength >= 0 {
			h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
		}
	default:
		h.Set("Content-Length", strconv.Itoa(size))
	}
}

// errNoMemory means that the host gave up a response, since all requests together hold too
// many bytes of responses.
var errNoMemory = errors.New("the host has no memory for the answer")

// readError classifies a failed read of a response.
func readError(err error) error {
	if errors.Is(err, membudget.ErrExhausted) {
		return errNoMemory
	}
	return eris.Wrap(errInterrupted, err.Error())
}

// errEndedWithServer means that a body without a framing ended because its server did.
var errEndedWithServer = eris.Wrap(errInterrupted, "the server has ended with its connection")

// readWhole reads the body of a response. A body without a framing ends with its
// connection, in good order even if the server's process has died, so that it is whole only
// if the server still accepts connections.
func (c *call) readWhole(ctx context.Context, resp *upstream.Response, b *placement.Backend) ([]byte, error) {
	body, err := resp.ReadAll(c.g.settings.ResponseBytes, c.responseMemory)
	if err != nil {
		return nil, readError(err)
	}
	if !resp.Framed() && c.g.deps.Pool.Refuses(ctx, b.Address) {
		return nil, errEndedWithServer
	}
	return body, nil
}

// breakOff ends a response that has begun, so that it does not look complete.
func (c *call) breakOff() { panic(http.ErrAbortHandler) }
