package orders

import (
	"context"
	"errors"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/pause"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// sendToEngine sends an order once and polls its status until the order has ended.
func (e *Executor) sendToEngine(ctx context.Context, url string, order engine.Order) Result {
	r := Result{OrderID: order.OrderID}
	deadline := time.Now().Add(e.config.CompletionTimeout)
	status, err := e.callEngine(ctx, func(ctx context.Context) (engine.OrderStatus, error) {
		return e.config.Engines.Order(ctx, url, order)
	})
	if errors.Is(err, ErrOrderRefused) {
		r.Result, r.Detail = logrec.ResultRefused, err.Error()
		return r
	}
	for {
		var progress orderProgress
		if err == nil {
			progress, r.Result, r.Detail = parseOrderStatus(status)
		}
		if progress == ended {
			return r
		}
		if time.Now().After(deadline) || pause.For(ctx, pollInterval) != nil {
			r.Result, r.Detail = logrec.ResultUnknown, "the engine has not reported the end of the order"
			return r
		}
		status, err = e.queryEngine(ctx, url, order.OrderID)
	}
}

func (e *Executor) queryEngine(ctx context.Context, url, orderID string) (engine.OrderStatus, error) {
	return e.callEngine(ctx, func(ctx context.Context) (engine.OrderStatus, error) {
		return e.config.Engines.OrderStatus(ctx, url, orderID)
	})
}

func (e *Executor) callEngine(ctx context.Context, call func(context.Context) (engine.OrderStatus, error)) (engine.OrderStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, e.config.CallTimeout)
	defer cancel()
	return call(ctx)
}

// sendToPlatform sends an order once and polls its status until the platform has
// accepted or refused it. The platform executes an order id only once, so Recover may
// send an order again that the platform does not know.
func (e *Executor) sendToPlatform(ctx context.Context, order platform.BackendOrder) Result {
	deadline := time.Now().Add(e.config.CompletionTimeout)
	status, err := e.postPlatformOrder(ctx, order)
	for {
		if r, ok := platformResult(order.OrderID, status, err); ok {
			return r
		}
		if time.Now().After(deadline) || pause.For(ctx, pollInterval) != nil {
			return Result{OrderID: order.OrderID, Result: logrec.ResultUnknown, Detail: "the platform has not responded"}
		}
		status, err = e.queryPlatform(ctx, order.OrderID)
		if errors.Is(err, platform.ErrUnknown) {
			return Result{OrderID: order.OrderID, Result: logrec.ResultUnknown, Detail: "the platform does not know the order yet"}
		}
	}
}

// platformResult returns the result of an order and reports whether the platform has
// sent one.
func platformResult(orderID string, status platform.BackendOrderStatus, err error) (Result, bool) {
	switch {
	case err == nil && status.Accepted:
		return Result{OrderID: orderID, Result: logrec.ResultDone, Detail: status.Reason, Backends: status.Backends}, true
	case err == nil:
		return Result{OrderID: orderID, Result: logrec.ResultRefused, Detail: status.Reason}, true
	case errors.Is(err, platform.ErrRefused):
		return Result{OrderID: orderID, Result: logrec.ResultRefused, Detail: err.Error()}, true
	default:
		return Result{}, false
	}
}

func (e *Executor) postPlatformOrder(ctx context.Context, order platform.BackendOrder) (platform.BackendOrderStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, e.config.CallTimeout)
	defer cancel()
	return e.config.Fleet.Order(ctx, order)
}

func (e *Executor) queryPlatform(ctx context.Context, orderID string) (platform.BackendOrderStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, e.config.CallTimeout)
	defer cancel()
	return e.config.Fleet.OrderStatus(ctx, orderID)
}
