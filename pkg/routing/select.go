package routing

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// drawsPerCandidate bounds how often a draw is repeated when it hits a backend
// server that is excluded, broken off or already drawn.
const drawsPerCandidate = 3

// Select implements Router. Its cost depends on the number of candidates, not
// on the number of backend servers.
func (t *Table) Select(r *Request, now time.Time) (Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Kind == model.PoolService {
		return t.selectService(r, now)
	}
	if r.Suspect != "" {
		if c, ok := t.apart(r, now); ok {
			return t.decide(r, &c, now), nil
		}
	}
	best, ok := t.best(r, now, t.settings.RandomCandidates)
	if ok && t.late(&best) {
		if wide, found := t.best(r, now, t.settings.WideCandidates); found && t.better(&wide, &best) {
			best = wide
		}
	}
	if !ok {
		best, ok = t.lastResort(r, now)
	}
	if !ok {
		return Decision{}, ErrNoBackend
	}
	return t.decide(r, &best, now), nil
}

func (t *Table) decide(r *Request, c *candidate, now time.Time) Decision {
	e := c.entry
	uncached := 0
	if r.KVFrom == "" {
		uncached = max(0, r.PromptTokens-c.cached)
	}
	e.count(r, uncached, c.wait, now)
	if e.breaker.open() {
		e.breaker.probing = true
	}
	return Decision{
		Backend:      e.backend.ID,
		URL:          e.backend.URL,
		Predicted:    c.wait,
		Waiting:      c.queue,
		TokenGap:     c.gap,
		CachedTokens: c.cached,
		HandOver:     r.KVFrom == "" && roleOf(&e.backend) == engine.RolePrefill,
		Reason:       fmt.Sprintf("score %v, %d tokens cached", c.score.Round(time.Millisecond), c.cached),
	}
}

// rolesFor lists the roles of engines that take a request, without the role
// that is only used when no other engine is left.
func rolesFor(r *Request) [2]engine.Role {
	if r.KVFrom != "" {
		return [2]engine.Role{engine.RoleMixed, engine.RoleDecode}
	}
	return [2]engine.Role{engine.RoleMixed, engine.RolePrefill}
}

// takes tells whether an engine's role is meant for a request.
func takes(r *Request, role engine.Role) bool {
	roles := rolesFor(r)
	return role == roles[0] || role == roles[1]
}

// kindsFor lists the price classes that may take a request.
func kindsFor(r *Request) []platform.BackendKind {
	if r.Resumable {
		return []platform.BackendKind{platform.Ordinary, platform.Preemptible}
	}
	return []platform.BackendKind{platform.Ordinary}
}

// best draws candidates and returns the one with the least score.
func (t *Table) best(r *Request, now time.Time, draws int) (candidate, bool) {
	var best candidate
	found := false
	atHome := false
	consider := func(e *entry) bool {
		if !suits(&e.backend, r) || !e.healthy(&t.settings, now) {
			return false
		}
		c := t.judge(e, r, now)
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
			t.draw(l, draws, consider)
			atHome = true
			t.drawHome(l, r, consider)
			atHome = false
		}
	}
	t.drawHolders(r, consider)
	if e := t.entries[r.KVFrom]; e != nil && roleOf(&e.backend) != engine.RolePrefill {
		consider(e)
	}
	return best, found
}

// apart picks the engine of a suspect by the hash of both. All engines are looked
// at, which few requests need.
func (t *Table) apart(r *Request, now time.Time) (candidate, bool) {
	var best *entry
	var most uint64
	for _, kind := range kindsFor(r) {
		for _, role := range rolesFor(r) {
			l := t.lists[listKey{r.Pool, kind, role, r.Adapter, r.Version}]
			if l == nil {
				continue
			}
			for _, e := range l.members {
				if !suits(&e.backend, r) || !e.healthy(&t.settings, now) {
					continue
				}
				if h := xxhash.Sum64String(r.Suspect + "\x00" + string(e.backend.ID)); best == nil || h > most {
					best, most = e, h
				}
			}
		}
	}
	if best == nil {
		return candidate{}, false
	}
	return t.judge(best, r, now), true
}

// better orders candidates: those in time first, then by score.
func (t *Table) better(a, b *candidate) bool {
	aLate := t.late(a)
	bLate := t.late(b)
	if aLate != bLate {
		return bLate
	}
	return a.score < b.score
}

func (t *Table) late(c *candidate) bool {
	return c.wait > t.settings.FirstTokenLimit || c.gap > t.settings.TokenGapLimit
}

// draw offers up to the given number of different random members.
func (t *Table) draw(l *list, wanted int, consider func(*entry) bool) {
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
	taken := 0
	for tries := wanted * drawsPerCandidate; tries > 0 && taken < wanted; tries-- {
		if consider(l.members[t.random.IntN(n)]) {
			taken++
		}
	}
}

// homeBlock is the block whose hash gives a prompt its home. The first block
// is often a preamble that all prompts of an organisation share.
const homeBlock = 1

// drawHome offers the members that all hosts send a prompt to while nobody
// has it cached. Without it, hosts would fill the caches of several engines
// with the same prefix before they learn of each other's choices.
func (t *Table) drawHome(l *list, r *Request, consider func(*entry) bool) {
	if l == nil || len(r.Prefix) == 0 {
		return
	}
	start := l.search(r.Prefix[min(homeBlock, len(r.Prefix)-1)])
	for i := range min(t.settings.HomeCandidates, len(l.ring)) {
		consider(l.ring[(start+i)%len(l.ring)].entry)
	}
}

// homeBonus is the expected gain from blocks that a home has in its cache by
// the choice of other hosts, without this host having learned of it.
func (t *Table) homeBonus(c *candidate, r *Request, now time.Time) time.Duration {
	unknown := max(0, len(r.Prefix)*engine.BlockTokens-c.cached)
	load, _, _ := t.loadOf(c.entry, now)
	gain := t.settings.HomeShare * float64(unknown) / t.prefillRate(&load)
	return seconds(gain * (1 + t.settings.WorkWeight))
}

// drawHolders offers engines that hold the longest known prefix of the prompt.
func (t *Table) drawHolders(r *Request, consider func(*entry) bool) {
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		l := t.holders[r.Prefix[i]]
		if l == nil {
			continue
		}
		t.draw(l, t.settings.CacheCandidates, func(e *entry) bool {
			return takes(r, roleOf(&e.backend)) && consider(e)
		})
		return
	}
}

// lastResort picks any backend server that suits the request when no healthy
// one with the right role was drawn. Health is a guess, so that it must not
// turn a request away by itself.
func (t *Table) lastResort(r *Request, now time.Time) (candidate, bool) {
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
			// A bounded walk keeps the cost constant; it passes every excluded one.
			for i := 0; i < min(n, t.settings.WideCandidates+len(r.Exclude)); i++ {
				e := l.members[(start+i)%n]
				if !suits(&e.backend, r) {
					continue
				}
				c := t.judge(e, r, now)
				if !found || c.score < best.score {
					best = c
					found = true
				}
			}
		}
	}
	return best, found
}

// selectService takes the less loaded of two random plain services.
func (t *Table) selectService(r *Request, now time.Time) (Decision, error) {
	var best *entry
	less := func(e *entry) bool {
		if !suits(&e.backend, r) {
			return false
		}
		if best == nil || len(e.inFlight) < len(best.inFlight) {
			best = e
		}
		return true
	}
	for _, kind := range kindsFor(r) {
		t.draw(t.lists[listKey{r.Pool, kind, engine.RoleMixed, "", ""}], 2, func(e *entry) bool {
			return e.healthy(&t.settings, now) && less(e)
		})
	}
	if best == nil {
		c, ok := t.lastResort(r, now)
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
