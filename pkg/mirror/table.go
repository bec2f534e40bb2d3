// Package mirror keeps copies of keyed topics of the platform's log: the newest
// record of each key. A host follows a topic in the store and, while the store
// turns it away, through the copies of its peers.
package mirror

import (
	"slices"
	"sync"
	"time"
)

// Record is the newest record of a key. Fields are exported for net/rpc.
type Record struct {
	Key string
	// Value is empty once the key was removed.
	Value  []byte
	Offset uint64
}

// Removed tells whether the record removes its key.
func (r *Record) Removed() bool { return len(r.Value) == 0 }

// removedKept is how long a removal is kept to be passed on to peers. It is well
// above the time that a peer can be behind and still be served.
const removedKept = 5 * time.Minute

// Table is the copy of one topic. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	records map[string]Record
	removed map[string]time.Time
	end     uint64
	// same tells whether two values of a key mean the same; nil compares nothing.
	same func(old, new []byte) bool
	// significant is the offset at which each key last changed its meaning.
	significant map[string]uint64
	// significantEnd is the offset after the last such change.
	significantEnd uint64
	// complete is set once a whole snapshot was taken.
	complete bool
	// heard is when the table was last known to be up to date.
	heard time.Time
	// lastRead is when this host itself has last read the store.
	lastRead time.Time
}

// NewTable returns an empty table. same tells whether two values of a key mean the
// same, so that peers need not pass the newer one on; it may be nil.
func NewTable(same func(old, new []byte) bool) *Table {
	return &Table{
		records: map[string]Record{}, removed: map[string]time.Time{}, same: same, significant: map[string]uint64{},
	}
}

// End is the offset after the last record that the table has taken.
func (t *Table) End() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.end
}

// Complete tells whether the table has held a whole snapshot.
func (t *Table) Complete() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.complete
}

// Heard is when the table was last known to be up to date.
func (t *Table) Heard() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.heard
}

// LastRead is when this host itself has last read the store.
func (t *Table) LastRead() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.lastRead
}

// Confirm notes that the table was up to date at a time, as a peer reports.
func (t *Table) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.heard) {
		t.heard = at
	}
}

func (t *Table) markRead(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRead = at
	t.heard = at
}

// Apply takes records in any order and returns those that changed the table. A
// record that is older than the one held is ignored, so that a key never goes
// back. end is the offset after the records, or 0 if unknown.
func (t *Table) Apply(records []Record, end uint64, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	for _, r := range records {
		if t.take(r, now) {
			changed = append(changed, r)
		}
		end = max(end, r.Offset+1)
	}
	t.end = max(t.end, end)
	return changed
}

func (t *Table) take(r Record, now time.Time) bool {
	old, known := t.records[r.Key]
	if known && old.Offset >= r.Offset {
		return false
	}
	t.records[r.Key] = r
	if known && !old.Removed() && !r.Removed() && t.same != nil && t.same(old.Value, r.Value) {
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

// Snapshot replaces the table by the newest records of all keys, as they were
// when the topic ended at end. Keys that the snapshot lacks were removed, unless
// the snapshot is older than the table.
func (t *Table) Snapshot(records []Record, end uint64, now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		if t.take(r, now) {
			changed = append(changed, r)
		}
	}
	for key, r := range t.records {
		if present[key] || r.Removed() || end == 0 || r.Offset >= end {
			continue
		}
		gone := Record{Key: key, Offset: end - 1}
		if end < t.end || !t.take(gone, now) {
			continue
		}
		changed = append(changed, gone)
	}
	t.end = max(t.end, end)
	t.complete = true
	return changed
}

// SignificantEnd is the offset after the last change of meaning.
func (t *Table) SignificantEnd() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.significantEnd
}

// Since lists the records that changed their meaning at an offset or later, for a
// peer that is behind.
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

// Get returns the newest record of a key that was not removed.
func (t *Table) Get(key string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.records[key]
	return r, ok && !r.Removed()
}

// Trim forgets old removals.
func (t *Table) Trim(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, at := range t.removed {
		if now.Sub(at) > removedKept {
			delete(t.removed, key)
			delete(t.records, key)
			delete(t.significant, key)
		}
	}
}
