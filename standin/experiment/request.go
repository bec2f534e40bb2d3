package experiment

import (
	"fmt"
	"time"

	"github.com/redwingpath/redwingpath/pkg/admission"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// request is the state of an arrival while a host and engines serve it.
type request struct {
	*Arrival
	host     *host
	route    routing.Request
	sent     time.Duration
	decision routing.Decision
	priority int
	admitted bool
	hasFirst bool
	// firstToken and end are zero until they happen.
	firstToken time.Duration
	end        time.Duration
	cached     int
	// resumedTokens is the number of output tokens to prefill again after the
	// request lost its engine.
	resumedTokens int
	// isRepeat marks a request that the caller repeats after a rejection.
	isRepeat bool
	// moved marks requests on an engine that was reclaimed; cut marks those that
	// failed after admission.
	moved bool
	cut   bool
}

func (w *world) arrive(a *Arrival) {
	w.result.countOffered(a)
	if !w.limiters[a.Organisation].AllowN(wallTime(w.now), 1) {
		w.result.RateLimited++
		return
	}
	w.result.countWithinRate(a)
	w.startRequest(a, false)
}

// startRequest sends an arrival to a random host.
func (w *world) startRequest(a *Arrival, isRepeat bool) {
	w.nextID++
	r := &request{Arrival: a, host: w.hosts[w.random.IntN(len(w.hosts))], isRepeat: isRepeat}
	r.route = routing.Request{
		ID:           model.RequestID(fmt.Sprint(w.nextID)),
		Organisation: a.Organisation,
		Pool:         w.deployment.Pool,
		Kind:         model.PoolEngine,
		PromptTokens: a.Prompt,
		Prefix:       a.Prefix,
		Resumable:    a.Resumable,
	}
	w.dispatch(r, a.Output)
}

// dispatch selects an engine, asks for admission unless the request is already
// admitted, and sends the request.
func (w *world) dispatch(r *request, output int) {
	d, err := r.host.tables.Select(&r.route, wallTime(w.now))
	if err != nil {
		w.reject(r, admission.Verdict{Reason: err.Error(), RetryAfter: time.Second})
		return
	}
	r.decision = d
	if !r.admitted {
		w.recordDemand(r, d)
	}
	if r.host.admission != nil && !r.admitted {
		v := r.host.admission.Admit(&r.route, d, wallTime(w.now))
		if !v.OK {
			r.host.tables.Done(&routing.Feedback{Request: r.route, Backend: d.Backend, Done: wallTime(w.now)})
			w.reject(r, v)
			return
		}
		r.priority = v.Priority
	}
	r.admitted = true
	r.sent = w.now
	w.send(r, &job{request: r, priority: r.priority, output: output, handOver: d.HandOver}, d.Backend)
}

// recordDemand adds a request to the demand that the controller plans for.
func (w *world) recordDemand(r *request, d routing.Decision) {
	if r.isRepeat {
		return
	}
	uncached := float64(r.Prompt - d.CachedTokens)
	w.measured.PrefillTokens += uncached
	w.measured.OutputTokens += w.outputMean
	if uncached > longPrompt {
		w.measured.LongTokens += uncached
		w.longPrompts++
	}
	w.measuredRequests++
	w.cachedShare += cachedWeight * (float64(d.CachedTokens)/float64(r.Prompt) - w.cachedShare)
	if r.Resumable {
		w.resumable++
	}
}

// cachedWeight is the weight of one request in the exponential moving average
// of the cached share.
const cachedWeight = 0.005

// longPrompt matches the default of planner.Settings.LongPrompt.
const longPrompt = 3000

// send delivers a job after the network delay. A job that the engine does not
// accept has not run there and is retried on another engine.
func (w *world) send(r *request, j *job, to model.BackendID) {
	e := w.engines[to]
	w.after(w.deployment.Delay, func() {
		if (e.state == live && !e.changingRole) || e.state == leaving {
			r.moved = r.moved || e.state == leaving
			e.submit(j)
			return
		}
		w.feedback(r, e, func(f *routing.Feedback) { f.Failed = true })
		w.retry(r, e, j)
	})
}

func (w *world) feedback(r *request, e *simEngine, change func(f *routing.Feedback)) {
	f := routing.Feedback{
		Request:      r.route,
		Backend:      e.id,
		Sent:         wallTime(r.sent),
		Done:         wallTime(w.now),
		CachedTokens: r.cached,
	}
	if r.hasFirst {
		f.FirstToken = wallTime(r.firstToken)
	}
	if change != nil {
		change(&f)
	}
	r.host.tables.Done(&f)
}

// retry sends a job to another engine, which prefills the output that the job
// already has.
func (w *world) retry(r *request, from *simEngine, j *job) {
	r.route.Exclude = append(r.route.Exclude, from.id)
	r.route.KVFrom = ""
	if len(r.route.Exclude) > 4 {
		r.route.Exclude = r.route.Exclude[1:]
	}
	r.resumedTokens = r.Output - j.output
	w.dispatch(r, j.output)
}

func (w *world) firstToken(e *simEngine, j *job) {
	r := j.request
	r.cached = j.cached
	if !r.hasFirst {
		r.hasFirst = true
		r.firstToken = w.now + w.deployment.Delay
	}
	r.host.tables.FirstToken(r.route.ID, e.id, wallTime(w.now))
	if j.handOver && j.output > 0 {
		w.migrate(r, e, j)
	}
}

// migrate moves a job with its KV cache to another engine for decoding.
func (w *world) migrate(r *request, from *simEngine, j *job) {
	w.feedback(r, from, func(f *routing.Feedback) { f.OutputTokens = 1 })
	r.route.KVFrom = from.id
	if from.state == leaving {
		r.route.Exclude = append(r.route.Exclude, from.id)
	}
	d, err := r.host.tables.Select(&r.route, wallTime(w.now))
	if err != nil {
		w.fail(r)
		return
	}
	r.host.tables.FirstToken(r.route.ID, d.Backend, wallTime(w.now))
	r.decision = d
	j.decodable = true
	j.handOver = false
	e := w.engines[d.Backend]
	transfer := time.Duration(float64(r.Prompt) / kvTokensPerS * float64(time.Second))
	if e == from {
		transfer = 0
	}
	w.after(transfer, func() { w.send(r, j, d.Backend) })
}

func (w *world) done(e *simEngine, j *job) {
	r := j.request
	r.end = w.now + w.deployment.Delay
	w.feedback(r, e, func(f *routing.Feedback) { f.OutputTokens = r.Output })
	if r.host.admission != nil {
		r.host.admission.Done(r.Organisation, r.Prompt-r.cached, r.Output, wallTime(w.now))
	}
	w.outputMean += 0.005 * (float64(r.Output) - w.outputMean)
	w.result.countEnded(w, r, e.kind)
}

func (w *world) abandon(e *simEngine, j *job) {
	r := j.request
	w.feedback(r, e, nil)
	w.fail(r)
}

// fail ends a request that was admitted but cannot be completed.
func (w *world) fail(r *request) {
	r.cut = true
	if r.host.admission != nil {
		r.host.admission.Done(r.Organisation, 0, 0, wallTime(w.now))
	}
	w.result.countEnded(w, r, platform.Ordinary)
}

// repeatShare is the share of rejected callers that repeat their request after
// the given RetryAfter.
const repeatShare = 0.3

func (w *world) reject(r *request, v admission.Verdict) {
	if r.admitted {
		w.fail(r)
		return
	}
	if r.isRepeat {
		w.result.RepeatsRefused++
		return
	}
	w.result.Refused++
	if v.Reason == admission.ReasonFairShare {
		w.result.RefusedFair++
	} else if w.couldServe(r) {
		w.result.RefusedWrongly++
	}
	if w.random.Float64() < repeatShare {
		w.result.Repeats++
		w.after(v.RetryAfter, func() {
			a := *r.Arrival
			a.At = w.now
			w.startRequest(&a, true)
		})
	}
}

// couldServe reports whether, by the actual state of the engines, at least one
// would have met the limit for the time to first token.
func (w *world) couldServe(r *request) bool {
	for _, e := range w.engineList {
		if e.state != live || !e.available() || (e.kind == platform.Preemptible && !r.Resumable) {
			continue
		}
		l := e.load(wallTime(w.now))
		if l.Queued+l.Running >= maxRunning {
			continue
		}
		uncached := r.Prompt - e.cache.match(r.Prefix)*engine.BlockTokens
		seconds := float64(l.QueuedPrefillTokens+uncached) / l.PrefillTokensPerS
		if seconds+2*w.deployment.Delay.Seconds() <= firstTokenLimit.Seconds() {
			return true
		}
	}
	return false
}
