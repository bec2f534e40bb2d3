package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

const (
	// maxIdempotencyKeyBytes bounds an idempotency key. Every host stores all
	// keys.
	maxIdempotencyKeyBytes = 255
	// headerIdempotencyKeyExpires is the time until which a duplicate of the call
	// is recognised.
	headerIdempotencyKeyExpires = "Idempotency-Key-Expires"
	// headerReplayed marks the recorded response of an earlier call.
	headerReplayed = "Idempotency-Replayed"
	// claimSlack is added to the time limit of a call. A claim that has no
	// outcome after this time no longer counts as running. The slack covers the
	// append and the difference between the clocks of the platform and this host.
	claimSlack = 30 * time.Second
)

// If the append of a claim gets no response, the claim may still appear in the
// log. The host polls for it every lateClaimPollInterval until lateClaimTimeout,
// which covers a log outage of some minutes. It polls for at most maxLateClaims
// at a time; a host makes about 50 calls a second.
const (
	maxLateClaims         = 1000
	lateClaimTimeout      = 10 * time.Minute
	lateClaimPollInterval = 250 * time.Millisecond
)

// errClaimLost means that another request claimed the key first.
var errClaimLost = errors.New("idempotency key is claimed by another request")

// keyedCall is a non-idempotent call with an idempotency key.
type keyedCall struct {
	h   *Handler
	c   *call
	key string
	atmostonce.KeyCall
}

// runKeyed claims the key in the log, runs the call if its claim is the first,
// and records the outcome.
func (h *Handler) runKeyed(ctx context.Context, c *call) error {
	k := h.newKeyedCall(c)
	entry, err := k.claim(ctx)
	if errors.Is(err, errClaimLost) {
		h.releaseSelection(c.initialSelection)
		return k.handleDuplicate(entry)
	}
	if err != nil {
		h.releaseSelection(c.initialSelection)
		return err
	}
	k.setExpiry(entry.ClaimedAt)
	return k.run(ctx)
}

// handleKnownIdempotencyKey responds to a duplicate of a call before the rate
// limit applies. A duplicate rejected by the rate limit would be reported as not
// run although the first call may have run.
func (h *Handler) handleKnownIdempotencyKey(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		if c.route.Kind != model.RouteService || c.idempotent() || c.r.Header.Get(headerIdempotencyKey) == "" {
			return next(ctx, request)
		}
		k := h.newKeyedCall(c)
		if err := k.validateIdempotencyKey(); err != nil {
			return nil, err
		}
		entry, step := k.nextStep()
		if step == atmostonce.KeyClaim {
			return next(ctx, request)
		}
		return nil, k.handleDuplicate(entry)
	}
}

func (h *Handler) newKeyedCall(c *call) *keyedCall {
	k := &keyedCall{h: h, c: c, key: c.r.Header.Get(headerIdempotencyKey)}
	k.RequestID = c.id
	k.Digest = atmostonce.CallDigest(c.r.Method, c.r.URL.RequestURI(), c.body)
	k.RunLimit = h.settings.ServiceTimeout + claimSlack
	return k
}

func (k *keyedCall) validateIdempotencyKey() error {
	if k.c.org == "" {
		// Callers of a public route would see each other's responses.
		return newRejection(http.StatusBadRequest, model.CodeBadRequest, "idempotency keys need a route with a key")
	}
	if len(k.key) > maxIdempotencyKeyBytes || len(k.c.r.Header.Values(headerIdempotencyKey)) > 1 {
		return newRejection(http.StatusBadRequest, model.CodeBadRequest, "the idempotency key is too long or given twice")
	}
	return nil
}

func (k *keyedCall) nextStep() (state.IdempotencyEntry, atmostonce.KeyStep) {
	view := k.h.deps.View()
	entry, found := view.Idempotency(k.c.org, k.key)
	k.Now = time.Now()
	k.Members = view.Members()
	return entry, atmostonce.NextKeyStep(entry, found, k.KeyCall)
}

// claim returns nil if this request's claim is the first. Otherwise it returns
// errClaimLost with the earlier entry, or the error of a call that was not run.
func (k *keyedCall) claim(ctx context.Context) (state.IdempotencyEntry, error) {
	entry, step := k.nextStep()
	if step != atmostonce.KeyClaim {
		return entry, errClaimLost
	}
	record, err := logrec.New(logrec.KindIdempotencyClaim, logrec.IdempotencyClaim{
		Organisation: k.c.org, Key: k.key, RequestID: k.c.id, Digest: k.Digest,
	})
	if err != nil {
		return entry, eris.Wrap(err, "claim idempotency key")
	}
	if err := k.h.appendOnce(ctx, record); err != nil {
		if !errors.Is(err, platform.ErrRateLimited) {
			k.releaseLateClaim()
		}
		return entry, k.logUnavailableError()
	}
	entry, step = k.nextStep()
	switch step {
	case atmostonce.KeyRun:
		return entry, nil
	case atmostonce.KeyClaim:
		// Another claim came first, but its call was not run either.
		return entry, newRejectionWithRetry(http.StatusConflict, model.CodeInProgress,
			"another call with this idempotency key came in between and was not run", k.h.settings.RetryAfter)
	}
	return entry, errClaimLost
}

func (k *keyedCall) logUnavailableError() error {
	return newRejectionWithRetry(http.StatusServiceUnavailable, model.CodeLogUnavailable,
		"the idempotency key cannot be recorded now", k.h.settings.RetryAfter)
}

// run sends the call once its claim is the first.
func (k *keyedCall) run(ctx context.Context) error {
	h, c := k.h, k.c
	if err := h.recheckKey(c); err != nil {
		h.releaseSelection(c.initialSelection)
		k.recordOutcome(logrec.IdempotencyOutcome{Ran: model.NotRun})
		return err
	}
	response, err := h.callService(ctx, c)
	if err != nil {
		k.recordOutcome(logrec.IdempotencyOutcome{Ran: c.outcome.Ran(), Truncated: true})
		return err
	}
	defer response.close()
	h.reportService(c)
	k.recordResponse(response)
	return h.relayResponse(c, response)
}

func (k *keyedCall) recordResponse(r *serviceResponse) {
	outcome := logrec.IdempotencyOutcome{
		Ran:         model.WasRun,
		Status:      r.status,
		ContentType: r.header.Get("Content-Type"),
		Body:        r.buffered,
	}
	if r.remainder != nil || r.unframed || len(r.buffered) > logrec.MaxOutcomeBody {
		outcome.Body = nil
		outcome.Truncated = true
	}
	k.recordOutcome(outcome)
}

// recordOutcome logs the outcome in the background. Until it is logged,
// duplicates are told that the call is in progress.
func (k *keyedCall) recordOutcome(outcome logrec.IdempotencyOutcome) {
	outcome.Organisation, outcome.Key, outcome.RequestID = k.c.org, k.key, k.c.id
	k.h.appendInBackground(logrec.KindIdempotencyOutcome, outcome)
}

// releaseLateClaim waits until a claim whose append got no response appears in
// the log, and records that its call was not run: without an outcome the claim
// would block the key. The outcome must follow the claim in the log, or it would
// be ignored.
func (k *keyedCall) releaseLateClaim() {
	h := k.h
	if h.pendingLateClaims.Add(1) > maxLateClaims {
		h.pendingLateClaims.Add(-1)
		return
	}
	h.background.Go(func() {
		defer h.pendingLateClaims.Add(-1)
		for waited := time.Duration(0); waited < lateClaimTimeout; waited += lateClaimPollInterval {
			entry, found := h.deps.View().Idempotency(k.c.org, k.key)
			if found && entry.RequestID == k.c.id {
				k.recordOutcome(logrec.IdempotencyOutcome{Ran: model.NotRun})
			}
			if found {
				return
			}
			select {
			case <-time.After(lateClaimPollInterval):
			case <-h.calls.drainStarted:
				return
			}
		}
	})
}

// setExpiry states in the response how long duplicates are recognised.
func (k *keyedCall) setExpiry(claimed time.Time) {
	lifetime := atmostonce.KeyLifetime(k.h.settings.IdempotencyRetention, k.h.settings.LogRetention)
	k.c.w.Header().Set(headerIdempotencyKeyExpires, claimed.Add(lifetime).UTC().Format(time.RFC3339))
}

// handleDuplicate responds to a call whose key another request has claimed.
// This call was not sent; the response states what became of the first.
func (k *keyedCall) handleDuplicate(entry state.IdempotencyEntry) error {
	k.setExpiry(entry.ClaimedAt)
	retryAfter := k.h.settings.RetryAfter
	switch step := atmostonce.NextKeyStep(entry, true, k.KeyCall); step {
	case atmostonce.KeyReplay:
		return k.replay(entry.Outcome)
	case atmostonce.KeyTruncated:
		return outcomeError(http.StatusConflict, model.CodeOutcomeUnknown, model.WasRun,
			"the call ran, but its answer was not kept; ask for the status", 0)
	case atmostonce.KeyInProgress:
		return outcomeError(http.StatusConflict, model.CodeInProgress, model.RanUnknown,
			"a call with this idempotency key is in progress", retryAfter)
	case atmostonce.KeyMismatch:
		return newRejection(http.StatusUnprocessableEntity, model.CodeIdempotencyMismatch,
			"the idempotency key was used for another call")
	default:
		return outcomeError(http.StatusConflict, model.CodeOutcomeUnknown, model.RanUnknown,
			"the outcome of the call with this idempotency key is unknown; ask for the status", 0)
	}
}

func (k *keyedCall) replay(outcome *logrec.IdempotencyOutcome) error {
	if !upstream.ValidStatus(outcome.Status) {
		// Earlier versions recorded any status.
		return outcomeError(http.StatusConflict, model.CodeOutcomeUnknown, model.WasRun,
			"the call ran, but its answer was not valid; ask for the status", 0)
	}
	header := k.c.w.Header()
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	header.Set(headerReplayed, "true")
	k.c.w.WriteHeader(outcome.Status)
	out := &deadlineWriter{c: k.c, timeout: k.h.settings.WriteTimeout}
	if _, err := out.Write(outcome.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
