package control

import (
	"slices"
	"sync"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Limits of the entries that are kept for other hosts, and of those in one reply.
// Hosts that are further behind read the log or fetch a checkpoint.
const (
	maxRecentEntries = 4096
	maxRecentBytes   = 8 << 20
	maxTailEntries   = 512
	maxTailBytes     = 1 << 20
)

// recentEntries holds the most recently applied entries: all that have offsets in
// [from, next).
type recentEntries struct {
	mu      sync.Mutex
	from    model.Offset
	next    model.Offset
	entries []platform.LogEntry
	bytes   int
}

func (r *recentEntries) reset(from model.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.next, r.entries, r.bytes = from, from, nil, 0
}

func (r *recentEntries) add(entries []platform.LogEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.entries = append(r.entries, e)
		r.bytes += len(e.Data)
		r.next = e.Offset + 1
	}
	drop := 0
	for drop < len(r.entries) && (len(r.entries)-drop > maxRecentEntries || r.bytes > maxRecentBytes) {
		r.from = r.entries[drop].Offset + 1
		r.bytes -= len(r.entries[drop].Data)
		drop++
	}
	if drop > 0 {
		r.entries = slices.Clone(r.entries[drop:])
	}
}

// since returns a limited number of entries with offsets in [from, next). atEnd
// reports whether no newer entries are kept; ok is false if from is no longer
// kept.
func (r *recentEntries) since(from model.Offset) (entries []platform.LogEntry, next model.Offset, atEnd, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from < r.from {
		return nil, 0, false, false
	}
	i, _ := slices.BinarySearchFunc(r.entries, from, func(e platform.LogEntry, o model.Offset) int {
		return compareOffsets(e.Offset, o)
	})
	size := 0
	next = max(from, r.next)
	for ; i < len(r.entries); i++ {
		size += len(r.entries[i].Data)
		if len(entries) > 0 && (len(entries) >= maxTailEntries || size > maxTailBytes) {
			return entries, entries[len(entries)-1].Offset + 1, false, true
		}
		entries = append(entries, r.entries[i])
	}
	return entries, next, true, true
}

func compareOffsets(a, b model.Offset) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
