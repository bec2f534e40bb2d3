package state

import (
	"strings"

	"github.com/redwingpath/redwingpath/pkg/logrec"
)

// applyIntent opens an intent. An engine has at most one open intent. A second
// one is void, unless the result of the first was recorded as unknown and the
// writer claimed the shard later than the writer of the first.
func (t *Tables) applyIntent(r *logrec.Record, body *logrec.Intent, at position) *void {
	if v := t.requireHolder(r); v != nil {
		return v
	}
	if body.OrderID == "" || !strings.HasPrefix(string(r.Shard), fleetPrefix) {
		return newVoid(ReasonInvalid, "an intent needs an order id and a fleet shard")
	}
	if _, open := t.intents.get(body.OrderID); open {
		return newVoid(ReasonInvalid, "the order id is in use")
	}
	backend := string(body.Backend)
	if backend != "" {
		if previous, ok := t.openIntent(backend); ok {
			if !previous.Unknown || previous.Fence >= r.Fence {
				return &void{reason: ReasonIntentOpen, detail: "order " + previous.OrderID,
					winner: &Winner{Offset: previous.Offset, Host: previous.Host}}
			}
			t.intents.delete(previous.OrderID)
		}
		t.intentByBackend.set(backend, body.OrderID)
	}
	t.intents.set(body.OrderID, OpenIntent{
		Intent: *body, Shard: r.Shard, Fence: r.Fence,
		Host: r.Host, Incarnation: r.Incarnation, Offset: at.offset,
	})
	return nil
}

func (t *Tables) openIntent(backend string) (OpenIntent, bool) {
	orderID, ok := t.intentByBackend.get(backend)
	if !ok {
		return OpenIntent{}, false
	}
	return t.intents.get(orderID)
}

// applyOutcome records the result of an order and closes its intent unless the
// result is unknown. The writer of the intent may always do so; other hosts must
// hold the shard.
func (t *Tables) applyOutcome(r *logrec.Record, body *logrec.Outcome, _ position) *void {
	intent, ok := t.intents.get(body.OrderID)
	if !ok {
		return newVoid(ReasonNoIntent, "")
	}
	if r.Host != intent.Host || r.Incarnation != intent.Incarnation {
		if r.Shard != intent.Shard {
			return newVoid(ReasonNotHolder, "the outcome names another shard")
		}
		if v := t.requireHolder(r); v != nil {
			return v
		}
	}
	switch body.Result {
	case logrec.ResultUnknown:
		intent.Unknown = true
		t.intents.set(body.OrderID, intent)
	case logrec.ResultDone, logrec.ResultRefused, logrec.ResultNotSent:
		t.intents.delete(body.OrderID)
		if id, _ := t.intentByBackend.get(string(intent.Backend)); id == intent.OrderID {
			t.intentByBackend.delete(string(intent.Backend))
		}
	default:
		return newVoid(ReasonInvalid, "unknown result")
	}
	return nil
}
