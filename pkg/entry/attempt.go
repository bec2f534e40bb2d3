package entry

import (
	"context"
	"errors"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// runAttempt streams from one backend server. It returns nil when the response
// is complete, otherwise the cause of the failure.
func (run *chatRun) runAttempt(parent context.Context, s selection) error {
	h, c := run.h, run.c
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := newProgressWatchdog(h.settings.firstTokenLimit(s.Predicted), func() { cancel(errNoProgress) })
	defer watchdog.stop()
	c.beginAttempt(s, cancel)
	if deadline, ok := h.leaving.deadline(s.Backend); ok {
		h.moveFrom(c, s.Backend, deadline)
	}
	feedback := routing.Feedback{Request: s.request, Backend: s.Backend, Sent: time.Now()}
	err := run.stream(ctx, s.Decision, watchdog, &feedback)
	if err != nil && ctx.Err() != nil && !errors.Is(err, errDeliveryFailed) {
		// Delivery errors are kept, since a failed write to the caller also
		// cancels the context of the request.
		err = context.Cause(ctx)
	}
	if errors.Is(err, errNoProgress) {
		h.discardHungConnections(s.URL)
	}
	if errors.Is(err, engine.ErrForeign) {
		h.deps.Metrics.Count(CountForeignResponses, 1)
	}
	if run.usage.PromptTokens == 0 {
		// Without usage counts CachedTokens is 0, which the router would take for
		// a cold cache. Without FirstToken it keeps its estimates.
		feedback.FirstToken = time.Time{}
	}
	feedback.Done = time.Now()
	feedback.Failed = run.backendAtFault(parent, err)
	feedback.Crashed = feedback.Failed && connectionLost(err)
	h.deps.Router.Done(&feedback)
	return run.resolveMove(parent, c.endAttempt(), err)
}

// resolveMove returns the move that interrupted the attempt in place of its
// error. If the request ends here, it releases the target of the move instead.
func (run *chatRun) resolveMove(parent context.Context, move *moveCause, err error) error {
	if move == nil {
		return err
	}
	if err == nil || parent.Err() != nil || errors.Is(err, errDeliveryFailed) {
		run.h.releaseSelection(move.target)
		return err
	}
	return move
}

// backendAtFault reports whether an attempt failed because of the backend
// server, not because of a move, the caller or the time limit of the request.
func (run *chatRun) backendAtFault(parent context.Context, err error) bool {
	var move *moveCause
	return err != nil && parent.Err() == nil && !errors.As(err, &move) && !errors.Is(err, errDeliveryFailed)
}

// stream opens a stream that continues after the last delivered token and
// relays it.
func (run *chatRun) stream(ctx context.Context, decision routing.Decision, watchdog *progressWatchdog, feedback *routing.Feedback) error {
	h, c := run.h, run.c
	chat := c.chat
	chat.ResumeFrom = int(c.deliveredTokens.Load())
	chat.ResumeText = string(c.deliveredText)
	stream, err := h.engines.Stream(ctx, decision.URL, chat, engine.Call{
		ID:           c.id,
		Organisation: c.org,
		Priority:     c.priority,
		OnSend:       func() { _ = c.outcome.Apply(atmostonce.EventSend) },
	})
	if err != nil {
		var status *engine.StatusError
		if errors.As(err, &status) && status.ReportsNotRun() {
			_ = c.outcome.Apply(atmostonce.EventRefusal)
		}
		return err
	}
	defer func() {
		h.deps.Metrics.Count(CountForeignResponses, int64(stream.ForeignChunks()))
		_ = stream.Close()
	}()
	if response, ok := run.response.(*streamResponse); ok {
		response.resumed = chat.ResumeFrom > 0
	}
	return run.relay(stream, decision, watchdog, feedback)
}

// relay forwards the events of a stream to the caller.
func (run *chatRun) relay(stream *engine.Stream, decision routing.Decision, watchdog *progressWatchdog, feedback *routing.Feedback) error {
	h := run.h
	var first time.Time
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return run.finishResponse(watchdog)
		}
		if err != nil {
			return err
		}
		watchdog.recordProgress()
		if event.Kind == engine.EventToken {
			if first.IsZero() {
				first = time.Now()
				feedback.FirstToken = first
				run.onFirstToken(decision, first)
			}
			feedback.OutputTokens++
			watchdog.setLimit(h.settings.tokenGapLimit(int64(feedback.OutputTokens), time.Since(first)))
		}
		if err := run.deliver(event, stream.Buffered(), watchdog, feedback); err != nil {
			return err
		}
	}
}

func (run *chatRun) onFirstToken(decision routing.Decision, now time.Time) {
	_ = run.c.outcome.Apply(atmostonce.EventResponse)
	run.h.deps.Router.FirstToken(run.c.id, decision.Backend, now)
	if run.firstToken.IsZero() {
		run.firstToken = now
	}
	if decision.HandOver {
		run.h.handOver(run.c, decision.Backend)
	}
}

// deliver writes one event to the caller. A token is counted before its write:
// a failed write ends the request, so a resumed stream always continues after
// tokens that were written to the caller's connection.
func (run *chatRun) deliver(event *engine.Event, more bool, watchdog *progressWatchdog, feedback *routing.Feedback) error {
	c := run.c
	token := event.Kind == engine.EventToken
	if !token && event.Finish == "" && event.Usage == nil {
		if run.roleSent {
			// An earlier attempt has already sent the role.
			return nil
		}
		run.roleSent = true
	}
	if token {
		c.deliveredTokens.Add(1)
		c.deliveredText = append(c.deliveredText, event.Text...)
	}
	if event.Usage != nil {
		run.usage = *event.Usage
		feedback.CachedTokens = event.Usage.CachedTokens
		c.cachedTokens = event.Usage.CachedTokens
	}
	watchdog.paused.Store(true)
	err := run.response.event(event, more)
	watchdog.recordProgress()
	watchdog.paused.Store(false)
	return run.deliveryError(err)
}

// deliveryError counts a failed write to the caller and marks it as
// errDeliveryFailed.
func (run *chatRun) deliveryError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		run.h.deps.Metrics.Count(CountCallersTooSlow, 1)
	} else {
		run.h.deps.Metrics.Count(CountCallersGone, 1)
	}
	return eris.Wrap(errDeliveryFailed, err.Error())
}

func (run *chatRun) finishResponse(watchdog *progressWatchdog) error {
	watchdog.paused.Store(true)
	defer watchdog.paused.Store(false)
	_ = run.c.outcome.Apply(atmostonce.EventResponse)
	deliveredTokens := int(run.c.deliveredTokens.Load())
	run.usage.CompletionTokens = deliveredTokens
	run.usage.TotalTokens = run.usage.PromptTokens + deliveredTokens
	return run.deliveryError(run.response.finish(run.usage))
}

// discardHungConnections discards the pooled connections that may hang like the
// one that stopped carrying data: those opened before the backend server last
// sent any.
func (h *Handler) discardHungConnections(backendURL string) {
	h.deps.Metrics.Count(CountStreamsWithoutProgress, 1)
	base, err := url.Parse(backendURL)
	if err != nil {
		return
	}
	transports := h.engines.Transports()
	last := transports.LastReadTime(base.Host)
	if last.IsZero() {
		last = time.Now()
	}
	n := transports.DiscardOpenedBefore(base.Host, last)
	h.deps.Metrics.Count(CountConnectionsDiscarded, int64(n))
}
