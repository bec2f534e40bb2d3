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

// takeRate spends the organisation's rate.
func (h *Handler) takeRate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.org == "" {
			return next(ctx, request)
		}
		ok, after := h.deps.Limiter.Take(c.org, c.cost, time.Now())
		if !ok {
			return nil, refuseFor(http.StatusTooManyRequests, model.CodeRateExceeded,
				"the organisation's rate is used up", h.atLeast(after))
		}
		return next(ctx, request)
	}
}

// admit selects a backend server and asks admission for the request.
func (h *Handler) admit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.digest != "" && h.isSuspect(c, time.Now()) {
			return nil, h.suspectError(c)
		}
		release, err := h.openStream(c)
		if err != nil {
			return nil, err
		}
		defer release()
		h.keepApart(c, time.Now())
		decision, err := h.deps.Router.Select(&c.request, time.Now())
		if err != nil {
			return nil, h.noBackend()
		}
		if c.route.Kind == model.RouteModel {
			verdict := h.deps.Admission.Admit(&c.request, decision, time.Now())
			if !verdict.OK {
				h.giveBack(selection{decision, c.request})
				return nil, refuseFor(http.StatusServiceUnavailable, model.CodeOverloaded,
					"the request would miss its deadline: "+verdict.Reason, h.atLeast(verdict.RetryAfter))
			}
			c.priority = verdict.Priority
			defer func() {
				uncached := max(0, c.request.PromptTokens-c.cachedTokens)
				h.deps.Admission.Done(c.org, uncached, int(c.tokens.Load()), time.Now())
			}()
		}
		c.selected = selection{decision, c.request}
		h.noteDecision(c, decision)
		return next(ctx, request)
	}
}

// openStream counts a stream of the organisation. The result ends it.
func (h *Handler) openStream(c *call) (func(), error) {
	if c.route.Kind != model.RouteModel {
		return func() {}, nil
	}
	org, _, _ := h.deps.View().Organisation(c.org)
	if !h.streams.open(c.org, org.MaxStreams, h.settings.MaxStreams) {
		return nil, refuseFor(http.StatusTooManyRequests, model.CodeTooManyStreams,
			"too many streams are open on this host", h.settings.RetryAfter)
	}
	return func() { h.streams.close(c.org) }, nil
}

func (h *Handler) atLeast(after time.Duration) time.Duration {
	if after <= 0 {
		return h.settings.RetryAfter
	}
	return after
}

func (h *Handler) noBackend() error {
	return refuseFor(http.StatusServiceUnavailable, model.CodeNoBackend,
		"no backend server is available", h.settings.RetryAfter)
}

// giveBack ends a selection that was not used. A zero Sent tells the router that
// nothing was sent.
func (h *Handler) giveBack(s selection) {
	h.deps.Router.Done(&routing.Feedback{Request: s.request, Backend: s.Backend, Done: time.Now()})
}

// reselect picks a backend server for another attempt, another one than before
// where there is one.
func (h *Handler) reselect(c *call, failed model.BackendID) (selection, error) {
	if failed != "" && !slices.Contains(c.request.Exclude, failed) {
		c.request.Exclude = append(c.request.Exclude, failed)
	}
	h.keepApart(c, time.Now())
	decision, err := h.deps.Router.Select(&c.request, time.Now())
	if err == nil {
		return selection{decision, c.request}, nil
	}
	again := c.request
	again.Exclude = nil
	decision, err = h.deps.Router.Select(&again, time.Now())
	return selection{decision, again}, err
}

func (h *Handler) noteDecision(c *call, d routing.Decision) {
	h.deps.Journal.Add(journal.Entry{
		Kind:     journal.KindRequest,
		Subject:  string(c.id),
		Decision: "routed to " + string(d.Backend),
		Reason:   d.Reason,
	})
}
