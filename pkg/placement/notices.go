package placement

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// A server may state in its responses, apart from its entry in the store, that it is leaving
// or that it wants no requests for a while. Such a notice holds for the server's present
// life, also if its entry is removed and written again meanwhile.

// noticeTTL is how long a notice that a server is leaving is kept. A server that leaves has
// ended long before.
const noticeTTL = time.Hour

// maxPause bounds the time for which a server can ask not to be sent requests. A value above
// it is taken for a mistake of the server.
const maxPause = 10 * time.Minute

// life identifies one life of a server.
type life struct {
	id          model.BackendID
	incarnation int64
}

// notice is what a server has stated about itself.
type notice struct {
	leaving     bool
	pausedUntil time.Time
	// at is when the latest statement was made.
	at time.Time
}

// noticeOf returns the notice of a server, for changes. The caller holds f.mu.
func (f *Fleet) noticeOf(b *Backend, now time.Time) *notice {
	key := life{b.ID, b.Incarnation}
	n := f.notices[key]
	if n == nil {
		f.dropOldNotices(now)
		n = &notice{}
		f.notices[key] = n
	}
	n.at = now
	return n
}

// dropOldNotices drops the notices of servers that have ended. The caller holds f.mu.
func (f *Fleet) dropOldNotices(now time.Time) {
	for key, n := range f.notices {
		if now.Sub(n.at) > noticeTTL {
			delete(f.notices, key)
		}
	}
}

// NoteLeaving records that a server has stated that it is leaving. It reports whether that
// is new.
func (f *Fleet) NoteLeaving(b *Backend, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.noticeOf(b, now)
	if n.leaving {
		return false
	}
	n.leaving = true
	if s := f.servers[b.ID]; s != nil {
		f.heedNotice(s)
	}
	return true
}

// NotePause records that a server wants no requests for a time. It reports whether the
// server wanted some until now.
func (f *Fleet) NotePause(b *Backend, pause time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := now.Add(min(pause, maxPause))
	n := f.noticeOf(b, now)
	begins := !now.Before(n.pausedUntil)
	if !until.After(n.pausedUntil) {
		return begins
	}
	n.pausedUntil = until
	if s := f.servers[b.ID]; s != nil && s.Incarnation == b.Incarnation {
		f.heedNotice(s)
		f.countOwnFailures(s, failuresToPace, now)
		if s.pace != nil {
			f.dividePace(s)
		}
	}
	return begins
}

// heedNotice applies what a server has stated about itself. The caller holds f.mu.
func (f *Fleet) heedNotice(s *server) {
	n := f.notices[life{s.ID, s.Incarnation}]
	if n == nil {
		s.pausedUntil = time.Time{}
		return
	}
	s.pausedUntil = n.pausedUntil
	if n.leaving && !s.Leaving {
		s.Leaving = true
		f.service(s.Service).preferencesValid = false
	}
}

// Paused reports whether a server is known and wants no requests now.
func (f *Fleet) Paused(id model.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && s.paused(time.Now())
}

// paused reports whether the server wants no requests now.
func (s *server) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// PauseEnd returns the earliest end of the pauses of a service's servers, and false if one of
// them is not paused, or all that are there are leaving.
func (f *Fleet) PauseEnd(name model.PoolName, now time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	earliest := time.Time{}
	for _, s := range f.service(name).servers {
		if s.Leaving || s.evacuated {
			continue
		}
		if !s.paused(now) {
			return time.Time{}, false
		}
		if earliest.IsZero() || s.pausedUntil.Before(earliest) {
			earliest = s.pausedUntil
		}
	}
	return earliest, !earliest.IsZero()
}
