package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Where callers have no quotas, the KV cache memory of engines runs out before their slots.
// Each host then estimates the tokens in use at each engine from its own requests and one
// number per engine from each peer, and places requests where they fit.

const (
	// memoryWaitWeight is the cost of a millisecond of waiting for memory relative to other
	// waiting. Hosts that hear of each other late would otherwise all choose the engine that
	// seemed emptiest; at 1 fewer requests were served in time.
	memoryWaitWeight = 0.15
	// outputShare is the share of the maximum number of output tokens that counts as used.
	// Few responses reach the maximum, and a running one uses half of its length on average.
	outputShare = 0.5
	// holdTimeWeight is the smoothing weight of the time for which requests hold memory.
	holdTimeWeight = 0.05
	// partRateWindow is the time constant of the rate at which a part is used.
	partRateWindow = 2 * time.Second
	// maxPartRates bounds the parts whose rate is kept.
	maxPartRates = 4096
	// minRunningShared is the mean number of requests with a part at an engine up to which
	// the part counts in full.
	minRunningShared = 0.02
)

// engineMemory is the memory of one life of an engine that this host's requests use.
type engineMemory struct {
	// capacity is the size of the KV cache. Unit: tokens.
	capacity int
	// ownTokens are in use by this host's requests, a part that several share once.
	ownTokens int
	shared    map[uint64]sharedUse
}

// sharedUse is the use of a part by this host's requests at an engine.
type sharedUse struct {
	requests int
	// tokens is what the part counts for, 0 if the engine was expected to have it already.
	tokens int
}

// memoryHold is the memory that a request uses at an engine. The zero value uses none.
type memoryHold struct {
	memory *engineMemory
	own    int
	parts  []Part
}

// updateMemory starts or stops counting the memory of an engine, as its traits ask for. A
// new life of the engine starts empty. The caller holds f.mu.
func (f *Fleet) updateMemory(s *server, sameLife bool) {
	if s.Engine == nil || !s.Engine.LimitMemory || s.Engine.CacheTokens <= 0 {
		s.memory = nil
		return
	}
	if s.memory == nil || !sameLife {
		s.memory = &engineMemory{shared: map[uint64]sharedUse{}}
	}
	s.memory.capacity = s.Engine.CacheTokens
}

// memoryDemand is the memory that a request needs.
type memoryDemand struct {
	// own is what only this request uses, the end of its prompt and its output. Unit: tokens.
	own int
	// total also has the shared parts, each with what it counts for. Unit: tokens.
	total int
}

// memoryDemand returns what a request needs at an engine where this host has no other
// requests with its shared parts.
func (k *service) memoryDemand(r *Request, now time.Time) memoryDemand {
	shared := 0
	d := memoryDemand{own: r.PromptTokens + int(outputShare*float64(r.OutputTokens))}
	for _, p := range sharedParts(r.Parts) {
		d.own -= p.Tokens
		shared += k.partRates.countedTokens(p, k.holdTime(), now)
	}
	d.own = max(d.own, 0)
	d.total = d.own + shared
	return d
}

// hold counts a request's memory at an engine.
func (f *Fleet) hold(s *server, r *Request, now time.Time) memoryHold {
	if s == nil || s.memory == nil {
		return memoryHold{}
	}
	k := f.service(s.Service)
	h := memoryHold{memory: s.memory, own: k.memoryDemand(r, now).own, parts: sharedParts(r.Parts)}
	s.memory.ownTokens += h.own
	for _, p := range h.parts {
		use := s.memory.shared[p.ID]
		if use.requests == 0 && !s.cache.holds(p) {
			use.tokens = k.partRates.countedTokens(p, k.holdTime(), now)
			s.memory.ownTokens += use.tokens
		}
		use.requests++
		s.memory.shared[p.ID] = use
	}
	return h
}

// release ends the use of the memory. It may be called several times.
func (h *memoryHold) release() {
	m := h.memory
	if m == nil {
		return
	}
	m.ownTokens -= h.own
	for _, p := range h.parts {
		use := m.shared[p.ID]
		use.requests--
		if use.requests > 0 {
			m.shared[p.ID] = use
			continue
		}
		delete(m.shared, p.ID)
		m.ownTokens -= use.tokens
	}
	*h = memoryHold{}
}

// notePartUse counts a request with parts that a host has sent to an engine.
func (f *Fleet) notePartUse(s *server, parts []Part, now time.Time) {
	if s.memory != nil {
		f.service(s.Service).partRates.note(parts, now)
	}
}

// endMemory releases the memory of a request that has ended. The caller holds f.mu.
func (f *Fleet) endMemory(t *Ticket, o Outcome, now time.Time) {
	counted := t.runMemory.memory != nil
	t.runMemory.release()
	t.prefillMemory.release()
	if k := f.services[t.plan.Run.Service]; k != nil && counted && o == Served {
		k.observeHoldTime(now.Sub(t.sentAt))
	}
}

// units returns the memory that this host's requests use, for reports to peers.
func (m *engineMemory) units() int {
	if m == nil {
		return 0
	}
	return (m.ownTokens + tokensPerUnit/2) / tokensPerUnit
}

// memoryUsed returns the estimated tokens in use by the requests of all hosts.
func (s *server) memoryUsed() int { return s.memory.ownTokens + s.peersTokens }

// memoryExcess returns by how many tokens a request exceeds the free memory of an engine,
// 0 if it fits.
func (d *decision) memoryExcess(s *server) int {
	if s.memory == nil {
		return 0
	}
	excess := s.memoryUsed() + d.memory.total - s.memory.capacity
	if excess <= 0 {
		return 0
	}
	for _, p := range sharedParts(d.request.Parts) {
		if s.memory.shared[p.ID].requests > 0 || s.cache.holds(p) {
			excess -= d.service.partRates.countedTokens(p, d.service.holdTime(), d.now)
		}
	}
	return max(excess, 0)
}

// estimateMemoryWait sets the expected wait until a request fits. Requests release the
// memory evenly over the time for which they hold it.
func (d *decision) estimateMemoryWait(s *server) {
	s.memoryWait = 0
	if excess := d.memoryExcess(s); excess > 0 {
		inUse := max(1, min(s.memoryUsed(), s.memory.capacity))
		s.memoryWait = time.Duration(float64(d.service.holdTime()) * float64(excess) / float64(inUse))
	}
}

// batchWait returns the expected wait for a slot and memory in the batch.
func (d *decision) batchWait(s *server) time.Duration {
	return max(d.slotWait(s), s.memoryWait)
}

// memoryDiscount returns the part of batchWait that does not count towards the cost.
func (d *decision) memoryDiscount(s *server) time.Duration {
	if s.memoryWait == 0 {
		return 0
	}
	return time.Duration((1 - memoryWaitWeight) * float64(max(0, s.memoryWait-d.slotWait(s))))
}

// holdTime returns the expected time from the send of a request to its end.
func (k *service) holdTime() time.Duration {
	if k.meanHoldTime == 0 {
		return meanDecodeTime
	}
	return k.meanHoldTime
}

// observeHoldTime adds the time from the send of a request to its end.
func (k *service) observeHoldTime(d time.Duration) {
	k.meanHoldTime = k.holdTime() + time.Duration(holdTimeWeight*float64(d-k.holdTime()))
}

// TooLarge reports whether a request is larger than every engine of its service, and the
// memory of the largest one in tokens. The output does not count: it may be short.
func (f *Fleet) TooLarge(r *Request) (largest int, tooLarge bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.services[r.Service]
	if k == nil || len(k.servers) == 0 {
		return 0, false
	}
	for _, s := range k.servers {
		if s.memory == nil || s.memory.capacity >= r.PromptTokens {
			return 0, false
		}
		largest = max(largest, s.memory.capacity)
	}
	return largest, true
}

// EngineMemory is the estimated use of an engine's memory. Unit: tokens.
type EngineMemory struct {
	Backend model.BackendID
	// Own is in use by this host's requests, Peers by those of other hosts.
	Own, Peers, Capacity int
}

// EngineMemories returns the engines whose memory is counted, ordered by ID.
func (f *Fleet) EngineMemories() []EngineMemory {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []EngineMemory{}
	for id, s := range f.servers {
		if s.memory != nil {
			list = append(list, EngineMemory{id, s.memory.ownTokens, s.peersTokens, s.memory.capacity})
		}
	}
	slices.SortFunc(list, func(a, b EngineMemory) int { return cmp.Compare(a.Backend, b.Backend) })
	return list
}

// partRates estimates how often the requests of all hosts use each part. Hosts report one
// number per engine, so that a part that requests of several hosts share at an engine would
// be counted by each of them. A host does not count parts that it expects the engine to have
// already, and others with the share that makes the sum correct on average where requests
// meet at random. With full counts engines appeared fuller by 0.65 of their memory where 20
// documents were in demand.
type partRates struct {
	// engines is the number of engines among which the requests are divided.
	engines int
	rates   map[uint64]partRate
}

// partRate is an exponentially decaying count of uses.
type partRate struct {
	count float64
	at    time.Time
}

func (p partRate) decayed(now time.Time) float64 {
	return p.count * math.Exp(-float64(max(0, now.Sub(p.at)))/float64(partRateWindow))
}

// note counts a request with parts.
func (r *partRates) note(parts []Part, now time.Time) {
	if r.rates == nil {
		r.rates = map[uint64]partRate{}
	}
	for _, p := range parts {
		r.rates[p.ID] = partRate{r.rates[p.ID].decayed(now) + 1, now}
	}
	if len(r.rates) > maxPartRates {
		r.dropRare(now)
	}
}

// dropRare drops the parts that are used rarely, or all if many remain.
func (r *partRates) dropRare(now time.Time) {
	for id, rate := range r.rates {
		if rate.decayed(now) < 1 {
			delete(r.rates, id)
		}
	}
	if len(r.rates) > maxPartRates/2 {
		clear(r.rates)
	}
}

// countedTokens returns what a part counts for in a request's use of an engine. With n
// requests with the part running at an engine on average, the part is there with probability
// 1 - exp(-n), and each of them counts an equal share of it.
func (r *partRates) countedTokens(p Part, holdTime time.Duration, now time.Time) int {
	if len(r.rates) == 0 {
		return p.Tokens
	}
	running := r.rates[p.ID].decayed(now) * float64(holdTime) / float64(partRateWindow) / float64(max(1, r.engines))
	if running < minRunningShared {
		return p.Tokens
	}
	return int(float64(p.Tokens) * -math.Expm1(-running) / running)
}
