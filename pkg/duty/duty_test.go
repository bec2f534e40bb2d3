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

var errLost = errors.New("the answer was lost")

// memoryLog is a log whose answers can be lost and whose appends can come late.
type memoryLog struct {
	mu      sync.Mutex
	records [][]byte
	// newest are the offsets of the newest record of each key.
	newest map[string]int
	// loseAnswers carries appends out without an answer.
	loseAnswers bool
	// delay keeps appends until release.
	delay   bool
	delayed []func()
	down    bool
	// first is the first offset that is left.
	first uint64
}

func (l *memoryLog) AppendAt(_ context.Context, key string, record []byte, at uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errLost
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
	if l.delay {
		l.delayed = append(l.delayed, func() { _ = apply() })
		return errLost
	}
	err := apply()
	if l.loseAnswers {
		return errLost
	}
	return err
}

func (l *memoryLog) Read(_ context.Context, from uint64) (entries []Entry, end uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, 0, errLost
	}
	end = uint64(len(l.records))
	for i, r := range l.records {
		offset := uint64(i)
		kept := false
		for _, newest := range l.newest {
			kept = kept || newest == i
		}
		if offset >= from && offset >= l.first || from < l.first && kept {
			entries = append(entries, Entry{offset, r})
		}
	}
	return entries, end, nil
}

// forget drops the history; the newest record of each key stays.
func (l *memoryLog) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = uint64(len(l.records))
}

var start = time.Unix(1000, 0)

func keeper(host string, log Log) *Keeper {
	k := &Keeper{Host: host, Incarnation: "1", Log: log, Logger: zap.NewNop()}
	k.Start(start)
	return k
}

// step steps all keepers every 200 ms until a time and lets each hear the others.
func step(t *testing.T, from, to time.Duration, hear func(a, b *Keeper) bool, keepers ...*Keeper) {
	t.Helper()
	for at := from; at < to; at += 200 * time.Millisecond {
		now := start.Add(at)
		for _, k := range keepers {
			_ = k.Step(t.Context(), false, now)
		}
		for _, a := range keepers {
			fence, mine := a.Mine()
			for _, b := range keepers {
				if mine && a != b && hear(a, b) {
					b.Hear(a.Host, fence, now)
				}
			}
		}
	}
}

func all(*Keeper, *Keeper) bool  { return true }
func none(*Keeper, *Keeper) bool { return false }

func holders(keepers ...*Keeper) (n int, fence uint64) {
	for _, k := range keepers {
		if f, mine := k.Mine(); mine {
			n++
			fence = f
		}
	}
	return n, fence
}

func TestOneOfManyHoldsTheDuties(t *testing.T) {
	log := &memoryLog{}
	a, b, c := keeper("a", log), keeper("b", log), keeper("c", log)
	step(t, 0, 4*time.Second, all, a, b, c)
	n, fence := holders(a, b, c)
	assert.Equal(t, 1, n)
	assert.NotZero(t, fence)
}

func TestDeadHolderIsReplacedWithAHigherFence(t *testing.T) {
	log := &memoryLog{}
	a, b := keeper("a", log), keeper("b", log)
	step(t, 0, 3*time.Second, all, a, b)
	_, old := holders(a, b)
	require.NotZero(t, old)
	alive := b
	if _, mine := b.Mine(); mine {
		alive = a
	}
	step(t, 10*time.Second, 15*time.Second, all, alive)
	fence, mine := alive.Mine()
	require.True(t, mine)
	assert.Greater(t, fence, old)
}

func TestHolderThatShowsItselfInTheLogKeepsTheDuties(t *testing.T) {
	log := &memoryLog{}
	a, b := keeper("a", log), keeper("b", log)
	step(t, 0, 3*time.Second, none, a)
	fence, mine := a.Mine()
	require.True(t, mine)
	for at := 3 * time.Second; at < 30*time.Second; at += 200 * time.Millisecond {
		require.NoError(t, a.Step(t.Context(), true, start.Add(at)))
		require.NoError(t, b.Step(t.Context(), true, start.Add(at)))
	}
	_, mine = b.Mine()
	assert.False(t, mine)
	now, _ := a.Mine()
	assert.Equal(t, fence, now)
}

func TestClaimWhoseAnswerWasLostIsFoundInTheLog(t *testing.T) {
	log := &memoryLog{loseAnswers: true}
	a := keeper("a", log)
	step(t, 0, 4*time.Second, none, a)
	_, mine := a.Mine()
	assert.True(t, mine)
	assert.Len(t, log.records, 1)
}

func TestLateAppendOfAFormerHolderHasNoEffect(t *testing.T) {
	log := &memoryLog{}
	a, b := keeper("a", log), keeper("b", log)
	step(t, 0, 3*time.Second, none, a)
	log.delay = true
	_, err := a.Usage(t.Context(), 7, map[model.OrganisationID]int64{"o": 1})
	require.Error(t, err)
	late := log.delayed
	log.delay, log.delayed = false, nil
	step(t, 10*time.Second, 15*time.Second, none, b)
	counts, err := b.Usage(t.Context(), 7, map[model.OrganisationID]int64{"o": 2})
	require.NoError(t, err)
	for _, f := range late {
		f()
	}
	assert.Equal(t, int64(2), counts["o"])
	c := keeper("c", log)
	require.NoError(t, c.catchUp(t.Context()))
	r, ok := c.fixed(7)
	require.True(t, ok)
	assert.Equal(t, int64(2), r.Counts["o"])
}

func TestNextHolderReportsAWindowUnderTheFiguresThatWereFixed(t *testing.T) {
	log := &memoryLog{}
	a, b := keeper("a", log), keeper("b", log)
	step(t, 0, 3*time.Second, none, a)
	first, err := a.Usage(t.Context(), 7, map[model.OrganisationID]int64{"o": 1})
	require.NoError(t, err)
	step(t, 10*time.Second, 15*time.Second, none, b)
	second, err := b.Usage(t.Context(), 7, map[model.OrganisationID]int64{"o": 9})
	require.NoError(t, err)
	assert.Equal(t, first, second)
	_, err = a.Usage(t.Context(), 8, map[model.OrganisationID]int64{"o": 3})
	assert.ErrorIs(t, err, ErrNotHolder)
}

func TestHostThatStoodStillGivesTheDutiesUpAndClaimsAnew(t *testing.T) {
	log := &memoryLog{}
	a := keeper("a", log)
	step(t, 0, 3*time.Second, none, a)
	old, mine := a.Mine()
	require.True(t, mine)
	a.Resign("pause", start.Add(8*time.Second))
	_, mine = a.Mine()
	require.False(t, mine)
	step(t, 8*time.Second, 10*time.Second, none, a)
	_, mine = a.Mine()
	require.False(t, mine, "not at once")
	step(t, 10*time.Second, 16*time.Second, none, a)
	fence, mine := a.Mine()
	require.True(t, mine)
	assert.Greater(t, fence, old)
}

func TestNoClaimWhileTheLogIsDown(t *testing.T) {
	log := &memoryLog{}
	a := keeper("a", log)
	log.down = true
	step(t, 0, 5*time.Second, none, a)
	_, mine := a.Mine()
	assert.False(t, mine)
	log.down = false
	step(t, 5*time.Second, 10*time.Second, none, a)
	_, mine = a.Mine()
	assert.True(t, mine)
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	log := &memoryLog{records: [][]byte{[]byte("{"), []byte(`{"kind":"claim","host":"x","incarnation":"9","fence":2}`)}}
	a := keeper("a", log)
	require.NoError(t, a.catchUp(t.Context()))
	holder, fence := a.Holding()
	assert.Equal(t, "x", holder)
	assert.Equal(t, uint64(2), fence)
}

func TestFiguresOfAWindowOutlastTheHistoryOfTheLog(t *testing.T) {
	log := &memoryLog{}
	a := keeper("a", log)
	step(t, 0, 3*time.Second, none, a)
	old, _ := a.Mine()
	first, err := a.Usage(t.Context(), 7, map[model.OrganisationID]int64{"o": 1})
	require.NoError(t, err)
	log.forget()
	b := keeper("b", log)
	step(t, 10*time.Second, 16*time.Second, none, b)
	fence, mine := b.Mine()
	require.True(t, mine)
	assert.Greater(t, fence, old)
	second, err := b.Usage(t.Context(), 7, map[model.OrganisationID]int64{"o": 9})
	require.NoError(t, err)
	assert.Equal(t, first, second)
}

func TestFiguresOfOldWindowsAreRemoved(t *testing.T) {
	log := &memoryLog{}
	a := keeper("a", log)
	step(t, 0, 3*time.Second, none, a)
	for window := range int64(2 * usageKept) {
		_, err := a.Usage(t.Context(), window, map[model.OrganisationID]int64{"o": window})
		require.NoError(t, err)
	}
	kept := 0
	for key, i := range log.newest {
		if strings.HasPrefix(key, "usage/") && len(log.records[i]) > 0 {
			kept++
		}
	}
	assert.LessOrEqual(t, kept, usageKept+1)
}

// countingLog counts the calls that its hosts make.
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

// The loss of a holder is no reason for each of many hosts to read the log until
// one of them has claimed.
func TestFewOfManyHostsReadTheLogOnceTheHolderIsLost(t *testing.T) {
	log := &countingLog{memoryLog: &memoryLog{}}
	var keepers []*Keeper
	for i := range 88 {
		k := keeper(strconv.Itoa(i), log)
		k.Rank = func() int { return max(0, i-1) }
		keepers = append(keepers, k)
	}
	step(t, 0, 8*time.Second, all, keepers...)
	_, mine := keepers[0].Mine()
	require.True(t, mine)
	assert.Less(t, log.calls, 10, "of the first claim")
	log.calls = 0
	step(t, 8*time.Second, 16*time.Second, all, keepers[1:]...)
	n, _ := holders(keepers[1:]...)
	assert.Equal(t, 1, n)
	assert.Less(t, log.calls, 60)
}

func TestHostsThatCannotReachTheLogDoNotKeepTheOthersFromClaiming(t *testing.T) {
	log, down := &memoryLog{}, &memoryLog{down: true}
	var keepers []*Keeper
	for i := range 40 {
		l := log
		if i < 30 {
			l = down
		}
		k := keeper(strconv.Itoa(i), l)
		k.Rank = func() int { return i }
		keepers = append(keepers, k)
	}
	step(t, 0, silence+claimTurnMost+time.Second, all, keepers...)
	n, _ := holders(keepers...)
	assert.Equal(t, 1, n)
}
