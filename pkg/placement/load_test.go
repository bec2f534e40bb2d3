package placement

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// The tests below simulate a load of long shared documents, chat histories and short
// questions. Documents start with one of about 550 shared parts. The mix alternates every
// 2.8 s. Eight hosts exchange reports every 200 ms unless a test says otherwise, and
// engines prefill in order of arrival.

type loadRequest struct {
	at       time.Duration
	parts    []Part
	prompt   int
	deadline time.Duration
	kind     int
}

func lognormal(r *rand.Rand, mean, spread, limit float64) int {
	s := math.Sqrt(math.Log(1 + spread*spread))
	v := math.Exp(math.Log(mean) - s*s/2 + s*r.NormFloat64())
	return int(min(max(v, 16), limit))
}

// alternatingLoad generates the requests of a time span. scale multiplies the request
// rates.
func alternatingLoad(seed uint64, length time.Duration, scale float64) []loadRequest {
	r := rand.New(rand.NewPCG(seed, 3))
	sizes := map[uint64]int{}
	part := func(id uint64, mean, spread, limit float64) Part {
		if sizes[id] == 0 {
			sizes[id] = lognormal(r, mean, spread, limit)
		}
		return Part{ID: id, Tokens: sizes[id]}
	}
	var list []loadRequest
	ownPart := uint64(1 << 40)
	for at := time.Duration(0); at < length; {
		swing := 1.0
		if int(at/(2800*time.Millisecond))%2 == 1 {
			swing = 1.8
		}
		rates := []float64{81 * scale, 60 * scale * swing, 87 * scale * (2.4 - swing)}
		total := rates[0] + rates[1] + rates[2]
		at += time.Duration(r.ExpFloat64() / total * float64(time.Second))
		ownPart++
		q := loadRequest{at: at}
		switch u := r.Float64() * total; {
		case u < rates[0]:
			q.kind, q.deadline = 0, 400*time.Millisecond
			q.parts = []Part{part(1000+uint64(r.IntN(551)), 13300, 0.7, 39900), {ownPart, lognormal(r, 3720, 1.1, 53200)}}
		case u < rates[0]+rates[1]:
			q.kind, q.deadline = 1, 600*time.Millisecond
			q.parts = []Part{part(uint64(r.IntN(4)), 2520, 0.4, 6290), part(5000+uint64(r.IntN(411)), 3780, 0.7, 11300), {ownPart, lognormal(r, 2890, 1, 39600)}}
		default:
			q.kind, q.deadline = 2, 800*time.Millisecond
			q.parts = []Part{part(100+uint64(r.IntN(20)), 210, 0.4, 524), part(8000+uint64(r.IntN(593)), 140, 0.7, 419), {ownPart, lognormal(r, 1110, 1, 3790)}}
		}
		for _, p := range q.parts {
			q.prompt += p.Tokens
		}
		list = append(list, q)
	}
	return list
}

// simEngine is a simulated engine with its actual queue and cache.
type simEngine struct {
	backend Backend
	freeAt  time.Duration
	cache   partCache
}

const (
	simDecodeRate  = 32.0
	simPrefillRate = 95.0
)

func (e *simEngine) rate() float64 {
	if e.backend.Stage == StagePrefill {
		return simPrefillRate
	}
	return simDecodeRate
}

// prefill prefills a prompt and returns when it ends. fetched is the number of tokens
// fetched from another engine.
func (e *simEngine) prefill(at time.Duration, parts []Part, prompt, fetched int) time.Duration {
	cached := max(fetched, e.cache.prefixTokens(parts))
	work := fromMillis(float64(prompt-min(cached, prompt)) / e.rate())
	e.freeAt = max(e.freeAt, at) + work
	e.cache.add(parts)
	return e.freeAt
}

func newEngines(prefillers, decoders int) map[model.BackendID]*simEngine {
	engines := map[model.BackendID]*simEngine{}
	for i := range prefillers + decoders {
		stage := StageDecode
		if i < prefillers {
			stage = StagePrefill
		}
		id := model.BackendID(fmt.Sprintf("e%02d", i))
		e := &simEngine{backend: Backend{
			ID: id, Service: "m", Address: string(id), DataCentre: model.DataCentreID(fmt.Sprint("z", i%3)), Stage: stage, Slots: 128,
			Engine: &EngineTraits{CacheTokens: 1182127, TransferTokensPerMS: 3700},
		}}
		e.cache.limitTokens = 1100000
		engines[id] = e
	}
	return engines
}

// sortedEngines returns the engines ordered by ID, so that the simulation is deterministic.
func sortedEngines(engines map[model.BackendID]*simEngine) []*simEngine {
	var list []*simEngine
	for _, id := range slices.Sorted(maps.Keys(engines)) {
		list = append(list, engines[id])
	}
	return list
}

// loadResult summarises a simulated load.
type loadResult struct {
	inTime [3]float64
	all    float64
	// pairs is the number of pairs of a host and an engine that were connected.
	pairs int
}

// event is a callback at a simulated time.
type event struct {
	at  time.Duration
	run func(now time.Time)
}

// String implements fmt.Stringer.
func (o loadResult) String() string {
	return fmt.Sprintf("{in time %.3f, by kind %.3f, connected pairs %d}", o.all, o.inTime, o.pairs)
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

var epoch = time.Unix(1000, 0)

// simulateFleets simulates hosts that place the requests of a load with Fleet and exchange
// reports at an interval.
func simulateFleets(load []loadRequest, engines map[model.BackendID]*simEngine, hosts int, interval time.Duration) loadResult {
	return simulateSettings(load, engines, hosts, interval, DefaultSettings())
}

// simulateSettings is simulateFleets with the given settings.
func simulateSettings(load []loadRequest, engines map[model.BackendID]*simEngine, hosts int, interval time.Duration, s Settings) loadResult {
	return simulateDelayed(load, engines, hosts, interval, 0, s)
}

// simulateDelayed is simulateSettings with reports that arrive late, by 0.5 to 1.5 times
// the delay.
func simulateDelayed(load []loadRequest, engines map[model.BackendID]*simEngine, hosts int, interval, delay time.Duration, s Settings) loadResult {
	fleets := newFleets(engines, hosts, s)
	used := map[[2]string]bool{}
	var queue eventQueue
	r := rand.New(rand.NewPCG(9, 9))
	first := make([]time.Duration, len(load))
	exchangeReports(&queue, fleets, interval, delay, r)
	for n, q := range load {
		for queue.Len() > 0 && queue[0].at <= q.at {
			e := heap.Pop(&queue).(event)
			e.run(epoch.Add(e.at))
		}
		host := r.IntN(hosts)
		f := fleets[host]
		now := epoch.Add(q.at)
		request := &Request{Service: "m", Parts: q.parts, PromptTokens: q.prompt}
		plan, ok := f.Place(request, now)
		if !ok {
			continue
		}
		ticket := f.Send(plan, request, now)
		used[[2]string{fmt.Sprint(host), string(plan.Run.ID)}] = true
		used[[2]string{fmt.Sprint(host), string(plan.Prefiller().ID)}] = true
		fetched, at := 0, q.at
		if plan.Fetch != nil {
			fetched = engines[plan.Fetch.ID].cache.prefixTokens(sharedParts(q.parts))
			at += 8 * time.Millisecond
		}
		prefiller := engines[plan.Prefiller().ID]
		done := prefiller.prefill(at, q.parts, q.prompt, fetched)
		if plan.Prefill != nil {
			heap.Push(&queue, event{done, func(now time.Time) {
				f.PrefillDone(ticket, now)
				f.PlaceDecode(ticket, request, now)
			}})
			done += 14 * time.Millisecond
		}
		done += 60 * time.Millisecond
		heap.Push(&queue, event{done, func(now time.Time) { f.FirstEvent(ticket, now) }})
		heap.Push(&queue, event{done + 500*time.Millisecond, func(now time.Time) { f.Done(ticket, Served, now) }})
		first[n] = done - q.at
	}
	o := evaluateLoad(load, first)
	o.pairs = len(used)
	return o
}

// newFleets returns the fleets of hosts in three data centres.
func newFleets(engines map[model.BackendID]*simEngine, hosts int, s Settings) []*Fleet {
	fleets := make([]*Fleet, hosts)
	for i := range fleets {
		s.DataCentre = model.DataCentreID(fmt.Sprint("z", i%3))
		fleets[i] = NewFleet(s)
		fleets[i].SetHostPosition(i/3, (hosts-i%3+2)/3)
		for _, e := range sortedEngines(engines) {
			fleets[i].Update(e.backend)
		}
	}
	return fleets
}

// exchangeReports schedules the reports of all hosts to each other, which arrive late by 0.5
// to 1.5 times the delay.
func exchangeReports(queue *eventQueue, fleets []*Fleet, interval, delay time.Duration, r *rand.Rand) {
	var exchange func(i int) func(time.Time)
	exchange = func(i int) func(time.Time) {
		return func(now time.Time) {
			report := fleets[i].Report()
			for j, f := range fleets {
				if i != j {
					arrival := now.Sub(epoch) + delay/2
					if delay > 0 {
						arrival += time.Duration(r.Int64N(int64(delay)))
					}
					heap.Push(queue, event{arrival, func(now time.Time) { f.HandleReport(fmt.Sprint("h", i), report, now) }})
				}
			}
			heap.Push(queue, event{now.Sub(epoch) + interval, exchange(i)})
		}
	}
	for i := range fleets {
		heap.Push(queue, event{interval * time.Duration(i) / time.Duration(len(fleets)), exchange(i)})
	}
}

// simulateAffinity is the cache affinity baseline: every prompt goes to the home engine of
// its shared parts, and there are only decode engines.
func simulateAffinity(load []loadRequest, engines map[model.BackendID]*simEngine) loadResult {
	var servers []*server
	for _, e := range sortedEngines(engines) {
		servers = append(servers, &server{Backend: e.backend})
	}
	first := make([]time.Duration, len(load))
	for n, q := range load {
		e := engines[homeEngine(q.parts, servers).ID]
		first[n] = e.prefill(q.at, q.parts, q.prompt, 0) + 60*time.Millisecond - q.at
	}
	return evaluateLoad(load, first)
}

// simulateLeastQueued is the baseline that knows all queues exactly but ignores caches.
func simulateLeastQueued(load []loadRequest, engines map[model.BackendID]*simEngine) loadResult {
	list := sortedEngines(engines)
	first := make([]time.Duration, len(load))
	for n, q := range load {
		var best *simEngine
		for _, e := range list {
			if best == nil || e.freeAt < best.freeAt {
				best = e
			}
		}
		first[n] = best.prefill(q.at, q.parts, q.prompt, 0) + 60*time.Millisecond - q.at
	}
	return evaluateLoad(load, first)
}

func evaluateLoad(load []loadRequest, first []time.Duration) loadResult {
	var n, onTime [3]float64
	for i, q := range load {
		if q.at < 3*time.Second {
			continue
		}
		n[q.kind]++
		if first[i] > 0 && first[i] <= q.deadline {
			onTime[q.kind]++
		}
	}
	var o loadResult
	for k := range n {
		o.inTime[k] = onTime[k] / n[k]
		o.all += onTime[k]
	}
	o.all /= n[0] + n[1] + n[2]
	return o
}

func TestSwingingLoadIsServedInTime(t *testing.T) {
	for seed := range uint64(3) {
		load := alternatingLoad(seed, 20*time.Second, 1)
		placed := simulateFleets(load, newEngines(24, 10), 8, 200*time.Millisecond)
		affinity := simulateAffinity(load, newEngines(0, 34))
		least := simulateLeastQueued(load, newEngines(0, 34))
		t.Logf("seed %d: placed %s, affinity %s, least queued %s", seed, placed, affinity, least)
		assert.Greater(t, placed.all, 0.9)
		assert.Greater(t, placed.all, affinity.all+0.05)
		assert.Greater(t, placed.all, least.all+0.05)
		for kind, share := range placed.inTime {
			assert.Greater(t, share, 0.75, "kind %d", kind)
		}
	}
}

func TestOverloadAfterTheLossOfADataCentreStarvesNoKind(t *testing.T) {
	load := alternatingLoad(7, 20*time.Second, 1.1)
	placed := simulateFleets(load, newEngines(18, 7), 8, 200*time.Millisecond)
	affinity := simulateAffinity(load, newEngines(0, 25))
	t.Logf("placed %s, affinity %s", placed, affinity)
	assert.Greater(t, placed.all, affinity.all)
	for kind, share := range placed.inTime {
		assert.Greater(t, share, 0.25*placed.all, "kind %d", kind)
	}
}

func TestManyHostsWithOldReportsServeInTime(t *testing.T) {
	load := alternatingLoad(11, 10*time.Second, 3)
	placed := simulateFleets(load, newEngines(72, 30), 64, 600*time.Millisecond)
	t.Logf("placed %s", placed)
	assert.Greater(t, placed.all, 0.9)
}

// Many small hosts each send to an engine only every few seconds. Where costs are about
// equal, a host should return to the engines it is already connected to.
func TestHostsWithPreferencesUseFewerConnections(t *testing.T) {
	load := alternatingLoad(20, 5*time.Second, 2)
	s := DefaultSettings()
	with := simulateSettings(load, newEngines(63, 27), 88, 600*time.Millisecond, s)
	s.Preference, s.CrossDataCentre = 0, 0
	without := simulateSettings(load, newEngines(63, 27), 88, 600*time.Millisecond, s)
	t.Logf("with preferences %s, without %s", with, without)
	assert.Less(t, float64(with.pairs), 0.8*float64(without.pairs))
	assert.Greater(t, with.all, without.all-0.01)
}

func TestPrefillWorkCountsWhatAllHostsHaveSent(t *testing.T) {
	a, b := NewFleet(DefaultSettings()), NewFleet(DefaultSettings())
	for _, e := range newEngines(2, 1) {
		a.Update(e.backend)
		b.Update(e.backend)
	}
	for _, f := range []*Fleet{a, b} {
		request := &Request{Service: "m", Parts: []Part{{1, 9000}, {2, 1000}}, PromptTokens: 10000}
		plan, ok := f.Place(request, epoch)
		assert.True(t, ok)
		f.Send(plan, request, epoch)
	}
	own := a.PrefillWork("m")
	assert.Positive(t, own)
	a.HandleReport("b", b.Report(), epoch)
	assert.InDelta(t, float64(2*own), float64(a.PrefillWork("m")), float64(time.Microsecond))
	a.HandleReport("b", b.Report(), epoch)
	assert.InDelta(t, float64(2*own), float64(a.PrefillWork("m")), float64(time.Microsecond), "each send is reported once")
}

// 88 small hosts after two data centres have lost their spot engines: half of the prefill
// engines are busy. If all hosts exchange reports directly, a request has ended before the
// other hosts hear of it.
func TestHostsThatReportThroughRelaysServeMoreInTime(t *testing.T) {
	s := DefaultSettings()
	for _, seed := range []uint64{20, 21} {
		load := alternatingLoad(seed, 4*time.Second, 3.3)
		relayed := simulateDelayed(load, newEngines(63, 27), 88, 100*time.Millisecond, 150*time.Millisecond, s)
		direct := simulateSettings(load, newEngines(63, 27), 88, 650*time.Millisecond, s)
		t.Logf("seed %d: through relays %s, with all hosts %s", seed, relayed, direct)
		assert.Greater(t, relayed.all, 0.9)
		assert.Greater(t, relayed.all, direct.all+0.1)
		for kind, share := range relayed.inTime {
			assert.Greater(t, share, direct.inTime[kind], "kind %d", kind)
		}
	}
}

func TestPreferenceCostGrowsWithTheDistanceAndTheNumberOfHosts(t *testing.T) {
	s := DefaultSettings()
	s.PreferenceHosts = 9
	f := NewFleet(s)
	for _, e := range newEngines(30, 0) {
		f.Update(e.backend)
	}
	cost := func(id model.BackendID) time.Duration {
		f.updatePreferences(f.services["m"])
		return f.servers[id].preferenceCost
	}
	assert.Zero(t, cost("e00"), "a host that knows no others has no preference")
	// Each data centre has ten engines and ten hosts.
	f.SetHostPosition(0, 10)
	assert.Zero(t, cost("e00"))
	assert.InDelta(t, float64(f.settings.Preference/4), float64(cost("e03")), 1000, "the next engine on the ring")
	assert.InDelta(t, float64(f.settings.Preference/4), float64(cost("e27")), 1000, "the previous engine on the ring")
	assert.Equal(t, f.settings.Preference, cost("e15"))
	f.settings.PreferenceHosts = 27
	f.SetHostPosition(0, 9)
	f.SetHostPosition(0, 10)
	assert.InDelta(t, float64(f.settings.Preference/3), float64(cost("e15")), 1000)
	gone := f.servers["e00"].Backend
	f.Remove(gone.ID)
	assert.Positive(t, cost("e15"))
	assert.InDelta(t, 0.0, float64(cost("e03")), float64(f.settings.Preference)/4, "the next engine takes the place of the removed one")
}

// The load of peers is kept as running sums per server. Guards against sums that drift when
// reports are replaced or peers and servers are removed.
func TestLoadOfPeersIsTheSumOfTheirLatestReports(t *testing.T) {
	f := NewFleet(DefaultSettings())
	for _, e := range newEngines(3, 3) {
		f.Update(e.backend)
	}
	hear := func(peer string, running int, unread float64, ids ...model.BackendID) {
		var l Load
		for _, id := range ids {
			l = append(l, ServerLoad{Backend: id, Running: running, UnreadMS: unread})
		}
		f.HandleReport(peer, Report{Load: l}, epoch)
	}
	sums := func(id model.BackendID) (int, time.Duration) {
		return f.servers[id].totalRunning(), f.servers[id].peersPendingPrefill
	}
	check := func(id model.BackendID, running int, unread time.Duration) {
		t.Helper()
		n, work := sums(id)
		assert.Equal(t, running, n, id)
		assert.Equal(t, unread, work, id)
	}
	hear("a", 2, 10, "e00", "e01", "unknown")
	hear("b", 3, 20, "e01", "e02")
	check("e00", 2, 10*time.Millisecond)
	check("e01", 5, 30*time.Millisecond)
	hear("a", 1, 0, "e01")
	check("e00", 0, 0)
	check("e01", 4, 20*time.Millisecond)
	f.Remove("e02")
	f.RemovePeerLoad("b")
	check("e01", 1, 0)
	f.RemovePeerLoad("a")
	check("e01", 0, 0)
	f.RemovePeerLoad("a")
	check("e01", 0, 0)
	for id := range f.servers {
		check(id, 0, 0)
	}
	assert.Empty(t, f.peerLoads)
}
