package enginesim

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/record"
)

// States of engine.OrderStatus.
const (
	orderAccepted = "accepted"
	orderDone     = "done"
	orderFailed   = "failed"
	orderRefused  = "refused"
)

// StartOrderID is the order ID in the events of the model load that an engine runs at its start.
const StartOrderID = "start"

const (
	// maxQueuedOrders bounds the accepted orders that wait for an earlier one to end.
	maxQueuedOrders = 64
	// weightFetchTimeout is how long an order tries to fetch its weights before it fails.
	weightFetchTimeout = 60 * time.Second
	// weightFetchRetryInterval is the time between fetch attempts, for example while
	// the weight store refuses them over its rate limit.
	weightFetchRetryInterval = 500 * time.Millisecond
)

func (e *Engine) serveOrder(w http.ResponseWriter, q *http.Request) {
	var order engine.Order
	if !decodeBody(w, q, &order) {
		return
	}
	delay, lose := e.orderFaults()
	e.pause(delay)
	status, code := e.submitOrder(order)
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, code, status)
}

// orderFaults returns the delay of the next order and whether its response is
// lost. It uses up one of the lost responses.
func (e *Engine) orderFaults() (delay time.Duration, lose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		lose = true
	}
	return milliseconds(e.faults.OrderDelayMS), lose
}

// submitOrder queues or refuses an order. A repeated order ID returns the current status.
func (e *Engine) submitOrder(order engine.Order) (engine.OrderStatus, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if status, known := e.orders[order.OrderID]; known {
		return *status, http.StatusOK
	}
	status := &engine.OrderStatus{Order: order, State: orderAccepted}
	code := http.StatusOK
	switch {
	case order.OrderID == "":
		status.State, status.Reason, code = orderRefused, "no order id", http.StatusBadRequest
	case e.config.ChecksFencing && order.Fence < e.state.Fence:
		status.State, status.Reason, code = orderRefused, "old fencing number", http.StatusConflict
	case len(e.orderQueue) == cap(e.orderQueue):
		status.State, status.Reason, code = orderRefused, "too many orders", http.StatusTooManyRequests
	}
	if status.State == orderRefused {
		e.recordOrder(record.OrderRefused, &order, status.Reason)
		return *status, code
	}
	e.state.Fence = max(e.state.Fence, order.Fence)
	e.orders[order.OrderID] = status
	e.orderQueue <- status
	e.pendingOrders++
	e.recordOrder(record.OrderAccepted, &order, "")
	return *status, code
}

// executeOrders executes the accepted orders one after the other until the engine is closed.
func (e *Engine) executeOrders() {
	defer e.workers.Done()
	for {
		select {
		case status := <-e.orderQueue:
			e.executeOrder(status)
		case <-e.stop:
			return
		}
	}
}

func (e *Engine) executeOrder(status *engine.OrderStatus) {
	crashCount := e.beginOrder(status)
	err := e.apply(&status.Order)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingOrders--
	e.outOfService = false
	switch {
	case crashCount != e.crashCount:
		status.State, status.Reason = orderFailed, "engine crashed during the order"
	case err != nil:
		status.State, status.Reason = orderFailed, err.Error()
	default:
		e.updateState(&status.Order)
		status.State = orderDone
	}
	e.recordOrder(record.OrderEnded, &status.Order, status.State)
	e.work.Broadcast()
}

func (e *Engine) recordOrder(kind record.Kind, o *engine.Order, detail string) {
	e.recorder.AddValue(record.Event{Kind: kind, Component: string(e.id.Backend), Detail: detail}, o)
}

// beginOrder takes the engine out of service for a role change or model load,
// which also aborts all its requests. It returns the crash count, by which
// executeOrder detects a crash during the order.
func (e *Engine) beginOrder(status *engine.OrderStatus) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordOrder(record.OrderApplied, &status.Order, "")
	if status.Order.Kind == engine.OrderSetRole || status.Order.Kind == engine.OrderLoadModel {
		e.outOfService = true
		e.abortAll()
	}
	return e.crashCount
}

// apply simulates the work of an order: the weight fetch and the time it takes.
func (e *Engine) apply(o *engine.Order) error {
	switch o.Kind {
	case engine.OrderSetRole:
		e.pause(milliseconds(e.config.RoleChangeMS))
	case engine.OrderLoadModel:
		if err := e.fetchWeights(o); err != nil {
			return err
		}
		e.pause(milliseconds(e.config.LoadModelMS))
	case engine.OrderLoadAdapter:
		if err := e.fetchWeights(o); err != nil {
			return err
		}
		e.pause(milliseconds(e.config.LoadAdapterMS))
	case engine.OrderUnloadAdapter:
	default:
		return eris.Errorf("unknown kind of order %q", o.Kind)
	}
	return nil
}

// updateState applies the result of an executed order to the engine's state. The
// caller holds e.mu.
func (e *Engine) updateState(o *engine.Order) {
	switch o.Kind {
	case engine.OrderSetRole:
		e.state.Role = o.Role
	case engine.OrderLoadModel:
		if o.Model != "" {
			e.state.Model = o.Model
		}
		e.state.Version = o.Version
		e.cache.clear()
	case engine.OrderLoadAdapter:
		if !slices.Contains(e.state.Adapters, o.Adapter) {
			e.state.Adapters = append(slices.Clone(e.state.Adapters), o.Adapter)
		}
	case engine.OrderUnloadAdapter:
		e.state.Adapters = slices.DeleteFunc(slices.Clone(e.state.Adapters), func(a string) bool { return a == o.Adapter })
	}
}

// fetchWeights requests the weights until the weight store accepts the fetch. It gives
// up after weightFetchTimeout.
func (e *Engine) fetchWeights(o *engine.Order) error {
	if e.id.WeightStoreURL == "" {
		return nil
	}
	body, err := json.Marshal(platform.WeightFetch{
		Backend: e.id.Backend, Model: model.PoolName(o.Model), Adapter: o.Adapter, Version: o.Version,
	})
	if err != nil {
		return eris.Wrap(err, "encode weight fetch")
	}
	deadline := time.Now().Add(weightFetchTimeout)
	for time.Now().Before(deadline) {
		response, err := e.client.Post(e.id.WeightStoreURL+platform.PathWeightsFetch, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !e.pause(weightFetchRetryInterval) {
			break
		}
	}
	return eris.New("the weight store accepted no fetch of the weights")
}

// pause waits for a duration and reports whether the engine stayed open for all of it.
func (e *Engine) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-e.stop:
		return false
	}
}

func (e *Engine) serveOrderStatus(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	status, known := e.orders[q.URL.Query().Get("order_id")]
	var found engine.OrderStatus
	if known {
		found = *status
	}
	e.mu.Unlock()
	if !known {
		http.Error(w, "order not known", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := e.state
	s.Changing = e.pendingOrders > 0
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}
