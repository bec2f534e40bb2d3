package orders

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Recovered is the result of Recover.
type Recovered struct {
	// Closed is the number of intents that got a final outcome.
	Closed int
	// Waiting is the number of intents whose end is not known yet.
	Waiting int
	// Replace lists engines that cannot safely receive any order. They have to be
	// drained and replaced.
	Replace []model.BackendID
}

// Recover checks the open intents of a region, except those that this process is
// executing, and closes those whose result it can determine. The holder of the fleet
// shard calls it periodically.
func (e *Executor) Recover(ctx context.Context, region model.RegionID) (Recovered, error) {
	var found Recovered
	shard := state.FleetShard(region)
	for _, intent := range e.config.Authority.Tables().OpenIntents() {
		active, _ := e.status(intent.OrderID)
		if intent.Shard != shard || active {
			continue
		}
		// Authority is checked again for each intent, since the calls take time.
		fence, ok := e.config.Authority.Holds(shard)
		if !ok {
			return found, eris.Wrapf(ErrNoAuthority, "%s", shard)
		}
		var err error
		if intent.Backend == "" {
			err = e.recoverPlatform(ctx, intent, fence, &found)
		} else {
			err = e.recoverEngine(ctx, intent, fence, &found)
		}
		if err != nil {
			return found, err
		}
	}
	return found, nil
}

func (e *Executor) writtenHere(intent state.OpenIntent) bool {
	return intent.Host == e.config.Host && intent.Incarnation == e.config.Incarnation
}

func (e *Executor) closeIntent(ctx context.Context, intent state.OpenIntent, fence model.Offset, r Result, found *Recovered) error {
	found.Closed++
	return e.logOutcome(ctx, intent.Shard, fence, r)
}

// recoverPlatform closes an intent for the platform once its result is known. An
// order that the platform does not know is sent again with its original order id and
// the fencing token of this host. It takes effect once, whether or not the earlier
// copy arrives.
func (e *Executor) recoverPlatform(ctx context.Context, intent state.OpenIntent, fence model.Offset, found *Recovered) error {
	if _, sent := e.status(intent.OrderID); e.writtenHere(intent) && !sent {
		return e.closeIntent(ctx, intent, fence, Result{OrderID: intent.OrderID, Result: logrec.ResultNotSent}, found)
	}
	status, err := e.queryPlatform(ctx, intent.OrderID)
	if errors.Is(err, platform.ErrUnknown) {
		var order platform.BackendOrder
		if decodeErr := json.Unmarshal(intent.Order, &order); decodeErr != nil {
			return eris.Wrapf(decodeErr, "order %s", intent.OrderID)
		}
		if now, ok := e.config.Authority.Holds(intent.Shard); !ok || now != fence {
			return eris.Wrapf(ErrNoAuthority, "%s", intent.Shard)
		}
		order.Host, order.Fence = e.config.Host, fence
		status, err = e.postPlatformOrder(ctx, order)
	}
	r, ok := platformResult(intent.OrderID, status, err)
	if !ok {
		found.Waiting++
		return nil
	}
	return e.closeIntent(ctx, intent, fence, r, found)
}

func (e *Executor) recoverEngine(ctx context.Context, intent state.OpenIntent, fence model.Offset, found *Recovered) error {
	location, ok := e.config.Locate(intent.Backend)
	if !ok {
		found.Waiting++
		return nil
	}
	if location.Gone {
		r := Result{OrderID: intent.OrderID, Result: logrec.ResultRefused, Detail: "the engine is gone"}
		return e.closeIntent(ctx, intent, fence, r, found)
	}
	progress, r := e.queryProgress(ctx, location.URL, intent.OrderID)
	if progress == ended {
		return e.closeIntent(ctx, intent, fence, r, found)
	}
	_, maybeSent := e.status(intent.OrderID)
	// The tables are read after the engine was queried. A sender that is gone by now
	// may have sent the order in between, so the engine is queried again.
	gone := !e.writtenHere(intent) && e.config.Authority.Tables().Departed(intent.Host, intent.Incarnation)
	if gone && progress == orderUnknown {
		progress, r = e.queryProgress(ctx, location.URL, intent.OrderID)
		if progress == ended {
			return e.closeIntent(ctx, intent, fence, r, found)
		}
	}
	return e.applyRecovery(ctx, e.decideRecovery(recoveryInput{
		intent: intent, fence: fence, writtenHere: e.writtenHere(intent), maybeSent: maybeSent, senderGone: gone,
		checksFencing: location.ChecksFencing, progress: progress,
	}), intent, fence, found)
}

// queryProgress queries an engine for the progress and the result of an order.
func (e *Executor) queryProgress(ctx context.Context, url, orderID string) (orderProgress, Result) {
	status, err := e.queryEngine(ctx, url, orderID)
	switch {
	case errors.Is(err, ErrOrderUnknown):
		return orderUnknown, Result{}
	case err != nil:
		return noResponse, Result{}
	}
	progress, result, detail := parseOrderStatus(status)
	return progress, Result{OrderID: orderID, Result: result, Detail: detail}
}

func (e *Executor) applyRecovery(ctx context.Context, r recoveryAction, intent state.OpenIntent, fence model.Offset, found *Recovered) error {
	switch r {
	case closeNotSent:
		return e.closeIntent(ctx, intent, fence, Result{OrderID: intent.OrderID, Result: logrec.ResultNotSent, Detail: "not known to the engine"}, found)
	case markUnknown:
		found.Waiting++
		return e.logOutcome(ctx, intent.Shard, fence, Result{OrderID: intent.OrderID, Result: logrec.ResultUnknown, Detail: "the sender did not record a result"})
	case renewClaim:
		found.Waiting++
		_, err := e.config.Authority.RenewClaim(ctx, intent.Shard)
		return err
	case replaceEngine:
		found.Replace = append(found.Replace, intent.Backend)
	case retryLater:
		found.Waiting++
	case allowNewOrder:
	}
	return nil
}
