package platformsim

import (
	"time"
)

type version[T any] struct {
	at    time.Time
	value T
}

// lagged stores the versions of a value and returns the one that was current a
// fixed time ago. It is not safe for concurrent use.
type lagged[T any] struct {
	lag      time.Duration
	versions []version[T]
}

func (l *lagged[T]) set(value T, now time.Time) {
	l.versions = append(l.versions, version[T]{at: now, value: value})
}

// get returns the value as of one lag before now, and that time.
func (l *lagged[T]) get(now time.Time) (T, time.Time) {
	asOf := now.Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(asOf) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].value, asOf
}
