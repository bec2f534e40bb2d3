package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

const headerIdempotencyKey = engine.HeaderIdempotencyKey

// responseHeaders are the response headers of a plain service that are
// forwarded to the caller.
var responseHeaders = []string{
	"Allow", "Cache-Control", "Content-Disposition", "Content-Language", "Content-Range", "Content-Type",
	"Etag", "Last-Modified", "Link", "Location", "Retry-After", "Vary",
}

// idempotent reports whether the call may be repeated.
func (c *call) idempotent() bool {
	return c.route.Idempotent || c.r.Method == http.MethodGet || c.r.Method == http.MethodHead
}

// runService runs a plain service call until its response is sent or it has
// failed.
func (h *Handler) runService(ctx context.Context, c *call) error {
	if !c.idempotent() {
		// The call continues after the caller disconnects: a payout in progress is
		// not interrupted, and its outcome is still recorded.
		var stop context.CancelFunc
		ctx, stop = withoutCancel(ctx)
		defer stop()
		if c.r.Header.Get(headerIdempotencyKey) != "" {
			return h.runKeyed(ctx, c)
		}
	}
	if err := h.recheckKey(c); err != nil {
		h.releaseSelection(c.initialSelection)
		return err
	}
	response, err := h.callService(ctx, c)
	if err != nil {
		return err
	}
	defer response.close()
	h.reportService(c)
	return h.relayResponse(c, response)
}

// withoutCancel returns a context with the deadline of ctx but not its
// cancellation.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	free := context.WithoutCancel(ctx)
	if !ok {
		return context.WithCancel(free)
	}
	return context.WithDeadlineCause(free, deadline, errRequestTimeout)
}

func (h *Handler) reportService(c *call) {
	h.deps.Metrics.Observe(TimeRequest, time.Since(c.arrived))
	if c.org != "" {
		h.deps.Usage.Add(logrec.UsageLine{Organisation: c.org, Pool: c.request.Pool, Requests: 1})
	}
}

// callService makes attempts until one gets a response or no other is allowed.
func (h *Handler) callService(ctx context.Context, c *call) (*serviceResponse, error) {
	selected := c.initialSelection
	for {
		response, err := h.serviceAttempt(ctx, c, selected)
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return nil, h.serviceContextError(ctx, c)
		}
		if err := h.beginRetry(c); err != nil {
			return nil, err
		}
		next, selectErr := h.reselect(c, selected.Backend)
		if selectErr != nil {
			return nil, h.backendFailedError(c, "the service did not answer and no other backend server is available")
		}
		h.deps.Metrics.Count(CountRetries, 1)
		h.journalDecision(c, next.Decision)
		selected = next
	}
}

// beginRetry prepares another attempt, or returns the final error if none is
// allowed.
func (h *Handler) beginRetry(c *call) error {
	if !atmostonce.MayRetry(c.outcome.State(), c.idempotent()) {
		return h.backendFailedError(c, "the connection to the service failed; ask for the status before repeating the call")
	}
	if int(c.attempts.Load()) >= h.settings.MaxAttempts {
		return h.backendFailedError(c, "all attempts failed")
	}
	if c.outcome.State() == atmostonce.MaybeSent && !h.budget.take() {
		h.deps.Metrics.Count(CountRetriesRefused, 1)
		return h.backendFailedError(c, "the service failed and this host's retries are used up")
	}
	if !c.outcome.Retry(c.idempotent()) {
		return h.backendFailedError(c, "the service failed")
	}
	return nil
}

func (h *Handler) serviceContextError(ctx context.Context, c *call) error {
	if errors.Is(context.Cause(ctx), errRequestTimeout) {
		return h.timeoutError(c)
	}
	h.deps.Metrics.Count(CountCallersGone, 1)
	return h.backendFailedError(c, "the caller went away")
}

// serviceAttempt calls one backend server and buffers the start of its
// response.
func (h *Handler) serviceAttempt(ctx context.Context, c *call, s selection) (*serviceResponse, error) {
	feedback := &routing.Feedback{Request: s.request, Backend: s.Backend, Sent: time.Now()}
	c.beginAttempt(s, nil)
	defer c.endAttempt()
	done := func(err error) {
		feedback.Done = time.Now()
		feedback.Failed = err != nil && ctx.Err() == nil
		feedback.Crashed = feedback.Failed && connectionLost(err)
		h.deps.Router.Done(feedback)
	}
	response, err := h.sendServiceCall(ctx, c, s.URL)
	if err != nil {
		if errors.Is(err, engine.ErrForeign) {
			h.deps.Metrics.Count(CountForeignResponses, 1)
		}
		done(err)
		return nil, err
	}
	response.done = done
	return response, nil
}

// relayResponse sends the response to the caller. If it fails midway, the
// connection is closed, so that the caller does not take a truncated response
// for a complete one.
func (h *Handler) relayResponse(c *call, r *serviceResponse) error {
	header := c.w.Header()
	for _, name := range responseHeaders {
		if values := r.header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	if r.length > 0 {
		header.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	if r.length < 0 && r.remainder != nil && !c.r.ProtoAtLeast(1, 1) {
		// A caller without chunks needs a length: the end of this host would look like the
		// end of the body.
		if err := h.readRemainder(r); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if r.length < 0 && r.remainder == nil {
		header.Set("Content-Length", strconv.Itoa(len(r.buffered)))
	}
	out := &deadlineWriter{c: c, timeout: h.settings.WriteTimeout}
	c.w.WriteHeader(r.status)
	if _, err := out.Write(r.buffered); err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.remainder == nil {
		return nil
	}
	n, err := io.Copy(out, io.LimitReader(r.remainder, h.settings.MaxResponseBytes+1))
	if err != nil || n > h.settings.MaxResponseBytes {
		r.relayErr = err
		panic(http.ErrAbortHandler)
	}
	if r.endedWithService(c.r.Context()) {
		r.relayErr = io.ErrUnexpectedEOF
		panic(http.ErrAbortHandler)
	}
	return nil
}

// readRemainder adds the remainder of the body to what is buffered.
func (h *Handler) readRemainder(r *serviceResponse) error {
	rest, err := io.ReadAll(io.LimitReader(r.remainder, h.settings.MaxResponseBytes+1))
	if err == nil && (int64(len(rest)) > h.settings.MaxResponseBytes || r.endedWithService(context.Background())) {
		err = io.ErrUnexpectedEOF
	}
	_ = r.remainder.Close()
	r.buffered, r.remainder, r.relayErr = append(r.buffered, rest...), nil, err
	return err
}

// deadlineWriter gives each write to the caller its own deadline and flushes
// it.
type deadlineWriter struct {
	c       *call
	timeout time.Duration
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	_ = w.c.control.SetWriteDeadline(time.Now().Add(w.timeout))
	n, err := w.c.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.c.control.Flush()
}

// outcomeError returns the error for a call that ran or may have run; ran states
// which.
func outcomeError(status int, code model.ErrorCode, ran model.Ran, message string, after time.Duration) *model.RequestError {
	return &model.RequestError{Status: status, Code: code, Message: message, Ran: ran, RetryAfter: after}
}
