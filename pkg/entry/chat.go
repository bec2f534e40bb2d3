package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Causes that end an attempt.
var (
	errRequestTimeout = errors.New("request exceeded its time limit")
	errNoProgress     = errors.New("stream made no progress")
	errDeliveryFailed = errors.New("response could not be delivered to the caller")
)

// moveCause ends an attempt whose stream continues on another backend server.
type moveCause struct {
	target selection
}

// Error implements error.
func (*moveCause) Error() string { return "stream moved to another backend server" }

// runChat runs a chat request until its response is complete or has failed. It
// returns an error only if no part of the response was written.
func (h *Handler) runChat(ctx context.Context, c *call) error {
	if err := h.recheckKey(c); err != nil {
		h.releaseSelection(c.initialSelection)
		return err
	}
	run := h.newChatRun(c)
	err := run.runAttempts(ctx)
	h.reportChat(c, run, err)
	if err == nil {
		return nil
	}
	if errors.Is(err, errDeliveryFailed) {
		// The connection can no longer be used; the panic makes net/http close it.
		panic(http.ErrAbortHandler)
	}
	failure := asRequestError(err)
	failure.RequestID = c.id
	if run.response.sendError(failure) {
		h.recordError(c, failure)
		return nil
	}
	return failure
}

// chatRun is the state of a chat request over all its attempts.
type chatRun struct {
	h        *Handler
	c        *call
	response chatResponse
	// usage is the engine's token count; it is zero until the stream ends.
	usage engine.Usage
	// firstToken is when the first token of the response arrived.
	firstToken time.Time
	roleSent   bool
	// failures counts the failed attempts, failuresWithoutTokens those of them
	// that delivered no token.
	failures              int
	failuresWithoutTokens int
}

func (h *Handler) newChatRun(c *call) *chatRun {
	run := &chatRun{h: h, c: c}
	if c.wantsStream {
		run.response = &streamResponse{c: c, timeout: h.settings.WriteTimeout}
	} else {
		run.response = &bufferedResponse{c: c, timeout: h.settings.WriteTimeout}
	}
	return run
}

// runAttempts makes attempts until one completes the response or none is left.
func (run *chatRun) runAttempts(ctx context.Context) error {
	selected := run.c.initialSelection
	for {
		before := run.c.deliveredTokens.Load()
		err := run.runAttempt(ctx, selected)
		if err == nil {
			return nil
		}
		next, err := run.nextSelection(ctx, selected, err, run.c.deliveredTokens.Load() > before)
		if err != nil {
			return err
		}
		run.c.outcome.Retry(true)
		selected = next
	}
}

// nextSelection selects the backend server of the next attempt, or returns the
// error that ends the request.
func (run *chatRun) nextSelection(ctx context.Context, failed selection, err error, progress bool) (selection, error) {
	h, c := run.h, run.c
	var move *moveCause
	if errors.As(err, &move) {
		h.deps.Metrics.Count(CountStreamsMoved, 1)
		h.cancelOnEngine(c.id, failed.URL)
		h.journalDecision(c, move.target.Decision)
		return move.target, nil
	}
	if errors.Is(err, errDeliveryFailed) {
		h.cancelOnEngine(c.id, failed.URL)
		return selection{}, errDeliveryFailed
	}
	if ctx.Err() != nil {
		h.cancelOnEngine(c.id, failed.URL)
		return selection{}, run.contextError(ctx)
	}
	if h.countCrash(ctx, c, failed, err) {
		return selection{}, h.suspectError(c)
	}
	if err := run.checkRetry(progress); err != nil {
		return selection{}, err
	}
	next, selectErr := h.reselect(c, failed.Backend)
	if selectErr != nil {
		return selection{}, h.backendFailedError(c, "the backend server failed and no other is available")
	}
	run.recordRetry(failed, next)
	return next, nil
}

// checkRetry returns an error if the attempt limits or the retry budget forbid
// another attempt. An attempt that delivered tokens is continued, not repeated,
// and one that was not sent cost no engine time; neither takes from the budget.
func (run *chatRun) checkRetry(progress bool) error {
	h, c := run.h, run.c
	run.failures++
	if !progress {
		run.failuresWithoutTokens++
	}
	if run.failuresWithoutTokens >= h.settings.MaxAttempts || run.failures >= h.settings.MaxResumes {
		return h.backendFailedError(c, "all attempts failed")
	}
	if progress || c.outcome.State() == atmostonce.NotSent || h.budget.take() {
		return nil
	}
	h.deps.Metrics.Count(CountRetriesRefused, 1)
	return h.backendFailedError(c, "the backend server failed and this host's retries are used up")
}

// recordRetry counts a retry. It cancels the failed attempt on its engine, unless
// the next one runs there.
func (run *chatRun) recordRetry(failed, next selection) {
	run.h.deps.Metrics.Count(CountRetries, 1)
	if run.c.deliveredTokens.Load() > 0 {
		run.h.deps.Metrics.Count(CountStreamsResumed, 1)
	}
	if next.Backend != failed.Backend {
		// On the same engine a late cancel could end the resumed run.
		run.h.cancelOnEngine(run.c.id, failed.URL)
	}
	run.h.journalDecision(run.c, next.Decision)
}

// contextError returns the error for a context that ended: a timeout, or a
// caller that went away.
func (run *chatRun) contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errRequestTimeout) {
		return run.h.timeoutError(run.c)
	}
	run.h.deps.Metrics.Count(CountCallersGone, 1)
	return errDeliveryFailed
}

func (h *Handler) timeoutError(c *call) error {
	return &model.RequestError{
		Status:     http.StatusGatewayTimeout,
		Code:       model.CodeTimeout,
		Message:    "the request took longer than its time limit",
		Ran:        c.outcome.Ran(),
		RetryAfter: h.settings.RetryAfter,
	}
}

func (h *Handler) backendFailedError(c *call, message string) error {
	return &model.RequestError{
		Status:     http.StatusBadGateway,
		Code:       model.CodeBackendFailed,
		Message:    message,
		Ran:        c.outcome.Ran(),
		RetryAfter: h.settings.RetryAfter,
	}
}

// cancelOnEngine cancels a request on an engine without waiting for the result.
// A lost cancel wastes little, since the engine also sees the closed
// connection.
func (h *Handler) cancelOnEngine(id model.RequestID, url string) {
	h.background.Go(func() {
		_ = h.engines.Cancel(context.Background(), url, id)
	})
}

// reportChat records usage and timings of a finished request. A truncated
// response is billed for the tokens that were delivered.
func (h *Handler) reportChat(c *call, run *chatRun, err error) {
	deliveredTokens := c.deliveredTokens.Load()
	h.deps.Metrics.Count(CountTokensDelivered, deliveredTokens)
	h.deps.Metrics.Observe(TimeRequest, time.Since(c.arrived))
	if !run.firstToken.IsZero() {
		h.deps.Metrics.Observe(TimeFirstToken, run.firstToken.Sub(c.arrived))
	}
	if c.org == "" || err != nil && deliveredTokens == 0 {
		return
	}
	prompt, cached := run.usage.PromptTokens, run.usage.CachedTokens
	if prompt == 0 {
		prompt = c.request.PromptTokens
	}
	h.deps.Usage.Add(logrec.UsageLine{
		Organisation: c.org,
		Pool:         c.request.Pool,
		Requests:     1,
		PromptTokens: int64(prompt),
		CachedTokens: int64(cached),
		OutputTokens: deliveredTokens,
	})
}
