package operator

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// HistoryEntry is one applied change of an entity.
type HistoryEntry struct {
	// Version is the log offset of the change.
	Version  model.Offset    `json:"version"`
	Time     time.Time       `json:"time"`
	Operator string          `json:"operator"`
	Delete   bool            `json:"delete,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Action describes the change as a phrase for error messages.
func (e *HistoryEntry) Action() string {
	if e.Delete {
		return "the deletion"
	}
	return fmt.Sprintf("the change to %s", e.Value)
}

// History keeps the most recent configuration changes of all entities. It is
// safe for concurrent use.
type History struct {
	mu sync.RWMutex
	// records is a ring buffer of fixed capacity.
	records []historyRecord
	// oldest is the index of the oldest record.
	oldest int
}

type historyRecord struct {
	kind  logrec.EntityKind
	id    string
	entry HistoryEntry
}

// NewHistory returns a history that keeps the last size changes.
func NewHistory(size int) *History {
	return &History{records: make([]historyRecord, 0, max(size, 1))}
}

// Record adds a configuration change that was applied at a log offset.
func (h *History) Record(offset model.Offset, at time.Time, change *logrec.ConfigChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range change.Changes {
		h.add(historyRecord{kind: c.Entity, id: c.ID, entry: HistoryEntry{
			Version: offset, Time: at, Operator: change.Operator, Delete: c.Delete, Value: c.Value,
		}})
	}
}

func (h *History) add(r historyRecord) {
	if len(h.records) < cap(h.records) {
		h.records = append(h.records, r)
		return
	}
	h.records[h.oldest] = r
	h.oldest = (h.oldest + 1) % len(h.records)
}

// History returns the recorded changes of an entity, oldest first. It implements
// HistoryReader.
func (h *History) History(kind logrec.EntityKind, id string) []HistoryEntry {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var entries []HistoryEntry
	for i := range h.records {
		r := &h.records[(h.oldest+i)%len(h.records)]
		if r.kind == kind && r.id == id {
			entries = append(entries, r.entry)
		}
	}
	return entries
}
