package telemetry

import "sync"

// Other replaces all label values beyond the bound.
const Other = "other"

// labelSet limits the number of distinct label values of one metric.
type labelSet struct {
	limit int

	mu   sync.RWMutex
	seen map[string]struct{}
}

func newLabelSet(limit int) *labelSet {
	return &labelSet{limit: limit, seen: make(map[string]struct{})}
}

// admit returns the value itself, or Other if it is a new value and the limit is
// reached.
func (l *labelSet) admit(value string) string {
	l.mu.RLock()
	_, known := l.seen[value]
	full := len(l.seen) >= l.limit
	l.mu.RUnlock()
	switch {
	case known:
		return value
	case full:
		return Other
	}
	return l.add(value)
}

func (l *labelSet) add(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.seen[value]; known {
		return value
	}
	if len(l.seen) >= l.limit {
		return Other
	}
	l.seen[value] = struct{}{}
	return value
}
