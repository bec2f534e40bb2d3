package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// A server that has just started or failed requests begins with a small share of the requests,
// its pace, which grows as it responds in time. Hosts divide the pace like a limit that a
// server states. The host of rank 0 among a server's users is its observer: it sends the
// largest part, changes the pace and states it to the others. A pace is no hard limit: where
// no other server takes a request, it is ignored. See docs/design/slow-start.md.

const (
	// startShare is the share of the mean rate of its stage at which a server begins. Three
	// rounds of about half a second lead from there to the mean rate.
	startShare = 1.0 / 8
	// minPace is the rate at which a server that does not respond in time is tried. Unit:
	// requests per second.
	minPace = 2
	// observerShare is the observer's share of a pace, at most observerRate. userRate is the
	// part of each other user. A host of the deployments sends about 15 requests per second
	// in total, so that the observer can send 4 of them to one server. Units: requests per
	// second for the latter two.
	observerShare          = 0.75
	observerRate, userRate = 4.0, 1.0
	// spareShare is the share by which the requests at a server may grow on account of those
	// that are held back from servers that start.
	spareShare = 0.15
	// roundResponses and minRound are the responses and the time that a round needs. The
	// other users must have heard of the pace of the round: updates are 150 ms old on
	// average and 350 ms at most.
	roundResponses = 2
	minRound       = 350 * time.Millisecond
	// maxRoundResponses bounds the responses that are taken together, so that earlier ones
	// do not hide a change.
	maxRoundResponses = 16
	// lateFactor and lateSlack determine when a response is late: after the factor times its
	// predicted time plus the slack. Predictions do not include requests of other hosts that
	// this host has not heard of.
	lateFactor = 2
	lateSlack  = 40 * time.Millisecond
	// paceTTL is the time after which a pace that no response has confirmed is dropped. It
	// exceeds the time after which a silent host is no longer among the users.
	paceTTL = 10 * time.Second
	// paceRefresh is the time after which a statement is repeated in a full update. Full
	// updates are sent at least every 800 ms.
	paceRefresh = 700 * time.Millisecond
	// takeOver is the time without a statement after which the next host by rank observes a
	// server as well. It covers two repetitions, of which one is lost.
	takeOver = 2 * time.Second
	// failuresToPace is the number of failures in failureWindow at which slow start begins. A
	// failed request counts as one, since single requests fail for other reasons. A request
	// without any response and a pause are enough.
	failuresToPace = 2
	failureWindow  = 3 * time.Second
	// maxFailureStatements bounds the servers in an update with which a host had failures. A
	// host that loses its way to a data centre has failures with all servers there.
	maxFailureStatements = 4
	// observerRest is the time after the end of a pace in which failures of the observer
	// begin no other one, peerRest that for failures of others: such a host may have lost its
	// way to sound servers.
	observerRest = 2 * time.Second
	peerRest     = 10 * time.Second
	// endRepeat is the time for which the end of a pace is repeated. Where half of the
	// updates are lost, one host in a hundred hears none of the statements.
	endRepeat = 5 * time.Second
	// startGrace is the time after the first registration in which a host takes all servers
	// for ones that were present when it started: it receives the registrations in pages.
	startGrace = 3 * time.Second
	// rateWindow is the time constant of the estimated request rates. At 3 requests per
	// second of a host it covers about 12 of them.
	rateWindow = 4 * time.Second
	// maxStartEvents bounds the events that are kept for the log.
	maxStartEvents = 256
)

// pace is the rate limit that was found for a server.
type pace struct {
	// perSecond is the limit for all hosts together. Unit: requests per second.
	perSecond float64
	// at is when the latest response or statement that confirms it was received.
	at time.Time
	// changedAt is when this host changed it. Responses to earlier requests say nothing
	// about it.
	changedAt time.Time
	// responses and late count the responses of the round.
	responses, late int
	// first is the pace at which the slow start began.
	first float64
	// heardAt is when a peer stated the pace.
	heardAt time.Time
	// unreported is set until the peers are told.
	unreported bool
}

// StartEvent is a change in the slow or cold start of a server, for the log.
type StartEvent struct {
	Backend model.BackendID
	// Event is what has changed.
	Event string
	// PerSecond is the pace or the rate that the cold server tolerates. Unit: requests per
	// second for all hosts together.
	PerSecond float64
}

// requestRate is an exponentially weighted request rate.
type requestRate struct {
	perSecond float64
	at        time.Time
}

func (r *requestRate) get(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(0, now.Sub(r.at).Seconds())/rateWindow.Seconds())
}

func (r *requestRate) add(now time.Time) {
	r.perSecond, r.at = r.get(now)+1/rateWindow.Seconds(), now
}

// paced reports whether the server has a pace.
func (s *server) paced(now time.Time) bool { return s.pace != nil && !s.paceTurns.unlimited(now) }

// findsPace reports whether slow start applies to the server.
func (s *server) findsPace() bool { return s.Start != nil && s.Start.FindPace }

// usable reports whether the server takes requests of any kind now.
func (s *server) usable(now time.Time) bool {
	return s.accepts(&Request{}, now) && !now.Before(s.suspectUntil)
}

// pacing returns the stages whose paces are kept. They are not if the warm servers without a
// pace could not take the requests that are held back from the others. A server that has
// not kept up with its first pace could not serve more, so that these do not count.
func (f *Fleet) pacing(k *service, now time.Time) (stages [3]bool) {
	if !slices.ContainsFunc(k.servers, func(s *server) bool { return s.pace != nil }) {
		return stages
	}
	for stage, load := range f.stageLoads(k, now) {
		held := 0.0
		for _, s := range load.paced {
			held += max(0, 1-max(s.pace.perSecond, s.pace.first)/load.mean)
		}
		// The first paces hold back what the warm servers can take. The estimated mean rate
		// may grow after that, by the share of one more server.
		stages[stage] = len(load.paced) > 0 && load.warm > 0 && held <= spareShare*float64(load.warm+1)
	}
	return stages
}

// stageLoad is the load of a stage of a service.
type stageLoad struct {
	// servers counts the usable servers, warm those of them that are warm and have no pace.
	servers, warm int
	paced         []*server
	// mean is the estimated mean rate of the requests of all hosts at a server, from this
	// host's own requests. Unit: requests per second.
	mean float64
}

// stageLoads returns the loads of the stages of a service. The caller holds f.mu.
func (f *Fleet) stageLoads(k *service, now time.Time) (loads [3]stageLoad) {
	for _, s := range k.servers {
		if !s.usable(now) {
			continue
		}
		load := &loads[s.Stage]
		load.servers++
		switch {
		case s.paced(now):
			load.paced = append(load.paced, s)
		case s.coldTurns.unlimited(now):
			load.warm++
		}
	}
	for stage := range loads {
		loads[stage].mean = k.rates[stage].get(now) * float64(max(1, len(f.hosts))) / float64(max(1, loads[stage].servers))
	}
	return loads
}

// noteLife begins the slow start of a server whose life began while the host was running, or
// that is cold. The caller holds f.mu.
func (f *Fleet) noteLife(s *server, cold bool, now time.Time) {
	if s.known {
		return
	}
	s.known = true
	if f.firstServerAt.IsZero() {
		f.firstServerAt = now
	}
	if cold || now.Sub(f.firstServerAt) >= startGrace {
		f.beginPace(s, 0, now)
	}
}

// beginPace begins the slow start of a server, unless its first pace would not limit it. It
// does not begin soon after the end of the former one. The caller holds f.mu.
func (f *Fleet) beginPace(s *server, rest time.Duration, now time.Time) {
	if !s.findsPace() || s.paced(now) || now.Sub(s.paceEndedAt) < rest {
		return
	}
	load := f.stageLoads(f.service(s.Service), now)[s.Stage]
	warm := load.warm
	if s.usable(now) && s.coldTurns.unlimited(now) {
		warm--
	}
	// The others take what is held back.
	share := max(startShare, 1-spareShare*float64(warm)/float64(len(load.paced)+1))
	if first := max(minPace, share*load.mean); warm > 0 && first < load.mean {
		f.setPace(s, first, now)
		s.pace.unreported = f.observes(s)
		f.queueStartEvent(s, "slow start begins", first)
	}
}

// countFailures records a number of failures that this host or a peer had with a server. As
// its observer this host then begins its slow start. The caller holds f.mu.
func (f *Fleet) countFailures(s *server, failures int, rest time.Duration, now time.Time) {
	if now.Sub(s.failedAt) > failureWindow {
		s.failures = 0
	}
	s.failedAt = now
	s.failures = min(s.failures+failures, failuresToPace)
	if s.failures >= failuresToPace && f.observes(s) {
		f.beginPace(s, rest, now)
	}
}

// countOwnFailures is countFailures for this host's failures. The caller holds f.mu.
func (f *Fleet) countOwnFailures(s *server, failures int, now time.Time) {
	if !s.findsPace() || s.paced(now) {
		return
	}
	f.countFailures(s, failures, observerRest, now)
	if !f.observes(s) {
		s.unreportedFailures = min(s.unreportedFailures+failures, failuresToPace)
	}
}

// observes reports whether this host observes a server. The caller holds f.mu.
func (f *Fleet) observes(s *server) bool {
	if s.paceTurns != nil {
		return s.paceTurns.rank == 0
	}
	return f.userRank(s.ID, f.hosts) == 0
}

// changesPace reports whether this host changes the pace of a server: as its observer, or
// since no host by a lower rank has stated the pace for some time.
func (s *server) changesPace(now time.Time) bool {
	rank := s.paceTurns.rank
	return rank == 0 || now.Sub(s.pace.heardAt) > time.Duration(rank)*takeOver
}

// setPace sets the pace of a server. The caller holds f.mu.
func (f *Fleet) setPace(s *server, perSecond float64, at time.Time) {
	if s.pace == nil {
		s.pace, s.paceTurns = &pace{first: perSecond, heardAt: at}, &turns{updatedAt: at}
	}
	first, heardAt := s.pace.first, s.pace.heardAt
	*s.pace = pace{perSecond: perSecond, at: at, changedAt: at, first: first, heardAt: heardAt}
	f.dividePace(s)
}

// dividePace computes this host's part of a server's pace. The number of users does not
// depend on which hosts are heard: a host that is cut off keeps its part. The caller holds
// f.mu.
func (f *Fleet) dividePace(s *server) {
	p, t := s.pace, s.paceTurns
	t.until, t.rank = later(p.at, s.pausedUntil).Add(paceTTL), f.userRank(s.ID, f.hosts)
	hosts := max(len(f.hosts), len(f.members), 1)
	observed := min(observerShare*p.perSecond, observerRate)
	others := min(int(math.Ceil((p.perSecond-observed)/userRate)), hosts-1)
	if others == 0 {
		observed = p.perSecond
	}
	former := t.rate
	t.rate, t.depth = 0, 0
	switch {
	case t.rank == 0:
		t.rate, t.depth = observed, roundResponses
	case t.rank <= others:
		t.rate, t.depth = (p.perSecond-observed)/float64(others), 1
	}
	if former == 0 && t.rate > 0 {
		// The users begin one after the other.
		t.level = t.depth - float64(t.rank)/float64(others+1)
	}
	t.level = min(t.level, t.depth)
}

// endPace ends the slow start of a server. The caller holds f.mu.
func (f *Fleet) endPace(s *server, event string, now time.Time) {
	f.queueStartEvent(s, event, s.pace.perSecond)
	s.pace, s.paceTurns, s.paceEndedAt = nil, nil, now
}

// stateEnd has the peers told that a server has no pace. The caller holds f.mu.
func (s *server) stateEnd(now time.Time) {
	s.paceEndedAt, s.endUnreported, s.endStatedUntil = now, true, now.Add(endRepeat)
}

// noteResponse records a response of a server that was received within a time of the
// request, and the time predicted for it. The caller holds f.mu.
func (f *Fleet) noteResponse(s *server, sentAt, now time.Time, predicted time.Duration) {
	late := isLate(sentAt, now, predicted)
	if !late {
		s.inTimeAt = now
	}
	f.observePace(s, sentAt, late, false, now)
}

// noteEnd records the end of a request as far as noteResponse has not: of a call to a plain
// service, whose usual duration is learned since no time is predicted for it, and of a
// request that was abandoned without a response. The caller holds f.mu.
func (f *Fleet) noteEnd(s *server, t *Ticket, o Outcome, now time.Time) {
	predicted := t.runPredicted()
	if s.Stage == StageNone {
		usual := &f.service(s.Service).plainCall
		duration := max(millis(now.Sub(t.sentAt)), 1)
		if o == Served && !usual.converged {
			*usual = estimate{value: duration, converged: true}
		}
		predicted = max(predicted, fromMillis(usual.value))
		if o == Served {
			f.noteResponse(s, t.sentAt, now, predicted)
			usual.observe(duration, false)
			return
		}
	}
	if o == Abandoned && !t.firstEvent && isLate(t.runSentAt(), now, predicted) {
		f.observePace(s, t.runSentAt(), true, false, now)
	}
}

// isLate reports whether a response at a time is late.
func isLate(sentAt, now time.Time, predicted time.Duration) bool {
	return now.Sub(sentAt) > lateFactor*predicted+lateSlack
}

// noteFailure records a failed request. The caller holds f.mu.
func (f *Fleet) noteFailure(s *server, o Outcome, sentAt, now time.Time) {
	switch o {
	case Silent:
		f.countOwnFailures(s, failuresToPace, now)
	case Refused, Failed:
		f.countOwnFailures(s, 1, now)
	default:
		return
	}
	f.observePace(s, sentAt, false, true, now)
}

// observePace changes the pace of a server after a response. The caller holds f.mu.
func (f *Fleet) observePace(s *server, sentAt time.Time, late, failed bool, now time.Time) {
	p := s.pace
	if !s.paced(now) || !s.changesPace(now) || !sentAt.After(p.changedAt) {
		return
	}
	p.at, s.paceTurns.until = now, now.Add(paceTTL)
	p.responses++
	if late {
		p.late++
	}
	switch {
	case failed || p.late >= roundResponses && 2*p.late > p.responses:
		f.changePace(s, max(minPace, p.perSecond/2), now)
	case p.responses >= roundResponses && 4*p.late <= p.responses && now.Sub(p.changedAt) >= minRound:
		if p.perSecond >= f.stageLoads(f.service(s.Service), now)[s.Stage].mean {
			f.endPace(s, "slow start ends", now)
			s.stateEnd(now)
			return
		}
		f.changePace(s, 2*p.perSecond, now)
	case p.responses >= maxRoundResponses:
		p.responses, p.late = 0, 0
	}
}

// changePace changes the pace of a server as its observer. The caller holds f.mu.
func (f *Fleet) changePace(s *server, perSecond float64, now time.Time) {
	changed := s.pace.perSecond != perSecond
	f.setPace(s, perSecond, now)
	s.pace.unreported = changed
}

// handlePace applies a peer's statement about a pace, or about its failures with a server. The
// caller holds f.mu.
func (f *Fleet) handlePace(l LimitStatement, now time.Time) {
	s := f.servers[l.Backend]
	if s == nil || s.Incarnation != l.Incarnation || !s.findsPace() || math.IsNaN(l.PerSecond) {
		return
	}
	at, observer := now.Add(-max(0, l.Age)), f.observes(s)
	switch {
	case l.PerSecond <= 0:
		if observer && !s.inTimeAt.After(at) {
			f.countFailures(s, int(max(1, -l.PerSecond)), peerRest, now)
		}
	case l.PerSecond == NoLimit:
		if s.paced(now) && !observer && at.After(s.pace.at) {
			f.endPace(s, "slow start ends", now)
		}
		s.paceEndedAt = later(s.paceEndedAt, at)
	case s.paced(now):
		if !observer && at.After(s.pace.at) {
			f.setPace(s, max(minPace, l.PerSecond), at)
			s.pace.heardAt = now
		}
	case observer && now.Sub(s.paceEndedAt) < peerRest:
		// The peer has not heard of the end.
		s.endUnreported, s.endStatedUntil = true, now.Add(endRepeat)
	case !at.After(s.paceEndedAt):
	default:
		f.setPace(s, max(minPace, l.PerSecond), at)
		s.pace.heardAt, s.pace.unreported = now, observer
		f.queueStartEvent(s, "slow start begins", l.PerSecond)
	}
}

// paces returns the statements about paces and failures that the peers are told: changes, and
// in full updates again the paces that this host changes and their ends. It drops paces that
// have expired. The caller holds f.mu.
func (f *Fleet) paces(full bool, now time.Time) (list []LimitStatement) {
	failures := 0
	for _, s := range f.servers {
		if s.pace != nil && !s.paced(now) {
			f.endPace(s, "slow start ends without responses", now)
		}
		repeat := full && now.Sub(s.paceStatedAt) >= paceRefresh
		l := LimitStatement{Backend: s.ID, Incarnation: s.Incarnation, Observed: true}
		switch {
		case s.pace != nil:
			s.unreportedFailures = 0
			if !s.pace.unreported && (!repeat || !s.changesPace(now)) {
				continue
			}
			l.PerSecond, l.Age = s.pace.perSecond, now.Sub(s.pace.at)
			s.pace.unreported, s.paceStatedAt = false, now
		case (s.endUnreported || repeat) && now.Before(s.endStatedUntil):
			l.PerSecond, l.Age = NoLimit, now.Sub(s.paceEndedAt)
			s.endUnreported, s.paceStatedAt = false, now
		case s.unreportedFailures > 0 && failures < maxFailureStatements:
			l.PerSecond, l.Age = -float64(s.unreportedFailures), now.Sub(s.failedAt)
			s.unreportedFailures = 0
			failures++
		default:
			continue
		}
		list = append(list, l)
	}
	return list
}

func (f *Fleet) queueStartEvent(s *server, event string, perSecond float64) {
	if len(f.startEvents) < maxStartEvents {
		f.startEvents = append(f.startEvents, StartEvent{s.ID, event, perSecond})
	}
}

// StartEvents returns the changes since the last call, ordered by server.
func (f *Fleet) StartEvents() []StartEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := f.startEvents
	f.startEvents = nil
	slices.SortStableFunc(events, func(a, b StartEvent) int { return cmp.Compare(a.Backend, b.Backend) })
	return events
}

// StartingServers returns the numbers of servers that have a pace and that are cold.
func (f *Fleet) StartingServers(now time.Time) (paced, cold int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.paced(now) {
			paced++
		}
		if now.Before(s.coldUntil) {
			cold++
		}
	}
	return paced, cold
}
