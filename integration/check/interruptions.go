package check

import (
	"fmt"
	"slices"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin"
	"github.com/redwingpath/redwingpath/standin/record"
)

// Rules of P2 and P12.
const (
	RulePlannedInterruption Rule = "request interrupted without an unplanned failure"
	RuleInterruptedByStop   Rule = "request interrupted by a planned stop"
)

// PlannedInterruptions checks P2. An interruption is a violation unless the call's
// host, or a backend server that worked on the call, had an unplanned failure
// during the call. Orders, drains, releases and announced reclaims are planned.
func PlannedInterruptions(r *Recording) []Violation {
	var found []Violation
	work := r.eventsByTag(isWork)
	stops := r.stops()
	failures := r.failures()
	for tag, calls := range r.callsByTag() {
		for _, c := range calls {
			if !wasInterrupted(c) || stops.during(c) != nil || failures.explains(c, eventsOfCall(c, len(calls), work[tag])) {
				continue
			}
			evidence := append(callEvidence(c), eventEvidence(work[tag]...)...)
			found = append(found, Violation{P2, RulePlannedInterruption, "no unplanned failure explains it", evidence})
		}
	}
	return found
}

// InterruptedByStop checks P12: calls in progress on a host when it is told to
// stop run to completion.
func InterruptedByStop(r *Recording) []Violation {
	var found []Violation
	stops := r.stops()
	failures := r.failures()
	work := r.eventsByTag(isWork)
	for tag, calls := range r.callsByTag() {
		for _, c := range calls {
			stop := stops.during(c)
			if stop == nil || !wasInterrupted(c) || failures.explains(c, eventsOfCall(c, len(calls), work[tag])) {
				continue
			}
			message := fmt.Sprintf("host %s was told to stop while the call was in progress", c.Host)
			found = append(found, Violation{P12, RuleInterruptedByStop, message, append(callEvidence(c), actionEvidence(stop))})
		}
	}
	return found
}

func wasInterrupted(c *Call) bool {
	return c.Outcome == Interrupted || c.Outcome == NoResponse
}

type stopActions []*Action

func (r *Recording) stops() stopActions {
	var stops stopActions
	for i := range r.Actions {
		if r.Actions[i].Kind == ActionStop {
			stops = append(stops, &r.Actions[i])
		}
	}
	return stops
}

// during returns a planned stop of the call's host during the call, or nil.
func (s stopActions) during(c *Call) *Action {
	for _, a := range s {
		if a.Host == c.Host && c.SentNS <= a.TimeNS && a.TimeNS <= c.EndNS {
			return a
		}
	}
	return nil
}

// interval is the time during which a failure lasted.
type interval struct {
	from, to int64
}

// noEnd is the end of a failure that lasted to the end of the recording.
const noEnd = int64(^uint64(0) >> 1)

func (s interval) overlaps(c *Call) bool {
	return s.from <= c.EndNS && c.SentNS <= s.to
}

// failureIntervals holds the unplanned failures of hosts and of backend servers.
type failureIntervals struct {
	hosts    map[model.HostID][]interval
	backends map[string][]interval
	// services are the intervals in which a service fault was set.
	services []interval
}

func (r *Recording) failures() *failureIntervals {
	f := &failureIntervals{hosts: map[model.HostID][]interval{}, backends: map[string][]interval{}}
	for i := range r.Actions {
		a := &r.Actions[i]
		switch a.Kind {
		case ActionKill, ActionFreeze, ActionCut:
			f.hosts[a.Host] = append(f.hosts[a.Host], interval{a.TimeNS, noEnd})
		case ActionStart:
			f.hosts[a.Host] = append(f.hosts[a.Host], interval{a.TimeNS, a.TimeNS})
			f.endIntervals(a)
		case ActionResume, ActionHeal:
			f.endIntervals(a)
		}
	}
	for i := range r.Events {
		f.addEvent(&r.Events[i])
	}
	return f
}

// endIntervals ends all failures of a host: the harness undoes them together.
func (f *failureIntervals) endIntervals(a *Action) {
	failures := f.hosts[a.Host]
	for i := range failures {
		failures[i].to = min(failures[i].to, a.TimeNS)
	}
}

// hostFailed reports whether a failure of the host overlaps the given interval.
func (f *failureIntervals) hostFailed(host model.HostID, from, to int64) bool {
	for _, s := range f.hosts[host] {
		if s.from <= to && from <= s.to {
			return true
		}
	}
	return false
}

func (f *failureIntervals) addEvent(e *record.Event) {
	switch {
	case e.Kind == record.Crashed:
		f.backends[e.Component] = append(f.backends[e.Component], interval{e.TimeNS, e.TimeNS})
	case e.Kind == record.FaultSet && e.Path == standin.PathAdminBackendAction:
		if a, ok := decodeBody[standin.BackendAction](e); ok {
			// Connections that hang never recover.
			f.backends[string(a.Backend)] = append(f.backends[string(a.Backend)], interval{e.TimeNS, noEnd})
		}
	case e.Kind == record.FaultSet && e.Path == standin.PathAdminServiceFault:
		f.services = append(f.services, interval{e.TimeNS, noEnd})
	case e.Kind == record.FaultSet && e.Path == standin.PathAdminClearFaults:
		for i := range f.services {
			f.services[i].to = min(f.services[i].to, e.TimeNS)
		}
	}
}

// explains reports whether an unplanned failure can have interrupted the call.
func (f *failureIntervals) explains(c *Call, work []*record.Event) bool {
	if f.hostFailed(c.Host, c.SentNS, c.EndNS) {
		return true
	}
	if !isChat(c) && overlapsAny(f.services, c) {
		return true
	}
	return f.failedBackends(c, work) > 0
}

// failedBackends returns the number of backend servers that received the call and
// failed during it.
func (f *failureIntervals) failedBackends(c *Call, work []*record.Event) int {
	failed := map[string]bool{}
	for _, e := range work {
		if overlapsAny(f.backends[e.Component], c) {
			failed[e.Component] = true
		}
	}
	return len(failed)
}

func overlapsAny(failures []interval, c *Call) bool {
	return slices.ContainsFunc(failures, func(s interval) bool { return s.overlaps(c) })
}
