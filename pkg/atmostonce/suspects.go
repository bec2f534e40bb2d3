package atmostonce

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

const (
	// SuspectThreshold is the number of crashes at which a request is rejected.
	SuspectThreshold = 2
	// SuspectExpiry is how long a crash counts.
	SuspectExpiry = 10 * time.Minute
	// maxSuspects bounds the digests that a host keeps. Each takes about 200 bytes;
	// a crash of one engine adds one digest per running request.
	maxSuspects = 20000
)

// CrashReport is one crash of a backend server while it ran a request.
type CrashReport struct {
	Digest    string
	RequestID model.RequestID
	Backend   model.BackendID
}

// crashKey identifies a crash. Reports of one request at one backend server are
// the same crash, whichever way they reach the host.
type crashKey struct {
	request model.RequestID
	backend model.BackendID
}

// Suspects counts crashes per request digest, to detect requests that crash the
// backend servers that run them. It is not safe for concurrent use.
type Suspects struct {
	crashes map[string]map[crashKey]time.Time
}

// NewSuspects returns Suspects without crashes.
func NewSuspects() *Suspects {
	return &Suspects{crashes: make(map[string]map[crashKey]time.Time)}
}

// Add counts a crash and reports whether it is new.
func (s *Suspects) Add(r CrashReport, now time.Time) bool {
	s.expire(r.Digest, now)
	known := s.crashes[r.Digest]
	if known == nil {
		s.evict(now)
		known = make(map[crashKey]time.Time)
		s.crashes[r.Digest] = known
	}
	key := crashKey{request: r.RequestID, backend: r.Backend}
	if _, seen := known[key]; seen {
		return false
	}
	known[key] = now
	return true
}

// Count returns the number of crashes of a digest that have not expired.
func (s *Suspects) Count(digest string, now time.Time) int {
	s.expire(digest, now)
	return len(s.crashes[digest])
}

// ClearsIn returns the time until enough crashes of the digest have expired that
// its requests are no longer rejected.
func (s *Suspects) ClearsIn(digest string, now time.Time) time.Duration {
	var newest, second time.Time
	for _, at := range s.crashes[digest] {
		switch {
		case at.After(newest):
			newest, second = at, newest
		case at.After(second):
			second = at
		}
	}
	if second.IsZero() {
		return 0
	}
	return max(0, second.Add(SuspectExpiry).Sub(now))
}

func (s *Suspects) expire(digest string, now time.Time) {
	known := s.crashes[digest]
	for key, at := range known {
		if now.Sub(at) >= SuspectExpiry {
			delete(known, key)
		}
	}
	if known != nil && len(known) == 0 {
		delete(s.crashes, digest)
	}
}

// evict makes room for one digest if the table is full: it drops expired digests
// and, if there are none, an arbitrary digest.
func (s *Suspects) evict(now time.Time) {
	if len(s.crashes) < maxSuspects {
		return
	}
	for digest := range s.crashes {
		s.expire(digest, now)
	}
	for digest := range s.crashes {
		if len(s.crashes) < maxSuspects {
			return
		}
		delete(s.crashes, digest)
	}
}
