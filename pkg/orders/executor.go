package orders

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/follower"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Errors returned by Engines. After any other error nothing is known about the order.
var (
	// ErrOrderRefused means that the engine refused the order, for example because
	// of an old fencing token.
	ErrOrderRefused = errors.New("refused by the engine")
	// ErrOrderUnknown means that the engine has no such order.
	ErrOrderUnknown = errors.New("not known to the engine")
)

// Errors returned by Execute.
var (
	// ErrNoAuthority means that this host does not hold the fleet shard. The
	// order was not sent.
	ErrNoAuthority = errors.New("no authority over the fleet shard")
	// ErrBusy means that the engine has an open intent. The order was not sent.
	ErrBusy = errors.New("the engine has an open intent")
	// ErrIntentVoid means that the intent is void in the log, or that the engine
	// is not known or gone. The order was not sent.
	ErrIntentVoid = errors.New("the intent is void")
)

// Engines sends orders to engines.
type Engines interface {
	Order(ctx context.Context, url string, order engine.Order) (engine.OrderStatus, error)
	OrderStatus(ctx context.Context, url string, orderID string) (engine.OrderStatus, error)
}

// Authority reports and renews the claims of this host; control.Control implements it.
type Authority interface {
	Holds(shard model.ShardName) (model.Offset, bool)
	RenewClaim(ctx context.Context, shard model.ShardName) (model.Offset, error)
	Tables() *state.Snapshot
}

// Location is the location and the state of an engine.
type Location struct {
	URL string
	// ChecksFencing reports whether the engine refuses old fencing tokens.
	ChecksFencing bool
	// Gone reports whether the platform lists the engine as gone.
	Gone bool
}

// Defaults of Config.
const (
	// DefaultCallTimeout bounds one call to an engine or the platform.
	DefaultCallTimeout = 3 * time.Second
	// DefaultCompletionTimeout is how long Execute waits for the end of an order.
	// Role changes and model loads take seconds. Recover handles orders that take
	// longer.
	DefaultCompletionTimeout = 30 * time.Second
	// appendTimeout bounds the append of an intent or outcome.
	appendTimeout = 10 * time.Second
	pollInterval  = 250 * time.Millisecond
)

// Config configures an Executor.
type Config struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Authority   Authority
	Appender    follower.Appender
	Engines     Engines
	Fleet       platform.Fleet
	// Locate returns the location of an engine. ok is false if the engine is not
	// known.
	Locate func(b model.BackendID) (l Location, ok bool)
	// CallTimeout bounds one call to an engine or the platform. 0 means
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// CompletionTimeout is how long Execute waits for the end of an order. 0 means
	// DefaultCompletionTimeout.
	CompletionTimeout time.Duration
	Journal           *journal.Journal
}

// Action is an order that the planner requests.
type Action struct {
	Region model.RegionID
	// Backend is the backend server that receives Engine. It is empty for orders to
	// the platform.
	Backend model.BackendID
	// Engine or Platform is set. Execute fills in the order id, the host and the
	// fencing token.
	Engine   *engine.Order
	Platform *platform.BackendOrder
	Reason   string
}

// Result is the result of an action.
type Result struct {
	OrderID string
	Result  logrec.OrderResult
	Detail  string
	// Backends are the backend servers that a platform order provided.
	Backends []model.BackendID
}

// Executor executes actions. It is safe for concurrent use.
type Executor struct {
	config         Config
	decideRecovery func(recoveryInput) recoveryAction

	mu sync.Mutex
	// active holds the orders that this process is executing, and sent those
	// that it may have sent.
	active map[string]bool
	sent   map[string]bool
}

// New returns an executor.
func New(c Config) *Executor {
	if c.CallTimeout <= 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.CompletionTimeout <= 0 {
		c.CompletionTimeout = DefaultCompletionTimeout
	}
	if c.Journal == nil {
		c.Journal = journal.New(1)
	}
	return &Executor{config: c, decideRecovery: decideRecovery, active: map[string]bool{}, sent: map[string]bool{}}
}

// Execute logs the intent, sends the order and logs the outcome. It can take until
// CompletionTimeout has passed, so callers run it in its own goroutine.
func (e *Executor) Execute(ctx context.Context, a Action) (Result, error) {
	shard := state.FleetShard(a.Region)
	fence, ok := e.config.Authority.Holds(shard)
	if !ok {
		return Result{}, eris.Wrapf(ErrNoAuthority, "%s", shard)
	}
	location, err := e.locateForOrder(a, fence)
	if err != nil {
		return Result{}, err
	}
	orderID := ulid.Make().String()
	e.markActive(orderID)
	defer e.markInactive(orderID)
	payload, err := completeOrder(&a, orderID, e.config.Host, fence)
	if err != nil {
		return Result{}, err
	}
	if err := e.logIntent(ctx, shard, fence, a, orderID, payload); err != nil {
		return Result{}, err
	}
	result := e.send(ctx, a, shard, fence, location.URL, orderID)
	e.recordDecision(a, result)
	return result, e.logOutcome(ctx, shard, fence, result)
}

// locateForOrder returns the location of the engine and checks that the engine may
// receive an order.
func (e *Executor) locateForOrder(a Action, fence model.Offset) (Location, error) {
	if a.Backend == "" {
		return Location{}, nil
	}
	location, ok := e.config.Locate(a.Backend)
	if !ok || location.Gone {
		return location, eris.Wrapf(ErrIntentVoid, "backend server %s is not known", a.Backend)
	}
	if open, ok := e.config.Authority.Tables().OpenIntent(a.Backend); ok && !maySupersede(open, fence, location.ChecksFencing) {
		return location, eris.Wrapf(ErrBusy, "order %s", open.OrderID)
	}
	return location, nil
}

// completeOrder replaces the order of an action by a completed copy and returns the
// copy as JSON.
func completeOrder(a *Action, orderID string, host model.HostID, fence model.Offset) (json.RawMessage, error) {
	var order any
	switch {
	case a.Engine != nil && a.Backend != "":
		filled := *a.Engine
		filled.OrderID, filled.Host, filled.Fence = orderID, host, fence
		a.Engine, order = &filled, filled
	case a.Platform != nil && a.Backend == "":
		filled := *a.Platform
		filled.OrderID, filled.Host, filled.Fence = orderID, host, fence
		a.Platform, order = &filled, filled
	default:
		return nil, eris.New("an action needs an engine order with a backend server, or a platform order")
	}
	data, err := json.Marshal(order)
	return data, eris.Wrap(err, "encode order")
}

// logIntent appends the intent and returns once it has been read back as valid.
func (e *Executor) logIntent(ctx context.Context, shard model.ShardName, fence model.Offset, a Action, orderID string, payload json.RawMessage) error {
	record, err := logrec.New(logrec.KindIntent, logrec.Intent{
		OrderID: orderID, Backend: a.Backend, Order: payload, Reason: a.Reason,
	})
	if err != nil {
		return err
	}
	record.Shard, record.Fence = shard, fence
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	results, err := e.config.Appender.AppendResults(ctx, record)
	if err != nil {
		return eris.Wrap(err, "append intent")
	}
	if !results[0].Applied {
		return eris.Wrapf(ErrIntentVoid, "%s: %s", results[0].Reason, results[0].Detail)
	}
	return nil
}

// send sends the order if this host still holds the shard with the same fencing
// token.
func (e *Executor) send(ctx context.Context, a Action, shard model.ShardName, fence model.Offset, url, orderID string) Result {
	if now, ok := e.config.Authority.Holds(shard); !ok || now != fence {
		return Result{OrderID: orderID, Result: logrec.ResultNotSent, Detail: "authority was lost before sending"}
	}
	e.markSent(orderID)
	if a.Engine != nil {
		return e.sendToEngine(ctx, url, *a.Engine)
	}
	return e.sendToPlatform(ctx, *a.Platform)
}

// logOutcome appends the outcome. The record names the shard, so that it also applies
// to an intent of a previous holder.
func (e *Executor) logOutcome(ctx context.Context, shard model.ShardName, fence model.Offset, r Result) error {
	record, err := logrec.New(logrec.KindOutcome, logrec.Outcome{OrderID: r.OrderID, Result: r.Result, Detail: r.Detail})
	if err != nil {
		return err
	}
	record.Shard, record.Fence = shard, fence
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = e.config.Appender.AppendResults(ctx, record)
	return eris.Wrap(err, "append outcome")
}

func (e *Executor) markActive(orderID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[orderID] = true
}

func (e *Executor) markInactive(orderID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, orderID)
}

func (e *Executor) markSent(orderID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent[orderID] = true
}

// status reports whether this process is executing an order, and whether it may
// have sent it.
func (e *Executor) status(orderID string) (active, sent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active[orderID], e.sent[orderID]
}

func (e *Executor) recordDecision(a Action, r Result) {
	subject := string(a.Backend)
	if subject == "" {
		subject = r.OrderID
	}
	e.config.Journal.Add(journal.Entry{Kind: journal.KindOrder, Subject: subject,
		Decision: string(r.Result), Reason: a.Reason + "; " + r.Detail})
}
