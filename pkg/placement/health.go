package placement

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Outcome is the result of a request as far as it tells about its server.
type Outcome int

// Outcomes of requests.
const (
	// Served requests got a complete response.
	Served Outcome = iota
	// Abandoned requests say nothing about the server.
	Abandoned
	// Refused requests were not accepted by the server.
	Refused
	// Failed requests broke off or returned an invalid response.
	Failed
	// Silent requests got no response or no connection.
	Silent
)

// Each silent request in a row doubles the time for which a server is avoided, from about
// one heartbeat interval to the time after which a dead server's registration has expired.
const (
	minSuspicion = time.Second
	maxSuspicion = 4 * time.Second
)

// RecordOutcome records the outcome of a prefill call.
func (f *Fleet) RecordOutcome(id model.BackendID, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil {
		s.recordOutcome(o, now)
		f.noteFailure(s, o, now, now)
	}
}

func (s *server) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Served:
		s.failureRate -= failureWeight * s.failureRate
		s.silentFailures = 0
	case Refused, Failed, Silent:
		s.failureRate += failureWeight * (1 - s.failureRate)
	}
	if o == Silent {
		s.suspectUntil = now.Add(min(minSuspicion<<min(s.silentFailures, 4), maxSuspicion))
		s.silentFailures++
	}
}
