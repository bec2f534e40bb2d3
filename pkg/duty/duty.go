// Package duty gives the duties that only one host may carry out to one holder.
// A host claims them by a conditional append to the platform's log; the offset at
// which the claim was made gives the fencing token. Everything that must not be done in two ways,
// such as the figures of a usage report, is written to the same log before it is
// done. Each append names the end of the log that its writer has read, so that a
// host that has lost the duties cannot write.
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

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// ErrConflict means that the log does not end where an append expected it.
var ErrConflict = errors.New("the log has grown")

// Entry is a record of the log with its offset.
type Entry struct {
	Offset uint64
	Record []byte
}

// Log is a keyed topic of the platform's log: the newest record of each key stays
// when the history is dropped.
type Log interface {
	// AppendAt appends the newest record of a key if the log ends at the given
	// offset; an empty one removes the key. It fails with ErrConflict, or with
	// another error if it is unknown whether the record was appended.
	AppendAt(ctx context.Context, key string, record []byte, at uint64) error
	// Read returns the records from an offset on, or the newest of all keys where
	// the history from there on was dropped, and the end.
	Read(ctx context.Context, from uint64) (entries []Entry, end uint64, err error)
}

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	// KindClaim takes the duties.
	KindClaim Kind = "claim"
	// KindAlive is the heartbeat of a holder that its peers may not hear.
	KindAlive Kind = "alive"
	// KindCounts keeps the counts of usage windows that have not been reported, in
	// case all hosts are lost.
	KindCounts Kind = "counts"
	// KindUsage fixes the figures of a usage window.
	KindUsage Kind = "usage"
)

// Record is one record of the log.
type Record struct {
	ID          string                         `json:"id"`
	Kind        Kind                           `json:"kind"`
	Host        string                         `json:"host"`
	Incarnation string                         `json:"incarnation"`
	Fence       uint64                         `json:"fence,omitempty"`
	Window      int64                          `json:"window,omitempty"`
	Counts      map[model.OrganisationID]int64 `json:"counts"`
	Deposits    []usagewindow.Deposit          `json:"deposits,omitempty"`
}

// key is the key of a record in the log.
func (r *Record) key() string {
	if r.Kind == KindUsage {
		return usageKey(r.Window)
	}
	return string(r.Kind)
}

func usageKey(window int64) string { return string(KindUsage) + "/" + strconv.FormatInt(window, 10) }

// Timing of claims. A holder that died is replaced within 5 s, half of the time
// in which a usage report is due.
const (
	// silence is how long the holder must not be heard of before a claim.
	silence = 2500 * time.Millisecond
	// confirm is how long the log must stay unchanged besides. It is above the
	// interval of KindAlive, and together with silence above the platform's lease.
	confirm = 1600 * time.Millisecond
	// claimTurn lengthens the silence by each host that goes before: a claim is known
	// to the others two seconds later, and each host that considers one reads the
	// log five times a second.
	claimTurn = 250 * time.Millisecond
	// claimTurnMost bounds that, so that a report is not overdue where all hosts
	// that go before cannot reach the store.
	claimTurnMost = 3 * time.Second
	// aliveInterval is the interval of KindAlive.
	aliveInterval = 800 * time.Millisecond
	// settle keeps a host that has just started from claiming, unless nobody ever
	// held the duties.
	settle = 6 * time.Second
	// refusedPause keeps a host that was fenced off from claiming again at once.
	refusedPause = 4 * time.Second
	// usageKept is the number of usage windows whose figures are kept.
	usageKept = 32
)

// Keeper is one host's part in the duties. Step must be called at least four
// times a second by one goroutine.
type Keeper struct {
	Host        string
	Incarnation string
	Log         Log
	// Rank is the number of hosts that claim before this one does. It may be nil.
	Rank   func() int
	Logger *zap.Logger

	mu sync.Mutex
	// end is the end of the log as read.
	end uint64
	// holder, holderIncarnation and fence are from the latest claim.
	holder            string
	holderIncarnation string
	fence             uint64
	claims            int
	usage             map[int64]Record
	deposits          []usagewindow.Deposit
	// heard is when the holder was last heard of.
	heard time.Time
	// quiet is the end of the log since quietSince, while a claim is considered.
	quiet      uint64
	quietSince time.Time
	started    time.Time
	notBefore  time.Time
	lastAlive  time.Time
	// resigned is set after a pause, until the log was read again.
	resigned bool
}

// Start notes the start of the process.
func (k *Keeper) Start(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.started = now
	k.heard = now
	k.usage = map[int64]Record{}
}

// Holding tells who holds the duties as far as the host knows.
func (k *Keeper) Holding() (holder string, fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder, k.fence
}

// Mine tells whether this process holds the duties.
func (k *Keeper) Mine() (fence uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, k.mine()
}

func (k *Keeper) mine() bool {
	return !k.resigned && k.holder == k.Host && k.holderIncarnation == k.Incarnation
}

// Hear notes that a host says it holds the duties.
func (k *Keeper) Hear(host string, fence uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if fence < k.fence {
		return
	}
	if fence > k.fence {
		k.holder, k.holderIncarnation, k.fence = host, "", fence
	}
	k.heard = now
}

// Resign gives the duties up, for instance after a pause. The host may claim
// them again later.
func (k *Keeper) Resign(reason string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mine() {
		k.Logger.Warn("duties given up", zap.String("reason", reason), zap.Uint64("fence", k.fence))
	}
	k.resigned = true
	k.notBefore = now.Add(refusedPause)
	k.heard = now
}

// Step claims the duties if nobody holds them. isolated tells that the host
// hears few of its peers.
func (k *Keeper) Step(ctx context.Context, isolated bool, now time.Time) error {
	turn := time.Duration(0)
	if k.Rank != nil {
		turn = min(time.Duration(k.Rank())*claimTurn, claimTurnMost)
	}
	k.mu.Lock()
	mine := k.mine()
	waiting := now.Sub(k.heard) < silence+turn || now.Before(k.notBefore)
	alive := mine && isolated && now.Sub(k.lastAlive) >= aliveInterval
	k.mu.Unlock()
	switch {
	case alive:
		return k.showAlive(ctx, now)
	case mine || waiting:
		return nil
	}
	return k.consider(ctx, now)
}

func (k *Keeper) showAlive(ctx context.Context, now time.Time) error {
	k.mu.Lock()
	k.lastAlive = now
	k.mu.Unlock()
	return k.write(ctx, Record{Kind: KindAlive})
}

// consider claims once the log has not grown for the time of confirm.
func (k *Keeper) consider(ctx context.Context, now time.Time) error {
	if err := k.catchUp(ctx); err != nil {
		k.mu.Lock()
		k.quietSince = time.Time{}
		k.mu.Unlock()
		return err
	}
	k.mu.Lock()
	if k.quietSince.IsZero() || k.quiet != k.end {
		k.quiet, k.quietSince = k.end, now
	}
	never := k.claims == 0 && k.end == 0
	ripe := now.Sub(k.quietSince) >= confirm && now.Sub(k.started) >= settle || never
	k.mu.Unlock()
	if !ripe {
		return nil
	}
	return k.claim(ctx, now)
}

func (k *Keeper) claim(ctx context.Context, now time.Time) error {
	k.mu.Lock()
	at := k.end
	k.quietSince = time.Time{}
	k.mu.Unlock()
	// Offsets begin with 0, which is no valid token.
	record := k.sign(Record{Kind: KindClaim, Fence: at + 1})
	err := k.append(ctx, record, at)
	if err != nil && !errors.Is(err, ErrConflict) {
		// The claim may be in the log. It is found by reading on.
		k.Logger.Info("the answer to a claim was lost", zap.Error(err))
	}
	if err := k.catchUp(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = now
	k.Logger.Info("duties claimed", zap.String("holder", k.holder), zap.Uint64("fence", k.fence), zap.Bool("mine", k.mine()))
	return nil
}

func (k *Keeper) sign(r Record) Record {
	r.ID = ulid.Make().String()
	r.Host = k.Host
	r.Incarnation = k.Incarnation
	return r
}

func (k *Keeper) append(ctx context.Context, r Record, at uint64) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode a duty record")
	}
	return k.Log.AppendAt(ctx, r.key(), raw, at)
}

// catchUp reads the log to its end.
func (k *Keeper) catchUp(ctx context.Context) error {
	k.mu.Lock()
	from := k.end
	k.mu.Unlock()
	entries, end, err := k.Log.Read(ctx, from)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		if e.Offset >= k.end {
			k.apply(e.Record, e.Offset)
		}
		end = max(end, e.Offset+1)
	}
	k.end = max(k.end, end)
	return nil
}

func (k *Keeper) apply(raw []byte, offset uint64) {
	if len(raw) == 0 {
		// A key was removed.
		return
	}
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		k.Logger.Warn("a duty record is not readable and is skipped", zap.Uint64("offset", offset), zap.Error(err))
		return
	}
	switch r.Kind {
	case KindClaim:
		k.claims++
		if r.Fence > k.fence {
			k.holder, k.holderIncarnation, k.fence = r.Host, r.Incarnation, r.Fence
			k.resigned = false
		}
	case KindCounts:
		k.deposits = append(k.deposits, r.Deposits...)
	case KindUsage:
		if _, known := k.usage[r.Window]; !known {
			k.usage[r.Window] = r
		}
		for window := range k.usage {
			if window < r.Window-usageKept {
				delete(k.usage, window)
			}
		}
	}
}

// ErrNotHolder means that the host does not hold the duties.
var ErrNotHolder = errors.New("this host does not hold the duties")

// writeTries bounds the appends of one record; each conflict is a record of
// another host, or an own one whose answer was lost.
const writeTries = 4

// write appends a record as the holder.
func (k *Keeper) write(ctx context.Context, r Record) error {
	r = k.sign(r)
	for range writeTries {
		k.mu.Lock()
		at, mine := k.end, k.mine()
		k.mu.Unlock()
		if !mine {
			return ErrNotHolder
		}
		err := k.append(ctx, r, at)
		if err != nil && !errors.Is(err, ErrConflict) {
			return err
		}
		if readErr := k.catchUp(ctx); readErr != nil {
			return readErr
		}
		if err == nil {
			return nil
		}
	}
	return eris.New("the log grows faster than it can be read")
}

// Usage returns the figures under which a window must be reported. It fixes the
// given ones unless others were fixed before.
func (k *Keeper) Usage(ctx context.Context, window int64, counts map[model.OrganisationID]int64) (map[model.OrganisationID]int64, error) {
	if r, ok := k.fixed(window); ok {
		return r.Counts, nil
	}
	if err := k.catchUp(ctx); err != nil {
		return nil, err
	}
	if r, ok := k.fixed(window); ok {
		return r.Counts, nil
	}
	if err := k.write(ctx, Record{Kind: KindUsage, Window: window, Counts: counts}); err != nil {
		return nil, err
	}
	k.removeOld(ctx, window-usageKept)
	r, ok := k.fixed(window)
	if !ok {
		return nil, eris.New("the figures of a usage window are not in the log")
	}
	return r.Counts, nil
}

// removeOld removes the figures of an old window from the log.
func (k *Keeper) removeOld(ctx context.Context, window int64) {
	if _, known := k.fixed(window); !known {
		return
	}
	k.mu.Lock()
	at := k.end
	k.mu.Unlock()
	if err := k.Log.AppendAt(ctx, usageKey(window), nil, at); err != nil {
		k.Logger.Debug("old figures of a usage window were not removed", zap.Int64("window", window), zap.Error(err))
	}
}

// Deposit keeps counts of usage windows in the log.
func (k *Keeper) Deposit(ctx context.Context, list []usagewindow.Deposit) error {
	return k.write(ctx, Record{Kind: KindCounts, Deposits: list})
}

// Deposits returns the deposits that were read since the last call.
func (k *Keeper) Deposits() []usagewindow.Deposit {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.deposits
	k.deposits = nil
	return list
}

func (k *Keeper) fixed(window int64) (Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.usage[window]
	return r, ok
}
