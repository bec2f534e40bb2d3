package atmostonce

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// keySimulation simulates the log of one idempotency key and hosts that run calls.
type keySimulation struct {
	entry *state.IdempotencyEntry
	// delayedClaims are claims whose append got no response. They may still appear
	// in the log.
	delayedClaims []state.IdempotencyEntry
	running       []model.RequestID
	members       []state.Member
	runs          map[string]int
	now           time.Time
	calls         int
	// rule is the rule under test.
	rule func(state.IdempotencyEntry, bool, KeyCall) KeyStep
}

func newKeySimulation(rule func(state.IdempotencyEntry, bool, KeyCall) KeyStep) *keySimulation {
	return &keySimulation{
		members: []state.Member{{Host: "h0", Incarnation: "a"}, {Host: "h1", Incarnation: "a"}},
		runs:    map[string]int{},
		now:     time.Unix(1000, 0),
		rule:    rule,
	}
}

func (sim *keySimulation) step(id model.RequestID, digest string) KeyStep {
	var entry state.IdempotencyEntry
	if sim.entry != nil {
		entry = *sim.entry
	}
	return sim.rule(entry, sim.entry != nil, KeyCall{
		RequestID: id, Digest: digest, Now: sim.now, RunLimit: time.Minute, Members: sim.members,
	})
}

// append applies a claim as the log does: the first claim wins, and another
// replaces it only if the first one's call is known not to have run.
func (sim *keySimulation) append(claim state.IdempotencyEntry) {
	claim.ClaimedAt = sim.now
	if sim.entry == nil || sim.entry.Outcome != nil && sim.entry.Outcome.Ran == model.NotRun {
		sim.entry = &claim
	}
}

// call simulates a call through a host. If lost is set, the append of its claim
// gets no response.
func (sim *keySimulation) call(host int, digest string, lost bool) KeyStep {
	sim.calls++
	id := model.RequestID(fmt.Sprint("r", sim.calls))
	step := sim.step(id, digest)
	if step != KeyClaim {
		return sim.startRun(id, digest, step)
	}
	claim := state.IdempotencyEntry{
		IdempotencyClaim: logrec.IdempotencyClaim{Key: "k", RequestID: id, Digest: digest},
		Host:             sim.members[host].Host, Incarnation: sim.members[host].Incarnation,
	}
	if lost {
		sim.delayedClaims = append(sim.delayedClaims, claim)
		return KeyClaim
	}
	sim.append(claim)
	return sim.startRun(id, digest, sim.step(id, digest))
}

// startRun counts a run if the step allows one.
func (sim *keySimulation) startRun(id model.RequestID, digest string, step KeyStep) KeyStep {
	if step == KeyRun {
		sim.runs[digest]++
		sim.running = append(sim.running, id)
	}
	return step
}

// finish ends the oldest running call and records its outcome. If lost is set, the
// host fails before it records the outcome.
func (sim *keySimulation) finish(ran model.Ran, lost bool) {
	id := sim.running[0]
	sim.running = sim.running[1:]
	if !lost && sim.entry.RequestID == id {
		sim.entry.Outcome = &logrec.IdempotencyOutcome{RequestID: id, Ran: ran, Status: 201}
	}
}

func (sim *keySimulation) totalRuns() (n int) {
	for _, runs := range sim.runs {
		n += runs
	}
	return n
}

// Guards against running a call with an idempotency key twice while callers repeat
// it through two hosts, append responses and outcomes are lost and hosts restart.
func TestKeyProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newKeySimulation(NextKeyStep)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				digest := rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "digest")
				before := sim.entry
				step := sim.call(rapid.IntRange(0, 1).Draw(t, "host"), digest, rapid.Bool().Draw(t, "lost"))
				if before != nil && before.Digest != digest {
					require.Equal(t, KeyMismatch, step)
				}
				if step == KeyReplay {
					require.Equal(t, model.WasRun, sim.entry.Outcome.Ran)
				}
			},
			"late claim appears": func(t *rapid.T) {
				if len(sim.delayedClaims) == 0 {
					return // nothing to act on
				}
				sim.append(sim.delayedClaims[0])
				sim.delayedClaims = sim.delayedClaims[1:]
			},
			"finish": func(t *rapid.T) {
				if len(sim.running) == 0 {
					return // nothing to act on
				}
				sim.finish(rapid.SampledFrom([]model.Ran{model.WasRun, model.RanUnknown}).Draw(t, "ran"), rapid.Bool().Draw(t, "lost"))
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "host")
				sim.members[i].Incarnation += "x"
			},
			"time": func(*rapid.T) { sim.now = sim.now.Add(40 * time.Second) },
			"":     func(t *rapid.T) { require.LessOrEqual(t, sim.totalRuns(), 1) },
		})
	})
}

// Checks that the property detects a faulty rule: one that runs a call again once
// the host of its claim is gone.
func TestKeyPropertyDetectsFaultyRule(t *testing.T) {
	sim := newKeySimulation(func(e state.IdempotencyEntry, found bool, c KeyCall) KeyStep {
		step := NextKeyStep(e, found, c)
		if step == KeyUnknown {
			return KeyRun
		}
		return step
	})
	require.Equal(t, KeyRun, sim.call(0, "d1", false))
	sim.members[0].Incarnation = "b"
	sim.call(1, "d1", false)
	require.Greater(t, sim.totalRuns(), 1)
}

// Guards against different calls with the same digest, and against key lifetimes
// that exceed the time for which the log keeps the claims.
func TestDigestAndLifetime(t *testing.T) {
	require.NotEqual(t, CallDigest("POST", "/a", []byte("bc")), CallDigest("POST", "/ab", []byte("c")))
	require.NotEqual(t, RequestDigest("o1", "m", nil), RequestDigest("o2", "m", nil))
	require.Equal(t, 24*time.Hour, KeyLifetime(24*time.Hour, 0))
	require.Equal(t, 11*time.Hour, KeyLifetime(24*time.Hour, 12*time.Hour))
	require.Zero(t, KeyLifetime(24*time.Hour, time.Minute))
}

// Guards against counting one crash twice, against crashes that never expire and
// against an unbounded table.
func TestSuspects(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSuspects()
	require.True(t, s.Add(CrashReport{"d", "r1", "b1"}, now))
	require.False(t, s.Add(CrashReport{"d", "r1", "b1"}, now))
	require.Equal(t, 1, s.Count("d", now))
	require.Zero(t, s.ClearsIn("d", now))
	require.True(t, s.Add(CrashReport{"d", "r1", "b2"}, now.Add(time.Minute)))
	require.Equal(t, SuspectThreshold, s.Count("d", now.Add(time.Minute)))
	require.Equal(t, 9*time.Minute, s.ClearsIn("d", now.Add(time.Minute)))
	require.Equal(t, 1, s.Count("d", now.Add(SuspectExpiry)))
	require.Zero(t, s.Count("d", now.Add(time.Minute+SuspectExpiry)))
	for i := range maxSuspects + 10 {
		s.Add(CrashReport{fmt.Sprint(i), "r", "b"}, now)
	}
	require.LessOrEqual(t, len(s.crashes), maxSuspects)
}
