package routing

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// triesPerCandidate bounds the random draws per wanted candidate. A draw is
// repeated when it hits a backend server that is excluded or unhealthy.
const triesPerCandidate = 3

// Select implements Router. Its cost depends on the number of candidates, not
// on the number of backend servers.
func (t *Table) Select(r *Request, now time.Time) (Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Kind == model.PoolService {
		return t.selectService(r, now)
	}
	if r.SuspectDigest != "" {
		if c, ok := t.selectForSuspect(r, now); ok {
			return t.decide(r, &c, now), nil
		}
	}
	best, ok := t.best(r, now, t.settings.RandomCandidates)
	if ok && t.missesTargets(&best) {
		if wide, found := t.best(r, now, t.settings.WideCandidates); found && t.better(&wide, &best) {
			best = wide
		}
	}
	if !ok {
		best, ok = t.selectFallback(r, now)
	}
	if !ok {
		return Decision{}, ErrNoBackend
	}
	return t.decide(r, &best, now), nil
}

// decide counts the request as in flight on the chosen backend server and
// returns the decision.
func (t *Table) decide(r *Request, c *candidate, now time.Time) Decision {
	e := c.entry
	uncached := 0
	if r.KVFrom == "" {
		uncached = max(0, r.PromptTokens-c.cached)
	}
	e.countRequest(r, uncached, c.firstToken, now)
	if e.breaker.isOpen() {
		e.breaker.probing = true
	}
	return Decision{
		Backend:      e.backend.ID,
		URL:          e.backend.URL,
		Predicted:    c.firstToken,
		Waiting:      c.queueDelay,
		TokenGap:     c.tokenGap,
		CachedTokens: c.cached,
		HandOver:     r.KVFrom == "" && roleOf(&e.backend) == engine.RolePrefill,
		Reason:       fmt.Sprintf("score %v, %d tokens cached", c.score.Round(time.Millisecond), c.cached),
	}
}

// rolesFor lists the engine roles that serve a request. Engines with the
// remaining role are used only when no other one is available.
func rolesFor(r *Request) [2]engine.Role {
	if r.KVFrom != "" {
		return [2]engine.Role{engine.RoleMixed, engine.RoleDecode}
	}
	return [2]engine.Role{engine.RoleMixed, engine.RolePrefill}
}

// roleServes reports whether an engine role is among those that serve a request.
func roleServes(r *Request, role engine.Role) bool {
	roles := rolesFor(r)
	return role == roles[0] || role == roles[1]
}

// kindsFor lists the price classes that may serve a request.
func kindsFor(r *Request) []platform.BackendKind {
	if r.Resumable {
		return []platform.BackendKind{platform.Ordinary, platform.Preemptible}
	}
	return []platform.BackendKind{platform.Ordinary}
}

// best samples the given number of candidates per list, adds the home and the
// cache holders, and returns the best candidate.
func (t *Table) best(r *Request, now time.Time, candidates int) (candidate, bool) {
	var best candidate
	found := false
	atHome := false
	consider := func(e *entry) bool {
		if !canServe(&e.backend, r) || !e.healthy(&t.settings, now) {
			return false
		}
		c := t.predict(e, r, now)
		if atHome {
			c.score -= t.homeBonus(&c, r, now)
		}
		if !found || t.better(&c, &best) {
			best = c
			found = true
		}
		return true
	}
	for _, kind := range kindsFor(r) {
		for _, role := range rolesFor(r) {
			key := listKey{r.Pool, kind, role, r.Adapter, r.Version}
			l := t.lists[key]
			t.sample(l, candidates, consider)
			atHome = true
			t.considerHome(l, r, consider)
			atHome = false
		}
	}
	t.considerCacheHolders(r, consider)
	if e := t.entries[r.KVFrom]; e != nil && roleOf(&e.backend) != engine.RolePrefill {
		consider(e)
	}
	return best, found
}

// selectForSuspect picks the engine of a suspect by rendezvous hashing. It scans
// all suitable engines, which is acceptable because suspects are rare.
func (t *Table) selectForSuspect(r *Request, now time.Time) (candidate, bool) {
	var best *entry
	var highest uint64
	for _, kind := range kindsFor(r) {
		for _, role := range rolesFor(r) {
			l := t.lists[listKey{r.Pool, kind, role, r.Adapter, r.Version}]
			if l == nil {
				continue
			}
			for _, e := range l.members {
				if !canServe(&e.backend, r) || !e.healthy(&t.settings, now) {
					continue
				}
				if h := xxhash.Sum64String(r.SuspectDigest + "\x00" + string(e.backend.ID)); best == nil || h > highest {
					best, highest = e, h
				}
			}
		}
	}
	if best == nil {
		return candidate{}, false
	}
	return t.predict(best, r, now), true
}

// better reports whether candidate a is preferred to b: candidates that meet the
// targets come first, then those with the lower score.
func (t *Table) better(a, b *candidate) bool {
	aLate := t.missesTargets(a)
	bLate := t.missesTargets(b)
	if aLate != bLate {
		return bLate
	}
	return a.score < b.score
}

func (t *Table) missesTargets(c *candidate) bool {
	return c.firstToken > t.settings.FirstTokenLimit || c.tokenGap > t.settings.TokenGapLimit
}

// sample passes random members to consider until it has accepted the wanted
// number. Members may repeat.
func (t *Table) sample(l *list, wanted int, consider func(*entry) bool) {
	if l == nil {
		return
	}
	n := len(l.members)
	if n <= wanted {
		for _, e := range l.members {
			consider(e)
		}
		return
	}
	accepted := 0
	for tries := wanted * triesPerCandidate; tries > 0 && accepted < wanted; tries-- {
		if consider(l.members[t.random.IntN(n)]) {
			accepted++
		}
	}
}

// homeBlockIndex is the index of the block whose hash determines the home engine
// of a prompt. The first block is often a preamble that all prompts of an
// organisation share.
const homeBlockIndex = 1

// considerHome considers the home engines of a prompt, which all hosts choose
// alike while no engine has the prompt cached. Without a home, hosts would fill
// the caches of several engines with the same prefix before they learn of each
// other's choices.
func (t *Table) considerHome(l *list, r *Request, consider func(*entry) bool) {
	if l == nil || len(r.Prefix) == 0 {
		return
	}
	start := l.searchRing(r.Prefix[min(homeBlockIndex, len(r.Prefix)-1)])
	for i := range min(t.settings.HomeCandidates, len(l.ring)) {
		consider(l.ring[(start+i)%len(l.ring)].entry)
	}
}

// homeBonus is the expected gain from blocks that other hosts' requests have
// brought into the cache of a home engine without this host knowing.
func (t *Table) homeBonus(c *candidate, r *Request, now time.Time) time.Duration {
	unknown := max(0, len(r.Prefix)*engine.BlockTokens-c.cached)
	load, _, _ := t.effectiveLoad(c.entry, now)
	gain := t.settings.HomeCachedShare * float64(unknown) / t.prefillRate(&load)
	return seconds(gain * (1 + t.settings.UncachedWorkWeight))
}

// considerCacheHolders considers engines that hold the longest known prefix of
// the prompt.
func (t *Table) considerCacheHolders(r *Request, consider func(*entry) bool) {
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		l := t.cacheHolders[r.Prefix[i]]
		if l == nil {
			continue
		}
		t.sample(l, t.settings.CacheCandidates, func(e *entry) bool {
			return roleServes(r, roleOf(&e.backend)) && consider(e)
		})
		return
	}
}

// selectFallback picks a backend server that can serve the request, regardless
// of health and role, when no healthy one with a suitable role was found. Health
// is only an estimate, so it must not cause a rejection by itself.
func (t *Table) selectFallback(r *Request, now time.Time) (candidate, bool) {
	var best candidate
	found := false
	for _, kind := range kindsFor(r) {
		for _, role := range []engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode} {
			l := t.lists[listKey{r.Pool, kind, role, r.Adapter, r.Version}]
			if l == nil {
				continue
			}
			n := len(l.members)
			start := t.random.IntN(n)
			// The scan is bounded to keep the cost constant, and long enough to
			// get past all excluded backend servers.
			for i := 0; i < min(n, t.settings.WideCandidates+len(r.Exclude)); i++ {
				e := l.members[(start+i)%n]
				if !canServe(&e.backend, r) {
					continue
				}
				c := t.predict(e, r, now)
				if !found || c.score < best.score {
					best = c
					found = true
				}
			}
		}
	}
	return best, found
}

// selectService picks the plain service with fewer in-flight requests of two
// random ones per price class.
func (t *Table) selectService(r *Request, now time.Time) (Decision, error) {
	var best *entry
	consider := func(e *entry) bool {
		if !canServe(&e.backend, r) {
			return false
		}
		if best == nil || len(e.inFlight) < len(best.inFlight) {
			best = e
		}
		return true
	}
	for _, kind := range kindsFor(r) {
		t.sample(t.lists[listKey{r.Pool, kind, engine.RoleMixed, "", ""}], 2, func(e *entry) bool {
			return e.healthy(&t.settings, now) && consider(e)
		})
	}
	if best == nil {
		c, ok := t.selectFallback(r, now)
		if !ok {
			return Decision{}, ErrNoBackend
		}
		best = c.entry
	}
	c := candidate{entry: best, score: time.Duration(len(best.inFlight))}
	d := t.decide(r, &c, now)
	d.Reason = fmt.Sprintf("least in flight of two, %d", len(best.inFlight)-1)
	return d, nil
}
