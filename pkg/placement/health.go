package placement

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Outcome is how a request ended at its server.
type Outcome int

// Outcomes.
const (
	// Served requests were answered.
	Served Outcome = iota
	// Abandoned requests tell nothing of the server.
	Abandoned
	// Refused requests were turned away by the server.
	Refused
	// Failed requests broke off or were spoiled.
	Failed
	// Silent requests got no answer or no connection.
	Silent
)

// Suspicion grows with each silent request, from about a heartbeat to the time
// after which a dead server's registration has lapsed.
const (
	suspectFirst = time.Second
	suspectMost  = 4 * time.Second
)

// Judge notes how a prefill call ended.
func (f *Fleet) Judge(id model.BackendID, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil {
		s.judge(o, now)
	}
}

func (s *server) judge(o Outcome, now time.Time) {
	switch o {
	case Served:
		s.failures -= failureWeight * s.failures
		s.strikes = 0
	case Refused, Failed, Silent:
		s.failures += failureWeight * (1 - s.failures)
	}
	if o == Silent {
		s.suspectUntil = now.Add(min(suspectFirst<<min(s.strikes, 4), suspectMost))
		s.strikes++
	}
}
