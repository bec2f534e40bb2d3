// Package freshness decides whether a host's view of the log is recent enough to
// act on, and what counts as a majority of the members. It does no I/O and reads
// no clock: callers pass the tables and the time.
package freshness

import (
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Limit is the age at which evidence of a fresh view expires.
const Limit = 3 * time.Second

// Response is what a member reported about itself.
type Response struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Sent is when this host sent the request, by its own clock.
	Sent time.Time
	// CannotReachLog is the member's vouch that it cannot reach the log.
	CannotReachLog bool
	// Offset is the last offset that the member has applied.
	Offset model.Offset
	// Counts is set if the member's responses count towards majorities; see
	// Tracker.Counts.
	Counts bool
}

// Members is the part of the tables that majorities are computed from.
type Members interface {
	Offset() model.Offset
	Members() []state.Member
	FailedMembers() []state.FailedMember
}

// voters lists the members that count towards majorities: those that joined and
// did not leave by themselves, and for ten minutes of log time those that failed.
func voters(m Members) []state.Member {
	all := m.Members()
	for _, f := range m.FailedMembers() {
		all = append(all, f.Member)
	}
	return all
}

// MajoritySize is the number of voters that make a majority.
func MajoritySize(m Members) int { return len(voters(m))/2 + 1 }

// Tracker collects evidence that the view of a host is fresh. It is not safe for
// concurrent use. The kinds of evidence, as in docs/design.md under Freshness, are:
// (a) this host read the log to its end; (b) a peer sent the tail of the log with the
// age of its own evidence; (c) a majority of the members vouched that they cannot
// reach the log either.
type Tracker struct {
	self        model.HostID
	incarnation model.Incarnation
	// logReadAt is the latest time at which the log is known to have been read to
	// its end, by this host or by a peer.
	logReadAt time.Time
	responses map[model.HostID]Response
	// established is set once Established has reported true.
	established bool
}

// NewTracker returns a tracker without evidence.
func NewTracker(self model.HostID, incarnation model.Incarnation) *Tracker {
	return &Tracker{self: self, incarnation: incarnation, responses: map[model.HostID]Response{}}
}

// RecordLogRead records evidence (a): this host read the log to its end with a read that
// it sent at the given time.
func (t *Tracker) RecordLogRead(sent time.Time) { t.advanceLogRead(sent) }

// RecordPeerTail records evidence (b): a peer replied to a request with the tail of the
// log and the age of its own evidence. The age counts back from the time at which
// the request was sent, because the peer cannot know how long its reply takes.
func (t *Tracker) RecordPeerTail(sent time.Time, age time.Duration) { t.advanceLogRead(sent.Add(-age)) }

func (t *Tracker) advanceLogRead(at time.Time) {
	if at.After(t.logReadAt) {
		t.logReadAt = at
	}
}

// LogReadAt returns the time of the newest evidence of kind (a) or (b).
func (t *Tracker) LogReadAt() time.Time { return t.logReadAt }

// RecordAnswer records a member's response. It keeps the response to the latest request.
func (t *Tracker) RecordAnswer(a Response) {
	if known, ok := t.responses[a.Host]; !ok || a.Sent.After(known.Sent) {
		t.responses[a.Host] = a
	}
}

// FreshUntil returns the time until which the view is fresh. cannotReachLog is set if
// this host itself cannot reach the log.
func (t *Tracker) FreshUntil(now time.Time, m Members, cannotReachLog bool) time.Time {
	until := t.logReadAt.Add(Limit)
	if !cannotReachLog {
		return until
	}
	if vouchedAt, ok := t.vouchedAt(now, m); ok && vouchedAt.Add(Limit).After(until) {
		return vouchedAt.Add(Limit)
	}
	return until
}

// vouchedAt returns the time of evidence (c), for which a majority has vouched. No
// vouch counts while one of the vouching members has applied more of the log than
// this host, since that part may contain an accepted change.
func (t *Tracker) vouchedAt(now time.Time, m Members) (time.Time, bool) {
	var times []time.Time
	for _, v := range voters(m) {
		if v.Host == t.self {
			if v.Incarnation == t.incarnation && t.Counts(m) {
				times = append(times, now)
			}
			continue
		}
		a, ok := t.responses[v.Host]
		if !ok || !a.CannotReachLog || !a.Counts || a.Incarnation != v.Incarnation || now.Sub(a.Sent) >= Limit {
			continue
		}
		if a.Offset > m.Offset() {
			return time.Time{}, false
		}
		times = append(times, a.Sent)
	}
	needed := MajoritySize(m)
	if len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1], true
}

// Counts reports whether this host's responses count towards the majorities of
// others. A new member must be established first: otherwise members that do
// not know of it yet could form a majority among themselves at the same time.
// A host that was established in an earlier incarnation already counted, so
// nothing changes for others.
func (t *Tracker) Counts(m Members) bool {
	for _, v := range m.Members() {
		if v.Host == t.self && v.Incarnation == t.incarnation {
			return t.established || v.Established
		}
	}
	return false
}

// Established reports whether this member may accept changes and claim shards:
// a majority of the members of its log prefix have responded to it after they
// applied its join. Once true, it stays true.
func (t *Tracker) Established(m Members) bool {
	if t.established {
		return true
	}
	all := voters(m)
	self := slices.IndexFunc(all, func(v state.Member) bool { return v.Host == t.self && v.Incarnation == t.incarnation })
	if self < 0 {
		return false
	}
	joined := all[self]
	// Members that joined later did not count when this host joined. If they were
	// included, hosts that start together would wait for each other.
	others, responded := 0, 0
	for _, v := range all {
		if v.Host == t.self || !joined.Established && v.VoterSince > joined.VoterSince {
			continue
		}
		others++
		if a, ok := t.responses[v.Host]; ok && a.Counts && a.Incarnation == v.Incarnation && a.Offset >= joined.JoinedAt {
			responded++
		}
	}
	if joined.Established {
		// An earlier incarnation counted, so this host is one of the majority.
		others++
		responded++
	}
	t.established = others == 0 || responded >= others/2+1
	return t.established
}

// MajoritySatisfies reports whether a majority of the members gave responses that
// satisfy a condition, for the acceptance of a change. The responses include this
// host's own.
func MajoritySatisfies(m Members, responses []Response, condition func(Response) bool) bool {
	byHost := map[model.HostID]Response{}
	for _, a := range responses {
		byHost[a.Host] = a
	}
	count := 0
	for _, v := range voters(m) {
		if a, ok := byHost[v.Host]; ok && a.Incarnation == v.Incarnation && a.Counts && condition(a) {
			count++
		}
	}
	return count >= MajoritySize(m)
}
