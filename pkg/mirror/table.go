// Package mirror keeps copies of keyed topics of the platform's log. A copy holds the
// newest record of each key. A host follows a topic by reading the store. While the
// store is unreachable, the host takes records from the copies of its peers.
package mirror

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logpos"
)

// Record is the newest record of a key. Its fields are exported for net/rpc.
type Record struct {
	Key string
	// Value is empty if the key was removed.
	Value []byte
	// Offset is the record's position (package logpos).
	Offset uint64
}

// Removed reports whether the record removes its key.
func (r *Record) Removed() bool { return len(r.Value) == 0 }

// removalTTL is how long a table keeps a removal, so that peers learn of it. It is well
// above the time by which a peer can be behind and still be served.
const removalTTL = 5 * time.Minute

// Table is the copy of one topic. A change of a key is significant unless the new value
// is equivalent to the old one. Only significant changes are passed on to peers. Table is
// safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	records map[string]Record
	// removed holds the time at which each removal was taken.
	removed map[string]time.Time
	end     uint64
	// equivalent reports whether two values of a key have the same meaning. If it is
	// nil, all changes are significant.
	equivalent func(key string, old, new []byte) bool
	// outranks reports whether a value stays in force although a restored store has another
	// one for its key. If it is nil, the store's value counts.
	outranks func(key string, known, other []byte) bool
	// significant is the offset of the last significant change of each key.
	significant map[string]uint64
	// significantEnd is the offset after the last significant change, or the end of a later
	// snapshot.
	significantEnd uint64
	// removalsFrom is the offset from which on the table has all removals. A snapshot has
	// none of the removals before its end, and Trim drops old ones.
	removalsFrom uint64
	// complete is set once the table has taken a snapshot of the topic.
	complete bool
	// upToDateAt is when the table was last known to be up to date.
	upToDateAt time.Time
	// lastRead is when this host itself last read the store.
	lastRead time.Time
	// mergesWanted is the number of peers whose whole copies the table is still to be merged
	// with, and merged are those that it was merged with.
	mergesWanted int
	merged       map[string]bool
}

// mergesOfEra is the number of peers whose copies a table is merged with that entered an era
// with a listing of the store. The listing may lack what the store has lost and peers still
// have in force. One of two peers has usually run for longer than a host that has just started.
const mergesOfEra = 2

// NewTable returns an empty table. equivalent reports whether two values of a key have
// the same meaning, so that the newer one need not be passed on to peers. It may be nil.
func NewTable(equivalent func(key string, old, new []byte) bool) *Table {
	return &Table{
		records: map[string]Record{}, removed: map[string]time.Time{}, equivalent: equivalent, significant: map[string]uint64{},
	}
}

// KeepOutranking sets how the table resolves what a restore of the store has lost. In eras
// after the first, a value is replaced only if it does not outrank the new one, which is empty
// if the key was removed; otherwise the table keeps it and passes it on at the position of
// the new one. It must be called before the table is used.
func (t *Table) KeepOutranking(outranks func(key string, known, other []byte) bool) {
	t.outranks = outranks
}

// End returns the offset before which the table has all significant changes.
func (t *Table) End() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.end
}

// Complete reports whether the table has taken a snapshot of the topic.
func (t *Table) Complete() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.complete
}

// UpToDateAt returns when the table was last known to be up to date.
func (t *Table) UpToDateAt() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.upToDateAt
}

// LastRead returns when this host itself last read the store.
func (t *Table) LastRead() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.lastRead
}

// Era returns the store's era as of the end of the table.
func (t *Table) Era() uint64 { return logpos.Era(t.End()) }

// WantsMerge reports whether the table is to be merged with the whole copy of a peer.
func (t *Table) WantsMerge(peer string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.mergesWanted > 0 && !t.merged[peer]
}

// Merged records that the table has taken the whole copy of a peer.
func (t *Table) Merged(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mergesWanted == 0 || t.merged[peer] {
		return
	}
	t.mergesWanted--
	t.merged[peer] = true
}

// ConfirmUpToDate reports whether the table has all significant changes before an offset. If
// so, it records that the table was up to date at a time, as a peer's copy was whose changes
// end at that offset.
func (t *Table) ConfirmUpToDate(end uint64, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.complete || t.end < end {
		return false
	}
	t.confirmLocked(at)
	return true
}

// Status describes a table at one moment.
type Status struct {
	// Complete is set once the table has taken a snapshot of the topic.
	Complete bool
	// SignificantEnd, UpToDateAt and LastRead are those of the table.
	SignificantEnd       uint64
	UpToDateAt, LastRead time.Time
}

// Status returns the status of the table.
func (t *Table) Status() Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return Status{Complete: t.complete, SignificantEnd: min(t.significantEnd, t.end), UpToDateAt: t.upToDateAt, LastRead: t.lastRead}
}

// applyPage applies the result of a read of the store. The page has all records from the
// end of the table on that the store had at asOf, unless it is not the last one.
func (t *Table) applyPage(page Page, asOf, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.applyLocked(page.Records, page.Next, false, now)
	t.lastRead = now
	if page.Next >= page.End {
		t.confirmLocked(asOf)
	}
	return changed
}

// applyListing applies a listing of the newest records of all keys, which began at a time.
func (t *Table) applyListing(records []Record, end uint64, began, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if logpos.Era(end) > logpos.Era(t.end) {
		t.mergesWanted, t.merged = mergesOfEra, map[string]bool{}
	}
	changed := t.snapshotLocked(records, end, now)
	t.lastRead = began
	t.confirmLocked(began)
	return changed
}

func (t *Table) confirmLocked(at time.Time) {
	if at.After(t.upToDateAt) {
		t.upToDateAt = at
	}
}

// Apply takes records in any order and returns those that made a significant change. A
// record that is older than the one in the table is ignored, so that a key never returns
// to an older value. end is the offset before which the table has all significant changes
// once it has taken the records.
func (t *Table) Apply(records []Record, end uint64, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyLocked(records, end, false, now)
}

// applyLocked is Apply for callers that hold t.mu. significant is set if all records are
// significant.
func (t *Table) applyLocked(records []Record, end uint64, significant bool, now time.Time) []Record {
	var changed []Record
	for _, r := range records {
		if t.forgotten(r) {
			continue
		}
		if t.put(r, significant, now) {
			changed = append(changed, t.records[r.Key])
		}
	}
	t.end = max(t.end, end)
	return changed
}

// forgotten reports whether a record is of a key whose removal the table does not have, since
// it is from before its snapshot: such a record arrives late. The caller holds t.mu.
func (t *Table) forgotten(r Record) bool {
	known, ok := t.records[r.Key]
	return (!ok || known.Removed()) && t.complete && r.Offset < t.removalsFrom
}

// put takes a record and reports whether it made a significant change, which it does in any
// case if significant is set. The caller holds t.mu.
func (t *Table) put(r Record, significant bool, now time.Time) bool {
	old, known := t.records[r.Key]
	if known && old.Offset >= r.Offset {
		return t.adopt(old, r)
	}
	if known && t.kept(old, r) {
		r.Value = old.Value
	}
	t.records[r.Key] = r
	if !significant && known && !old.Removed() && !r.Removed() && t.equivalent != nil && t.equivalent(r.Key, old.Value, r.Value) {
		return false
	}
	t.significant[r.Key] = r.Offset
	t.significantEnd = max(t.significantEnd, r.Offset+1)
	delete(t.removed, r.Key)
	if r.Removed() {
		t.removed[r.Key] = now
	}
	return true
}

// kept reports whether the value of a known record stays in force when the table takes a newer
// record of its key. The caller holds t.mu.
func (t *Table) kept(known, newer Record) bool {
	return t.outranks != nil && logpos.Era(newer.Offset) > 0 && !known.Removed() && !bytes.Equal(known.Value, newer.Value) &&
		t.outranks(known.Key, known.Value, newer.Value)
}

// adopt takes the value of a record that is not newer than the known one of its key if it
// outranks that one's: a peer may know of a value that a restored store has lost. The caller
// holds t.mu.
func (t *Table) adopt(known, other Record) bool {
	if known.Removed() || other.Removed() || !t.kept(other, known) {
		return false
	}
	known.Value = other.Value
	t.records[known.Key] = known
	return true
}

// Snapshot replaces the table with the newest records of all keys, as of the offset end,
// and returns the records that made a significant change. Keys that the snapshot lacks
// are removed, unless the snapshot is older than the table; such a late snapshot does not
// return keys that were removed before an earlier one either.
func (t *Table) Snapshot(records []Record, end uint64, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshotLocked(records, end, now)
}

// snapshotLocked is Snapshot for callers that hold t.mu.
func (t *Table) snapshotLocked(records []Record, end uint64, now time.Time) []Record {
	var changed []Record
	present := make(map[string]bool, len(records))
	late := t.complete && end < t.end
	for _, r := range records {
		present[r.Key] = !r.Removed()
		if late && t.forgotten(r) {
			continue
		}
		if t.put(r, false, now) {
			changed = append(changed, t.records[r.Key])
		}
	}
	for key, r := range t.records {
		if present[key] || r.Removed() || end == 0 || r.Offset >= end {
			continue
		}
		gone := Record{Key: key, Offset: end - 1}
		if end < t.end || !t.put(gone, false, now) {
			continue
		}
		changed = append(changed, t.records[key])
	}
	if !t.complete || end > t.end {
		// There may be removals before the end that the table does not have, which are
		// significant changes.
		t.removalsFrom = max(t.removalsFrom, end)
		t.significantEnd = max(t.significantEnd, end)
	}
	t.end = max(t.end, end)
	t.complete = true
	return changed
}

// SignificantEnd returns the offset after the last significant change. It is not above End,
// even if records from beyond it are known: others may be missing between them.
func (t *Table) SignificantEnd() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return min(t.significantEnd, t.end)
}

// Changes are the records of a table that a peer which is behind takes over.
type Changes struct {
	Records []Record
	// End is the offset before which a peer that takes the records has all significant
	// changes.
	End uint64
	// Whole is set if the records are those of all keys, since the table does not have all
	// removals that the peer may lack. The peer removes the keys that they lack.
	Whole bool
}

// Since returns the records with a significant change at an offset or later, for a peer
// that is behind. complete reports whether the table has taken a snapshot of the topic.
func (t *Table) Since(from uint64) (changes Changes, complete bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	changes = Changes{End: min(t.significantEnd, t.end), Whole: from < t.removalsFrom}
	for key, r := range t.records {
		if changes.Whole || t.significant[key] >= from {
			changes.Records = append(changes.Records, r)
		}
	}
	slices.SortFunc(changes.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return changes, t.complete
}

// Take applies the changes from a complete table and returns the records that made a
// significant change. A value that is equivalent to the one of this table counts as well:
// the key may have been removed in between.
func (t *Table) Take(changes Changes, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if changes.Whole || !t.complete {
		return t.snapshotLocked(changes.Records, changes.End, now)
	}
	return t.applyLocked(changes.Records, changes.End, true, now)
}

// Newest returns the newest record of a key, which may be its removal, and false if none is
// known.
func (t *Table) Newest(key string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	return r, ok
}

// Get returns the newest record of a key, and false if there is none or the key was
// removed.
func (t *Table) Get(key string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	return r, ok && !r.Removed()
}

// Keys returns the keys that have a value, in no particular order.
func (t *Table) Keys() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var keys []string
	for key, r := range t.records {
		if !r.Removed() {
			keys = append(keys, key)
		}
	}
	return keys
}

// Trim drops removals that are older than removalTTL.
func (t *Table) Trim(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, at := range t.removed {
		if now.Sub(at) > removalTTL {
			t.removalsFrom = max(t.removalsFrom, t.records[key].Offset+1)
			delete(t.removed, key)
			delete(t.records, key)
			delete(t.significant, key)
		}
	}
}
