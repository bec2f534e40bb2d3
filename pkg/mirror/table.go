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
	// complete is set once a whole snapshot was taken.
	complete bool
	// heard is when the table last learned that it is up to date.
	heard time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[string]Record{}, removed: map[string]time.Time{}}
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
	t.heard = now
	return changed
}

func (t *Table) take(r Record, now time.Time) bool {
	old, known := t.records[r.Key]
	if known && old.Offset >= r.Offset {
		return false
	}
	t.records[r.Key] = r
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
	t.heard = now
	return changed
}

// Since lists the records from an offset on, for a peer that is behind.
func (t *Table) Since(from uint64) (records []Record, end uint64, complete bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, r := range t.records {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.Offset < b.Offset {
			return -1
		}
		return 1
	})
	return records, t.end, t.complete
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
		}
	}
}
