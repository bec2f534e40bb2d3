package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// hostLog is one host's way to the log.
type hostLog struct {
	*memoryLog
	cut bool
	// duringRead is called once, while a read is in progress.
	duringRead func()
}

var errCut = errors.New("the host is cut off from the log")

func (l *hostLog) AppendAt(ctx context.Context, key string, record []byte, at uint64) error {
	if l.cut {
		return errCut
	}
	return l.memoryLog.AppendAt(ctx, key, record, at)
}

func (l *hostLog) Read(ctx context.Context, from uint64) ([]Entry, uint64, error) {
	if l.cut {
		return nil, 0, errCut
	}
	if f := l.duringRead; f != nil {
		l.duringRead = nil
		f()
	}
	return l.memoryLog.Read(ctx, from)
}

// stepFinely advances the clock by 10 ms at a time, with a step of each host every 200 ms, and
// requires that never two hosts may act.
func stepFinely(t *testing.T, from, to time.Duration, electors ...*Elector) {
	t.Helper()
	const tick, stepTicks = 10 * time.Millisecond, 20
	for at := from; at < to; at += tick {
		elapsed = at
		for i, e := range electors {
			if (int(at/tick)+7*i)%stepTicks == 0 {
				_ = e.Step(t.Context(), start.Add(at))
			}
			n, _ := holders(electors...)
			require.LessOrEqual(t, n, 1, "at %s", at)
		}
	}
}

// Guards against two hosts that act as the holder at the same time, one of them with a lower
// fencing token, when the holder is cut off from the log and from the other hosts.
func TestHolderThatIsCutOffStopsBeforeItsSuccessorStarts(t *testing.T) {
	for cutAt := 8 * time.Second; cutAt < 10*time.Second; cutAt += 50 * time.Millisecond {
		log := &memoryLog{}
		ofA := &hostLog{memoryLog: log}
		a, b := newElector("a", ofA), newElector("b", &hostLog{memoryLog: log})
		stepFinely(t, 0, 7*time.Second, a)
		_, held := a.OwnFence()
		require.True(t, held)
		b.HandleReport("a", 1, start.Add(7*time.Second))
		stepFinely(t, 7*time.Second, cutAt, a, b)
		ofA.cut = true
		stepFinely(t, cutAt, cutAt+8*time.Second, a, b)
		_, held = b.OwnFence()
		require.True(t, held, "the successor holds the duties")
		ofA.cut = false
		stepFinely(t, cutAt+8*time.Second, cutAt+10*time.Second, a, b)
		fence, held := b.OwnFence()
		assert.True(t, held)
		assert.Greater(t, fence, uint64(1))
	}
}

// Guards against a claim too early after a record that was written while the log was read
// slowly.
func TestQuietTimeOfTheLogBeginsAfterASlowRead(t *testing.T) {
	log := &memoryLog{}
	ofA, ofB := &hostLog{memoryLog: log}, &hostLog{memoryLog: log}
	a, b := newElector("a", ofA), newElector("b", ofB)
	stepFinely(t, 0, 20*time.Second, a)
	ofB.duringRead = func() {
		elapsed += 1100 * time.Millisecond
		require.NoError(t, a.write(t.Context(), Record{Kind: KindAlive}))
		ofA.cut = true
	}
	elapsed = 20 * time.Second
	require.NoError(t, b.Step(t.Context(), start.Add(elapsed)))
	stepFinely(t, elapsed.Round(10*time.Millisecond), 30*time.Second, a, b)
	_, held := b.OwnFence()
	assert.True(t, held)
}

// Guards against calls of a host that was frozen between the check and the call.
func TestTermEndsByTheHostsOwnClock(t *testing.T) {
	a := newElector("a", &memoryLog{})
	stepFinely(t, 0, 5*time.Second, a)
	term, ok := a.Term()
	require.True(t, ok)
	require.Positive(t, term.Remaining())
	elapsed += 3 * time.Second
	assert.Zero(t, term.Remaining())
	_, ok = a.Term()
	assert.False(t, ok)
	_, lapsed, claimed := a.Claimed()
	assert.True(t, claimed, "no other host has claimed")
	assert.Positive(t, lapsed)
}

// Guards against an append that was sent before the lease ended and found in the log after:
// it must not prolong the lease beyond its own time.
func TestAppendWhoseResponseIsLostRenewsFromItsSending(t *testing.T) {
	log := &memoryLog{}
	a := newElector("a", log)
	stepFinely(t, 0, 5*time.Second, a)
	log.loseResponses = true
	sent := elapsed
	require.Error(t, a.write(t.Context(), Record{Kind: KindAlive}))
	log.loseResponses = false
	elapsed += time.Second
	require.NoError(t, a.catchUp(t.Context()))
	term, ok := a.Term()
	require.True(t, ok)
	assert.Equal(t, sent+leaseTime-elapsed, term.Remaining())
}

// Guards against a report of figures that another holder has fixed, with the token of the
// former one.
func TestFormerHolderGetsNoFixedFigures(t *testing.T) {
	log := &memoryLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	stepAll(t, 10*time.Second, 18*time.Second, hearNone, b)
	_, err := b.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 1})
	require.NoError(t, err)
	_, err = a.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 2})
	assert.ErrorIs(t, err, ErrNotHolder)
}

// Guards against holders that stop because they renew their lease too late, beside a slow log.
func TestHolderKeepsItsLeaseBesideALogThatAnswersLate(t *testing.T) {
	log := &memoryLog{}
	ofA := &hostLog{memoryLog: log}
	a := newElector("a", ofA)
	stepFinely(t, 0, 5*time.Second, a)
	for at := 5 * time.Second; at < 20*time.Second; at += 10 * time.Millisecond {
		elapsed = at
		ofA.cut = int(at/time.Second)%2 == 0 && at%time.Second < 700*time.Millisecond
		if at%(200*time.Millisecond) == 0 {
			_ = a.Step(t.Context(), start.Add(at))
		}
		_, held := a.OwnFence()
		require.True(t, held, "at %s", at)
	}
}
