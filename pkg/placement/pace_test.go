package placement

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// The tests below play questions of 1,500 tokens at engines that process them in order of
// arrival, 30 and one more that starts or recovers, from 66 hosts that exchange updates every
// 200 ms, 75 to 225 ms late.

const (
	startHosts     = 66
	startTarget    = 400 * time.Millisecond
	startWork      = 47 * time.Millisecond
	startExchange  = 200 * time.Millisecond
	startMaxDelay  = 225 * time.Millisecond
	startMinDelay  = 75 * time.Millisecond
	startBeginning = 3200 * time.Millisecond
)

// startPlay is a load that is played at hosts and engines.
type startPlay struct {
	findPace bool
	// servers is the number of servers that are there from the start, watched the one that
	// starts or recovers.
	servers, watched int
	perSecond        float64
	length           time.Duration
	// speed is the speed of a server, 1 for an ordinary one, 0 for one that fails all.
	speed func(server int, at time.Duration) float64
	// at are changes of the fleets at times.
	at map[time.Duration]func(p *startPlay, now time.Time)
	// loss is the share of updates that are lost on the way to a host.
	loss float64

	seed    uint64
	names   []string
	fleets  []*Fleet
	stopped map[int]bool
	queue   eventQueue
	freeAt  []time.Duration
	random  *rand.Rand
}

// startResult counts requests from startBeginning on.
type startResult struct {
	all, inTime, refused int
	// failed counts failed attempts, watched the attempts at the
	// watched server by second.
	failed  int
	watched [30]int
	// longest is the longest time to the first event at the watched server.
	longest time.Duration
}

func (r *startResult) String() string {
	return fmt.Sprintf("in time %d of %d, refused %d, failed attempts %d, longest %v, by second at the watched server %v", r.inTime, r.all, r.refused, r.failed, r.longest, r.watched[:14])
}

func (p *startPlay) register(f *Fleet, n int, life int64, now time.Time) {
	b := Backend{ID: model.BackendID(fmt.Sprintf("i-%02d", n)), Incarnation: life, Service: "m", Stage: StageDecode, Slots: 48, Engine: &EngineTraits{CacheTokens: 700000, TransferTokensPerMS: 2700}}
	b.Start = &StartTraits{FindPace: p.findPace}
	if known, ok := f.Get(b.ID); ok && known.Incarnation != life {
		f.Remove(b.ID)
	}
	f.Update(b)
	f.NoteCold(b.ID, life, now, now)
}

// registerAll registers a server at all hosts, which learn of it one after the other.
func (p *startPlay) registerAll(n int, life int64, now time.Time) {
	for _, f := range p.fleets {
		delay := time.Duration(p.random.Int64N(int64(startMaxDelay)))
		heap.Push(&p.queue, event{now.Sub(epoch) + delay, func(now time.Time) { p.register(f, n, life, now) }})
	}
}

// observer returns the host that observes a server.
func (p *startPlay) observer(id model.BackendID) int {
	for i, f := range p.fleets {
		if f.userRank(id, f.hosts) == 0 {
			return i
		}
	}
	return -1
}

func (p *startPlay) exchange(i int) func(now time.Time) {
	return func(now time.Time) {
		if p.stopped[i] {
			return
		}
		report, limits := p.fleets[i].Report(), p.fleets[i].Limits(true, now)
		delay := startMinDelay + time.Duration(p.random.Int64N(int64(startMaxDelay-startMinDelay)))
		for k := range limits {
			limits[k].Age += delay
		}
		heap.Push(&p.queue, event{now.Sub(epoch) + delay, func(now time.Time) {
			for j, f := range p.fleets {
				if i != j && p.random.Float64() >= p.loss {
					f.HandleReport(p.names[i], report, now)
					f.HandleLimits(limits, now)
				}
			}
		}})
		heap.Push(&p.queue, event{now.Sub(epoch) + startExchange, p.exchange(i)})
	}
}

func (p *startPlay) run() *startResult {
	p.random, p.stopped, p.freeAt = rand.New(rand.NewPCG(p.seed, 8)), map[int]bool{}, make([]time.Duration, p.watched+1)
	for i := range startHosts {
		p.names = append(p.names, fmt.Sprintf("host-%02d", i))
	}
	for i, name := range p.names {
		f := NewFleet(DefaultSettings())
		f.SetLiveHosts(name, p.names)
		f.SetMembers(p.names)
		f.SetHostPosition(i, startHosts)
		for n := range p.servers {
			p.register(f, n, 0, epoch)
		}
		p.fleets = append(p.fleets, f)
		heap.Push(&p.queue, event{startExchange * time.Duration(i) / startHosts, p.exchange(i)})
	}
	for _, at := range slices.Sorted(maps.Keys(p.at)) {
		change := p.at[at]
		heap.Push(&p.queue, event{at, func(now time.Time) { change(p, now) }})
	}
	result := &startResult{}
	for at := time.Duration(0); at < p.length; at += time.Duration(p.random.ExpFloat64() / p.perSecond * float64(time.Second)) {
		for p.queue.Len() > 0 && p.queue[0].at <= at {
			e := heap.Pop(&p.queue).(event)
			e.run(epoch.Add(e.at))
		}
		host := p.random.IntN(startHosts)
		if p.stopped[host] {
			continue
		}
		counted := at >= startBeginning
		if counted {
			result.all++
		}
		p.attempt(result, p.fleets[host], &Request{Service: "m", PromptTokens: 1500, Parts: []Part{{ID: p.random.Uint64(), Tokens: 1500}}}, at, at, counted)
	}
	return result
}

// attempt sends a request that arrived at a time, and again after a failure.
func (p *startPlay) attempt(result *startResult, f *Fleet, r *Request, arrived, at time.Duration, counted bool) {
	now := epoch.Add(at)
	plan, ok := f.Place(r, now)
	if !ok {
		if counted {
			result.refused++
		}
		return
	}
	ticket := f.Send(plan, r, now)
	var n int
	_, _ = fmt.Sscanf(string(plan.Run.ID), "i-%d", &n)
	watched := n == p.watched
	if watched && counted {
		result.watched[int((at-startBeginning)/time.Second)]++
	}
	speed := p.speed(n, at)
	if speed == 0 {
		if counted {
			result.failed++
		}
		r.Exclude = append(r.Exclude, plan.Run.ID)
		heap.Push(&p.queue, event{at + 100*time.Millisecond, func(now time.Time) {
			f.Done(ticket, Failed, now)
			p.attempt(result, f, r, arrived, now.Sub(epoch), counted)
		}})
		return
	}
	p.freeAt[n] = max(p.freeAt[n], at) + time.Duration(float64(startWork)/speed)
	first := p.freeAt[n] + 60*time.Millisecond
	if counted && first-arrived <= startTarget {
		result.inTime++
	}
	if counted && watched {
		result.longest = max(result.longest, first-at)
	}
	heap.Push(&p.queue, event{first, func(now time.Time) { f.FirstEvent(ticket, now) }})
	heap.Push(&p.queue, event{first + 300*time.Millisecond, func(now time.Time) { f.Done(ticket, Served, now) }})
}

// add adds up the results of several plays.
func (r *startResult) add(o *startResult) {
	r.all, r.inTime, r.refused, r.failed = r.all+o.all, r.inTime+o.inTime, r.refused+o.refused, r.failed+o.failed
	for i, n := range o.watched {
		r.watched[i] += n
	}
	r.longest = max(r.longest, o.longest)
}

const startSeeds = 2

// comparePaces plays a load with several seeds without and with slow start. check is called
// after each play with slow start.
func comparePaces(t *testing.T, p startPlay, check func(p *startPlay)) (without, with *startResult) {
	t.Helper()
	without, with = &startResult{}, &startResult{}
	p.perSecond, p.length = 300, startBeginning+12*time.Second
	for p.seed = range startSeeds {
		for _, findPace := range []bool{false, true} {
			play := p
			play.findPace = findPace
			result := play.run()
			if !findPace {
				without.add(result)
				continue
			}
			with.add(result)
			if check != nil {
				check(&play)
			}
		}
	}
	t.Logf("without: %s", without)
	t.Logf("with: %s", with)
	assert.Zero(t, with.refused)
	assert.Greater(t, float64(with.inTime), float64(without.inTime)-0.01*float64(without.all), "callers get as much in time")
	return without, with
}

// paced returns the number of hosts that pace a server.
func (p *startPlay) paced(id model.BackendID) (n int) {
	now := epoch.Add(p.length)
	for i, f := range p.fleets {
		if s := f.servers[id]; !p.stopped[i] && s != nil && s.paced(now) {
			n++
		}
	}
	return n
}

type fleetChanges = map[time.Duration]func(*startPlay, time.Time)

func startWatched(p *startPlay, now time.Time) { p.registerAll(p.watched, 1, now) }

func ordinarySpeed(int, time.Duration) float64 { return 1 }

// warming is the speed of a server that begins at a tenth and is warm after some time.
func warming(since, length time.Duration) float64 {
	return min(1, 0.1+0.9*max(0, since.Seconds()/length.Seconds()))
}

// fullRate is the mean number of attempts at a server in a second, in all plays.
const fullRate = startSeeds * 300 / 31

// Guards against a server that starts beside 30 busy ones and is sent the requests of all
// hosts at once, and against one that is left idle.
func TestStartingServerReachesItsShareWithinSeconds(t *testing.T) {
	for _, loss := range []float64{0, 0.5} {
		t.Run(fmt.Sprint("loss of updates ", loss), func(t *testing.T) {
			_, with := comparePaces(t, startPlay{servers: 30, watched: 30, speed: ordinarySpeed, loss: loss, at: fleetChanges{startBeginning: startWatched}}, func(p *startPlay) {
				// A host that misses all statements of the end keeps its part for paceTTL.
				assert.LessOrEqual(t, float64(p.paced("i-30")), 4*loss, "the slow start has ended")
			})
			assert.Less(t, with.watched[0], fullRate/2)
			assert.Greater(t, with.watched[2]+with.watched[3], fullRate)
		})
	}
}

// Guards against callers who wait for a server that is slow at first: requests there must
// not take much longer than callers wait.
func TestServerThatIsSlowAtFirstGetsFewRequests(t *testing.T) {
	speed := func(n int, at time.Duration) float64 {
		if n < 30 {
			return 1
		}
		return warming(at-startBeginning, 4*time.Second)
	}
	without, with := comparePaces(t, startPlay{servers: 30, watched: 30, speed: speed, at: fleetChanges{startBeginning: startWatched}}, nil)
	assert.Greater(t, without.longest, 4*startTarget)
	assert.Less(t, with.longest, 2*startTarget)
}

// Guards against requests that fail at a server which fails all until some time after its
// start, and against one that is not tried again.
func TestServerThatFailsWhileItStartsIsTriedSeldom(t *testing.T) {
	const failing = 5
	speed := func(n int, at time.Duration) float64 {
		if n == 30 && at < startBeginning+failing*time.Second {
			return 0
		}
		return 1
	}
	without, with := comparePaces(t, startPlay{servers: 30, watched: 30, speed: speed, at: fleetChanges{startBeginning: startWatched}}, nil)
	assert.Less(t, with.failed, without.failed/2)
	for _, n := range with.watched[:failing] {
		assert.LessOrEqual(t, n, 4*startSeeds, "a few trial requests per second")
		assert.Positive(t, n)
	}
	assert.Greater(t, with.watched[failing+4]+with.watched[failing+5], fullRate)
}

// Guards against a server that fails for two seconds, is slow for four, and is sent its whole
// share as soon as it responds.
func TestServerThatRecoversSlowlyGetsItsShareSlowly(t *testing.T) {
	speed := func(n int, at time.Duration) float64 {
		switch since := at - startBeginning; {
		case n < 30 || since < 0:
			return 1
		case since < 2*time.Second:
			return 0
		default:
			return warming(since-2*time.Second, 4*time.Second)
		}
	}
	without, with := comparePaces(t, startPlay{servers: 31, watched: 30, speed: speed}, nil)
	assert.LessOrEqual(t, with.failed, without.failed)
	assert.Less(t, with.longest, without.longest)
	assert.Less(t, with.longest, 3*startTarget)
	sum := func(counts []int) (n int) {
		for _, c := range counts {
			n += c
		}
		return n
	}
	assert.GreaterOrEqual(t, sum(with.watched[6:12]), sum(without.watched[6:12]), "it is used as much once it is warm")
}

// Guards against callers who are refused or wait since all servers of a service restart, at
// once or one after the other, and none is known as warmed up.
func TestRestartOfAllServersIsNotThrottled(t *testing.T) {
	for _, interval := range []time.Duration{time.Nanosecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprint("every ", interval), func(t *testing.T) {
			changes := fleetChanges{}
			for n := range 30 {
				changes[startBeginning+time.Duration(n)*interval] = func(p *startPlay, now time.Time) { p.registerAll(n, 1, now) }
			}
			comparePaces(t, startPlay{servers: 30, watched: 30, speed: ordinarySpeed, at: changes}, nil)
		})
	}
}

// Guards against a pace that stays low since the host that observed it is lost.
func TestNextHostObservesAServerAfterTheLossOfTheObserver(t *testing.T) {
	var lost int
	_, with := comparePaces(t, startPlay{servers: 30, watched: 30, speed: ordinarySpeed, at: fleetChanges{
		startBeginning: startWatched,
		startBeginning + 800*time.Millisecond: func(p *startPlay, _ time.Time) {
			lost = p.observer("i-30")
			p.stopped[lost] = true
		},
		startBeginning + 5800*time.Millisecond: func(p *startPlay, _ time.Time) {
			remaining := append(append([]string(nil), p.names[:lost]...), p.names[lost+1:]...)
			for i, f := range p.fleets {
				f.SetLiveHosts(p.names[i], remaining)
			}
		},
	}}, func(p *startPlay) { assert.Zero(t, p.paced("i-30"), "the next host has ended the slow start") })
	assert.Greater(t, with.watched[10]+with.watched[11], fullRate)
}

// pacedFleet returns a fleet of one of many hosts with three plain servers, of which the last
// has a pace that a peer has stated.
func pacedFleet(self string, perSecond float64) (*Fleet, time.Time) {
	f := NewFleet(DefaultSettings())
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("host-", i))
	}
	f.SetLiveHosts(self, names)
	f.SetMembers(names)
	for _, id := range []model.BackendID{"a", "b", "c"} {
		f.Update(Backend{ID: id, Incarnation: 1, Service: "s", Slots: 8, Start: &StartTraits{FindPace: true}})
		f.NoteCold(id, 1, epoch, epoch)
	}
	now := epoch.Add(time.Second)
	f.HandleLimits([]LimitStatement{{Backend: "c", Incarnation: 1, PerSecond: perSecond, Observed: true}}, now)
	return f, now
}

// Guards against parts that exceed the pace together, and against a host that takes more than
// its part since it hears no other host.
func TestPartsOfAPaceAddUpToIt(t *testing.T) {
	for _, perSecond := range []float64{minPace, 5, 11, 300} {
		sum := 0.0
		for i := range 40 {
			self := fmt.Sprint("host-", i)
			f, _ := pacedFleet(self, perSecond)
			part := f.servers["c"].paceTurns.rate
			sum += part
			if f.servers["c"].paceTurns.rank > 0 {
				f.SetLiveHosts(self, []string{self})
				assert.LessOrEqual(t, f.servers["c"].paceTurns.rate, max(part, observerRate), "a host that is cut off")
			}
		}
		assert.InDelta(t, perSecond, sum, 0.001)
	}
}

// Guards against a request that is refused since the only server left for it has a pace.
func TestPaceRefusesNoRequest(t *testing.T) {
	f, now := pacedFleet("host-0", minPace)
	for f.servers["c"].paceTurns.free(now) {
		f.servers["c"].takeTurn(now)
	}
	plan, ok := f.Place(&Request{Service: "s"}, now)
	assert.True(t, ok)
	assert.NotEqual(t, model.BackendID("c"), plan.Run.ID)
	for _, r := range []*Request{{Service: "s", Exclude: []model.BackendID{"a", "b"}}, {Service: "s", Only: "c"}} {
		plan, ok = f.Place(r, now)
		assert.True(t, ok)
		assert.Equal(t, model.BackendID("c"), plan.Run.ID)
	}
	_, ok = f.ReturnTime("s", now)
	assert.False(t, ok, "no caller has to wait for a turn")
}

// Guards against a stated limit that ends with the pace, and the reverse.
func TestStatedLimitAndPaceAreKeptApart(t *testing.T) {
	f, now := pacedFleet("host-0", 5)
	s := f.servers["c"]
	f.NoteLimit(&s.Backend, 8, now)
	assert.Equal(t, 8.0, s.turns.stated.perSecond)
	assert.Equal(t, 5.0, s.pace.perSecond)
	f.HandleLimits([]LimitStatement{{Backend: "c", Incarnation: 1, PerSecond: NoLimit, Observed: true}}, now.Add(time.Second))
	assert.False(t, s.paced(now.Add(time.Second)))
	assert.NotNil(t, s.turns)
	f.HandleLimits([]LimitStatement{{Backend: "c", Incarnation: 1, PerSecond: 5, Observed: true}}, now.Add(2*time.Second))
	f.endLimitOf(s, now.Add(3*time.Second))
	assert.Nil(t, s.turns)
	assert.True(t, s.paced(now.Add(3*time.Second)))
}

func (f *Fleet) endLimitOf(s *server, now time.Time) {
	for _, at := range []time.Time{now, now.Add(limitOverlap)} {
		f.NoteLimit(&s.Backend, NoLimit, at)
	}
}

// observerOf returns the fleet of the host that observes the last server.
func observerOf(t *testing.T, perSecond float64) (*Fleet, time.Time) {
	t.Helper()
	for i := range 40 {
		if f, now := pacedFleet(fmt.Sprint("host-", i), perSecond); f.servers["c"].paceTurns.rank == 0 {
			return f, now
		}
	}
	t.Fatal("no host observes the server")
	return nil, epoch
}

// call sends a request to the last server.
func (f *Fleet) call(o Outcome, now time.Time, duration time.Duration) {
	r := &Request{Service: "s", Only: "c"}
	plan, _ := f.Place(r, now)
	f.Done(f.Send(plan, r, now), o, now.Add(duration))
}

// Guards against a plain service whose calls take longer than the time assumed for ranking,
// and whose servers are therefore taken for late for ever.
func TestPaceOfAPlainServiceFollowsTheUsualDurationOfItsCalls(t *testing.T) {
	const usual = 300 * time.Millisecond
	f, now := observerOf(t, 4)
	for range 2 {
		now = now.Add(500 * time.Millisecond)
		f.call(Served, now, usual)
	}
	assert.Equal(t, 8.0, f.servers["c"].pace.perSecond)
	for range 3 {
		now = now.Add(time.Second)
		f.call(Served, now, 5*usual)
	}
	assert.Equal(t, 4.0, f.servers["c"].pace.perSecond, "late responses")
	f.call(Failed, now.Add(time.Second), usual)
	assert.Equal(t, 2.0, f.servers["c"].pace.perSecond)
	f.call(Failed, now.Add(2*time.Second), usual)
	assert.Equal(t, 2.0, f.servers["c"].pace.perSecond, "it is tried again")
}

// Guards against a host that has lost its way to sound servers and has all hosts hold back
// requests from them, and against a failing server of which only other hosts know.
func TestFailuresOfOneHostBeginsASlowStartOnlyWithoutEvidence(t *testing.T) {
	failures := []LimitStatement{{Backend: "c", Incarnation: 1, PerSecond: -1, Observed: true}}
	play := func(served bool, statements int) bool {
		f, now := observerOf(t, 5)
		f.endPace(f.servers["c"], "", epoch)
		for range 200 {
			f.service("s").rates[StageNone].add(now)
		}
		now = now.Add(peerRest)
		if served {
			f.call(Served, now, 30*time.Millisecond)
		}
		for range statements {
			f.HandleLimits(failures, now)
		}
		return f.servers["c"].paced(now)
	}
	assert.False(t, play(false, 1), "one failed request")
	assert.True(t, play(false, 2))
	assert.False(t, play(true, 2), "a response in time since")
}

// Guards against servers that are paced although they were there when the host started, and
// against a new life that is not.
func TestOnlyLivesThatBeginLaterArePaced(t *testing.T) {
	f, now := pacedFleet("host-0", 5)
	assert.Nil(t, f.servers["a"].pace)
	restart := func(now time.Time, life int64) {
		f.Remove("a")
		f.Update(Backend{ID: "a", Incarnation: life, Service: "s", Slots: 8, Start: &StartTraits{FindPace: true}})
		f.NoteCold("a", life, now, now)
	}
	restart(now, 2)
	assert.Nil(t, f.servers["a"].pace, "the registrations of the start")
	for range 200 {
		f.service("s").rates[StageNone].add(now)
	}
	now = now.Add(startGrace)
	restart(now, 3)
	assert.True(t, f.servers["a"].paced(now))
	f.HandleLimits([]LimitStatement{{Backend: "b", Incarnation: 2, PerSecond: 5, Observed: true}}, now)
	assert.Nil(t, f.servers["b"].pace, "a statement about another life")
}

// Guards against lines in the log for each registration, and against missing ones.
func TestColdAndSlowStartsAreReportedOnce(t *testing.T) {
	f, now := pacedFleet("host-0", 5)
	for _, cold := range []time.Duration{0, time.Second, 2 * time.Second, 0, 0} {
		f.NoteCold("a", 1, now.Add(cold), now)
	}
	f.paces(true, now.Add(paceTTL+time.Second))
	assert.Equal(t, []StartEvent{
		{"a", "backend server is cold", 0}, {"a", "backend server is warm", 0},
		{"c", "slow start begins", 5}, {"c", "slow start ends without responses", 5},
	}, f.StartEvents())
	assert.Empty(t, f.StartEvents())
}
