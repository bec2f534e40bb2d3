package experiment

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// Parameters of the modelled platform and engines.
const (
	planInterval   = time.Second
	roleChangeTime = 4 * time.Second
	// reclaimNotice is the time from the notice to the termination of a server.
	reclaimNotice = 5 * time.Second
	// moveAfter is the time from the notice until hosts move the work elsewhere.
	moveAfter   = 800 * time.Millisecond
	restartTime = 20 * time.Second
	// preemptiblePause is how long a data centre offers no preemptible servers
	// after a reclaim.
	preemptiblePause = 10 * time.Minute
	minEngines       = 4
)

// startController runs the controller once per planInterval.
func (w *world) startController() {
	if w.controller == nil {
		return
	}
	w.every(planInterval, func() bool {
		for _, a := range w.controller.Plan(w.plannerInput()) {
			w.apply(a)
		}
		return w.now < w.scenario.Length
	})
}

func (w *world) plannerInput() *planner.Input {
	seconds := planInterval.Seconds()
	load := planner.Load{
		PrefillTokens: w.measured.PrefillTokens / seconds,
		LongTokens:    w.measured.LongTokens / seconds,
		OutputTokens:  w.measured.OutputTokens / seconds,
	}
	plannerPool := w.plannerPool(load)
	if w.longPrompts > 0 {
		plannerPool.LongPromptTokens = w.measured.LongTokens / w.longPrompts
	}
	w.measured = planner.Load{}
	w.longPrompts = 0
	in := &planner.Input{Now: wallTime(w.now), Pools: []planner.Pool{plannerPool}, WithoutPreemptible: map[model.DataCentreID]bool{}}
	if w.scenario.Planned {
		in.DataCentres = w.deployment.DataCentres
	}
	for dc, until := range w.noPreemptibleUntil {
		in.WithoutPreemptible[dc] = w.now < until
	}
	for _, e := range w.engineList {
		if e.state == gone {
			continue
		}
		in.Engines = append(in.Engines, planner.Engine{
			ID:         e.id,
			Pool:       w.deployment.Pool,
			DataCentre: e.dc,
			Kind:       e.kind,
			Role:       e.role,
			Live:       e.state == live,
			Starting:   e.state == starting,
			Busy:       e.changingRole,
			Drain:      e.purpose,
			Requests:   e.requests(),
		})
	}
	return in
}

func (w *world) plannerPool(load planner.Load) planner.Pool {
	resumable := 0.9
	if w.measuredRequests > 100 {
		resumable = w.resumable / w.measuredRequests
	}
	p := planner.Pool{
		Config: model.Pool{
			Name:             w.deployment.Pool,
			Kind:             model.PoolEngine,
			Minimum:          minEngines,
			Maximum:          w.deployment.Engines,
			PreemptibleShare: 0.8,
		},
		Profile:        profile,
		Load:           load,
		ResumableShare: resumable,
		CachedShare:    w.cachedShare,
	}
	if w.scenario.OpeningHours {
		p.Shops = w.shopLoads()
	}
	return p
}

// shopLoads returns the expected load of each shop: its share of the nominal rate, with
// the mean size of requests. It stands for what the planner knows from earlier days.
func (w *world) shopLoads() []planner.ShopLoad {
	var shopLoads []planner.ShopLoad
	for i := range w.deployment.Organisations {
		o := &w.deployment.Organisations[i]
		perSecond := w.scenario.Rate * o.share / float64(len(o.Shops))
		for _, s := range o.Shops {
			shopLoads = append(shopLoads, planner.ShopLoad{Shop: s, Load: planner.Load{
				PrefillTokens: perSecond * 1300,
				OutputTokens:  perSecond * w.outputMean,
			}})
		}
	}
	return shopLoads
}

func (w *world) apply(a planner.Action) {
	e := w.engines[a.Backend]
	switch a.Kind {
	case planner.ActionDrain:
		e.purpose = a.Purpose
		w.announce(e)
	case planner.ActionUndrain:
		e.purpose = planner.Purpose{}
		w.announce(e)
	case planner.ActionEngineOrder:
		w.changeRole(e, a.Engine.Role)
	case planner.ActionBackendOrder:
		w.applyBackendOrder(e, a.Order)
	}
}

func (w *world) changeRole(e *simEngine, role engine.Role) {
	e.changingRole = true
	w.result.RoleChanges++
	w.after(roleChangeTime, func() {
		e.changingRole = false
		e.role = role
	})
}

func (w *world) applyBackendOrder(e *simEngine, o *platform.BackendOrder) {
	if o.Action == platform.ActionRelease {
		w.remove(e)
		return
	}
	if o.Kind == platform.Preemptible && w.now < w.noPreemptibleUntil[o.DataCentre] {
		return
	}
	added := w.addEngine(o.DataCentre, o.Kind, engine.RoleMixed, starting)
	lead := 120*time.Second + time.Duration(w.random.Float64()*float64(60*time.Second))
	w.after(lead, func() {
		if added.state != starting {
			return
		}
		added.state = live
		w.announce(added)
		w.startReports(added)
	})
}

// remove terminates a server and interrupts the jobs that still run there.
func (w *world) remove(e *simEngine) {
	left := e.takeAll()
	e.state = gone
	e.until = w.now
	for _, h := range w.hosts {
		h.tables.RemoveBackend(e.id)
	}
	w.retryJobs(e, left)
}

// retryJobs retries jobs that lost their engine on another one if their request
// is resumable, and fails the others.
func (w *world) retryJobs(e *simEngine, jobs []*job) {
	for _, j := range jobs {
		r := j.request
		w.feedback(r, e, func(f *routing.Feedback) { f.Crashed = true })
		if !r.Resumable {
			w.fail(r)
			continue
		}
		j.decodable = false
		w.retry(r, e, j)
	}
}

// scheduleFaults schedules the scenario's reclaims and crashes.
func (w *world) scheduleFaults() {
	for i := range w.scenario.Reclaims {
		part := w.scenario.Length / time.Duration(w.scenario.Reclaims+1)
		dc := w.deployment.DataCentres[i%len(w.deployment.DataCentres)]
		w.at(part*time.Duration(i+1), func() { w.reclaim(dc) })
	}
	if w.scenario.CrashInChange {
		w.every(time.Second, w.crashChanging)
		w.every(7*time.Minute, func() bool {
			w.crash(w.engineList[w.random.IntN(len(w.engineList))])
			return w.now < w.scenario.Length
		})
	}
}

// reclaim withdraws all preemptible servers of a data centre with notice.
func (w *world) reclaim(dc model.DataCentreID) {
	w.noPreemptibleUntil[dc] = w.now + preemptiblePause
	for _, e := range w.engineList {
		if e.dc != dc || e.kind != platform.Preemptible || e.state == gone {
			continue
		}
		if e.state == starting {
			e.state = gone
			e.until = w.now
			continue
		}
		e.state = leaving
		w.announce(e)
		w.after(moveAfter, func() { w.moveWork(e) })
		w.after(reclaimNotice, func() { w.remove(e) })
	}
}

// moveWork moves the requests of a leaving engine to other engines: those past their
// prefill with their KV cache, the others without it.
func (w *world) moveWork(e *simEngine) {
	for _, j := range e.takeAll() {
		r := j.request
		r.moved = true
		if j.decodable {
			w.migrate(r, e, j)
			continue
		}
		w.feedback(r, e, nil)
		w.retry(r, e, j)
	}
}

// crashChanging runs once per second and crashes each engine that is changing its
// role with a probability of 0.05, which is about one in five role changes.
func (w *world) crashChanging() bool {
	for _, e := range w.engineList {
		if e.changingRole && e.state == live && w.random.Float64() < 0.05 {
			w.crash(e)
			w.result.CrashesInChange++
		}
	}
	return w.now < w.scenario.Length
}

// crash stops an engine without notice; after restartTime it is live again with
// an empty cache.
func (w *world) crash(e *simEngine) {
	if e.state != live {
		return
	}
	left := e.takeAll()
	e.state = crashed
	e.cache = newPrefixCache(cacheBlocks)
	w.retryJobs(e, left)
	w.after(restartTime, func() {
		if e.state == crashed {
			e.state = live
			e.begin()
		}
	})
}
