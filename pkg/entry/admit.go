package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// limitRate charges the request to the organisation's rate limit and rejects it
// when the limit is exhausted.
func (h *Handler) limitRate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.org == "" {
			return next(ctx, request)
		}
		ok, after := h.deps.Limiter.Take(c.org, c.cost, time.Now())
		if !ok {
			return nil, newRejectionWithRetry(http.StatusTooManyRequests, model.CodeRateExceeded,
				"the organisation's rate is used up", h.retryAfterOrDefault(after))
		}
		return next(ctx, request)
	}
}

// admit selects a backend server and applies admission control. It rejects
// crash suspects, streams beyond the limits and requests that would miss their
// deadline.
func (h *Handler) admit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.requestDigest != "" && h.isSuspect(c, time.Now()) {
			return nil, h.suspectError(c)
		}
		release, err := h.openStream(c)
		if err != nil {
			return nil, err
		}
		defer release()
		h.markSuspect(c, time.Now())
		decision, err := h.deps.Router.Select(&c.request, time.Now())
		if err != nil {
			return nil, h.noBackendError()
		}
		if c.route.Kind == model.RouteModel {
			verdict := h.deps.Admission.Admit(&c.request, decision, time.Now())
			if !verdict.OK {
				h.releaseSelection(selection{decision, c.request})
				return nil, newRejectionWithRetry(http.StatusServiceUnavailable, model.CodeOverloaded,
					"the request would miss its deadline: "+verdict.Reason, h.retryAfterOrDefault(verdict.RetryAfter))
			}
			c.priority = verdict.Priority
			defer func() {
				uncached := max(0, c.request.PromptTokens-c.cachedTokens)
				h.deps.Admission.Done(c.org, uncached, int(c.deliveredTokens.Load()), time.Now())
			}()
		}
		c.initialSelection = selection{decision, c.request}
		h.journalDecision(c, decision)
		return next(ctx, request)
	}
}

// openStream counts a stream against the limits of the organisation and the
// host. The returned function releases it.
func (h *Handler) openStream(c *call) (func(), error) {
	if c.route.Kind != model.RouteModel {
		return func() {}, nil
	}
	org, _, _ := h.deps.View().Organisation(c.org)
	if !h.streams.open(c.org, org.MaxStreams, h.settings.MaxStreams) {
		return nil, newRejectionWithRetry(http.StatusTooManyRequests, model.CodeTooManyStreams,
			"too many streams are open on this host", h.settings.RetryAfter)
	}
	return func() { h.streams.close(c.org) }, nil
}

// retryAfterOrDefault returns the predicted delay, or Settings.RetryAfter if
// there is none.
func (h *Handler) retryAfterOrDefault(predicted time.Duration) time.Duration {
	if predicted <= 0 {
		return h.settings.RetryAfter
	}
	return predicted
}

func (h *Handler) noBackendError() error {
	return newRejectionWithRetry(http.StatusServiceUnavailable, model.CodeNoBackend,
		"no backend server is available", h.settings.RetryAfter)
}

// releaseSelection ends a selection that was not used. The zero Sent time tells
// the router that nothing was sent.
func (h *Handler) releaseSelection(s selection) {
	h.deps.Router.Done(&routing.Feedback{Request: s.request, Backend: s.Backend, Done: time.Now()})
}

// reselect selects a backend server for another attempt. It avoids the servers
// that failed unless no other is available.
func (h *Handler) reselect(c *call, failed model.BackendID) (selection, error) {
	if failed != "" && !slices.Contains(c.request.Exclude, failed) {
		c.request.Exclude = append(c.request.Exclude, failed)
	}
	h.markSuspect(c, time.Now())
	decision, err := h.deps.Router.Select(&c.request, time.Now())
	if err == nil {
		return selection{decision, c.request}, nil
	}
	unrestricted := c.request
	unrestricted.Exclude = nil
	decision, err = h.deps.Router.Select(&unrestricted, time.Now())
	return selection{decision, unrestricted}, err
}

func (h *Handler) journalDecision(c *call, d routing.Decision) {
	h.deps.Journal.Add(journal.Entry{
		Kind:     journal.KindRequest,
		Subject:  string(c.id),
		Decision: "routed to " + string(d.Backend),
		Reason:   d.Reason,
	})
}
