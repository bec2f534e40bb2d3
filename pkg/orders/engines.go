package orders

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// engineClient implements Engines with an engine.Client and returns the errors of
// this package.
type engineClient struct {
	client *engine.Client
}

// NewEngines returns Engines that use an engine client.
func NewEngines(c *engine.Client) Engines { return engineClient{client: c} }

// Order implements Engines.
func (e engineClient) Order(ctx context.Context, url string, order engine.Order) (engine.OrderStatus, error) {
	status, err := e.client.Order(ctx, url, order)
	return status, sentinelForStatus(err, http.StatusConflict, ErrOrderRefused)
}

// OrderStatus implements Engines.
func (e engineClient) OrderStatus(ctx context.Context, url, orderID string) (engine.OrderStatus, error) {
	status, err := e.client.OrderStatus(ctx, url, orderID)
	return status, sentinelForStatus(err, http.StatusNotFound, ErrOrderUnknown)
}

// sentinelForStatus replaces the error for a response with a status by a sentinel. It
// returns other errors as they are; they mean that nothing is known about the order.
func sentinelForStatus(err error, status int, sentinel error) error {
	var statusErr *engine.StatusError
	if errors.As(err, &statusErr) && statusErr.Status == status {
		return eris.Wrapf(sentinel, "%v", err)
	}
	return err
}
