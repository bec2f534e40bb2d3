package duty

import (
	"context"
	"errors"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/logpos"
)

// A restore of the log from an older copy loses records that were acknowledged, among them
// claims and figures of usage windows. The rules below keep one holder at a time and one set
// of figures for each window:
//
//   - A claim counts only at the position that its fencing token states. So neither a claim
//     that the copy still has nor one that arrives from an earlier era gives the duties to a
//     host.
//   - A holder whose lease runs claims again at once. One whose lease has ended does not, even
//     if it knows of no other holder: the claim of another one may be lost. It waits as any
//     other host does.
//   - Figures that the holder knows are written again. For windows whose figures it does not
//     know and that may have been fixed in an earlier era, no report is made. Claims state the
//     newest of these windows, so that later holders of the era abandon the same ones.

// ErrAbandoned is returned for a usage window that must not be reported: its figures may have
// been fixed and reported before the log was restored, and are lost.
var ErrAbandoned = errors.New("the figures of the usage window may be lost")

// rewrittenWindows is the number of usage windows whose figures are written again after a
// restore: at least those that may still have to be reported.
const rewrittenWindows = 8

// fixedFigures are the figures of a usage window with the position of their newest record.
type fixedFigures struct {
	Record
	position uint64
}

// merged returns the figures after a record of their window was read. Those that were fixed
// first hold, except that figures of a holder of a later era replace others: that holder knew
// them from before the restore. known is set if f has figures.
func (f fixedFigures) merged(known bool, r Record, position uint64) fixedFigures {
	switch {
	case !known || logpos.Era(r.Fence) > logpos.Era(f.Fence):
		return fixedFigures{r, position}
	case maps.Equal(f.Counts, r.Counts):
		f.position = max(f.position, position)
	}
	return f
}

// lostFigures is what a host knows of figures that a restored log may have lost.
type lostFigures struct {
	// fixed is the newest usage window that is known to have been fixed.
	fixed int64
	// upTo is the newest window that a claim has stated as one whose figures may be lost.
	upTo int64
	// claimedEra is the newest era with a claim.
	claimedEra uint64
	// fixable is the newest window that may have been fixed when the newest era was first
	// seen.
	fixable int64
	// finalFence is the fencing token of a former holder that has stated the newest window
	// that it had fixed, and that fixes no more.
	finalFence uint64
}

// claimed notes a claim that counts.
func (l *lostFigures) claimed(position uint64, window int64) {
	if era := logpos.Era(position); era > 0 {
		l.claimedEra, l.upTo = max(l.claimedEra, era), max(l.upTo, window)
	}
}

// noteFixed notes a window that was fixed. The caller holds e.mu.
func (e *Elector) noteFixed(window int64) { e.lost.fixed = max(e.lost.fixed, e.plausible(window)) }

// plausible returns a window that another host has stated, or the newest one that it may mean:
// a host whose clock is wrong must not make the others abandon the windows of a long time. One
// window is left for clocks that differ. The caller holds e.mu.
func (e *Elector) plausible(window int64) int64 {
	if e.Fixable == nil {
		return window
	}
	return min(window, e.Fixable()+1)
}

// beginEra notes that the log ends at a position of a later era. The caller holds e.mu.
func (e *Elector) beginEra(end uint64) {
	e.Logger.Warn("the log of the duties is of a new era", zap.Uint64("former_era", logpos.Era(e.end)), zap.Uint64("era", logpos.Era(end)),
		zap.Bool("holder", e.isHolder()), zap.Duration("lease", e.remaining(e.fence)))
	if e.Fixable != nil {
		e.lost.fixable = max(e.lost.fixable, e.Fixable())
	}
	// All records of the copy are read again.
	e.end = end - logpos.Offset(end)
	e.mustReclaim()
}

// mustReclaim reports whether this host holds the duties by a claim of an earlier era, so that
// it must claim them again. If its lease has ended it is not the holder any more. The caller
// holds e.mu.
func (e *Elector) mustReclaim() bool {
	if !e.isHolder() || logpos.Era(e.fence) == logpos.Era(e.end) {
		return false
	}
	if e.remaining(e.fence) > 0 {
		return true
	}
	e.Logger.Warn("duties given up: the lease had ended when the log was restored", zap.Uint64("fence", e.fence))
	e.resigned = true
	e.heardAt = e.steppedAt
	return false
}

// lostWindow returns the newest usage window whose figures may be lost when this host claims
// the duties at the end of the log, 0 in the first era. The caller holds e.mu.
func (e *Elector) lostWindow() int64 {
	era := logpos.Era(e.end)
	if era == 0 {
		return 0
	}
	known := max(e.lost.upTo, e.lost.fixed)
	wasHolder := e.holder == e.Host && e.holderIncarnation == e.Incarnation
	if wasHolder || e.lost.claimedEra == era || e.fence > 0 && e.lost.finalFence == e.fence {
		// All windows that were fixed in earlier eras are known.
		return known
	}
	return max(known, e.lost.fixable)
}

// abandoned reports whether a window without known figures must not be reported.
func (e *Elector) abandoned(window int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	bound := e.lostWindow()
	return bound > 0 && window <= bound
}

// lostFromLog reports whether figures are not in the log of the present era.
func (e *Elector) lostFromLog(f fixedFigures) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return logpos.Era(f.position) < logpos.Era(e.end)
}

// rewriteLostFigures writes the known figures of recent windows that the log has lost again.
func (e *Elector) rewriteLostFigures(ctx context.Context) error {
	e.mu.Lock()
	var lost []Record
	if e.remaining(e.fence) > 0 {
		for window, f := range e.usage {
			if window > e.lost.fixed-rewrittenWindows && logpos.Era(f.position) < logpos.Era(e.end) {
				lost = append(lost, Record{Kind: KindUsage, Window: window, Counts: f.Counts})
			}
		}
	}
	e.mu.Unlock()
	slices.SortFunc(lost, func(a, b Record) int { return int(a.Window - b.Window) })
	for _, r := range lost {
		if err := e.write(ctx, r); err != nil {
			return err
		}
		e.Logger.Info("figures of a usage window written to the restored log again", zap.Int64("window", r.Window))
	}
	return nil
}

// FixedWindow returns the newest usage window that this host knows to have been fixed.
func (e *Elector) FixedWindow() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lost.fixed
}

// FormerFence returns the fencing token of this process's own latest claim if it has given up
// the duties since, no later claim is known and the log was restored before. Its FixedWindow
// is final then, and the next holder needs it.
func (e *Elector) FormerFence() (fence uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence, e.resigned && logpos.Era(e.end) > 0 && e.holder == e.Host && e.holderIncarnation == e.Incarnation
}

// HandleFixed records the newest usage window that the holder of the duties has fixed.
func (e *Elector) HandleFixed(window int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteFixed(window)
}

// HandleFormer records that a host which held the duties under a fencing token has given them
// up, and the newest usage window that it had fixed.
func (e *Elector) HandleFormer(host string, fence uint64, window int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteFixed(window)
	if fence > e.fence {
		e.holder, e.holderIncarnation, e.fence = host, "", fence
	}
	e.lost.finalFence = max(e.lost.finalFence, fence)
}
