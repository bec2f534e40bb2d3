package state

import (
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

func idempotencyKey(org model.OrganisationID, key string) string { return string(org) + "\x00" + key }

func (t *Tables) applyIdempotencyClaim(r *logrec.Record, body *logrec.IdempotencyClaim, at position) *void {
	if body.Organisation == "" || body.Key == "" || strings.ContainsRune(string(body.Organisation), 0) {
		return newVoid(ReasonInvalid, "claim without organisation or key")
	}
	key := idempotencyKey(body.Organisation, body.Key)
	// A key whose call is known not to have run can be claimed again, so that
	// the caller can retry the call with the same key.
	if winner, ok := t.idempotency.get(key); ok && !winner.notRun() {
		return &void{reason: ReasonClaimed, detail: "request " + string(winner.RequestID),
			winner: &Winner{TimeMS: winner.ClaimedAt.UnixMilli(), Host: winner.Host}}
	}
	t.idempotency.set(key, IdempotencyEntry{
		IdempotencyClaim: *body, Host: r.Host, Incarnation: r.Incarnation,
		ClaimedAt: time.UnixMilli(at.timeMS).UTC(),
	})
	t.expiry.idempotency.push(at.timeMS, key)
	return nil
}

// notRun reports whether the claimed request is known not to have run and never
// to run later.
func (e *IdempotencyEntry) notRun() bool { return e.Outcome != nil && e.Outcome.Ran == model.NotRun }

// applyIdempotencyOutcome records the response to the request that won the key.
// Only the first response is kept.
func (t *Tables) applyIdempotencyOutcome(r *logrec.Record, body *logrec.IdempotencyOutcome, _ position) *void {
	key := idempotencyKey(body.Organisation, body.Key)
	entry, ok := t.idempotency.get(key)
	if !ok {
		return newVoid(ReasonNoClaim, "")
	}
	if entry.RequestID != body.RequestID || entry.Host != r.Host || entry.Incarnation != r.Incarnation {
		return newVoid(ReasonClaimed, "request "+string(entry.RequestID)+" holds the key")
	}
	if entry.Outcome != nil {
		return newVoid(ReasonClaimed, "the response is already recorded")
	}
	if len(body.Body) > logrec.MaxOutcomeBody {
		return newVoid(ReasonInvalid, "the response is too large")
	}
	entry.Outcome = body
	t.idempotency.set(key, entry)
	return nil
}

// recordedCrash is one crash of a backend server during a request.
type recordedCrash struct {
	TimeMS    int64           `json:"time_ms"`
	RequestID model.RequestID `json:"request_id"`
	Backend   model.BackendID `json:"backend"`
}

// crashRow holds the crashes of one request digest in log time order.
type crashRow struct {
	Crashes []recordedCrash `json:"crashes"`
}

// maxCrashes limits the crashes kept per digest. A few are enough to refuse
// further requests with the digest.
const maxCrashes = 16

func (t *Tables) applyCrash(_ *logrec.Record, body *logrec.Crash, at position) *void {
	if body.Digest == "" {
		return newVoid(ReasonInvalid, "crash without digest")
	}
	known, _ := t.crashes.get(body.Digest)
	for _, c := range known.Crashes {
		if c.RequestID == body.RequestID && c.Backend == body.Backend {
			return newVoid(ReasonDuplicate, "this crash is already counted")
		}
	}
	if len(known.Crashes) >= maxCrashes {
		return newVoid(ReasonInvalid, "enough crashes are counted")
	}
	// Snapshots share the stored slice, so it is copied before the append.
	next := make([]recordedCrash, 0, len(known.Crashes)+1)
	next = append(next, known.Crashes...)
	next = append(next, recordedCrash{TimeMS: at.timeMS, RequestID: body.RequestID, Backend: body.Backend})
	t.crashes.set(body.Digest, crashRow{Crashes: next})
	t.expiry.crashes.push(at.timeMS, body.Digest)
	return nil
}

// expireCrash removes the crashes of a digest up to the time of the item.
func (t *Tables) expireCrash(i expiryItem) {
	known, ok := t.crashes.get(i.key)
	if !ok {
		return
	}
	var kept []recordedCrash
	for _, c := range known.Crashes {
		if c.TimeMS > i.timeMS {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		t.crashes.delete(i.key)
		return
	}
	t.crashes.set(i.key, crashRow{Crashes: kept})
}
