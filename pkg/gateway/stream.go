package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/membudget"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// errCallerGone means that a write to the caller failed.
var errCallerGone = errors.New("the caller has left")

// runStream serves a request whose response is a stream of events. If an attempt fails
// after events were forwarded, the stream is resumed at another backend server or
// aborted.
func (c *call) runStream(ctx context.Context) *rejection {
	c.initPlacement()
	for {
		plan, rejected := c.choosePlan()
		if rejected != nil {
			if c.returnToSilentServer(ctx) {
				continue
			}
			return c.abortStream(rejected)
		}
		if plan.Prefill != nil && !c.mayPrefill() {
			c.placementRequest.ExcludePrefill = true
			continue
		}
		err := c.streamAttempt(ctx, &plan)
		if err == nil {
			c.report(http.StatusOK, "")
			return nil
		}
		if errors.Is(err, errCallerGone) {
			return c.abortStream(&rejection{status: http.StatusGatewayTimeout, reason: "the caller has left"})
		}
		if errors.Is(err, errForwarded) {
			return nil
		}
		if errors.Is(err, errHeldBack) {
			continue
		}
		if errors.Is(err, errPrefill) && ctx.Err() == nil {
			c.placementRequest.Exclude = append(c.placementRequest.Exclude, plan.Prefill.ID)
			// A refused prefill call counts as an attempt, so that the next one is a retry.
			// One whose response was lost does not: the run that follows is the first.
			if c.prefillRefused && !c.g.retryBudgets.takeRetry(c.service.Name, time.Now()) && !c.returnToSilentServer(ctx) {
				return c.abortStream(c.attemptsExhausted(err))
			}
			continue
		}
		if rejected := c.retryOrReject(ctx, &plan.Run, err); rejected != nil && !c.returnToSilentServer(ctx) {
			return c.abortStream(rejected)
		}
	}
}

// maxPrefillCalls bounds the prefill calls of one request, since each uses up part of
// the time until the deadline.
const maxPrefillCalls = 2

// mayPrefill reports whether a prefill engine may process the prompt. A second prefill
// call counts as a retry; without it, the decode engine would process a long prompt
// between the events of its running requests. A stream that is resumed after some
// events is prefilled at the decode engine, since the text generated so far belongs to
// its context.
func (c *call) mayPrefill() bool {
	if c.events > 0 {
		return false
	}
	if c.prefillCalls > 0 && (c.prefillCalls >= maxPrefillCalls || !c.g.retryBudgets.takeRetry(c.service.Name, time.Now())) {
		return false
	}
	c.prefillCalls++
	return true
}

// abortStream returns the rejection if no response was started. Otherwise it closes the
// caller's connection, so that the partial response does not look complete.
func (c *call) abortStream(rejected *rejection) *rejection {
	if !c.headerSent {
		return rejected
	}
	if c.held != nil {
		c.held.discard()
		c.w, c.headerSent = c.held.w, false
		return rejected
	}
	c.report(rejected.status, "broken off: "+rejected.reason)
	c.breakOff()
	return nil
}

// streamAttempt runs the request at the backend servers of a plan.
func (c *call) streamAttempt(ctx context.Context, plan *placement.Plan) error {
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.earlierEvents = c.events
	c.runEventAt, c.answerRecorded = time.Time{}, false
	ticket := c.g.deps.Fleet.Send(*plan, &c.placementRequest, time.Now())
	outgoing := OutgoingMetadata{ResumeAfter: c.lastEventID}
	if plan.Fetch != nil && plan.Prefill == nil {
		outgoing.FetchFrom = plan.Fetch.Address
	}
	if plan.Prefill != nil {
		handle, err := c.prefill(attempt, plan, ticket)
		if err != nil {
			c.g.deps.Fleet.Done(ticket, placement.Abandoned, time.Now())
			return err
		}
		outgoing.CacheAddress, outgoing.CacheHandle = plan.Prefill.Address, handle
		if rejected := c.rejectHeldPart(); rejected != nil {
			c.releasePrefill(plan.Prefill, handle)
			c.g.deps.Fleet.Done(ticket, placement.Abandoned, time.Now())
			return errHeldBack
		}
		run, ok := c.g.deps.Fleet.PlaceDecode(ticket, &c.placementRequest, time.Now())
		if !ok {
			c.releasePrefill(plan.Prefill, handle)
			c.g.deps.Fleet.Done(ticket, placement.Abandoned, time.Now())
			return eris.Wrap(errPrefill, "no decode engine is left")
		}
		plan.Run = run
		c.lastPlan.Run = run
	}
	err := c.forwardStream(attempt, cancel, plan, ticket, outgoing)
	if err != nil && plan.Prefill != nil {
		c.releasePrefill(plan.Prefill, outgoing.CacheHandle)
	}
	serverErr := err
	if errors.Is(err, errCallerGone) || errors.Is(err, errForwarded) {
		serverErr = nil
	}
	c.g.deps.Fleet.Done(ticket, c.outcomeOf(ctx, serverErr), time.Now())
	if errors.Is(err, errStalled) {
		c.g.deps.Pool.Invalidate(plan.Run.Address)
	}
	if brokenConnection(ctx, err) {
		c.recordCrash(&plan.Run)
	}
	if err == nil {
		c.recordAnswer()
	}
	return err
}

// brokenConnection reports whether the backend server's side of the connection failed
// while it ran the request, as it does when the server crashes.
func brokenConnection(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	for _, other := range []error{errNotRun, errOtherRequest, errUnsigned, errStalled, errServerFailure, errNoPromise, upstream.ErrInvalid, errConnect, errLeaving, errCallerGone, errForwarded, errNoMemory, membudget.ErrExhausted} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// recordCrash records that the connection to a server broke while it ran the request.
func (c *call) recordCrash(b *placement.Backend) {
	c.g.crashes.add(c.digest, time.Now())
	if c.runEventAt.IsZero() || time.Since(c.runEventAt) < startOfAnswer {
		c.g.quarantine.recordBreak(b, c.shared)
	}
}

// startOfAnswer is the time after the first event of a run within which a part of the
// prompt may crash the engine. An engine that goes on for longer has answered it.
const startOfAnswer = 250 * time.Millisecond

// recordAnswer records, once for a run, that an engine has answered the prompt.
func (c *call) recordAnswer() {
	if !c.answerRecorded {
		c.answerRecorded = true
		c.g.quarantine.recordAnswer(c.shared)
	}
}

// firstEventTimeout returns the time without a first event after which the request may
// be moved to another backend server; 0 if the request cannot be retried.
func (c *call) firstEventTimeout(plan *placement.Plan) time.Duration {
	if !c.route.Repeatable() || c.possibleRuns+1 >= c.route.MaxAttempts || c.returning() {
		return 0
	}
	s := c.g.settings
	return max(s.MinStallTimeout, time.Duration(s.StallTimeoutFactor*float64(plan.Predicted)))
}

// errHeldBack means that a part of the prompt was found to crash engines while the prompt
// was read.
var errHeldBack = errors.New("a part of the prompt is held back")

// eventGapTimeout returns the time without a further event after which the stream may be
// moved to another backend server. What is left of the caller's patience is for the other
// server to read the prompt.
func (c *call) eventGapTimeout() time.Duration {
	s := c.g.settings
	patience := max(s.PatienceTargets*c.route.TargetLatency.Seconds(), s.PatienceGaps*c.route.TargetGap.Seconds())
	factor := min(max(patience/s.MinCallerPatience.Seconds(), 1), s.MaxEventGapFactor)
	return time.Duration(factor * float64(s.EventGapTimeout))
}

// errForwarded means that a backend server's failure was forwarded to the caller.
var errForwarded = errors.New("the backend server's failure was passed on")

// forwardStream sends the request and forwards the events of the response.
func (c *call) forwardStream(ctx context.Context, cancel context.CancelCauseFunc, plan *placement.Plan, ticket *placement.Ticket, o OutgoingMetadata) error {
	watchdog := c.watchForStall(plan.Run.ID, c.firstEventTimeout(plan), cancel)
	defer watchdog.stop()
	resp, err := c.send(ctx, &plan.Run, o)
	if err != nil {
		return attemptError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		return c.handleErrorResponse(ctx, resp, &plan.Run)
	}
	events := newEventReader(resp.Body, c.g.settings.EventBytes, c.responseMemory)
	defer events.free()
	for {
		batch, err := events.next()
		if malformed := slices.IndexFunc(batch, event.malformed); malformed >= 0 {
			batch, err = batch[:malformed], errMalformedEvent
		}
		if len(batch) > 0 {
			if !ticket.FirstEventSeen() {
				c.runEventAt = time.Now()
				c.g.deps.Fleet.FirstEvent(ticket, c.runEventAt)
				c.countUsage()
			} else if time.Since(c.runEventAt) >= startOfAnswer {
				c.recordAnswer()
			}
			// The engine is not silent while the caller is slow to read.
			watchdog.suspend()
			if writeErr := c.forwardEvents(resp, batch); writeErr != nil {
				resp.Abandon()
				return writeErr
			}
			watchdog.reset(c.eventGapTimeout())
		}
		if err == io.EOF {
			return c.finishStream(ctx, resp, events, &plan.Run)
		}
		if err != nil {
			resp.Abandon()
			return attemptError(ctx, readError(err))
		}
	}
}

// finishStream handles the end of a stream, which must not be inside an event. A resumed
// run without events completes the stream, since its engine states that none follow the
// last one. A run without a framing that ends with its connection is whole unless its
// engine has crashed.
func (c *call) finishStream(ctx context.Context, resp *upstream.Response, events *eventReader, run *placement.Backend) error {
	if incomplete := events.incomplete(); len(incomplete) > 0 {
		resp.Abandon()
		return eris.Wrap(errInterrupted, "the stream ended inside an event")
	}
	if !resp.Framed() && (c.events == 0 || c.g.deps.Pool.Refuses(ctx, run.Address)) {
		resp.Abandon()
		return errEndedWithServer
	}
	resp.Release()
	c.startStream(resp)
	// net/http writes the end of the response after the handler has returned.
	c.extendWriteDeadline()
	if c.held != nil {
		return c.held.finish()
	}
	return nil
}

// startStream sends the header of the response to the caller, once.
func (c *call) startStream(resp *upstream.Response) {
	if c.headerSent {
		return
	}
	if !c.r.ProtoAtLeast(1, 1) {
		c.held = newHeldResponse(c.w, c.g.settings.ResponseBytes, c.responseMemory)
		c.w = c.held
	}
	c.copyHeader(resp)
	c.w.WriteHeader(resp.StatusCode)
}

// handleErrorResponse handles a failure that a backend server responded with. It returns
// errServerFailure if the request may be retried or a response to the caller was started,
// and otherwise forwards the failure and returns errForwarded.
func (c *call) handleErrorResponse(ctx context.Context, resp *upstream.Response, run *placement.Backend) error {
	body, err := c.readWhole(ctx, resp, run)
	if err != nil {
		resp.Abandon()
		return attemptError(ctx, err)
	}
	resp.Release()
	c.countUsage()
	if c.headerSent || resp.StatusCode >= 500 && c.route.Repeatable() && c.possibleRuns+1 < c.route.MaxAttempts {
		return eris.Wrapf(errServerFailure, "status %d", resp.StatusCode)
	}
	c.forwardResponse(resp, body)
	return errForwarded
}

// extendWriteDeadline gives the caller WriteTimeout for what is written next.
func (c *call) extendWriteDeadline() {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.g.settings.WriteTimeout)); err != nil {
		c.log.Debug("cannot set the write deadline of the caller's connection", zap.Error(err))
	}
}

// forwardEvents writes complete events to the caller, except those that the caller
// already has.
func (c *call) forwardEvents(resp *upstream.Response, batch []event) error {
	wrote := false
	for _, e := range batch {
		if e.id != "" && !newer(e.id, c.lastEventID) {
			continue
		}
		c.startStream(resp)
		if c.firstByteAt.IsZero() {
			c.firstByteAt = time.Now()
		}
		if !wrote {
			c.extendWriteDeadline()
		}
		if _, err := c.w.Write(e.raw); err != nil {
			return eris.Wrap(errCallerGone, err.Error())
		}
		wrote = true
		c.events++
		if e.id != "" {
			c.lastEventID = e.id
		}
	}
	if !wrote {
		return nil
	}
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return eris.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// prefill has the plan's prefill engine process the prompt and returns the cache
// handle.
func (c *call) prefill(ctx context.Context, plan *placement.Plan, ticket *placement.Ticket) (string, error) {
	b := plan.Prefill
	started := time.Now()
	handle, err := c.sendPrefill(ctx, plan)
	now := time.Now()
	c.prefillDuration = now.Sub(started)
	c.prefillRefused = errors.Is(err, errNotRun)
	if err != nil {
		c.log.Info("prefill failed", zap.String("backend", string(b.ID)), zap.Duration("took", now.Sub(started)), zap.Error(err))
		c.g.deps.Metrics.countFailedAttempt(b.ID, err)
		c.g.deps.Fleet.RecordOutcome(b.ID, c.outcomeOf(ctx, err), now)
		if brokenConnection(ctx, err) {
			c.recordCrash(b)
		}
		return "", eris.Wrap(errPrefill, err.Error())
	}
	c.g.deps.Fleet.PrefillDone(ticket, now)
	c.g.deps.Fleet.RecordOutcome(b.ID, placement.Served, now)
	return handle, nil
}

// errPrefill means that the prefill failed, so that the request was not sent to a
// decode engine.
var errPrefill = errors.New("the prompt could not be read at the prefill engine")

func (c *call) sendPrefill(ctx context.Context, plan *placement.Plan) (string, error) {
	b := plan.Prefill
	o := OutgoingMetadata{PrefillOnly: true}
	if plan.Fetch != nil {
		o.FetchFrom = plan.Fetch.Address
	}
	req, err := c.buildRequest(b, o)
	if err != nil {
		return "", err
	}
	limit := max(c.remaining()/2, c.g.settings.MinStallTimeout)
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errStalled)
	defer cancel()
	conn, err := c.connect(ctx, b.Address, false)
	if err != nil {
		return "", eris.Wrap(errConnect, err.Error())
	}
	if !c.g.deps.Fleet.Usable(b.ID) {
		conn.Unused()
		return "", errLeaving
	}
	c.sentTo = append(c.sentTo, b.Address)
	resp, _, err := conn.Send(ctx, req)
	if err != nil {
		return "", attemptError(ctx, err)
	}
	respMetadata := c.g.deps.Dialect.ResponseMetadata(resp.StatusCode, resp.Header)
	if !belongsTo(c.metadata.ID, resp, respMetadata) {
		resp.Abandon()
		c.g.deps.Pool.Invalidate(b.Address)
		return "", errOtherRequest
	}
	c.g.heedNotices(b, respMetadata, respMetadata.NotRun || resp.StatusCode == http.StatusOK)
	body, err := resp.ReadAll(c.g.settings.ResponseBytes, c.responseMemory)
	if err != nil {
		resp.Abandon()
		return "", attemptError(ctx, err)
	}
	resp.Release()
	if resp.StatusCode != http.StatusOK {
		return "", eris.Wrapf(errNotRun, "status %d", resp.StatusCode)
	}
	return c.g.deps.Dialect.PrefillHandle(body)
}

// releaseTimeout bounds the call that frees the KV cache of a prefill. The engine frees
// an unused one by itself some seconds later.
const releaseTimeout = time.Second

// releasePrefill frees the KV cache of an unused prefill in the background.
func (c *call) releasePrefill(b *placement.Backend, handle string) {
	backend := *b
	log := c.log
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		method, path := c.g.deps.Dialect.ReleaseCall(handle)
		req, err := http.NewRequestWithContext(ctx, method, "http://"+backend.Address+path, nil)
		if err == nil {
			err = c.g.sendAndDiscard(ctx, &backend, req)
		}
		if err != nil {
			log.Debug("cannot release the KV cache of an unused prefill", zap.String("backend", string(backend.ID)), zap.Error(err))
		}
	}()
}

// sendAndDiscard sends a request of the host's own and discards the response. A server that
// wants no requests is sent none.
func (g *Gateway) sendAndDiscard(ctx context.Context, b *placement.Backend, req *http.Request) error {
	conn, err := g.deps.Pool.Get(ctx, b.Address, false)
	if err != nil {
		return err
	}
	if g.deps.Fleet.Paused(b.ID) {
		conn.Unused()
		return errLeaving
	}
	resp, _, err := conn.Send(ctx, req)
	if err != nil {
		return err
	}
	// The request has no id, so that only the first response on a connection is surely its own.
	if resp.FirstOnConnection() {
		g.heedNotices(b, g.deps.Dialect.ResponseMetadata(resp.StatusCode, resp.Header), false)
	}
	if err := resp.Discard(g.settings.ResponseBytes); err != nil {
		resp.Abandon()
		return err
	}
	resp.Release()
	return nil
}
