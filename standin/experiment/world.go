package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingpath/redwingpath/pkg/admission"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// host is an entry host with its own routing tables and admission controller.
type host struct {
	tables    routing.Tables
	admission *admission.Controller
}

// world is the state of one simulation run.
type world struct {
	clock
	deployment *Deployment
	scenario   *Scenario
	variant    *Variant
	random     *rand.Rand
	hosts      []*host
	engines    map[model.BackendID]*simEngine
	// engineList holds all engines in order of creation, for deterministic
	// iteration.
	engineList []*simEngine
	limiters   map[model.OrganisationID]*rate.Limiter
	// measured and longPrompts count the demand since the controller last ran.
	measured           planner.Load
	longPrompts        float64
	resumable          float64
	measuredRequests   float64
	outputMean         float64
	cachedShare        float64
	noPreemptibleUntil map[model.DataCentreID]time.Duration
	controller         planner.Controller
	result             *Result
	nextID             int
}

// orgRateFactor is an organisation's rate limit relative to its mean traffic.
const orgRateFactor = 1.4

func newWorld(d *Deployment, s *Scenario, v *Variant, seed uint64) *world {
	w := &world{
		deployment:         d,
		scenario:           s,
		variant:            v,
		random:             rand.New(rand.NewPCG(seed, 3)),
		engines:            map[model.BackendID]*simEngine{},
		limiters:           map[model.OrganisationID]*rate.Limiter{},
		noPreemptibleUntil: map[model.DataCentreID]time.Duration{},
		outputMean:         180,
		controller:         v.controller(),
		result:             newResult(d, s, v, seed),
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		perSecond := o.share * s.Rate * orgRateFactor
		w.limiters[o.ID] = rate.NewLimiter(rate.Limit(perSecond), int(2*perSecond)+1)
	}
	for i := range d.Hosts {
		w.hosts = append(w.hosts, w.newHost(i, seed))
	}
	for i := range d.Engines {
		w.addEngine(d.DataCentres[i%len(d.DataCentres)], w.kindAtStart(i), w.roleAtStart(i), live)
	}
	return w
}

func (w *world) newHost(i int, seed uint64) *host {
	d := w.deployment
	tables, err := routing.NewTables(w.variant.Routing, routing.Settings{
		DataCentre:           d.DataCentres[i%len(d.DataCentres)],
		Seed:                 seed*100 + uint64(i),
		CrossDataCentreDelay: d.Delay,
	})
	if err != nil {
		panic(err)
	}
	h := &host{tables: tables}
	if w.variant.Admission {
		h.admission = admission.NewController(admission.Settings{})
		for k := range d.Organisations {
			h.admission.SetWeight(d.Organisations[k].ID, d.Organisations[k].share)
		}
	}
	return h
}

// kindAtStart returns the kind of the server with index i. The preemptible servers are
// spread over the data centres. Only variants whose planner chooses the fleet size use
// them: the naive controller orders only ordinary servers, and without a controller
// reclaimed servers would not be replaced.
func (w *world) kindAtStart(i int) platform.BackendKind {
	planned := w.scenario.Planned && w.variant.Controller == ControllerPlanner
	if planned && i < w.deployment.preemptible {
		return platform.Preemptible
	}
	return platform.Ordinary
}

func (w *world) roleAtStart(i int) engine.Role {
	if w.variant.StaticPrefill == 0 {
		return engine.RoleMixed
	}
	if i < w.variant.StaticPrefill {
		return engine.RolePrefill
	}
	if w.variant.Routing == routing.PolicyScored {
		return engine.RoleMixed
	}
	return engine.RoleDecode
}

func (w *world) addEngine(dc model.DataCentreID, kind platform.BackendKind, role engine.Role, state engineState) *simEngine {
	e := &simEngine{
		id:    model.BackendID(fmt.Sprintf("e%03d", len(w.engineList))),
		dc:    dc,
		kind:  kind,
		role:  role,
		state: state,
		since: w.now,
		until: -1,
		clock: &w.clock,
		cache: newPrefixCache(cacheBlocks),
	}
	e.onFirstToken = func(j *job) { w.firstToken(e, j) }
	e.onDone = func(j *job) { w.done(e, j) }
	e.onAbandon = func(j *job) { w.abandon(e, j) }
	w.engines[e.id] = e
	w.engineList = append(w.engineList, e)
	if state == live {
		w.announce(e)
		w.startReports(e)
	}
	return e
}

// available reports whether hosts may send new work to the engine, by what the log and
// the platform's list show. They do not show crashes, so a crashed engine is available.
func (e *simEngine) available() bool {
	return (e.state == live || e.state == crashed) && !e.changingRole && e.purpose.Kind == planner.PurposeNone
}

// announce sends an engine's state to every host, each after a random delay.
func (w *world) announce(e *simEngine) {
	available := e.available()
	for _, h := range w.hosts {
		delay := 50*time.Millisecond + time.Duration(w.random.Float64()*float64(250*time.Millisecond))
		if w.now == 0 {
			delay = 0
		}
		b := routing.Backend{
			ID:         e.id,
			Pool:       w.deployment.Pool,
			PoolKind:   model.PoolEngine,
			DataCentre: e.dc,
			Kind:       e.kind,
			Available:  available,
			Load:       engine.LoadReport{Role: e.role},
		}
		w.after(delay, func() { h.tables.UpdateBackend(b) })
	}
}

// reportInterval is the interval of load reports and cache events.
const reportInterval = 400 * time.Millisecond

// startReports publishes load reports and cache events to all hosts once per
// reportInterval.
func (w *world) startReports(e *simEngine) {
	w.every(reportInterval, func() bool {
		if e.state == gone {
			return false
		}
		if e.state == crashed {
			return true
		}
		at := wallTime(w.now)
		load := e.load(at)
		events := e.cache.takeEvents()
		for _, h := range w.hosts {
			w.deliver(h, e, load, events, at)
		}
		return true
	})
}

func (w *world) deliver(h *host, e *simEngine, load engine.LoadReport, events []engine.CacheEvent, at time.Time) {
	lag := time.Duration((0.4 + 1.2*w.random.Float64()) * float64(w.scenario.ReportLag))
	lost := w.random.Float64() < w.scenario.ReportLoss
	gap := w.random.Float64() < w.scenario.EventLoss
	w.after(lag, func() {
		if !lost {
			h.tables.UpdateLoad(e.id, load, at)
		}
		if gap {
			h.tables.CacheEvents(e.id, nil, true)
		} else if len(events) > 0 {
			h.tables.CacheEvents(e.id, events, false)
		}
	})
}

// Run simulates one variant on the arrivals of a scenario.
func Run(d *Deployment, s *Scenario, v *Variant, arrivals []Arrival, seed uint64) *Result {
	w := newWorld(d, s, v, seed)
	w.startController()
	w.scheduleFaults()
	var next func(i int)
	next = func(i int) {
		if i < len(arrivals) {
			w.at(arrivals[i].At, func() {
				w.arrive(&arrivals[i])
				next(i + 1)
			})
		}
	}
	next(0)
	w.runUntil(s.Length + drainTime)
	w.result.finish(w)
	return w.result
}

// drainTime is the time after the scenario's end in which requests can still
// complete.
const drainTime = 30 * time.Second
