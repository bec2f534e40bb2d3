// Package orders sends orders to engines and to the platform. Only the holder of the
// fleet shard of a region sends them. The package logs the intent before it sends an
// order, and the outcome afterwards.
package orders

import (
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// orderProgress is what an engine reports about an order.
type orderProgress int

const (
	// noResponse means that the engine did not respond, or not with a known state.
	noResponse orderProgress = iota
	// orderUnknown means that the engine has no such order. A copy may still be
	// in transit.
	orderUnknown
	// inProgress means that the engine is executing the order.
	inProgress
	// ended means that the engine has finished or refused the order.
	ended
)

// Values of engine.OrderStatus.State.
const (
	stateAccepted = "accepted"
	stateDone     = "done"
	stateFailed   = "failed"
	stateRefused  = "refused"
)

// parseOrderStatus converts the status of an order into its progress, its result and
// the detail of the result.
func parseOrderStatus(s engine.OrderStatus) (orderProgress, logrec.OrderResult, string) {
	switch s.State {
	case stateDone:
		return ended, logrec.ResultDone, s.Reason
	case stateFailed:
		return ended, logrec.ResultRefused, "failed: " + s.Reason
	case stateRefused:
		return ended, logrec.ResultRefused, s.Reason
	case stateAccepted:
		return inProgress, "", ""
	default:
		return noResponse, "", ""
	}
}

// recoveryAction is what to do about an open intent that this process is not
// executing.
type recoveryAction int

const (
	// retryLater checks the intent again later.
	retryLater recoveryAction = iota
	// closeNotSent closes the intent as not sent: the engine has not received the
	// order and never will.
	closeNotSent
	// markUnknown records that the result is unknown.
	markUnknown
	// renewClaim claims the shard again to get a fencing token above that of the
	// intent. After a new order with this token, the engine refuses the old one.
	renewClaim
	// replaceEngine reports that the engine has to be drained and replaced, since
	// no order can be sent safely.
	replaceEngine
	// allowNewOrder lets a new order supersede the intent.
	allowNewOrder
)

// recoveryInput is the input of decideRecovery for an order whose end the engine has
// not reported.
type recoveryInput struct {
	intent state.OpenIntent
	// fence is the fencing token with which this host holds the shard.
	fence model.Offset
	// writtenHere reports whether this process wrote the intent, and maybeSent
	// whether it may have sent the order.
	writtenHere, maybeSent bool
	// senderGone reports whether the process that wrote the intent is known to be
	// gone.
	senderGone    bool
	checksFencing bool
	progress      orderProgress
}

// decideRecovery returns the action for an open intent; see section 8 of the design
// page. A copy of the order may still be in transit. An engine that checks fencing
// tokens refuses this copy after it has seen a higher token. On other engines the
// copy may arrive at any time as long as its sender may exist; neither a timeout nor
// sending the order again is safe.
func decideRecovery(s recoveryInput) recoveryAction {
	switch {
	case s.writtenHere && !s.maybeSent:
		return closeNotSent
	case s.progress == inProgress:
		return retryLater
	case s.senderGone && s.progress == orderUnknown:
		return closeNotSent
	case s.checksFencing && !s.intent.Unknown:
		return markUnknown
	case s.checksFencing && s.intent.Fence >= s.fence:
		return renewClaim
	case s.checksFencing:
		return allowNewOrder
	case s.senderGone:
		return retryLater
	case !s.intent.Unknown:
		return markUnknown
	default:
		return replaceEngine
	}
}

// maySupersede reports whether a new order may be sent to an engine that has an open
// intent.
func maySupersede(intent state.OpenIntent, fence model.Offset, checksFencing bool) bool {
	return checksFencing && intent.Unknown && intent.Fence < fence
}
