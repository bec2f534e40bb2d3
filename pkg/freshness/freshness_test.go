package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// membership is the list of members at an offset of the log.
type membership struct {
	offset  model.Offset
	members []state.Member
	failed  []state.FailedMember
}

func (v membership) Offset() model.Offset                { return v.offset }
func (v membership) Members() []state.Member             { return v.members }
func (v membership) FailedMembers() []state.FailedMember { return v.failed }

var hostIDs = []model.HostID{"h1", "h2", "h3", "h4", "h5", "h6", "h7"}

func establishedMembers(hosts ...model.HostID) membership {
	v := membership{offset: 100}
	for _, h := range hosts {
		v.members = append(v.members, state.Member{Host: h, Incarnation: "i", Established: true, VoterSince: 1, JoinedAt: 1})
	}
	return v
}

func vouch(h model.HostID, sent time.Time) Response {
	return Response{Host: h, Incarnation: "i", Sent: sent, CannotReachLog: true, Counts: true, Offset: 100}
}

// Guards against timing evidence from its arrival: a response that was in flight
// for long proves nothing about the present.
func TestEvidenceIsTimedFromTheRequest(t *testing.T) {
	now := time.Now()
	tr := NewTracker("h1", "i")
	tr.RecordLogRead(now.Add(-2 * time.Second))
	require.Equal(t, now.Add(time.Second), tr.FreshUntil(now, establishedMembers("h1", "h2"), false))
	tr.RecordPeerTail(now.Add(-time.Second), 500*time.Millisecond)
	require.Equal(t, now.Add(1500*time.Millisecond), tr.FreshUntil(now, establishedMembers("h1", "h2"), false))
	tr.RecordPeerTail(now, time.Minute)
	require.Equal(t, now.Add(1500*time.Millisecond), tr.FreshUntil(now, establishedMembers("h1", "h2"), false), "older evidence must not shorten freshness")
}

// Guards against counting vouches that violate one of the conditions on them.
func TestVouchConditions(t *testing.T) {
	now := time.Now()
	fresh := func(v membership, cannotReach bool, responses ...Response) bool {
		tr := NewTracker("h1", "i")
		for _, a := range responses {
			tr.RecordAnswer(a)
		}
		return tr.FreshUntil(now, v, cannotReach).After(now)
	}
	valid := vouch("h2", now.Add(-time.Second))
	three := establishedMembers("h1", "h2", "h3")
	require.True(t, fresh(three, true, valid))
	require.False(t, fresh(three, true), "no majority")
	require.False(t, fresh(three, false, valid), "this host can reach the log")
	change := func(f func(*Response)) Response {
		a := valid
		f(&a)
		return a
	}
	require.False(t, fresh(three, true, change(func(a *Response) { a.CannotReachLog = false })))
	require.False(t, fresh(three, true, change(func(a *Response) { a.Counts = false })))
	require.False(t, fresh(three, true, change(func(a *Response) { a.Incarnation = "old" })))
	require.False(t, fresh(three, true, change(func(a *Response) { a.Sent = now.Add(-Limit) })))
	require.False(t, fresh(three, true, change(func(a *Response) { a.Offset = 101 })), "the voucher has more of the log")
	require.False(t, fresh(three, true, change(func(a *Response) { a.Host = "non-member" })))

	failed := establishedMembers("h1", "h2")
	failed.failed = []state.FailedMember{{Member: state.Member{Host: "h3"}}, {Member: state.Member{Host: "h4"}}}
	require.False(t, fresh(failed, true, valid), "failed members still count towards the majority")
	require.True(t, fresh(establishedMembers("h1", "h2"), true, valid), "members that left by themselves do not")
	notEstablished := establishedMembers("h1", "h2", "h3")
	notEstablished.members[0].Established = false
	require.False(t, fresh(notEstablished, true, valid), "this host does not count itself before it is established")
}

// Guards against new members that form a majority of which the old members do not
// know.
func TestEstablished(t *testing.T) {
	now := time.Now()
	v := establishedMembers("h1", "h2", "h3")
	v.members = append(v.members, state.Member{Host: "h4", Incarnation: "i", VoterSince: 50, JoinedAt: 50},
		state.Member{Host: "h5", Incarnation: "i", VoterSince: 60, JoinedAt: 60})
	tr := NewTracker("h4", "i")
	tr.RecordAnswer(vouch("h1", now))
	beforeJoin := vouch("h2", now)
	beforeJoin.Offset = 49
	tr.RecordAnswer(beforeJoin)
	tr.RecordAnswer(vouch("h5", now))
	require.False(t, tr.Established(v), "of the three earlier members, only h1 has applied the join")
	tr.RecordAnswer(vouch("h2", now.Add(time.Second)))
	require.True(t, tr.Established(v))
	require.True(t, tr.Counts(v))
	require.True(t, NewTracker("h9", "i").Established(membership{members: []state.Member{{Host: "h9", Incarnation: "i", VoterSince: 1, JoinedAt: 1}}}), "the first member")
	require.False(t, NewTracker("h9", "i").Established(v), "no member")
}

// Guards against two disjoint majorities: one that accepts a change and one
// that vouches for a host without it.
func TestMajoritiesIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		v := establishedMembers(hostIDs[:rapid.IntRange(1, len(hostIDs)).Draw(t, "members")]...)
		var accepting []Response
		tr := NewTracker(hostIDs[0], "i")
		for _, m := range v.members {
			if rapid.Bool().Draw(t, "has the change") {
				a := vouch(m.Host, now)
				a.Offset = 101
				accepting = append(accepting, a)
			}
		}
		hasChange := func(h model.HostID) bool {
			for _, a := range accepting {
				if a.Host == h {
					return true
				}
			}
			return false
		}
		for _, m := range v.members {
			a := vouch(m.Host, now)
			if hasChange(m.Host) {
				a.Offset = 101
			}
			tr.RecordAnswer(a)
		}
		accepted := MajoritySatisfies(v, accepting, func(a Response) bool { return a.Offset >= 101 })
		if accepted && !hasChange(hostIDs[0]) {
			require.False(t, tr.FreshUntil(now, v, true).After(now))
		}
	})
}
