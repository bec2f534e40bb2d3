package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// runPlain serves a request whose response is forwarded once it is complete.
func (c *call) runPlain(ctx context.Context) *rejection {
	c.initPlacement()
	for {
		plan, rejected := c.choosePlan()
		if rejected != nil {
			if c.returnToSilentServer(ctx) {
				continue
			}
			return rejected
		}
		ticket := c.g.deps.Fleet.Send(plan, &c.placementRequest, time.Now())
		resp, body, err := c.plainAttempt(ctx, &plan)
		c.g.deps.Fleet.Done(ticket, c.outcomeOf(ctx, err), time.Now())
		if err == nil && resp.StatusCode >= 500 && c.route.Repeatable() && c.mayRetryPlain() {
			c.placementRequest.Exclude = append(c.placementRequest.Exclude, plan.Run.ID)
			c.placementRequest.Only = ""
			c.startRetry()
			continue
		}
		if err == nil {
			c.forwardResponse(resp, body)
			return nil
		}
		if rejected := c.retryOrReject(ctx, &plan.Run, err); rejected != nil && !c.returnToSilentServer(ctx) {
			return rejected
		}
	}
}

// mayRetryPlain reports whether a request to which a backend server responded with a
// failure is retried at another one. The retry is taken from the retry budget.
func (c *call) mayRetryPlain() bool {
	return c.countPossibleRuns() < c.route.MaxAttempts && c.remaining() > minPlainRetryTime && c.g.retryBudgets.takeRetry(c.service.Name, time.Now())
}

// minPlainRetryTime is the remaining time below which a plain request is not retried:
// the duration of an ordinary plain call.
const minPlainRetryTime = 60 * time.Millisecond

func (c *call) plainAttempt(ctx context.Context, plan *placement.Plan) (*upstream.Response, []byte, error) {
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.route.Repeatable() && c.attempts+1 < c.route.MaxAttempts && !c.returning() {
		watchdog := c.watchForStall(plan.Run.ID, c.plainStallTimeout(plan), cancel)
		defer watchdog.stop()
	}
	started := time.Now()
	resp, err := c.send(attempt, &plan.Run, OutgoingMetadata{})
	if err != nil {
		err = attemptError(attempt, err)
		if errors.Is(err, errStalled) {
			c.g.typicalDuration.add(c.service.Name, time.Since(started))
		}
		return nil, nil, err
	}
	c.countUsage()
	body, err := c.readWhole(attempt, resp, &plan.Run)
	if err != nil {
		resp.Abandon()
		return nil, nil, attemptError(attempt, err)
	}
	resp.Release()
	c.g.typicalDuration.add(c.service.Name, time.Since(started))
	return resp, body, nil
}

// attemptError returns the cause of the cancellation if the attempt was cancelled, and
// err otherwise. Cancelling closes the connection, so that err does not tell the cause.
func attemptError(attempt context.Context, err error) error {
	if attempt.Err() != nil {
		return context.Cause(attempt)
	}
	return err
}

// forwardResponse writes a complete response to the caller.
func (c *call) forwardResponse(resp *upstream.Response, body []byte) {
	c.copyHeader(resp)
	c.setPlainFraming(resp, len(body))
	c.w.WriteHeader(resp.StatusCode)
	if _, err := c.w.Write(body); err != nil {
		c.report(resp.StatusCode, "the caller has left")
		return
	}
	c.firstByteAt = time.Now()
	c.report(resp.StatusCode, "")
}

// copyHeader sets the header of the response to the caller from the backend server's.
func (c *call) copyHeader(resp *upstream.Response) {
	h := c.w.Header()
	for name, values := range c.g.deps.Dialect.ResponseHeader(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Without the nil entry, net/http adds a guessed type that the backend server
		// did not state.
		h["Content-Type"] = nil
	}
	c.g.askToClose(h)
	c.headerSent = true
}
