package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// A request at a server that makes no progress is moved only if another one can still
// serve it in time: the server may be slow but healthy, and cancelling the attempt would
// waste the work that it has done.

// meanDurationWeight is the weight of a new value in the moving average.
const meanDurationWeight = 1.0 / 32

// meanDurations keeps a moving average of the duration of plain calls for each service.
// It is safe for concurrent use.
type meanDurations struct {
	mu   sync.Mutex
	mean map[model.PoolName]time.Duration
}

// add records the duration of a call, or how long it had run when it was cancelled.
func (u *meanDurations) add(service model.PoolName, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	mean, known := u.mean[service]
	if !known {
		if u.mean == nil {
			u.mean = map[model.PoolName]time.Duration{}
		}
		u.mean[service] = took
		return
	}
	u.mean[service] = mean + time.Duration(meanDurationWeight*float64(took-mean))
}

// get returns the average duration, 0 if none is known.
func (u *meanDurations) get(service model.PoolName) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mean[service]
}

// plainStallTimeout returns the time without a response after which a repeatable plain
// call may be moved to another backend server: half of the remaining time, or more if
// the call is predicted to take longer or calls of the service usually do.
func (c *call) plainStallTimeout(plan *placement.Plan) time.Duration {
	typicalDuration := time.Duration(c.g.settings.StallTimeoutFactor * float64(c.g.typicalDuration.get(c.service.Name)))
	return max(c.remaining()/2, 2*plan.Predicted, typicalDuration)
}

// mayMoveRequest reports whether a request may be moved away from a server that makes
// no progress: another one is expected to serve it in time, and the retry budget allows
// two retries. It takes one and reserves the other for the way back, if the other server
// does not serve the request.
func (c *call) mayMoveRequest(server model.BackendID, request *placement.Request) bool {
	now := time.Now()
	if c.g.quarantine.holding(c.shared) != nil {
		// No server may be sent the request.
		return false
	}
	if c.g.deps.Fleet.Leaves(server) {
		// It completes what it runs, but the request could not return to it.
		return false
	}
	if !c.g.deps.Fleet.HasTurn(server) {
		// The limit of the server would not let the request return to it.
		return false
	}
	plan, ok := c.g.deps.Fleet.Place(request, now)
	if !ok || plan.Predicted > time.Duration(c.g.settings.MaxPredictedShare*float64(c.remaining())) {
		return false
	}
	if !c.g.retryBudgets.takeRetryAndReserve(c.service.Name, now) {
		return false
	}
	c.reserved.Store(true)
	return true
}

// maxReturns bounds the returns of a request to silent servers.
const maxReturns = 3

// leftServer is a server that was left because it was silent.
type leftServer struct {
	id model.BackendID
	// reserved is set if a retry is reserved for the way back.
	reserved bool
	// attempts is the number of attempts made when the server was left.
	attempts int
}

// leaveServer records that the request has left a silent server. After a return that
// found no connection, the retry for the way back is already counted, until an attempt
// elsewhere uses it.
func (c *call) leaveServer(id model.BackendID) {
	c.leftServers = append(c.leftServers, leftServer{id, c.reserved.Swap(false), c.attempts})
}

// takeReturn takes the retry for a return to a silent server from the budget.
func (c *call) takeReturn(left leftServer) bool {
	now := time.Now()
	if left.reserved {
		c.g.retryBudgets.useReservation(c.service.Name, now)
		return true
	}
	return c.attempts == left.attempts || c.g.retryBudgets.takeRetry(c.service.Name, now)
}

// returnToSilentServer prepares another attempt at the server that the request has left
// last because it was silent: a sound server goes on after a pause. It reports false if
// there is no such server. It is called when no other server serves the request.
func (c *call) returnToSilentServer(ctx context.Context) bool {
	for ctx.Err() == nil && len(c.leftServers) > 0 && c.returns < maxReturns {
		left := c.leftServers[len(c.leftServers)-1]
		id := left.id
		c.leftServers = c.leftServers[:len(c.leftServers)-1]
		if !c.g.deps.Fleet.Accepts(id) || !c.startRetry() {
			if left.reserved {
				c.g.retryBudgets.releaseReservation(c.service.Name)
			}
			continue
		}
		if !c.takeReturn(left) {
			continue
		}
		c.returns++
		c.placementRequest.Only = id
		c.placementRequest.Exclude = slices.DeleteFunc(c.placementRequest.Exclude, func(o model.BackendID) bool { return o == id })
		c.log.Info("request returns to a silent server", zap.String("backend", string(id)), zap.Int("events", c.events))
		return true
	}
	return false
}

// returning reports whether the request is to return to a server that was silent.
func (c *call) returning() bool { return c.placementRequest.Only != "" }

// releaseReservations ends the reservations for returns that were not needed.
func (c *call) releaseReservations() {
	if c.reserved.Swap(false) {
		c.g.retryBudgets.releaseReservation(c.service.Name)
	}
	for _, left := range c.leftServers {
		if left.reserved {
			c.g.retryBudgets.releaseReservation(c.service.Name)
		}
	}
	c.leftServers = nil
}

// stallWatchdog cancels an attempt that makes no progress if the request may be moved to
// another backend server. If it may not, the watchdog checks again after the same time.
// Without a timer it does nothing.
type stallWatchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	limit time.Duration
	// begun is set once the attempt has made progress.
	begun bool
	// suspended is set while the timer is stopped; it may just have fired.
	suspended bool
}

// watchForStall starts a watchdog for an attempt at a server. The watchdog first checks
// after the limit; a limit of 0 disables it.
func (c *call) watchForStall(server model.BackendID, limit time.Duration, cancel context.CancelCauseFunc) *stallWatchdog {
	w := &stallWatchdog{limit: limit}
	if limit <= 0 {
		return w
	}
	// A copy, since the goroutine of the attempt may change the original.
	request := c.placementRequest
	request.Exclude = append(slices.Clone(request.Exclude), server)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.timer == nil || w.suspended {
			return
		}
		// A stream that has begun is not prefilled at a prefill engine, see mayPrefill.
		request.ExcludePrefill = request.ExcludePrefill || w.begun
		if c.mayMoveRequest(server, &request) {
			cancel(errStalled)
			return
		}
		w.timer.Reset(w.limit)
	})
	return w
}

// suspend stops the timer until reset.
func (w *stallWatchdog) suspend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.suspended = true
	}
}

// reset restarts the timer with a new limit after the attempt has made progress.
func (w *stallWatchdog) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.limit, w.suspended, w.begun = limit, false, true
		w.timer.Reset(limit)
	}
}

func (w *stallWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
