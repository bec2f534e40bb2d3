package fleetview

import (
	"context"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// statePollFactor is the number of load polls per state poll.
const statePollFactor = 5

// pollEngine polls the state, load and cache events of one engine until the
// context ends.
func (v *View) pollEngine(ctx context.Context, id model.BackendID, url string) {
	loadTicker := time.NewTicker(v.settings.LoadPoll)
	defer loadTicker.Stop()
	cacheTicker := time.NewTicker(v.settings.CachePoll)
	defer cacheTicker.Stop()
	events := cachePoller{view: v, id: id, url: url}
	clock := clockOffset{}
	for n := 0; ; n++ {
		if n%statePollFactor == 0 || !v.stateKnown(id) {
			v.pollState(ctx, id, url)
		}
		v.pollLoad(ctx, id, url, &clock)
		select {
		case <-ctx.Done():
			return
		case <-loadTicker.C:
		case <-cacheTicker.C:
			events.poll(ctx)
		}
	}
}

func (v *View) stateKnown(id model.BackendID) bool {
	_, known := v.State(id)
	return known
}

func (v *View) pollState(ctx context.Context, id model.BackendID, url string) {
	callCtx, cancel := context.WithTimeout(ctx, v.settings.CallTimeout)
	defer cancel()
	state, err := v.engines.State(callCtx, url)
	if err != nil {
		return
	}
	if v.storeState(id, state) {
		v.updateTable()
	}
}

// storeState stores an engine's state and reports whether it may change the
// engine's availability.
func (v *View) storeState(id model.BackendID, state engine.State) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, ok := v.backends[id]
	if !ok {
		return false
	}
	changed := !t.stateKnown || t.state.Changing != state.Changing
	t.state = state
	t.stateKnown = true
	return changed
}

func (v *View) pollLoad(ctx context.Context, id model.BackendID, url string, clock *clockOffset) {
	callCtx, cancel := context.WithTimeout(ctx, v.settings.CallTimeout)
	defer cancel()
	report, err := v.engines.Load(callCtx, url)
	if err != nil {
		return
	}
	v.table.UpdateLoad(id, report, clock.toLocal(report.TimeMS, time.Now()))
}

// clockOffset maps times of an engine's clock to the local clock. Its offset is the
// smallest difference seen between the arrival and the timestamp of a corrected
// report: lag only adds to the difference, so the smallest one contains the least lag.
type clockOffset struct {
	known  bool
	offset time.Duration
}

// toLocal returns the local time of a report's timestamp.
func (c *clockOffset) toLocal(engineMS int64, arrival time.Time) time.Time {
	at := time.UnixMilli(engineMS)
	difference := arrival.Sub(at)
	// Clocks of hosts and engines agree to within seconds, so a timestamp is used
	// as it is, unless it is in the future or its difference is larger than clock
	// error and lag together can explain.
	if difference >= 0 && difference < maxPlausibleLag {
		return at
	}
	if !c.known || difference < c.offset {
		c.known = true
		c.offset = difference
	}
	return at.Add(c.offset)
}

// maxPlausibleLag is the smallest difference between the arrival and the timestamp of
// a load report at which the timestamp is corrected by the offset of the clocks.
const maxPlausibleLag = 10 * time.Second

// cachePoller polls the cache events of one engine in the order of their sequence
// numbers.
type cachePoller struct {
	view    *View
	id      model.BackendID
	url     string
	nextSeq uint64
}

func (p *cachePoller) poll(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, p.view.settings.CallTimeout)
	defer cancel()
	batch, err := p.view.engines.CacheEvents(callCtx, p.url, p.nextSeq)
	if err != nil {
		return
	}
	p.view.table.CacheEvents(p.id, batch.Events, p.hasGap(&batch))
	p.nextSeq = batch.Next
}

// hasGap reports whether the events of a batch leave out a sequence number from
// nextSeq up to the batch's Next. The first batch counts as complete.
func (p *cachePoller) hasGap(batch *engine.CacheEvents) bool {
	if p.nextSeq == 0 {
		return false
	}
	expected := p.nextSeq
	for _, e := range batch.Events {
		if e.Seq != expected {
			return true
		}
		expected = e.Seq + 1
	}
	return batch.Next != expected
}
