package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Place chooses how to serve a request. It reports false if no server is available.
func (f *Fleet) Place(r *Request, now time.Time) (Plan, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.services[r.Service]
	if k == nil {
		return Plan{}, false
	}
	return f.choose(k, r, now)
}

// choose returns the cheapest plan for a request to a service. The caller holds f.mu.
func (f *Fleet) choose(k *service, r *Request, now time.Time) (Plan, bool) {
	f.updatePreferences(k)
	pacing := f.pacing(k, now)
	if pacing != [3]bool{} && !r.IgnorePace {
		if plan, ok := f.place(k, r, true, pacing, now); ok {
			plan.HeldBack = true
			return plan, true
		}
	}
	for _, strict := range []bool{true, false} {
		if plan, ok := f.place(k, r, strict, [3]bool{}, now); ok {
			return plan, true
		}
	}
	return Plan{}, false
}

// place returns the cheapest plan. If strict is set, it excludes suspected servers; Place
// then tries again with them, because a suspicion may be wrong and alone must not cause a
// request to be rejected. pacing are the stages whose paces are kept.
func (f *Fleet) place(k *service, r *Request, strict bool, pacing [3]bool, now time.Time) (Plan, bool) {
	r.trace.reset()
	d := decision{fleet: f, service: k, request: r, now: now, pacing: pacing}
	for _, s := range k.servers {
		if !s.accepts(r, now) || strict && now.Before(s.suspectUntil) {
			continue
		}
		if !s.hasTurn(now) || pacing[s.Stage] && !s.paceTurns.free(now) {
			d.atLimit = append(d.atLimit, s)
			continue
		}
		switch s.Stage {
		case StageNone:
			d.considerPlain(s)
		case StageDecode:
			d.decoders = append(d.decoders, s)
		case StagePrefill:
			d.prefillers = append(d.prefillers, s)
		}
	}
	if r.Only == "" {
		k.partRates.engines = len(d.decoders)
	}
	d.memory = k.memoryDemand(r, now)
	d.considerEngines()
	return d.best, d.found
}

// decision evaluates the ways to serve one request and keeps the cheapest.
type decision struct {
	fleet      *Fleet
	service    *service
	request    *Request
	now        time.Time
	decoders   []*server
	prefillers []*server
	// atLimit are servers that take no more requests now because of their limits. Other
	// engines may still fetch from their caches.
	atLimit []*server
	// pacing are the stages whose paces are kept.
	pacing [3]bool
	// memory is what the request needs at an engine.
	memory memoryDemand
	// meanRunning is the mean number of running requests per decode engine.
	meanRunning int

	best  Plan
	cost  time.Duration
	found bool
}

func (d *decision) consider(p Plan, cost time.Duration) {
	d.request.trace.addPlan(p, cost)
	if !d.found || cost < d.cost {
		d.best, d.cost, d.found = p, cost, true
	}
}

func (d *decision) networkCost(s *server) time.Duration {
	if s.DataCentre == d.fleet.settings.DataCentre {
		return 0
	}
	return d.fleet.settings.CrossDataCentre
}

// penalty returns the cost of a server that other hosts prefer or that has failed recent
// requests. A pace bounds the latter's requests by itself, and the server is tried again.
func (d *decision) penalty(s *server) time.Duration {
	if d.pacing[s.Stage] && s.paced(d.now) {
		return 0
	}
	return s.preferenceCost + time.Duration(s.failureRate*float64(d.fleet.settings.FailurePenalty))
}

// plainCallTime is the assumed duration of a call to a plain service, used only to rank
// servers.
const plainCallTime = 30 * time.Millisecond

// considerPlain evaluates a server of a plain service. The least loaded server is cheapest,
// then the nearest.
func (d *decision) considerPlain(s *server) {
	slots := max(s.Slots, 1)
	totalRunning := s.totalRunning()
	wait := time.Duration(max(0, totalRunning-slots+1)) * plainCallTime / time.Duration(slots)
	cost := wait + time.Duration(totalRunning)*plainCallTime/time.Duration(slots)/4 + d.networkCost(s) + d.penalty(s)
	d.consider(Plan{Run: s.Backend, Predicted: wait + plainCallTime, Waiting: wait}, cost)
}

// queueWait returns the expected wait for the work already queued on an engine. It is
// estimated from the work that was sent and, in case the engine is slower than expected,
// from the prefill that is still pending.
func (d *decision) queueWait(s *server) time.Duration {
	return max(0, s.busyUntil.Sub(d.now), (s.pendingPrefill+s.peersPendingPrefill)/pendingDivisor)
}

// pendingDivisor is the inverse of the share of pending prefill that remains on average:
// the prefill in progress is half done.
const pendingDivisor = 2

// homeEngine returns the engine that all hosts choose for a prompt that no engine is known
// to have cached, by rendezvous hashing of its last shared part. Without it, hosts would
// fill the caches of several engines with the same part before they hear of each other's
// choices.
func homeEngine(parts []Part, servers []*server) *server {
	if len(parts) < 2 {
		return nil
	}
	var home *server
	var highest uint64
	key := parts[len(parts)-2].ID
	for _, s := range servers {
		if h := rendezvousHash(key, s.ID); home == nil || h > highest {
			home, highest = s, h
		}
	}
	return home
}

func rendezvousHash(key uint64, id model.BackendID) uint64 {
	h := xxhash.Sum64String(string(id)) ^ key*0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// cachedTokens returns the expected number of the prompt's tokens that an engine has
// cached.
func (d *decision) cachedTokens(s *server) int {
	return min(s.cache.prefixTokens(d.request.Parts), d.request.PromptTokens)
}

// homeDiscount is the amount by which the home engine's cost is reduced if it is not known
// to have cached any part of the prompt.
func (d *decision) homeDiscount(cached int, stage Stage) time.Duration {
	if cached > 0 {
		return 0
	}
	tokens := 0
	for _, p := range sharedParts(d.request.Parts) {
		tokens += p.Tokens
	}
	prefillTime := d.service.prefill[stage].timeFor(int(d.fleet.settings.HomeShare * float64(tokens)))
	return prefillTime + d.workCost(prefillTime, stage)
}

// slotWait returns the expected wait for a slot in the batch.
func (d *decision) slotWait(s *server) time.Duration {
	excess := s.totalRunning() - s.Slots + 1
	if s.Slots <= 0 || excess <= 0 {
		return 0
	}
	return time.Duration(excess) * meanDecodeTime / time.Duration(s.Slots)
}

// meanDecodeTime is the assumed decode time of a request, used to estimate the wait for a
// slot.
const meanDecodeTime = 700 * time.Millisecond

func (d *decision) considerEngines() {
	for _, s := range d.decoders {
		d.meanRunning += s.totalRunning()
		d.estimateMemoryWait(s)
	}
	d.meanRunning /= max(1, len(d.decoders))
	// If there are prefill engines, the home engine of shared parts is one of them.
	var home *server
	if len(d.prefillers) == 0 {
		home = homeEngine(d.request.Parts, d.decoders)
	}
	var source *server
	sourceTokens := 0
	for _, s := range slices.Concat(d.decoders, d.prefillers, d.atLimit) {
		if n := s.cache.prefixTokens(sharedParts(d.request.Parts)); n > sourceTokens {
			source, sourceTokens = s, n
		}
	}
	for _, s := range d.decoders {
		d.considerDirect(s, home)
		if source != nil && source != s {
			d.considerFetch(s, source, sourceTokens)
		}
	}
	if d.request.ExcludePrefill {
		return
	}
	d.considerSplit(source, sourceTokens)
}

// considerDirect evaluates prefilling the prompt on the decode engine that runs the
// request.
func (d *decision) considerDirect(s, home *server) {
	queueWait := d.queueWait(s)
	cachedTokens := d.cachedTokens(s)
	uncached := d.request.PromptTokens - cachedTokens
	prefill := &d.service.prefill[StageDecode]
	prefillWork := prefill.timeFor(uncached)
	predicted := queueWait + d.batchWait(s) + prefillWork + prefill.fixed() + d.networkCost(s)
	cost := predicted + d.workCost(prefillWork, StageDecode) + d.penalty(s) + d.batchCost(s) - d.memoryDiscount(s) + d.stallCost(s, queueWait+prefillWork)
	if s == home {
		cost -= d.homeDiscount(cachedTokens, StageDecode)
	}
	d.consider(Plan{Run: s.Backend, Predicted: predicted, Prefilled: queueWait + prefillWork, Waiting: queueWait, Uncached: uncached, prefillWork: prefillWork}, cost)
}

// workCost returns the cost of delaying later requests by keeping an engine busy.
func (d *decision) workCost(work time.Duration, stage Stage) time.Duration {
	weight := d.fleet.settings.WorkWeight
	if stage == StageDecode {
		weight = d.fleet.settings.DecodeWorkWeight
	}
	return time.Duration(weight * float64(work))
}

// stallCost returns the cost of the running responses that become late because the decode
// engine prefills between their tokens. If fewer than the mean over all decode engines run
// on it, more are expected to arrive during the prefill, so the mean is counted instead.
func (d *decision) stallCost(s *server, prefill time.Duration) time.Duration {
	maxGap := d.request.MaxEventGap
	if maxGap <= 0 || prefill <= time.Duration(d.fleet.settings.EventGapShare*float64(maxGap)) {
		return 0
	}
	return time.Duration(max(s.totalRunning(), d.meanRunning)) * d.fleet.settings.StallPenalty
}

// batchCost returns the cost of slower decode steps in a larger batch.
func (d *decision) batchCost(s *server) time.Duration {
	return time.Duration(s.totalRunning()) * batchCostPerRequest
}

// batchCostPerRequest is the time that one more running request adds to the other requests'
// decode steps over the length of a short response.
const batchCostPerRequest = time.Millisecond

// transfer returns the time to move tokens between two engines, and its cost.
func (d *decision) transfer(tokens int, from, to *server) (duration, cost time.Duration) {
	rate := 1000.0
	if to.Engine != nil && to.Engine.TransferTokensPerMS > 0 {
		rate = to.Engine.TransferTokensPerMS
	}
	copyTime := fromMillis(float64(tokens) / rate)
	if from.DataCentre != to.DataCentre {
		copyTime *= 2
	}
	duration = d.fleet.settings.TransferSetup + copyTime
	return duration, duration + time.Duration(d.fleet.settings.TransferWeight*float64(copyTime))
}

// minFetchTokens is the shortest prefix that is worth a transfer.
const minFetchTokens = 1500

// considerFetch evaluates copying the shared parts from the engine that has cached most of
// them.
func (d *decision) considerFetch(s, from *server, tokens int) {
	ownTokens := s.cache.prefixTokens(d.request.Parts)
	if tokens-ownTokens < minFetchTokens {
		return
	}
	queueWait := d.queueWait(s)
	transferTime, transferCost := d.transfer(tokens-ownTokens, from, s)
	uncached := max(0, d.request.PromptTokens-tokens)
	prefill := &d.service.prefill[StageDecode]
	prefillWork := prefill.timeFor(uncached)
	predicted := queueWait + d.batchWait(s) + transferTime + prefillWork + prefill.fixed() + d.networkCost(s)
	d.consider(Plan{Run: s.Backend, Fetch: &from.Backend, Predicted: predicted, Prefilled: queueWait + transferTime + prefillWork, Waiting: queueWait, Uncached: uncached, prefillWork: prefillWork},
		predicted-transferTime+transferCost+d.workCost(prefillWork, StageDecode)+d.penalty(s)+d.batchCost(s)-d.memoryDiscount(s)+d.stallCost(s, queueWait+prefillWork))
}

// prefill is a way to prefill the prompt on a prefill engine.
type prefill struct {
	prefiller   *server
	fetchFrom   *server
	uncached    int
	prefillWork time.Duration
	// duration is the time until the prefill has ended, cost the value to minimise.
	duration, cost time.Duration
}

// considerSplit evaluates prefilling the prompt on a prefill engine and decoding on another
// engine.
func (d *decision) considerSplit(source *server, sourceTokens int) {
	best, ok := d.prefill(source, sourceTokens)
	if !ok {
		return
	}
	for _, s := range d.decoders {
		kvTransfer, transferCost := d.transfer(d.request.PromptTokens-s.cache.prefixTokens(d.request.Parts), best.prefiller, s)
		after := d.batchWait(s) + d.service.firstEventDelay() + d.networkCost(s) + d.fleet.settings.HopPenalty
		p := Plan{
			Run: s.Backend, Prefill: &best.prefiller.Backend, Predicted: best.duration + kvTransfer + after,
			Prefilled: best.duration, Waiting: d.queueWait(best.prefiller), Uncached: best.uncached, prefillWork: best.prefillWork, kvTransfer: kvTransfer,
		}
		if best.fetchFrom != nil {
			p.Fetch = &best.fetchFrom.Backend
		}
		d.consider(p, best.cost+transferCost+after+d.penalty(s)+d.batchCost(s)-d.memoryDiscount(s))
	}
}

// prefill returns the cheapest way to prefill the prompt on a prefill engine.
func (d *decision) prefill(source *server, sourceTokens int) (best prefill, found bool) {
	home := homeEngine(d.request.Parts, d.prefillers)
	consider := func(o prefill) {
		estimates := &d.service.prefill[StagePrefill]
		o.prefillWork = estimates.timeFor(o.uncached)
		fixed := d.queueWait(o.prefiller) + o.prefillWork + estimates.fixed() + d.networkCost(o.prefiller)
		o.duration += fixed
		o.cost += fixed + d.workCost(o.prefillWork, StagePrefill) + d.penalty(o.prefiller)
		if o.prefiller == home && o.fetchFrom == nil {
			o.cost -= d.homeDiscount(d.cachedTokens(o.prefiller), StagePrefill)
		}
		d.request.trace.addPrefill(o)
		if !found || o.cost < best.cost {
			best, found = o, true
		}
	}
	for _, s := range d.prefillers {
		cachedTokens := d.cachedTokens(s)
		consider(prefill{prefiller: s, uncached: d.request.PromptTokens - cachedTokens})
		if source == nil || source == s || sourceTokens-cachedTokens < minFetchTokens {
			continue
		}
		duration, cost := d.transfer(sourceTokens-cachedTokens, source, s)
		consider(prefill{prefiller: s, fetchFrom: source, uncached: max(0, d.request.PromptTokens-sourceTokens), duration: duration, cost: cost})
	}
	return best, found
}

// PlaceDecode chooses the decode engine for a request whose prompt was prefilled according
// to a plan, and counts the request on it. The engine chosen in the plan may have started
// leaving in the meantime. PlaceDecode reports false if no decode engine is available.
func (f *Fleet) PlaceDecode(t *Ticket, r *Request, now time.Time) (Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.services[r.Service]
	prefiller := f.servers[t.plan.Prefiller().ID]
	if k == nil || prefiller == nil {
		return Backend{}, false
	}
	t.giveRunTurnBack(now)
	t.runMemory.release()
	d := decision{fleet: f, service: k, request: r, now: now, pacing: f.pacing(k, now), memory: k.memoryDemand(r, now)}
	var best *server
	var lowest time.Duration
	bestHeld := false
	for _, s := range k.servers {
		if s.Stage != StageDecode || !s.accepts(r, now) || !s.hasTurn(now) || now.Before(s.suspectUntil) {
			continue
		}
		held := d.pacing[StageDecode] && !s.paceTurns.free(now)
		_, cost := d.transfer(r.PromptTokens-s.cache.prefixTokens(r.Parts), prefiller, s)
		d.estimateMemoryWait(s)
		cost += d.batchWait(s) + d.networkCost(s) + d.penalty(s) + d.batchCost(s) - d.memoryDiscount(s)
		if best == nil || bestHeld && !held || bestHeld == held && cost < lowest {
			best, lowest, bestHeld = s, cost, held
		}
	}
	if best == nil {
		return Backend{}, false
	}
	t.runMemory = f.hold(best, r, now)
	t.run(best)
	t.takeRunTurn(best, now)
	return best.Backend, true
}

// accepts reports whether a server may be sent a request, apart from its limits.
func (s *server) accepts(r *Request, now time.Time) bool {
	return s.exclusion(r, now) == ""
}

// Accepts reports whether a server is known and accepts new requests.
func (f *Fleet) Accepts(id model.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && s.accepts(&Request{}, time.Now())
}

// HasTurn reports whether a server is known and its limits, apart from its pace, allow this
// host a request now.
func (f *Fleet) HasTurn(id model.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && s.hasTurn(time.Now())
}

// Leaves reports whether a server is known and accepts no new requests.
func (f *Fleet) Leaves(id model.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && !s.accepts(&Request{}, time.Now())
}

// Usable reports whether a server is known, not leaving or evacuated, and wants requests.
func (f *Fleet) Usable(id model.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && !s.Leaving && !s.evacuated && !s.paused(time.Now())
}
