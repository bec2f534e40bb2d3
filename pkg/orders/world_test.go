package orders

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

const shard = model.ShardName("fleet/r")

// testEnv is a log with its tables, one engine and the order interface of the
// platform.
type testEnv struct {
	tables        *state.Tables
	engine        fakeEngine
	fleet         fakeFleet
	checksFencing bool
	intentOffsets map[string]model.Offset // by order id
}

func newTestEnv(checksFencing bool) *testEnv {
	env := &testEnv{tables: state.New(state.Options{}), checksFencing: checksFencing, intentOffsets: map[string]model.Offset{}}
	env.engine = fakeEngine{checksFencing: checksFencing, orders: map[string]engine.OrderStatus{}}
	env.fleet = fakeFleet{orders: map[string]platform.BackendOrderStatus{}}
	return env
}

// process is one incarnation of a host.
type process struct {
	*Executor
	testEnv     *testEnv
	host        model.HostID
	incarnation model.Incarnation
	// staleFence, if set, is an outdated fencing token that the process takes for
	// the current one.
	staleFence model.Offset
	// loseAppend makes the next append take effect without a response.
	loseAppend bool
}

func (env *testEnv) start(host model.HostID, number int) *process {
	p := &process{testEnv: env, host: host, incarnation: model.Incarnation(fmt.Sprintf("%05d", number))}
	p.Executor = New(Config{Host: host, Incarnation: p.incarnation, Authority: p, Appender: p,
		Engines: &engineConn{testEnv: env, sender: p}, Fleet: &env.fleet, CompletionTimeout: time.Nanosecond,
		Locate: func(model.BackendID) (Location, bool) {
			return Location{URL: "e", ChecksFencing: env.checksFencing}, true
		}})
	p.appendRecord(logrec.KindJoin, logrec.Join{Region: "r"})
	return p
}

func (p *process) appendRecord(kind logrec.Kind, body any) []state.Result {
	r, _ := logrec.New(kind, body)
	results, _ := p.AppendResults(context.Background(), r)
	return results
}

// claim makes the process the holder of the shard.
func (p *process) claim() {
	current, _ := p.testEnv.tables.Snapshot().Shard(shard)
	p.appendRecord(logrec.KindClaim, logrec.Claim{Shard: shard, Supersedes: current.Fence})
	p.staleFence = 0
}

func (p *process) AppendResults(_ context.Context, records ...logrec.Record) ([]state.Result, error) {
	for i := range records {
		records[i].ID, records[i].Host, records[i].Incarnation = ulid.Make().String(), p.host, p.incarnation
	}
	data, err := logrec.Encode(records)
	if err != nil {
		return nil, err
	}
	offset := p.testEnv.tables.Offset() + 1
	results := p.testEnv.tables.Apply(offset, platform.LogEntry{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: data})
	if records[0].Kind == logrec.KindIntent && results[0].Applied {
		body, _ := logrec.DecodeBody[logrec.Intent](&records[0])
		p.testEnv.intentOffsets[body.OrderID] = offset
	}
	if p.loseAppend {
		p.loseAppend = false
		return nil, eris.Wrap(platform.ErrUnavailable, "response lost")
	}
	return results, nil
}

func (p *process) Holds(s model.ShardName) (model.Offset, bool) {
	if p.staleFence != 0 {
		return p.staleFence, true
	}
	row, _ := p.testEnv.tables.Snapshot().Shard(s)
	return row.Fence, row.Host == p.host && row.Incarnation == p.incarnation
}

func (p *process) RenewClaim(context.Context, model.ShardName) (model.Offset, error) {
	p.claim()
	row, _ := p.testEnv.tables.Snapshot().Shard(shard)
	return row.Fence, nil
}

func (p *process) Tables() *state.Snapshot { return p.testEnv.tables.Snapshot() }

// fakeEngine executes orders immediately.
type fakeEngine struct {
	checksFencing bool
	fence         model.Offset
	orders        map[string]engine.OrderStatus
	effects       []string
	// delayed holds copies in transit with their senders.
	delayed []delayedOrder
	next    delivery
}

type delayedOrder struct {
	order  engine.Order
	sender *process
}

// delivery is what happens to the next order.
type delivery int

const (
	deliver delivery = iota
	loseResponse
	loseOrder
	delayOrder
)

func (e *fakeEngine) receive(o engine.Order) (engine.OrderStatus, error) {
	if e.checksFencing && o.Fence < e.fence {
		return engine.OrderStatus{}, eris.Wrap(ErrOrderRefused, "old fencing number")
	}
	e.fence = max(e.fence, o.Fence)
	e.effects = append(e.effects, o.OrderID)
	status := engine.OrderStatus{Order: o, State: stateDone}
	e.orders[o.OrderID] = status
	return status, nil
}

// deliverDelayed delivers a delayed copy.
func (e *fakeEngine) deliverDelayed(i int) {
	o := e.delayed[i].order
	e.delayed = append(e.delayed[:i], e.delayed[i+1:]...)
	_, _ = e.receive(o)
}

// engineConn is the connection of one process to the engine.
type engineConn struct {
	testEnv *testEnv
	sender  *process
}

func (c *engineConn) Order(_ context.Context, _ string, o engine.Order) (engine.OrderStatus, error) {
	e := &c.testEnv.engine
	next := e.next
	e.next = deliver
	switch next {
	case loseOrder:
		return engine.OrderStatus{}, eris.New("no answer")
	case delayOrder:
		e.delayed = append(e.delayed, delayedOrder{order: o, sender: c.sender})
		return engine.OrderStatus{}, eris.New("no answer")
	}
	status, err := e.receive(o)
	if next == loseResponse {
		return engine.OrderStatus{}, eris.New("no answer")
	}
	return status, err
}

func (c *engineConn) OrderStatus(_ context.Context, _ string, id string) (engine.OrderStatus, error) {
	status, ok := c.testEnv.engine.orders[id]
	if !ok {
		return status, eris.Wrap(ErrOrderUnknown, id)
	}
	return status, nil
}

// fakeFleet recognises repeated order ids.
type fakeFleet struct {
	platform.Fleet
	orders       map[string]platform.BackendOrderStatus
	effects      int
	nextDelivery delivery
}

func (f *fakeFleet) Order(_ context.Context, o platform.BackendOrder) (platform.BackendOrderStatus, error) {
	next := f.nextDelivery
	f.nextDelivery = deliver
	if next == loseOrder {
		return platform.BackendOrderStatus{}, eris.Wrap(platform.ErrUnavailable, "lost")
	}
	status, ok := f.orders[o.OrderID]
	if !ok {
		status = platform.BackendOrderStatus{Order: o, Accepted: true}
		f.orders[o.OrderID] = status
		f.effects++
	}
	if next == loseResponse {
		return platform.BackendOrderStatus{}, eris.Wrap(platform.ErrUnavailable, "response lost")
	}
	return status, nil
}

func (f *fakeFleet) OrderStatus(_ context.Context, id string) (platform.BackendOrderStatus, error) {
	status, ok := f.orders[id]
	if !ok {
		return status, eris.Wrap(platform.ErrUnknown, id)
	}
	return status, nil
}
