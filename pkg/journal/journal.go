// Package journal keeps the most recent decisions of a process with their
// reasons, so that operators can find out why something happened.
package journal

import (
	"sync"
	"time"
)

// Kind is the kind of subject that a decision is about.
type Kind string

// Kinds of subjects.
const (
	KindRequest   Kind = "request"
	KindBackend   Kind = "backend"
	KindOrder     Kind = "order"
	KindConfig    Kind = "config"
	KindAuthority Kind = "authority"
)

// Entry is one decision.
type Entry struct {
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"subject"`
	// Decision is a short verb phrase, such as "routed", "rejected" or "drained".
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
}

// Journal is a ring buffer of entries. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
	next    int
}

// New returns a journal that keeps the last size entries.
func New(size int) *Journal {
	return &Journal{entries: make([]Entry, 0, max(size, 1))}
}

// Add records an entry. A zero Time is set to the current time.
func (j *Journal) Add(e Entry) {
	if e.Time.IsZero() {
		e.Time = time.Now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) < cap(j.entries) {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % len(j.entries)
}

// Recent returns the kept entries about a subject, oldest first. An empty
// subject matches all.
func (j *Journal) Recent(subject string) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Entry
	for i := range j.entries {
		e := j.entries[(j.next+i)%len(j.entries)]
		if subject == "" || e.Subject == subject {
			found = append(found, e)
		}
	}
	return found
}
