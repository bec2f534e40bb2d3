package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// errStopping is the cause of the cancellation of requests that still run when the host
// ends.
var errStopping = errors.New("the host stops")

// stopTimes are the times of a graceful stop.
type stopTimes struct {
	// admitUntil is the time until which every request is admitted.
	admitUntil time.Time
	// end is when all requests have got their final response.
	end time.Time
}

// Stop makes each further response ask the caller to close its connection, so that it
// uses another host. After admitUntil, a request is refused unless its own deadline is
// before end; at end, requests that still run get their final response.
func (g *Gateway) Stop(admitUntil, end time.Time) {
	g.stopping.Store(&stopTimes{admitUntil, end})
	time.AfterFunc(time.Until(end), func() { g.endRequests(errStopping) })
}

// askToClose asks the caller to close its connection if the host is stopping.
func (g *Gateway) askToClose(h http.Header) {
	if g.stopping.Load() != nil {
		h.Set("Connection", "close")
	}
}

// rejectIfTooLate refuses a request that the end of a stop could leave without the
// backend server's response.
func (c *call) rejectIfTooLate() *rejection {
	stop := c.g.stopping.Load()
	if stop == nil || time.Now().Before(stop.admitUntil) || !c.deadline.After(stop.end) {
		return nil
	}
	return c.stopped()
}

// stopped returns the final response to a request that ends because the host does.
func (c *call) stopped() *rejection {
	if c.outcome.Ran() == model.NotRun {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: c.g.settings.MinRetryAfter, reason: errStopping.Error()}
	}
	return &rejection{status: http.StatusGatewayTimeout, reason: errStopping.Error()}
}

// remaining returns the time until the deadline, or until the end of a stop.
func (c *call) remaining() time.Duration {
	left := time.Until(c.deadline)
	if stop := c.g.stopping.Load(); stop != nil {
		left = min(left, time.Until(stop.end))
	}
	return left
}

// runContext returns the context of the request's attempts. It ends with the caller's
// connection, at the deadline, and with errStopping as its cause at the end of a stop.
func (c *call) runContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	ctx, end := context.WithCancelCause(ctx)
	detach := context.AfterFunc(c.g.ending, func() { end(errStopping) })
	return ctx, func() {
		detach()
		end(nil)
		cancel()
	}
}

// stopReadingAtEnd makes reads of the body fail at the end of a stop. The returned
// function undoes it.
func (c *call) stopReadingAtEnd() func() bool {
	return context.AfterFunc(c.g.ending, func() {
		if err := http.NewResponseController(c.w).SetReadDeadline(time.Now()); err != nil {
			c.log.Warn("reading the body cannot be ended", zap.Error(err))
		}
	})
}
