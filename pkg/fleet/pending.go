package fleet

import (
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/orders"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// listingTimeout is the time after which a backend server that was ordered but is
// not listed is taken as not delivered.
const listingTimeout = time.Minute

// pendingOrders holds the backend servers that accepted orders add or release,
// until the platform's list, which lags, shows the change. Without it the planner
// would repeat the order on every plan.
type pendingOrders struct {
	mu       sync.Mutex
	added    map[model.BackendID]pendingServer
	released map[model.BackendID]time.Time
}

// pendingServer is an ordered backend server and the time of its order.
type pendingServer struct {
	engine planner.Engine
	at     time.Time
}

// record stores the effect of a completed platform order. It ignores engine
// orders and orders that failed or whose outcome is unknown.
func (p *pendingOrders) record(order *platform.BackendOrder, r *orders.Result, now time.Time) {
	if order == nil || r.Result != logrec.ResultDone {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if order.Action == platform.ActionRelease {
		if p.released == nil {
			p.released = make(map[model.BackendID]time.Time)
		}
		p.released[order.Backend] = now
		return
	}
	if p.added == nil {
		p.added = make(map[model.BackendID]pendingServer)
	}
	for _, id := range r.Backends {
		p.added[id] = pendingServer{at: now, engine: planner.Engine{
			ID: id, Pool: order.Pool, DataCentre: order.DataCentre, Kind: order.Kind, Starting: true,
		}}
	}
}

// reconcile adds the ordered servers that are not listed yet to the listed
// engines, marks the released ones as no longer live, and drops what has been
// pending for longer than listingTimeout.
func (p *pendingOrders) reconcile(rows []planner.Engine, now time.Time) []planner.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range rows {
		delete(p.added, rows[i].ID)
		if _, ok := p.released[rows[i].ID]; ok {
			rows[i].Live = false
		}
	}
	for id, s := range p.added {
		if now.Sub(s.at) > listingTimeout {
			delete(p.added, id)
			continue
		}
		rows = append(rows, s.engine)
	}
	for id, at := range p.released {
		if now.Sub(at) > listingTimeout {
			delete(p.released, id)
		}
	}
	return rows
}
