// Package mirror keeps copies of keyed topics of the platform's log. A copy holds the
// newest record of each key. A host follows a topic by reading the store. While the
// store is unreachable, the host takes records from the copies of its peers.
package mirror

import (
	"slices"
	"sync"
	"time"
)

// Record is the newest record of a key. Its fields are exported for net/rpc.
type Record struct {
	Key string
	// Value is empty if the key was removed.
	Value  []byte
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
	// significant is the offset of the last significant change of each key.
	significant map[string]uint64
	// significantEnd is the offset after the last significant change.
	significantEnd uint64
	// complete is set once the table has taken a snapshot of the topic.
	complete bool
	// upToDateAt is when the table was last known to be up to date.
	upToDateAt time.Time
	// lastRead is when this host itself last read the store.
	lastRead time.Time
}

// NewTable returns an empty table. equivalent reports whether two values of a key have
// the same meaning, so that the newer one need not be passed on to peers. It may be nil.
func NewTable(equivalent func(key string, old, new []byte) bool) *Table {
	return &Table{
		records: map[string]Record{}, removed: map[string]time.Time{}, equivalent: equivalent, significant: map[string]uint64{},
	}
}

// End returns the offset after the last record that the table has taken.
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

// ConfirmUpToDate records that the table was up to date at a time, as reported by a peer.
func (t *Table) ConfirmUpToDate(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.upToDateAt) {
		t.upToDateAt = at
	}
}

// markRead records a successful read of the store by this host.
func (t *Table) markRead(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRead = at
	t.upToDateAt = at
}

// Apply takes records in any order and returns those that made a significant change. A
// record that is older than the one in the table is ignored, so that a key never returns
// to an older value. end is the offset after the records, or 0 if unknown.
func (t *Table) Apply(records []Record, end uint64, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	for _, r := range records {
		if t.put(r, now) {
			changed = append(changed, r)
		}
		end = max(end, r.Offset+1)
	}
	t.end = max(t.end, end)
	return changed
}

// put takes a record and reports whether it made a significant change. The caller holds
// t.mu.
func (t *Table) put(r Record, now time.Time) bool {
	old, known := t.records[r.Key]
	if known && old.Offset >= r.Offset {
		return false
	}
	t.records[r.Key] = r
	if known && !old.Removed() && !r.Removed() && t.equivalent != nil && t.equivalent(r.Key, old.Value, r.Value) {
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

// Snapshot replaces the table with the newest records of all keys, as of the offset end,
// and returns the records that made a significant change. Keys that the snapshot lacks
// are removed, unless the snapshot is older than the table.
func (t *Table) Snapshot(records []Record, end uint64, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		if t.put(r, now) {
			changed = append(changed, r)
		}
	}
	for key, r := range t.records {
		if present[key] || r.Removed() || end == 0 || r.Offset >= end {
			continue
		}
		gone := Record{Key: key, Offset: end - 1}
		if end < t.end || !t.put(gone, now) {
			continue
		}
		changed = append(changed, gone)
	}
	t.end = max(t.end, end)
	t.complete = true
	return changed
}

// SignificantEnd returns the offset after the last significant change.
func (t *Table) SignificantEnd() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.significantEnd
}

// Since returns the records with a significant change at an offset or later, for a peer
// that is behind. end is the offset after the last significant change.
func (t *Table) Since(from uint64) (records []Record, end uint64, complete bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for key, r := range t.records {
		if t.significant[key] >= from {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.Offset < b.Offset {
			return -1
		}
		return 1
	})
	return records, t.significantEnd, t.complete
}

// Get returns the newest record of a key, and false if there is none or the key was
// removed.
func (t *Table) Get(key string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	return r, ok && !r.Removed()
}

// Trim drops removals that are older than removalTTL.
func (t *Table) Trim(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, at := range t.removed {
		if now.Sub(at) > removalTTL {
			delete(t.removed, key)
			delete(t.records, key)
			delete(t.significant, key)
		}
	}
}
