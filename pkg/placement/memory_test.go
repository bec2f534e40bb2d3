package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Simulated decode engines with memory serve a load of full, history and short questions.
// What does not fit waits; what outgrows the memory preempts the newest request.
const (
	simMemory   = 444000
	simSlots    = 48
	simStep     = 14 * time.Millisecond
	simGrowths  = 4
	simPatience = 2 * time.Second
	// simMaxOutput is the ratio of the stated maximum of output tokens to what is produced.
	simMaxOutput = 3
)

// simRun is a request at a decode engine.
type simRun struct {
	request *Request
	output  int
	grown   int
	// read is set once the prompt is in the engine's memory.
	read bool
	// life counts admissions, so that events of earlier ones are ignored.
	life    int
	started bool
	onFirst func(now time.Time)
	onEnd   func(now time.Time)
}

func (r *simRun) own() int {
	own := r.request.PromptTokens + r.grown*r.output/simGrowths
	for _, p := range sharedParts(r.request.Parts) {
		own -= p.Tokens
	}
	return max(own, 0)
}

// memEngine is a simulated decode engine with a batch and memory.
type memEngine struct {
	*simEngine
	queue          *eventQueue
	batch, waiting []*simRun
	held           []*simRun
	preempted      int
}

// used returns the tokens in use, also by one more request if it is not nil.
func (e *memEngine) used(more *simRun) int {
	runs := e.batch
	if more != nil {
		runs = append(slices.Clip(runs), more)
	}
	tokens, seen := 0, map[uint64]bool{}
	for _, r := range runs {
		tokens += r.own()
		for _, p := range sharedParts(r.request.Parts) {
			if !seen[p.ID] {
				seen[p.ID] = true
				tokens += p.Tokens
			}
		}
	}
	return tokens
}

func (e *memEngine) add(r *simRun, now time.Time) {
	e.waiting = append(e.waiting, r)
	e.admit(now)
}

func (e *memEngine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.batch) < simSlots && e.used(e.waiting[0]) <= simMemory {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, r)
		r.life++
		at := now.Sub(epoch)
		e.cache.limitTokens = max(simMemory-e.used(nil)/2, simMemory/4)
		if !r.read {
			at = e.prefill(at, r.request.Parts, r.request.PromptTokens+r.grown*r.output/simGrowths, 0)
		}
		r.read = true
		e.cache.add(r.request.Parts)
		e.at(at+60*time.Millisecond, r, func(now time.Time) {
			if !r.started {
				r.started = true
				r.onFirst(now)
			}
			e.grow(r, now)
		})
	}
}

// at schedules an event of a request, which is dropped if the request is preempted.
func (e *memEngine) at(at time.Duration, r *simRun, run func(now time.Time)) {
	life := r.life
	heap.Push(e.queue, event{at, func(now time.Time) {
		if r.life == life && slices.Contains(e.batch, r) {
			run(now)
		}
	}})
}

// grow plays the next tokens of a response, or its end.
func (e *memEngine) grow(r *simRun, now time.Time) {
	if r.grown == simGrowths {
		e.batch = slices.DeleteFunc(e.batch, func(o *simRun) bool { return o == r })
		r.onEnd(now)
		e.admit(now)
		return
	}
	r.grown++
	for e.used(nil) > simMemory {
		newest := e.batch[len(e.batch)-1]
		e.batch = e.batch[:len(e.batch)-1]
		newest.read = false
		e.waiting = slices.Insert(e.waiting, 0, newest)
		e.preempted++
	}
	step := time.Duration(r.output) * simStep / simGrowths
	e.at(now.Sub(epoch)+step, r, func(now time.Time) { e.grow(r, now) })
}

type memoryResult struct {
	loadResult
	preempted, refused int
	// error is the mean of the hosts' estimates of an engine's memory in use less the actual
	// value, as a share of the engine's memory, and used the mean of the latter.
	error, used float64
}

func (o memoryResult) String() string {
	return fmt.Sprintf("{in time %.3f, by kind %.3f, preempted %d, refused %d, used %.2f, error %+.3f}", o.all, o.inTime, o.preempted, o.refused, o.used, o.error)
}

// simulateMemory simulates 66 hosts whose reports are late.
func simulateMemory(load []loadRequest, prefillers, decoders int, limit bool) memoryResult {
	const hosts, interval, delay = 66, 100 * time.Millisecond, 150 * time.Millisecond
	engines := newEngines(prefillers, decoders)
	var queue eventQueue
	batches := map[model.BackendID]*memEngine{}
	for id, e := range engines {
		e.backend.Slots, e.cache.limitTokens = simSlots, simMemory
		e.backend.Engine = &EngineTraits{CacheTokens: simMemory, TransferTokensPerMS: 3700, LimitMemory: limit}
		batches[id] = &memEngine{simEngine: e, queue: &queue}
	}
	fleets := newFleets(engines, hosts, DefaultSettings())
	r := rand.New(rand.NewPCG(9, 9))
	exchangeReports(&queue, fleets, interval, delay, r)
	first := make([]time.Duration, len(load))
	var o memoryResult
	samples := 0.0
	for n, q := range load {
		for queue.Len() > 0 && queue[0].at <= q.at {
			e := heap.Pop(&queue).(event)
			e.run(epoch.Add(e.at))
		}
		f := fleets[r.IntN(hosts)]
		now := epoch.Add(q.at)
		output := lognormal(r, 90, 0.8, 600)
		request := &Request{Service: "m", Parts: q.parts, PromptTokens: q.prompt, OutputTokens: simMaxOutput * output}
		plan, ok := f.Place(request, now)
		if !ok || plan.Predicted > simPatience {
			o.refused++
			continue
		}
		if n%50 == 0 && q.at > 2*time.Second {
			for id, e := range batches {
				s := f.servers[id]
				if s.Stage == StagePrefill {
					continue
				}
				used := e.used(nil)
				if limit {
					committed := &memEngine{simEngine: e.simEngine, batch: e.held}
					o.error += float64(s.memoryUsed()-committed.used(nil)) / simMemory
				}
				o.used += float64(used) / simMemory
				samples++
			}
		}
		ticket := f.Send(plan, request, now)
		run := &simRun{request: request, output: output}
		run.onFirst = func(now time.Time) {
			first[n] = now.Sub(epoch) - q.at
			f.FirstEvent(ticket, now)
		}
		at := batches[plan.Run.ID]
		at.held = append(at.held, run)
		move := func() { at.held = slices.DeleteFunc(at.held, func(o *simRun) bool { return o == run }) }
		run.onEnd = func(now time.Time) { f.Done(ticket, Served, now); move() }
		if plan.Prefill == nil {
			batches[plan.Run.ID].add(run, now)
			continue
		}
		fetched := 0
		if plan.Fetch != nil {
			fetched = engines[plan.Fetch.ID].cache.prefixTokens(sharedParts(q.parts))
		}
		read := engines[plan.Prefill.ID].prefill(q.at, q.parts, q.prompt, fetched)
		heap.Push(&queue, event{read, func(now time.Time) {
			f.PrefillDone(ticket, now)
			server, _ := f.PlaceDecode(ticket, request, now)
			move()
			at = batches[server.ID]
			at.held = append(at.held, run)
			run.read = true
			heap.Push(&queue, event{now.Sub(epoch) + 14*time.Millisecond, func(now time.Time) { batches[server.ID].add(run, now) }})
		}})
	}
	for _, e := range batches {
		o.preempted += e.preempted
	}
	o.loadResult = evaluateLoad(load, first)
	o.error, o.used = o.error/samples, o.used/samples
	return o
}

// memoryLoad is a load of a mix of kinds, 0.3 of the short questions for a load that fills
// the memory before the slots. If hot is set, all documents start with one of 20 parts.
func memoryLoad(seed uint64, short float64, hot bool) []loadRequest {
	r := rand.New(rand.NewPCG(4, 4))
	load := slices.DeleteFunc(alternatingLoad(seed, 7*time.Second, 3), func(q loadRequest) bool { return q.kind == 2 && r.Float64() >= short })
	sizes := map[uint64]int{}
	for i := range load {
		if !hot || load[i].kind != 0 {
			continue
		}
		document := &load[i].parts[0]
		load[i].prompt -= document.Tokens
		document.ID = 1000 + document.ID%20
		if sizes[document.ID] == 0 {
			sizes[document.ID] = document.Tokens
		}
		document.Tokens = sizes[document.ID]
		load[i].prompt += document.Tokens
	}
	return load
}

// meanMemory returns the mean of several simulated loads, and the sum of preempted requests.
func meanMemory(decoders int, short float64, hot, limit bool) memoryResult {
	const seeds = 2
	var sum memoryResult
	for seed := range uint64(seeds) {
		o := simulateMemory(memoryLoad(seed+20, short, hot), 68, decoders, limit)
		sum.all += o.all / seeds
		for kind := range o.inTime {
			sum.inTime[kind] += o.inTime[kind] / seeds
		}
		sum.preempted += o.preempted
		sum.refused += o.refused
		sum.error += o.error / seeds
		sum.used += o.used / seeds
	}
	return sum
}

// Guards against a decision that costs callers time, and against an estimate that is far from
// the memory in use. The figures are means of two loads.
func TestMemoryDecisionServesMoreInTime(t *testing.T) {
	for name, c := range map[string]struct {
		decoders int
		short    float64
		hot      bool
		minGain  float64
		maxError float64
	}{
		"memory nearly full":         {20, 0.3, false, 0.005, 0.03},
		"memory left":                {28, 1, false, -0.005, 0.03},
		"few documents, nearly full": {15, 0.3, true, -0.03, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			without := meanMemory(c.decoders, c.short, c.hot, false)
			with := meanMemory(c.decoders, c.short, c.hot, true)
			t.Logf("with %s, without %s", with, without)
			assert.GreaterOrEqual(t, with.all, without.all+c.minGain)
			for kind := range with.inTime {
				assert.GreaterOrEqual(t, with.inTime[kind], without.inTime[kind]-0.02, "kind %d", kind)
			}
			assert.LessOrEqual(t, with.preempted, without.preempted+5)
			assert.InDelta(t, 0, with.error, c.maxError, "the estimate")
		})
	}
}

// memoryFleet returns a fleet with one engine whose memory is counted.
func memoryFleet(limit bool) *Fleet {
	f := NewFleet(DefaultSettings())
	f.Update(memoryBackend(1, limit))
	return f
}

func memoryBackend(incarnation int64, limit bool) Backend {
	return Backend{ID: "e", Incarnation: incarnation, Service: "m", Stage: StageDecode, Slots: simSlots, Engine: &EngineTraits{CacheTokens: simMemory, LimitMemory: limit}}
}

func sendOne(t *testing.T, f *Fleet, own int) *Ticket {
	t.Helper()
	request := &Request{Service: "m", Parts: []Part{{1, 10000}, {uint64(own), own}}, PromptTokens: 10000 + own, OutputTokens: 200}
	plan, ok := f.Place(request, epoch)
	assert.True(t, ok)
	return f.Send(plan, request, epoch)
}

// Guards against sums that drift: parts that requests share count once, and the end of all
// requests leaves nothing.
func TestMemoryOfRequestsIsReleasedOnce(t *testing.T) {
	f := memoryFleet(true)
	first, second := sendOne(t, f, 1000), sendOne(t, f, 2000)
	assert.Equal(t, 10000+1000+100+2000+100, f.EngineMemories()[0].Own)
	assert.Equal(t, 13200/tokensPerUnit+1, f.Report().Load[0].Tokens)
	f.Done(first, Served, epoch)
	f.Done(first, Served, epoch)
	assert.Equal(t, 10000+2000+100, f.EngineMemories()[0].Own)
	f.Done(second, Failed, epoch)
	assert.Zero(t, f.EngineMemories()[0].Own)
	assert.Empty(t, f.servers["e"].memory.shared)
}

// Guards against memory of an engine's earlier life, or of a silent peer, that stays counted.
func TestMemoryOfEndedLivesAndPeersIsNotCounted(t *testing.T) {
	f := memoryFleet(true)
	ticket := sendOne(t, f, 1000)
	f.HandleReport("p", Report{Load: Load{{Backend: "e", Tokens: 4}}}, epoch)
	assert.Equal(t, 4*tokensPerUnit, f.EngineMemories()[0].Peers)
	f.RemovePeerLoad("p")
	assert.Zero(t, f.EngineMemories()[0].Peers)
	f.Update(memoryBackend(2, true))
	assert.Zero(t, f.EngineMemories()[0].Own)
	f.Done(ticket, Failed, epoch)
	assert.Zero(t, f.EngineMemories()[0].Own)
}

// Guards against memory that is counted or reported where callers have quotas.
func TestMemoryIsNotCountedUnlessAskedFor(t *testing.T) {
	f := memoryFleet(false)
	sendOne(t, f, 1000)
	assert.Zero(t, f.Report().Load[0].Tokens)
	assert.Empty(t, f.EngineMemories())
	_, tooLarge := f.TooLarge(&Request{Service: "m", PromptTokens: simMemory + 1})
	assert.False(t, tooLarge)
}

// Guards against a request that waits for memory that no engine has.
func TestRequestLargerThanEveryEngineIsTooLarge(t *testing.T) {
	f := memoryFleet(true)
	largest, tooLarge := f.TooLarge(&Request{Service: "m", PromptTokens: simMemory + 1})
	assert.True(t, tooLarge)
	assert.Equal(t, simMemory, largest)
	_, tooLarge = f.TooLarge(&Request{Service: "m", PromptTokens: simMemory})
	assert.False(t, tooLarge)
}

// Guards against a full engine that a request is not predicted to wait for.
func TestRequestWaitsForMemory(t *testing.T) {
	f := memoryFleet(true)
	request := &Request{Service: "m", PromptTokens: 20000}
	empty, _ := f.Place(request, epoch)
	f.HandleReport("p", Report{Load: Load{{Backend: "e", Tokens: 480000 / tokensPerUnit}}}, epoch)
	full, _ := f.Place(request, epoch)
	assert.Greater(t, full.Predicted, empty.Predicted+10*time.Millisecond)
}
