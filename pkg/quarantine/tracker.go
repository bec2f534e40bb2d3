package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Tracker keeps the evidence of one host, its own and that of its peers. It is not safe
// for concurrent use.
type Tracker struct {
	settings Settings
	crashes  []*crash
	byKey    map[crashKey][]*crash
	// crashed counts the crashes that each part is recorded in.
	crashed  map[PartID]int
	answered answers
	holds    []Hold
	// stale is set if holds does not reflect the latest evidence.
	stale bool
	// repeated is the position in crashes from which the next report repeats older ones.
	repeated int
	// expiredAt is when crashes were last checked for expiry.
	expiredAt time.Time
}

// crash is a crash of a server while it ran a request with the parts.
type crash struct {
	key   crashKey
	at    time.Time
	parts []PartID
	// freshUntil is how long each report contains the crash.
	freshUntil time.Time
	// own is set if this host has observed the crash.
	own bool
}

type crashKey struct {
	server model.BackendID
	parts  uint64
}

// New returns a tracker without evidence.
func New(s Settings) *Tracker {
	return &Tracker{
		settings: s, byKey: map[crashKey][]*crash{}, crashed: map[PartID]int{},
		answered: newAnswers(s.MaxAnswered),
	}
}

// RecordCrash records that a server crashed while it ran a request with the shared parts.
// It reports whether the evidence is new.
func (t *Tracker) RecordCrash(server model.BackendID, parts []PartID, at, now time.Time) bool {
	suspects := make([]PartID, 0, len(parts))
	for _, id := range parts {
		if !t.cleared(id, at) && !slices.Contains(suspects, id) {
			suspects = append(suspects, id)
		}
	}
	c := t.add(server, suspects, at, now)
	if c != nil {
		c.own, c.freshUntil = true, now.Add(t.settings.FreshFor)
	}
	return c != nil
}

// RecordAnswer records a whole answer to a request with the shared parts.
func (t *Tracker) RecordAnswer(parts []PartID, now time.Time) {
	for _, id := range parts {
		t.recordAnswer(id, now, now)
	}
}

// recordAnswer records an answer to a request with the part. If peers may be about to
// hold the part for crashes that the answer clears, these crashes are reported anew.
func (t *Tracker) recordAnswer(id PartID, at, now time.Time) {
	before, known := t.answered.at(id)
	if !t.answered.record(id, at) || t.crashed[id] == 0 {
		return
	}
	var cleared []*crash
	for _, c := range t.crashes {
		if slices.Contains(c.parts, id) && !(known && t.clears(before, c.at)) && t.clears(at, c.at) {
			cleared = append(cleared, c)
		}
	}
	if len(cleared) == 0 {
		return
	}
	t.stale = true
	if len(cleared) >= t.settings.Limit-1 {
		for _, c := range cleared {
			c.freshUntil = now.Add(t.settings.FreshFor)
		}
	}
}

// clears reports whether an answer clears a part of a crash.
func (t *Tracker) clears(answeredAt, crashedAt time.Time) bool {
	return answeredAt.After(crashedAt.Add(-t.settings.AnswerSlack))
}

// cleared reports whether a known answer clears a part of a crash.
func (t *Tracker) cleared(id PartID, crashedAt time.Time) bool {
	answeredAt, ok := t.answered.at(id)
	return ok && t.clears(answeredAt, crashedAt)
}

// Holding returns the hold that applies to a request with the shared parts, nil if there
// is none.
func (t *Tracker) Holding(parts []PartID, now time.Time) *Hold {
	holds := t.Holds(now)
	for i := range holds {
		if containsAll(parts, holds[i].Parts) {
			return &holds[i]
		}
	}
	return nil
}

// Holds returns all holds. The caller must not change them.
func (t *Tracker) Holds(now time.Time) []Hold {
	t.expire(now)
	if t.stale {
		t.holds = t.evaluate()
		t.stale = false
	}
	return t.holds
}

func containsAll(parts, wanted []PartID) bool {
	for _, id := range wanted {
		if !slices.Contains(parts, id) {
			return false
		}
	}
	return true
}

// add records a crash and returns it, nil if it is known already. Hosts observe one crash
// at slightly different times; the earliest one is kept, so that reports that pass through
// several hosts don't extend the retention.
func (t *Tracker) add(server model.BackendID, parts []PartID, at, now time.Time) *crash {
	if len(parts) > t.settings.MaxParts {
		parts = parts[:t.settings.MaxParts]
	}
	if len(parts) == 0 || now.Sub(at) > t.settings.Retention {
		return nil
	}
	slices.Sort(parts)
	key := crashKey{server, digest(parts)}
	if known := t.find(server, parts, at); known != nil {
		if at.Before(known.at) {
			known.at = at
			t.stale = true
		}
		return nil
	}
	t.makeRoom()
	c := &crash{key: key, at: at, parts: parts}
	t.crashes = append(t.crashes, c)
	t.byKey[key] = append(t.byKey[key], c)
	for _, id := range parts {
		t.crashed[id]++
	}
	t.stale = true
	return c
}

// find returns the known crash of a server at about a time while it ran a request with
// the parts, which are in order; nil if there is none.
func (t *Tracker) find(server model.BackendID, parts []PartID, at time.Time) *crash {
	for _, known := range t.byKey[crashKey{server, digest(parts)}] {
		if known.at.Sub(at).Abs() < t.settings.SameCrash {
			return known
		}
	}
	return nil
}

func digest(parts []PartID) uint64 {
	h := xxhash.New()
	for _, id := range parts {
		var b [8]byte
		for i := range b {
			b[i] = byte(id >> (8 * i))
		}
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// makeRoom drops a crash if there are as many as may be kept: one whose parts are all
// cleared, or else the oldest one.
func (t *Tracker) makeRoom() {
	if len(t.crashes) < t.settings.MaxCrashes {
		return
	}
	drop := slices.IndexFunc(t.crashes, func(c *crash) bool { return len(t.suspects(c)) == 0 })
	if drop < 0 {
		oldest := slices.MinFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		drop = slices.Index(t.crashes, oldest)
	}
	t.remove(t.crashes[drop])
	t.crashes = slices.Delete(t.crashes, drop, drop+1)
}

// remove removes a crash from the indices.
func (t *Tracker) remove(c *crash) {
	t.byKey[c.key] = slices.DeleteFunc(t.byKey[c.key], func(o *crash) bool { return o == c })
	if len(t.byKey[c.key]) == 0 {
		delete(t.byKey, c.key)
	}
	for _, id := range c.parts {
		if t.crashed[id]--; t.crashed[id] == 0 {
			delete(t.crashed, id)
		}
	}
	t.stale = true
}

// expiryInterval is the least time between two checks for expiry.
const expiryInterval = 100 * time.Millisecond

// expire drops the crashes that no longer count: old ones, and those whose parts are all
// cleared, once the peers have heard of that.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		expired := now.Sub(c.at) > t.settings.Retention || now.After(c.freshUntil) && len(t.suspects(c)) == 0
		if expired {
			t.remove(c)
		}
		return expired
	})
}

// suspects returns the parts of a crash that no answer clears.
func (t *Tracker) suspects(c *crash) []PartID {
	var suspects []PartID
	for _, id := range c.parts {
		if !t.cleared(id, c.at) {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// Suspects returns the number of crashes by part that no answer clears.
func (t *Tracker) Suspects(now time.Time) map[PartID]int {
	t.expire(now)
	counts := map[PartID]int{}
	for _, c := range t.crashes {
		for _, id := range t.suspects(c) {
			counts[id]++
		}
	}
	return counts
}

// compareTimes orders crashes by time.
func compareTimes(a, b *crash) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key.server, b.key.server))
}
