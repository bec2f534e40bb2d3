// Package duty elects the one host that holds the duties, the tasks that only one host at a
// time may carry out. A host claims the duties with a conditional append to the platform's
// log; the offset of the claim determines the fencing token. Everything that must have a
// single outcome, such as the figures of a usage report, is written to the same log before
// it is done. Each append names the end of the log that its writer has read, so a host that
// has lost the duties cannot write.
//
// Calls outside the log are covered by a lease. Each record of the holder renews it, counted
// from when the append was sent. Another host claims the duties only after the log has not
// grown for longer than a lease, so that a holder which cannot write stops by its own clock
// before it is replaced.
//
// Offsets are positions (package logpos), which rise when a restore of the log from an older
// copy begins a new era; era.go has what follows from a restore.
package duty

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/logpos"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// ErrConflict is returned if the log does not end where an append expects it to.
var ErrConflict = errors.New("append conflict: the log does not end at the expected offset")

// Entry is a log record with its offset.
type Entry struct {
	Offset uint64
	Record []byte
}

// Log is a keyed, compacted topic of the platform's log: the newest record of each key is
// kept when the history is dropped.
type Log interface {
	// AppendAt appends a record for a key if the log ends at the given offset; an empty
	// record removes the key. It returns ErrConflict if the log ends elsewhere, or another
	// error if it is unknown whether the record was appended.
	AppendAt(ctx context.Context, key string, record []byte, at uint64) error
	// Read returns the records from an offset on and the end of the log. If the history
	// from there on was dropped, it returns the newest record of every key instead.
	Read(ctx context.Context, from uint64) (entries []Entry, end uint64, err error)
}

// Kind is the type of a record.
type Kind string

// Kinds of records.
const (
	// KindClaim claims the duties.
	KindClaim Kind = "claim"
	// KindAlive renews the lease of a holder that has nothing else to write.
	KindAlive Kind = "alive"
	// KindCounts stores the counts of usage windows that have not been reported, in case
	// all hosts are lost.
	KindCounts Kind = "counts"
	// KindUsage fixes the figures of a usage window.
	KindUsage Kind = "usage"
)

// Record is a record of the log.
type Record struct {
	ID          string `json:"id"`
	Kind        Kind   `json:"kind"`
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token of a claim, and in eras after the first of the writer of the
	// figures of a window.
	Fence uint64 `json:"fence,omitempty"`
	// Window is the usage window of figures. In a claim of an era after the first, it is the
	// newest window whose figures may have been fixed in an earlier era and lost.
	Window   int64                          `json:"window,omitempty"`
	Counts   map[model.OrganisationID]int64 `json:"counts"`
	Deposits []usagewindow.Deposit          `json:"deposits,omitempty"`
}

// key returns the log key of a record.
func (r *Record) key() string {
	if r.Kind == KindUsage {
		return usageKey(r.Window)
	}
	return string(r.Kind)
}

func usageKey(window int64) string { return string(KindUsage) + "/" + strconv.FormatInt(window, 10) }

// Timing of claims. A dead holder is replaced within 5 s, half of the time in which a usage
// report is due.
const (
	// holderTimeout is how long the holder must have been silent before another host
	// considers a claim. A silence alone replaces nobody: the holder may still write.
	holderTimeout = 1800 * time.Millisecond
	// logQuietTime is how long the log must stay unchanged in addition.
	logQuietTime = 2400 * time.Millisecond
	// leaseMargin covers the way of a call to the platform and differences between the
	// rates of the hosts' clocks.
	leaseMargin = 300 * time.Millisecond
	// leaseTime is how long the holder may act after it has sent a record.
	leaseTime = logQuietTime - leaseMargin
	// renewInterval is the age of the lease at which the holder renews it. It leaves a
	// second for the append and for calls of the duties.
	renewInterval = leaseTime - time.Second
	// renewRetryDelay is the pause between attempts to renew the lease.
	renewRetryDelay = 400 * time.Millisecond
	// claimStagger is added to holderTimeout for each host that claims before this one, to
	// limit the reads of the log: it takes two seconds until others hear of a claim.
	claimStagger = 250 * time.Millisecond
	// maxClaimStagger limits the total stagger, so that a report is not overdue if none of
	// the hosts that claim first can reach the log.
	maxClaimStagger = 3600 * time.Millisecond
	// startupDelay keeps a host that has just started from claiming, unless the duties were
	// never held.
	startupDelay = 6 * time.Second
	// resignBackoff keeps a host that has given up the duties, for instance because its
	// fencing token was refused, from claiming again at once.
	resignBackoff = 4 * time.Second
	// keptUsageWindows is the number of usage windows whose figures are kept.
	keptUsageWindows = 32
)

// Elector takes part in the election for one host. Step must be called at least four times a
// second, from a single goroutine.
type Elector struct {
	Host        string
	Incarnation string
	Log         Log
	// Rank returns the number of hosts that claim before this one. It may be nil.
	Rank func() int
	// Elapsed returns the time of a monotonic clock that includes suspension of the host.
	// Leases end by it.
	Elapsed func() time.Duration
	// Fixable returns the newest usage window whose figures a holder may have fixed by now. It
	// may be nil if no figures are fixed.
	Fixable func() int64
	Logger  *zap.Logger

	mu sync.Mutex
	// end is the end of the log up to which it has been read.
	end uint64
	// holder, holderIncarnation and fence come from the latest claim.
	holder            string
	holderIncarnation string
	fence             uint64
	claims            int
	usage             map[int64]fixedFigures
	deposits          []usagewindow.Deposit
	lost              lostFigures
	// heardAt is when the holder was last heard of, steppedAt the time of the last step.
	heardAt, steppedAt time.Time
	// quiet observes the log while a claim is being considered.
	quiet         quietPeriod
	startedAt     time.Time
	noClaimBefore time.Time
	// lease is this host's lease while it holds the duties.
	lease lease
	// resigned is set by Resign and cleared by the next claim that is read from the log.
	resigned bool
}

// Start records the start of the process. It must be called before Step.
func (e *Elector) Start(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedAt = now
	e.heardAt, e.steppedAt = now, now
	e.usage = map[int64]fixedFigures{}
}

// Holding returns the holder of the duties as far as this host knows.
func (e *Elector) Holding() (holder string, fence uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder, e.fence
}

// OwnFence reports whether this process may act as the holder of the duties, and its fencing
// token.
func (e *Elector) OwnFence() (fence uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence, e.remaining(e.fence) > 0
}

// Term returns the present term of this process as the holder of the duties, and false if
// it may not act.
func (e *Elector) Term() (Term, bool) {
	fence, ok := e.OwnFence()
	return Term{Holder: e.Host, Fence: fence, remaining: func() time.Duration {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.remaining(fence)
	}}, ok
}

// Claimed reports whether the latest claim that this process knows of is its own, and for
// how long its lease has ended: it may not act then, but no other host may have claimed.
func (e *Elector) Claimed() (fence uint64, lapsed time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence, max(0, -e.lease.remaining(e.Elapsed())), e.isHolder()
}

func (e *Elector) isHolder() bool {
	return !e.resigned && e.holder == e.Host && e.holderIncarnation == e.Incarnation
}

// remaining returns how long this process may still act under a fencing token. The caller
// holds e.mu.
func (e *Elector) remaining(fence uint64) time.Duration {
	if !e.isHolder() || e.fence != fence {
		return 0
	}
	return max(0, e.lease.remaining(e.Elapsed()))
}

// HandleReport records that a host announced itself as the holder of the duties.
func (e *Elector) HandleReport(host string, fence uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.fence {
		return
	}
	if fence > e.fence {
		e.holder, e.holderIncarnation, e.fence = host, "", fence
	}
	e.heardAt = now
}

// Resign gives up the duties, for instance after the process was paused. The host may claim
// them again later.
func (e *Elector) Resign(reason string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isHolder() {
		e.Logger.Warn("duties given up", zap.String("reason", reason), zap.Uint64("fence", e.fence))
	}
	e.resigned = true
	e.noClaimBefore = now.Add(resignBackoff)
	e.heardAt = now
}

// Step claims the duties if no host holds them, and renews the lease of this host if it
// does.
func (e *Elector) Step(ctx context.Context, now time.Time) error {
	stagger := time.Duration(0)
	if e.Rank != nil {
		stagger = min(time.Duration(e.Rank())*claimStagger, maxClaimStagger)
	}
	e.mu.Lock()
	e.steppedAt = now
	reclaim := e.mustReclaim()
	isHolder := e.isHolder()
	waiting := now.Sub(e.heardAt) < holderTimeout+stagger || now.Before(e.noClaimBefore)
	renewalDue := isHolder && e.lease.renewalDue(e.Elapsed())
	e.mu.Unlock()
	switch {
	case reclaim:
		return e.claim(ctx, now)
	case renewalDue:
		return e.write(ctx, Record{Kind: KindAlive})
	case isHolder:
		return e.rewriteLostFigures(ctx)
	case waiting:
		return nil
	}
	return e.considerClaim(ctx, now)
}

// considerClaim claims the duties once the log has not grown for logQuietTime, or at once if
// the log is empty.
func (e *Elector) considerClaim(ctx context.Context, now time.Time) error {
	e.mu.Lock()
	e.quiet.begin(now)
	waiting := e.quiet.lasts(now) || e.claims > 0 && now.Sub(e.startedAt) < startupDelay
	e.mu.Unlock()
	if waiting {
		return nil
	}
	if err := e.catchUp(ctx); err != nil {
		e.mu.Lock()
		e.quiet = quietPeriod{}
		e.mu.Unlock()
		return err
	}
	e.mu.Lock()
	neverHeld := e.claims == 0 && e.end == 0
	ready := e.quiet.ended(e.end) && now.Sub(e.startedAt) >= startupDelay || neverHeld
	if !ready {
		e.quiet.observe(e.end)
	}
	e.mu.Unlock()
	if !ready {
		return nil
	}
	return e.claim(ctx, now)
}

func (e *Elector) claim(ctx context.Context, now time.Time) error {
	e.mu.Lock()
	at := e.end
	e.quiet = quietPeriod{}
	// Offset 0 is valid, but 0 is not a valid fencing token.
	record := e.stamp(Record{Kind: KindClaim, Fence: at + 1, Window: e.lostWindow()})
	e.mu.Unlock()
	if err := e.appendRecord(ctx, record, at); err != nil {
		if !errors.Is(err, ErrConflict) {
			// The claim may be in the log. catchUp finds it there.
			e.Logger.Info("no response to the append of a claim; reading the log to see whether it was written", zap.Error(err))
		}
		if err := e.catchUp(ctx); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heardAt = now
	e.Logger.Info("duties claimed", zap.String("holder", e.holder), zap.Uint64("fence", e.fence), zap.Bool("mine", e.isHolder()))
	return nil
}

func (e *Elector) stamp(r Record) Record {
	r.ID = ulid.Make().String()
	r.Host = e.Host
	r.Incarnation = e.Incarnation
	return r
}

// appendRecord appends a record if the log ends at the given offset, and applies it.
func (e *Elector) appendRecord(ctx context.Context, r Record, at uint64) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode a duty record")
	}
	e.mu.Lock()
	e.lease.sending(r.ID, at, e.Elapsed())
	e.mu.Unlock()
	if err := e.Log.AppendAt(ctx, r.key(), raw, at); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyRecord(raw, at)
	e.end = max(e.end, at+1)
	return nil
}

// catchUp reads the log to its end.
func (e *Elector) catchUp(ctx context.Context) error {
	e.mu.Lock()
	from := e.end
	e.mu.Unlock()
	entries, end, err := e.Log.Read(ctx, from)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if logpos.Era(end) > logpos.Era(e.end) {
		e.beginEra(end)
	}
	for _, entry := range entries {
		if entry.Offset >= e.end {
			e.applyRecord(entry.Record, entry.Offset)
		}
		end = max(end, entry.Offset+1)
	}
	e.end = max(e.end, end)
	return nil
}

func (e *Elector) applyRecord(raw []byte, offset uint64) {
	if len(raw) == 0 {
		// The record removes its key.
		return
	}
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		e.Logger.Warn("skipping a duty record that cannot be decoded", zap.Uint64("offset", offset), zap.Error(err))
		return
	}
	if r.Host == e.Host && r.Incarnation == e.Incarnation {
		e.lease.written(r.ID, offset)
	}
	switch r.Kind {
	case KindClaim:
		e.claims++
		if r.Fence != offset+1 {
			// The store was restored since the claim was written, or it accepted the claim
			// although its writer had read the log of an earlier era.
			return
		}
		e.lost.claimed(offset, e.plausible(r.Window))
		if r.Fence > e.fence {
			e.holder, e.holderIncarnation, e.fence = r.Host, r.Incarnation, r.Fence
			e.resigned = false
		}
	case KindCounts:
		e.deposits = append(e.deposits, r.Deposits...)
	case KindUsage:
		e.noteFixed(r.Window)
		known, ok := e.usage[r.Window]
		e.usage[r.Window] = known.merged(ok, r, offset)
		for window := range e.usage {
			if window < r.Window-keptUsageWindows {
				delete(e.usage, window)
			}
		}
	}
}

// ErrNotHolder is returned if the host does not hold the duties.
var ErrNotHolder = errors.New("this host does not hold the duties")

// maxWriteAttempts limits the appends of one record. Each conflict is caused by a record of
// another host or by an earlier append of this host whose response was lost.
const maxWriteAttempts = 4

// write appends a record as the holder.
func (e *Elector) write(ctx context.Context, r Record) error {
	r = e.stamp(r)
	for range maxWriteAttempts {
		e.mu.Lock()
		reclaim := e.mustReclaim()
		at, isHolder, now := e.end, e.isHolder(), e.steppedAt
		if r.Kind == KindUsage && logpos.Era(at) > 0 {
			r.Fence = e.fence
		}
		e.mu.Unlock()
		if !isHolder {
			return ErrNotHolder
		}
		if reclaim {
			if err := e.claim(ctx, now); err != nil {
				return err
			}
			continue
		}
		err := e.appendRecord(ctx, r, at)
		if !errors.Is(err, ErrConflict) {
			return err
		}
		if err := e.catchUp(ctx); err != nil {
			return err
		}
	}
	return eris.New("too many append conflicts: the log grows faster than it can be read")
}

// FixUsage returns the figures that must be reported for a window: those already fixed in the
// log, or else the given ones, which it fixes first. It returns ErrAbandoned if others may have
// been fixed that a restored log has lost.
func (e *Elector) FixUsage(ctx context.Context, window int64, counts map[model.OrganisationID]int64) (map[model.OrganisationID]int64, error) {
	if r, ok := e.fixedUsage(window); ok && !e.lostFromLog(r) {
		return r.Counts, nil
	}
	if err := e.catchUp(ctx); err != nil {
		return nil, err
	}
	r, ok := e.fixedUsage(window)
	if ok && e.lostFromLog(r) {
		counts = r.Counts
	} else if ok {
		// A record of another host may have come with a claim.
		if _, _, claimed := e.Claimed(); !claimed {
			return nil, ErrNotHolder
		}
		return r.Counts, nil
	} else if e.abandoned(window) {
		return nil, ErrAbandoned
	}
	if err := e.write(ctx, Record{Kind: KindUsage, Window: window, Counts: counts}); err != nil {
		return nil, err
	}
	e.removeUsage(ctx, window-keptUsageWindows)
	if r, ok = e.fixedUsage(window); !ok {
		return nil, eris.New("the log has no figures for the usage window after they were written")
	}
	return r.Counts, nil
}

// removeUsage removes the figures of an old window from the log.
func (e *Elector) removeUsage(ctx context.Context, window int64) {
	if _, known := e.fixedUsage(window); !known {
		return
	}
	e.mu.Lock()
	at := e.end
	e.mu.Unlock()
	if err := e.Log.AppendAt(ctx, usageKey(window), nil, at); err != nil {
		e.Logger.Debug("could not remove the figures of an old usage window from the log", zap.Int64("window", window), zap.Error(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end = max(e.end, at+1)
}

// Deposit stores counts of usage windows in the log.
func (e *Elector) Deposit(ctx context.Context, list []usagewindow.Deposit) error {
	return e.write(ctx, Record{Kind: KindCounts, Deposits: list})
}

// Deposits returns the deposits read from the log since the last call.
func (e *Elector) Deposits() []usagewindow.Deposit {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.deposits
	e.deposits = nil
	return list
}

func (e *Elector) fixedUsage(window int64) (fixedFigures, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.usage[window]
	return r, ok
}
