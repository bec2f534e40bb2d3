package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/logpos"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// eraLog is a log that can be restored from an older copy. Like the platform's store it checks
// the offset of an append, not its era, and the writer learns of the other era from the
// response.
type eraLog struct {
	era     uint64
	keys    []string
	records [][]byte
	down    bool
	// lose makes it apply appends and lose their responses, delay makes it queue them.
	lose, delay bool
	delayed     []func()
}

func (l *eraLog) position(offset int) uint64 {
	p, err := logpos.New(l.era, uint64(offset))
	if err != nil {
		panic(err)
	}
	return p
}

// restore returns the log to its first n records in a new era.
func (l *eraLog) restore(n int) {
	l.era++
	n = max(n, 0)
	l.keys, l.records = l.keys[:min(n, len(l.keys))], l.records[:min(n, len(l.records))]
}

// late applies the appends that were queued.
func (l *eraLog) late() {
	for _, apply := range l.delayed {
		apply()
	}
	l.delayed = nil
}

func (l *eraLog) AppendAt(_ context.Context, key string, record []byte, at uint64) error {
	if l.down {
		return errNoResponse
	}
	apply := func() error {
		if logpos.Offset(at) != uint64(len(l.records)) {
			return ErrConflict
		}
		l.keys, l.records = append(l.keys, key), append(l.records, record)
		if logpos.Era(at) != l.era {
			return ErrConflict
		}
		return nil
	}
	if l.delay {
		l.delayed = append(l.delayed, func() { _ = apply() })
		return errNoResponse
	}
	err := apply()
	if l.lose {
		return errNoResponse
	}
	return err
}

func (l *eraLog) Read(_ context.Context, from uint64) (entries []Entry, end uint64, err error) {
	if l.down {
		return nil, 0, errNoResponse
	}
	newest := map[string]int{}
	for i, key := range l.keys {
		newest[key] = i
	}
	whole := logpos.Era(from) != l.era || logpos.Offset(from) > uint64(len(l.records))
	for i, r := range l.records {
		if whole && newest[l.keys[i]] == i || !whole && uint64(i) >= logpos.Offset(from) {
			entries = append(entries, Entry{l.position(i), r})
		}
	}
	return entries, l.position(len(l.records)), nil
}

func counts(n int64) map[model.OrganisationID]int64 { return map[model.OrganisationID]int64{"o": n} }

// Guards against a holder that stops at a restore although its lease runs, and against fencing
// tokens that go back with the offsets.
func TestHolderWithARunningLeaseClaimsAgainAfterEachRestore(t *testing.T) {
	log := &eraLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 5*time.Second, hearAll, a, b)
	last, held := a.OwnFence()
	require.True(t, held)
	at := 5 * time.Second
	for _, kept := range []int{2, 1, 0, 0} {
		log.restore(kept)
		stepAll(t, at, at+1600*time.Millisecond, hearAll, a, b)
		at += 1600 * time.Millisecond
		fence, held := a.OwnFence()
		require.True(t, held)
		assert.Greater(t, fence, last)
		assert.Equal(t, log.era, logpos.Era(fence))
		_, held = b.OwnFence()
		assert.False(t, held)
		last = fence
	}
}

// Guards against two holders: a host whose lease had ended before the restore, and that does
// not know of the lost claim of its successor, must not go on.
func TestFormerHolderDoesNotReturnWhenTheClaimOfItsSuccessorIsLost(t *testing.T) {
	log, cut := &eraLog{}, &eraLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 4*time.Second, hearNone, a)
	before := len(log.records)
	cut.down = true
	a.Log = cut
	stepAll(t, 4*time.Second, 14*time.Second, hearNone, b)
	stepAll(t, 14*time.Second, 15*time.Second, hearNone, a, b)
	fence, held := b.OwnFence()
	require.True(t, held)
	log.restore(before)
	a.Log = log
	for at := 15 * time.Second; at < 25*time.Second; at += 200 * time.Millisecond {
		// The former holder writes first, while the lease of its successor runs.
		running := []*Elector{a}
		if at >= 15600*time.Millisecond {
			running = append(running, b)
		}
		stepAll(t, at, at+200*time.Millisecond, hearNone, running...)
		n, now := holders(a, b)
		require.LessOrEqual(t, n, 1, "at %v", at)
		if n == 1 {
			assert.GreaterOrEqual(t, now, fence)
		}
	}
	_, held = b.OwnFence()
	assert.True(t, held, "the successor goes on")
	_, held = a.OwnFence()
	assert.False(t, held)
}

// Guards against a claim of an earlier era that arrives after the restore, or that the copy
// still has: its fencing token may have been used by another host.
func TestClaimOfAnEarlierEraGivesNobodyTheDuties(t *testing.T) {
	log := &eraLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	// The claim of b is under way while the store returns to the records before it.
	stepAll(t, 10*time.Second, 12*time.Second, hearNone, b)
	log.delay = true
	for at := 12 * time.Second; len(log.delayed) == 0; at += 200 * time.Millisecond {
		stepAll(t, at, at+200*time.Millisecond, hearNone, b)
	}
	log.delay = false
	length := len(log.records)
	log.restore(length)
	log.delayed[0]()
	require.Len(t, log.records, length+1)
	require.NoError(t, b.catchUp(t.Context()))
	_, held := b.OwnFence()
	assert.False(t, held)
	c := newElector("c", log)
	require.NoError(t, c.catchUp(t.Context()))
	holder, _ := c.Holding()
	assert.Empty(t, holder)
}

// Guards against two holders: the renewal of a former holder that arrives in a restored log,
// which has lost the claim of its successor, must not renew its lease.
func TestRecordThatArrivesInAnotherEraRenewsNoLease(t *testing.T) {
	log := &eraLog{}
	a, b := newElector("a", log), newElector("b", log)
	stepAll(t, 0, 4*time.Second, hearNone, a)
	stepAll(t, 4*time.Second, 6200*time.Millisecond, hearNone, b)
	length := len(log.records)
	log.delay = true
	// The lease of a has ended. Its renewal is on its way when b claims.
	stepAll(t, 6200*time.Millisecond, 6400*time.Millisecond, hearNone, a)
	require.Len(t, log.delayed, 1)
	log.delay = false
	stepAll(t, 6400*time.Millisecond, 7200*time.Millisecond, hearNone, b)
	_, held := b.OwnFence()
	require.True(t, held)
	log.restore(length)
	log.late()
	require.Len(t, log.records, length+1)
	require.NoError(t, a.catchUp(t.Context()))
	n, _ := holders(a, b)
	assert.Equal(t, 1, n)
	_, held = b.OwnFence()
	assert.True(t, held)
}

// Guards against a next holder that takes figures of the copy for the fixed ones although a
// holder of the new era has written others, which it knew from before the restore.
func TestFiguresOfAHolderOfALaterEraReplaceThoseOfTheCopy(t *testing.T) {
	log := &eraLog{}
	a := newElector("a", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	before := len(log.records)
	_, err := a.FixUsage(t.Context(), 7, counts(1))
	require.NoError(t, err)
	log.restore(before)
	// An append that was on its way since before arrives.
	require.ErrorIs(t, log.AppendAt(t.Context(), usageKey(7), []byte(`{"id":"x","kind":"usage","host":"z","incarnation":"9","window":7,"counts":{"o":5}}`), uint64(before)), ErrConflict)
	b := newElector("b", log)
	require.NoError(t, b.catchUp(t.Context()))
	stepAll(t, 3*time.Second, 5*time.Second, hearNone, a)
	for _, e := range []*Elector{a, b, newElector("c", log)} {
		require.NoError(t, e.catchUp(t.Context()))
		r, ok := e.fixedUsage(7)
		require.True(t, ok)
		assert.Equal(t, counts(1), r.Counts, e.Host)
	}
}

// Guards against a lost window that is reported with other figures, or not at all although the
// holder knows its figures.
func TestHolderWritesLostFiguresAgain(t *testing.T) {
	log := &eraLog{}
	a := newElector("a", log)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	before := len(log.records)
	_, err := a.FixUsage(t.Context(), 7, counts(1))
	require.NoError(t, err)
	for range 3 {
		log.restore(before)
		stepAll(t, elapsed, elapsed+1600*time.Millisecond, hearNone, a)
		again, err := a.FixUsage(t.Context(), 7, counts(9))
		require.NoError(t, err)
		assert.Equal(t, counts(1), again)
		b := newElector("b", log)
		require.NoError(t, b.catchUp(t.Context()))
		r, ok := b.fixedUsage(7)
		require.True(t, ok, "in the log of the new era")
		assert.Equal(t, counts(1), r.Counts)
	}
}

// Guards against a next holder that reports a window with other figures because the first ones
// are lost together with the holder that knew them, and against one that reports nothing at all.
func TestNextHolderAbandonsWindowsWhoseFiguresAreLost(t *testing.T) {
	for name, c := range map[string]struct {
		heard, former bool
		fixable       int64
		reported      int64
	}{
		"holder heard until its end":    {true, false, 9, 10},
		"holder has stated its windows": {true, true, 9, 9},
		"nothing heard":                 {false, false, 9, 10},
	} {
		t.Run(name, func(t *testing.T) {
			log := &eraLog{}
			a, b := newElector("a", log), newElector("b", log)
			b.Fixable = func() int64 { return c.fixable }
			stepAll(t, 0, 3*time.Second, hearNone, a)
			before := len(log.records)
			_, err := a.FixUsage(t.Context(), 8, counts(1))
			require.NoError(t, err)
			fence, _ := a.OwnFence()
			if c.heard {
				b.HandleFixed(a.FixedWindow())
				b.HandleReport("a", fence, start.Add(3*time.Second))
			}
			log.restore(before)
			if c.former {
				b.HandleFormer("a", fence, a.FixedWindow())
			}
			stepAll(t, 6*time.Second, 16*time.Second, hearNone, b)
			_, held := b.OwnFence()
			require.True(t, held)
			later := newElector("c", log)
			for window := int64(6); window < c.reported; window++ {
				_, err = b.FixUsage(t.Context(), window, counts(2))
				require.ErrorIs(t, err, ErrAbandoned, window)
			}
			fixed, err := b.FixUsage(t.Context(), c.reported, counts(3))
			require.NoError(t, err)
			assert.Equal(t, counts(3), fixed)
			// The next holder of the era abandons the same windows and no others.
			stepAll(t, 30*time.Second, 40*time.Second, hearNone, later)
			_, held = later.OwnFence()
			require.True(t, held)
			_, err = later.FixUsage(t.Context(), 8, counts(4))
			require.ErrorIs(t, err, ErrAbandoned)
			fixed, err = later.FixUsage(t.Context(), c.reported, counts(4))
			require.NoError(t, err)
			assert.Equal(t, counts(3), fixed)
		})
	}
}

// Guards against fields and refusals that a store which was never restored would show.
func TestNothingIsAbandonedInTheFirstEra(t *testing.T) {
	log := &eraLog{}
	a := newElector("a", log)
	a.Fixable = func() int64 { return 100 }
	a.HandleFixed(50)
	stepAll(t, 0, 3*time.Second, hearNone, a)
	_, err := a.FixUsage(t.Context(), 40, counts(1))
	require.NoError(t, err)
	for i, r := range log.records {
		if log.keys[i] == string(KindClaim) {
			assert.NotContains(t, string(r), `"window"`)
		} else {
			assert.NotContains(t, string(r), `"fence"`)
		}
	}
}

// eraHostLog is one host's way to the log.
type eraHostLog struct {
	*eraLog
	cut bool
}

func (l *eraHostLog) AppendAt(ctx context.Context, key string, record []byte, at uint64) error {
	if l.cut {
		return errCut
	}
	return l.eraLog.AppendAt(ctx, key, record, at)
}

func (l *eraHostLog) Read(ctx context.Context, from uint64) ([]Entry, uint64, error) {
	if l.cut {
		return nil, 0, errCut
	}
	return l.eraLog.Read(ctx, from)
}

// Guards against reports that end for a long time because a host whose clock was wrong has fixed
// a window that is far ahead.
func TestWindowFarAheadDoesNotMakeOthersAbandonTheirs(t *testing.T) {
	log := &eraLog{}
	a := newElector("a", log)
	a.Fixable = func() int64 { return 20 }
	stepAll(t, 0, 3*time.Second, hearNone, a)
	_, err := a.FixUsage(t.Context(), 1<<40, counts(1))
	require.NoError(t, err)
	a.HandleFixed(1 << 50)
	log.restore(1)
	stepAll(t, 3*time.Second, 5*time.Second, hearNone, a)
	fixed, err := a.FixUsage(t.Context(), 22, counts(2))
	require.NoError(t, err)
	assert.Equal(t, counts(2), fixed)
	_, err = a.FixUsage(t.Context(), 21, counts(3))
	assert.ErrorIs(t, err, ErrAbandoned)
}

// eraPlay plays random restores, outages, lost and late appends, cut hosts and new processes, and
// records what the holders do.
type eraPlay struct {
	t        *testing.T
	random   *rand.Rand
	log      *eraLog
	electors []*Elector
	logs     []*eraHostLog
	// frozen is until when the hosts are frozen.
	frozen  []time.Duration
	process int
	// calm is higher for plays with fewer faults.
	calm int

	holderByFence map[uint64]string
	highest       uint64
	reports       map[int64]int64
	actions       int
}

// windowLength is the length of a usage window in a play.
const windowLength = time.Second

func (p *eraPlay) start(i int, at time.Duration) {
	p.process++
	p.logs[i] = &eraHostLog{eraLog: p.log}
	e := newElector(fmt.Sprint("h", i), p.logs[i])
	e.Incarnation = strconv.Itoa(p.process)
	e.startedAt, e.heardAt = start.Add(at), start.Add(at)
	e.Rank = func() int { return i }
	e.Fixable = func() int64 { return int64((elapsed-time.Second)/windowLength) - 1 }
	p.electors[i] = e
}

// act reports the newest due windows as the holder.
func (p *eraPlay) act(e *Elector) {
	if _, held := e.OwnFence(); !held {
		return
	}
	for window := max(0, int64((elapsed-time.Second)/windowLength)-4); window < int64((elapsed-time.Second)/windowLength); window++ {
		term, ok := e.Term()
		if !ok {
			return
		}
		fixed, err := e.FixUsage(p.t.Context(), window, counts(p.random.Int64N(1000)))
		if err != nil {
			continue
		}
		if term.Remaining() == 0 {
			return
		}
		if holder, ok := p.holderByFence[term.Fence]; ok && holder != e.Incarnation {
			p.t.Errorf("at %v: fencing token %d of process %s is used by %s", elapsed, term.Fence, holder, e.Incarnation)
		}
		p.holderByFence[term.Fence] = e.Incarnation
		if term.Fence < p.highest {
			p.t.Errorf("at %v: fencing token %d is used after %d", elapsed, term.Fence, p.highest)
		}
		p.highest = max(p.highest, term.Fence)
		if former, ok := p.reports[window]; ok && former != fixed["o"] {
			p.t.Errorf("at %v: window %d is reported as %d and %d", elapsed, window, former, fixed["o"])
		}
		p.reports[window] = fixed["o"]
		p.actions++
	}
}

func (p *eraPlay) fault(at time.Duration) {
	host := p.random.IntN(len(p.electors))
	switch p.random.IntN(p.calm) {
	case 0:
		p.log.restore(len(p.log.records) - p.random.IntN(12))
	case 1, 2:
		// What follows is likely to differ most if the newest claim is lost, and hosts that
		// were cut off return at that time.
		p.log.restore(p.lastClaim())
		for _, l := range p.logs {
			l.cut = false
		}
	case 3:
		p.log.down = !p.log.down
	case 4, 5, 6:
		p.log.down = false
	case 7:
		p.log.lose = true
	case 8:
		p.log.delay = true
	case 9, 10, 11:
		p.log.lose, p.log.delay = false, false
		p.log.late()
	case 12:
		p.frozen[host] = at + time.Duration(p.random.Int64N(int64(8*time.Second)))
	case 13, 14, 15:
		p.logs[host].cut = true
	case 16:
		p.logs[host].cut = false
	case 17:
		p.start(host, at)
	case 18, 19:
		// What the holder knew is lost with it.
		p.log.restore(len(p.log.records) - p.random.IntN(12))
		for i, e := range p.electors {
			if _, held := e.OwnFence(); held {
				p.start(i, at)
			}
		}
	case 20:
		p.log.restore(len(p.log.records) - p.random.IntN(12))
		for i := range p.electors {
			p.start(i, at)
		}
	case 21:
		p.log.restore(len(p.log.records))
		p.log.late()
	}
}

// lastClaim returns the offset of the newest claim, 0 if there is none.
func (p *eraPlay) lastClaim() int {
	for i := len(p.log.keys) - 1; i >= 0; i-- {
		if p.log.keys[i] == string(KindClaim) {
			return i
		}
	}
	return 0
}

// Guards against two holders, fencing tokens that are used twice or go back, and windows that
// are reported with two figures, under any order of restores and other faults.
func TestRandomRestoresKeepOneHolderAndOneSetOfFigures(t *testing.T) {
	actions, eras := 0, uint64(0)
	for seed := range uint64(400) {
		p := &eraPlay{
			t: t, random: rand.New(rand.NewPCG(seed, 5)), log: &eraLog{}, electors: make([]*Elector, 4), logs: make([]*eraHostLog, 4), frozen: make([]time.Duration, 4),
			calm: 40 + 80*int(seed%4), holderByFence: map[uint64]string{}, reports: map[int64]int64{},
		}
		for i := range p.electors {
			p.start(i, 0)
		}
		for at := time.Duration(0); at < 90*time.Second; at += 200 * time.Millisecond {
			elapsed = at
			p.fault(at)
			for _, i := range p.random.Perm(len(p.electors)) {
				e := p.electors[i]
				if at < p.frozen[i] || p.random.IntN(5) == 0 {
					continue
				}
				_ = e.Step(t.Context(), start.Add(at))
				p.act(e)
			}
			if n, _ := holders(p.electors...); n > 1 {
				t.Errorf("seed %d at %v: %d hosts hold the duties", seed, at, n)
			}
			p.announce(at)
		}
		actions, eras = actions+p.actions, eras+p.log.era
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d reports, %d restores", actions, eras)
	assert.Greater(t, actions, 5000)
	assert.Greater(t, eras, uint64(500))
}

// announce passes on what holders and former holders state; some of it is lost.
func (p *eraPlay) announce(at time.Duration) {
	for i, a := range p.electors {
		for j, b := range p.electors {
			if i == j || at < p.frozen[i] || at < p.frozen[j] || p.random.IntN(4) == 0 {
				continue
			}
			if fence, held := a.OwnFence(); held {
				b.HandleFixed(a.FixedWindow())
				b.HandleReport(a.Host, fence, start.Add(at))
			} else if fence, former := a.FormerFence(); former {
				b.HandleFormer(a.Host, fence, a.FixedWindow())
			}
		}
	}
}
