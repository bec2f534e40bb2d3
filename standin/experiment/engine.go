package experiment

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Parameters of the modelled engines.
const (
	prefillTokensPerS = 20_000.0
	prefillTokenMS    = 1000 / prefillTokensPerS
	stepBaseMS        = 10.0
	stepPerRunningMS  = 0.4
	// prefillStepMS is the base time of a step that decodes nothing.
	prefillStepMS = 3.0
	// stepLimitMS is the length up to which a mixed engine fills a decode step with
	// prefill. It is slightly below tokenGapLimit.
	stepLimitMS = 27.0
	maxRunning  = 48
	cacheBlocks = 150
	// minPrefillChunk is the least prefill of a step, in tokens, so that prefill
	// progresses on an engine with a full batch.
	minPrefillChunk = 64
	// maxPrefillChunk bounds the prefill of a step, in tokens, on an engine
	// that has the prefill role or decodes nothing.
	maxPrefillChunk = 2000
	// kvTokensPerS is the rate of KV cache transfers between engines: 10 GB/s at
	// 100,000 bytes per token.
	kvTokensPerS = 10e9 / 100_000
	// firstTokenTimeout is the time after which a caller that has no first
	// token cancels.
	firstTokenTimeout = 5 * time.Second
)

var profile = planner.Profile{
	PrefillTokensPerS: prefillTokensPerS,
	StepBaseMS:        stepBaseMS,
	StepPerRunningMS:  stepPerRunningMS,
	MaxRunning:        maxRunning,
}

// job is a request on an engine.
type job struct {
	request  *request
	priority int
	seq      int
	// cached is the number of prompt tokens found in the prefix cache, uncached
	// the number of tokens left to prefill.
	cached    int
	uncached  float64
	output    int
	handOver  bool
	finishAt  int64
	decodable bool
}

// runningHeap orders jobs by the step at which they end.
type runningHeap []*job

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *runningHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// engineState is the stage of a modelled engine's life cycle.
type engineState int

const (
	starting engineState = iota
	live
	leaving
	gone
	crashed
)

// batch is a series of equal steps in progress.
type batch struct {
	start time.Duration
	step  time.Duration
	count int64
	// chunk is the number of prefill tokens per step, for the jobs at the head of
	// the queue.
	chunk float64
	// packed is the number of queued jobs whose prefill ends with the batch.
	packed int
}

// simEngine models continuous batching with chunked prefill. Consecutive equal
// steps are simulated as one batch, which a new arrival cuts short.
type simEngine struct {
	id           model.BackendID
	dc           model.DataCentreID
	kind         platform.BackendKind
	role         engine.Role
	state        engineState
	changingRole bool
	purpose      planner.Purpose
	// since and until bound the billed time; a negative until means no end yet.
	since time.Duration
	until time.Duration

	clock *clock
	cache *prefixCache
	queue []*job
	// imported jobs have their KV cache and wait for a place in the running set.
	imported        []*job
	running         runningHeap
	steps           int64
	current         *batch
	batchGeneration int
	seq             int

	onFirstToken func(j *job)
	onDone       func(j *job)
	onAbandon    func(j *job)
}

func (e *simEngine) submit(j *job) {
	e.seq++
	j.seq = e.seq
	blocks := e.cache.match(j.request.Prefix)
	j.cached = min(blocks*engine.BlockTokens, j.request.Prompt)
	if !j.decodable {
		j.uncached = float64(j.request.Prompt - j.cached + j.request.resumedTokens)
	}
	if j.decodable {
		e.cache.store(j.request.Prefix)
		e.imported = append(e.imported, j)
		e.interrupt()
		return
	}
	at, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *job) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.seq - b.seq
	})
	e.queue = slices.Insert(e.queue, max(at, e.jobsInBatch()), j)
	e.interrupt()
}

// jobsInBatch returns the number of queued jobs that the current batch
// processes.
func (e *simEngine) jobsInBatch() int {
	if e.current == nil || e.current.chunk == 0 {
		return 0
	}
	return max(1, e.current.packed)
}

// interrupt ends the current batch with its present step, so that a new arrival
// can join the next batch.
func (e *simEngine) interrupt() {
	b := e.current
	if b == nil {
		e.begin()
		return
	}
	if b.chunk > 0 && len(e.imported) == 0 {
		return
	}
	passed := int64((e.clock.now - b.start) / b.step)
	if passed+1 < b.count {
		b.count = passed + 1
		b.packed = 0
		e.schedule()
	}
}

func (e *simEngine) schedule() {
	e.batchGeneration++
	batchGeneration := e.batchGeneration
	b := e.current
	e.clock.at(b.start+time.Duration(b.count)*b.step, func() {
		if batchGeneration == e.batchGeneration {
			e.finish()
		}
	})
}

// begin starts the next batch of steps.
func (e *simEngine) begin() {
	if e.state == gone || e.state == crashed {
		return
	}
	e.admitJobs()
	n := len(e.running)
	chunk := e.chunk(n)
	hasPrefill := len(e.queue) > 0 && n < maxRunning
	if n == 0 && !hasPrefill {
		e.current = nil
		return
	}
	b := &batch{start: e.clock.now, count: math.MaxInt64}
	ms := stepBaseMS + stepPerRunningMS*float64(n)
	if n == 0 {
		ms = prefillStepMS
	} else {
		b.count = e.running[0].finishAt - e.steps
	}
	if hasPrefill {
		e.addPrefill(b, chunk, n)
		ms += b.chunk * prefillTokenMS
	}
	b.step = time.Duration(ms * float64(time.Millisecond))
	e.current = b
	e.schedule()
}

// admitJobs moves jobs with an imported KV cache into the running set, and
// drops jobs at the head of the queue whose callers have cancelled.
func (e *simEngine) admitJobs() {
	for len(e.imported) > 0 && len(e.running) < maxRunning {
		e.run(e.imported[0])
		e.imported = e.imported[1:]
	}
	for len(e.queue) > 0 {
		j := e.queue[0]
		if e.clock.now-j.request.At <= firstTokenTimeout || j.request.hasFirst {
			return
		}
		e.queue = e.queue[1:]
		e.onAbandon(j)
	}
}

func (e *simEngine) run(j *job) {
	j.finishAt = e.steps + int64(max(1, j.output))
	heap.Push(&e.running, j)
}

// chunk returns the number of prefill tokens that fit into a step with n
// decoding jobs.
func (e *simEngine) chunk(n int) float64 {
	if e.role == engine.RolePrefill || n == 0 {
		return maxPrefillChunk
	}
	room := stepLimitMS - stepBaseMS - stepPerRunningMS*float64(n)
	return max(minPrefillChunk, room/prefillTokenMS)
}

// addPrefill sets the prefill work of a batch: many steps for a long prompt, or
// one step for as many prompts as fit.
func (e *simEngine) addPrefill(b *batch, chunk float64, n int) {
	head := e.queue[0]
	if whole := int64(head.uncached / chunk); whole >= 1 && head.uncached > chunk {
		b.count = min(b.count, whole)
		b.chunk = chunk
		return
	}
	b.count = 1
	for _, j := range e.queue {
		if b.chunk+j.uncached > chunk || n+b.packed >= maxRunning {
			break
		}
		b.chunk += j.uncached
		b.packed++
	}
	// A step with prefill processes at least one token.
	b.chunk = max(1, b.chunk)
	b.packed = max(1, b.packed)
}

// finish applies the results of the current batch (prefill progress, first
// tokens and completed jobs) and starts the next one.
func (e *simEngine) finish() {
	b := e.current
	e.current = nil
	e.steps += b.count
	var ready []*job
	if b.packed > 0 {
		ready = slices.Clone(e.queue[:b.packed])
		e.queue = e.queue[b.packed:]
	} else if b.chunk > 0 {
		e.queue[0].uncached -= b.chunk * float64(b.count)
	}
	for len(e.running) > 0 && e.running[0].finishAt <= e.steps {
		e.onDone(heap.Pop(&e.running).(*job))
	}
	for _, j := range ready {
		e.cache.store(j.request.Prefix)
		j.output--
		handedOver := j.handOver && j.output > 0
		e.onFirstToken(j)
		switch {
		case j.output <= 0:
			e.onDone(j)
		case !handedOver:
			e.run(j)
		}
	}
	e.begin()
}

// takeAll removes and returns all jobs. The output of running jobs is set to the
// number of tokens that they have left.
func (e *simEngine) takeAll() []*job {
	passed := e.steps
	if b := e.current; b != nil {
		passed += int64((e.clock.now - b.start) / b.step)
	}
	var jobs []*job
	for _, j := range e.running {
		j.output = int(max(1, j.finishAt-passed))
		j.decodable = true
		jobs = append(jobs, j)
	}
	jobs = append(jobs, e.imported...)
	jobs = append(jobs, e.queue...)
	e.imported = nil
	slices.SortFunc(jobs, func(a, b *job) int { return a.seq - b.seq })
	e.running = nil
	e.queue = nil
	e.current = nil
	e.batchGeneration++
	return jobs
}

// load returns the engine's load report.
func (e *simEngine) load(now time.Time) engine.LoadReport {
	n := len(e.running)
	step := stepBaseMS + stepPerRunningMS*float64(n)
	rate := prefillTokensPerS * max(0.1, 1-step/stepLimitMS)
	if e.role == engine.RolePrefill || n == 0 {
		rate = prefillTokensPerS * 0.95
	}
	queued := 0.0
	for _, j := range e.queue {
		queued += j.uncached
	}
	if b := e.current; b != nil && b.packed == 0 && b.chunk > 0 {
		queued -= b.chunk * float64((e.clock.now-b.start)/b.step)
	}
	return engine.LoadReport{
		Backend:              e.id,
		TimeMS:               now.UnixMilli(),
		Role:                 e.role,
		Running:              n,
		Queued:               len(e.queue) + len(e.imported),
		QueuedPrefillTokens:  int(max(0, queued)),
		PrefillTokensPerS:    rate,
		DecodeStepMS:         step,
		CacheBlocks:          len(e.cache.blocks),
		CacheBlocksLimit:     cacheBlocks,
		MaxRunning:           maxRunning,
		RoleChangeInProgress: e.changingRole,
	}
}

func (e *simEngine) requests() int {
	return len(e.queue) + len(e.imported) + len(e.running)
}
