package duty

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
)

var errNoResponse = errors.New("the response was lost")

// memoryLog is an in-memory log that can lose responses and delay appends.
type memoryLog struct {
	mu      sync.Mutex
	records [][]byte
	// newest holds the offset of the newest record of each key.
	newest map[string]int
	// loseResponses applies appends but returns an error.
	loseResponses bool
	// delayAppends queues appends in delayed instead of applying them.
	delayAppends bool
	delayed      []func()
	down         bool
	// firstOffset is the first offset whose history is kept.
	firstOffset uint64
}

func (l *memoryLog) AppendAt(_ context.Context, key string, record []byte, at uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errNoResponse
	}
	apply := func() error {
		if uint64(len(l.records)) != at {
			return ErrConflict
		}
		if l.newest == nil {
			l.newest = map[string]int{}
		}
		l.newest[key] = len(l.records)
		l.records = append(l.records, record)
		return nil
	}
	if l.delayAppends {
		l.delayed = append(l.delayed, func() { _ = apply() })
		return errNoResponse
	}
	err := apply()
	if l.loseResponses {
		return errNoResponse
	}
	return err
}

func (l *memoryLog) Read(_ context.Context, from uint64) (entries []Entry, end uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, 0, errNoResponse
	}
	end = uint64(len(l.records))
	for i, r := range l.records {
		offset := uint64(i)
		kept := false
		for _, newest := range l.newest {
			kept = kept || newest == i
		}
		if offset >= from && offset >= l.firstOffset || from < l.firstOffset && kept {
			entries = append(entries, Entry{offset, r})
		}
	}
	return entries, end, nil
}

// dropHistory drops the history; the newest record of each key stays.
func (l *memoryLog) dropHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstOffset = uint64(len(l.records))
}

var start = time.Unix(1000, 0)

// elapsed is the clock of leases. Tests of this package do not run in parallel.
var elapsed time.Duration

func newElector(host string, log Log) *Elector {
	e := &Elector{Host: host, Incarnation: "1", Log: log, Logger: zap.NewNop(), Elapsed: func() time.Duration { return elapsed }}
	e.Start(start)
	return e
}

// stepAll calls Step on all electors every 200 ms and delivers the holder's announcements
// to those that hear them.
func stepAll(t *testing.T, from, to time.Duration, hear func(a, b *Elector) bool, electors ...*Elector) {
	t.Helper()
	for at := from; at < to; at += 200 * time.Millisecond {
		now := start.Add(at)
		elapsed = at
		for _, e := range electors {
			_ = e.Step(t.Context(), now)
		}
		for _, a := range electors {
			fence, held := a.OwnFence()
			for _, b := range electors {
				if held && a != b && hear(a, b) {
					b.HandleReport(a.Host, fence, now)
				}
			}
		}
	}
}

func hearAll(*Elector, *Elector) bool  { return true }
func hearNone(*Elector, *Elector) bool { return false }

func holders(electors ...*Elector) (n int, fence uint64) {
	for _, e := range electors {
		if f, held := e.OwnFence(); held {
			n++
			fence = f
		}
	}
	return n, fence
}

func TestOneOfManyHoldsTheDuties(t *testing.T) {
	log := &memoryLog{}
	a, b, c := newElector("a", log), newElector("b", log), newElector("c", log)
	stepAll(t, 0, 4*time.Second, hearAll, a, b, c)
	n, fence := holders(a, b, c)
	assert.Equal(t, 1, n)
	assert.NotZero(t, fence)
}

func TestDeadHolderIsReplacedWithAHigherFence(t *testing.T) {
	log := &memoryLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 3*time.Second, hearAll, a, b)
	_, old := holders(a, b)
	require.NotZero(t, old)
	alive := b
	if _, held := b.OwnFence(); held {
		alive = a
	}
	stepAll(t, 10*time.Second, 15*time.Second, hearAll, alive)
	fence, held := alive.OwnFence()
	require.True(t, held)
	assert.Greater(t, fence, old)
}

func TestHolderThatNobodyHearsKeepsTheDuties(t *testing.T) {
	log := &memoryLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	fence, held := a.OwnFence()
	require.True(t, held)
	stepAll(t, 3*time.Second, 30*time.Second, hearNone, a, b)
	_, held = b.OwnFence()
	assert.False(t, held)
	now, _ := a.OwnFence()
	assert.Equal(t, fence, now)
}

func TestClaimWhoseResponseWasLostIsFoundInTheLog(t *testing.T) {
	log := &memoryLog{loseResponses: true}
	a := newElector("a", log)
	stepAll(t, 0, 4*time.Second, hearNone, a)
	_, held := a.OwnFence()
	assert.True(t, held)
	claims := 0
	for _, raw := range log.records {
		if strings.Contains(string(raw), `"kind":"claim"`) {
			claims++
		}
	}
	assert.Equal(t, 1, claims)
}

func TestLateAppendOfAFormerHolderHasNoEffect(t *testing.T) {
	log := &memoryLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	log.delayAppends = true
	_, err := a.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 1})
	require.Error(t, err)
	late := log.delayed
	log.delayAppends, log.delayed = false, nil
	stepAll(t, 10*time.Second, 15*time.Second, hearNone, b)
	counts, err := b.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 2})
	require.NoError(t, err)
	for _, f := range late {
		f()
	}
	assert.Equal(t, int64(2), counts["o"])
	c := newElector("c", log)
	require.NoError(t, c.catchUp(t.Context()))
	r, ok := c.fixedUsage(7)
	require.True(t, ok)
	assert.Equal(t, int64(2), r.Counts["o"])
}

func TestNextHolderReportsAWindowWithTheFixedFigures(t *testing.T) {
	log := &memoryLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	first, err := a.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 1})
	require.NoError(t, err)
	stepAll(t, 10*time.Second, 15*time.Second, hearNone, b)
	second, err := b.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 9})
	require.NoError(t, err)
	assert.Equal(t, first, second)
	_, err = a.FixUsage(t.Context(), 8, map[model.OrganisationID]int64{"o": 3})
	assert.ErrorIs(t, err, ErrNotHolder)
}

func TestPausedHostResignsAndClaimsAgain(t *testing.T) {
	log := &memoryLog{}
	a := newElector("a", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	old, held := a.OwnFence()
	require.True(t, held)
	a.Resign("pause", start.Add(8*time.Second))
	_, held = a.OwnFence()
	require.False(t, held)
	stepAll(t, 8*time.Second, 10*time.Second, hearNone, a)
	_, held = a.OwnFence()
	require.False(t, held, "not at once")
	stepAll(t, 10*time.Second, 16*time.Second, hearNone, a)
	fence, held := a.OwnFence()
	require.True(t, held)
	assert.Greater(t, fence, old)
}

func TestNoClaimWhileTheLogIsDown(t *testing.T) {
	log := &memoryLog{}
	a := newElector("a", log)
	log.down = true
	stepAll(t, 0, 5*time.Second, hearNone, a)
	_, held := a.OwnFence()
	assert.False(t, held)
	log.down = false
	stepAll(t, 5*time.Second, 10*time.Second, hearNone, a)
	_, held = a.OwnFence()
	assert.True(t, held)
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	log := &memoryLog{records: [][]byte{[]byte("{"), []byte(`{"kind":"claim","host":"x","incarnation":"9","fence":2}`)}}
	a := newElector("a", log)
	require.NoError(t, a.catchUp(t.Context()))
	holder, fence := a.Holding()
	assert.Equal(t, "x", holder)
	assert.Equal(t, uint64(2), fence)
}

func TestFiguresOfAWindowOutlastTheHistoryOfTheLog(t *testing.T) {
	log := &memoryLog{}
	a := newElector("a", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	old, _ := a.OwnFence()
	first, err := a.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 1})
	require.NoError(t, err)
	log.dropHistory()
	b := newElector("b", log)
	stepAll(t, 10*time.Second, 16*time.Second, hearNone, b)
	fence, held := b.OwnFence()
	require.True(t, held)
	assert.Greater(t, fence, old)
	second, err := b.FixUsage(t.Context(), 7, map[model.OrganisationID]int64{"o": 9})
	require.NoError(t, err)
	assert.Equal(t, first, second)
}

func TestFiguresOfOldWindowsAreRemoved(t *testing.T) {
	log := &memoryLog{}
	a := newElector("a", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	for window := range int64(2 * keptUsageWindows) {
		_, err := a.FixUsage(t.Context(), window, map[model.OrganisationID]int64{"o": window})
		require.NoError(t, err)
	}
	kept := 0
	for key, i := range log.newest {
		if strings.HasPrefix(key, "usage/") && len(log.records[i]) > 0 {
			kept++
		}
	}
	assert.LessOrEqual(t, kept, keptUsageWindows+1)
}

// countingLog counts calls to the log.
type countingLog struct {
	*memoryLog
	calls int
}

func (l *countingLog) AppendAt(ctx context.Context, key string, record []byte, at uint64) error {
	l.calls++
	return l.memoryLog.AppendAt(ctx, key, record, at)
}

func (l *countingLog) Read(ctx context.Context, from uint64) ([]Entry, uint64, error) {
	l.calls++
	return l.memoryLog.Read(ctx, from)
}

// Guards against a stampede on the log when the holder is lost: without staggering, all
// hosts would read it until one of them has claimed.
func TestFewOfManyHostsReadTheLogOnceTheHolderIsLost(t *testing.T) {
	log := &countingLog{memoryLog: &memoryLog{}}
	var electors []*Elector
	for i := range 88 {
		e := newElector(strconv.Itoa(i), log)
		e.Rank = func() int { return max(0, i-1) }
		electors = append(electors, e)
	}
	stepAll(t, 0, 8*time.Second, hearAll, electors...)
	_, held := electors[0].OwnFence()
	require.True(t, held)
	assert.Less(t, log.calls, 10, "calls for the first claim")
	log.calls = 0
	stepAll(t, 8*time.Second, 16*time.Second, hearAll, electors[1:]...)
	n, _ := holders(electors[1:]...)
	assert.Equal(t, 1, n)
	assert.Less(t, log.calls, 60)
}

func TestHostsThatCannotReachTheLogDoNotKeepTheOthersFromClaiming(t *testing.T) {
	log, down := &memoryLog{}, &memoryLog{down: true}
	var electors []*Elector
	for i := range 40 {
		l := log
		if i < 30 {
			l = down
		}
		e := newElector(strconv.Itoa(i), l)
		e.Rank = func() int { return i }
		electors = append(electors, e)
	}
	stepAll(t, 0, holderTimeout+maxClaimStagger+time.Second, hearAll, electors...)
	n, _ := holders(electors...)
	assert.Equal(t, 1, n)
}
