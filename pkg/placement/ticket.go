package placement

import "time"

// Ticket tracks a request that was sent according to a plan.
type Ticket struct {
	plan Plan
	// prompt is added to the modelled cache of each engine that processes it.
	prompt []Part
	sentAt time.Time
	// prefillerIdle is set if no work was queued ahead of the request.
	prefillerIdle bool
	// prefillDue is when the request's prefill is expected to end.
	prefillDue time.Time
	firstEvent bool
	// running is set once the request is counted on the server that runs it.
	running bool
	// prefillEnded is set once the prompt was prefilled, or the request has ended without
	// it.
	prefillEnded bool
	// prefilledAt is when a prefill engine finished the prompt.
	prefilledAt time.Time
	// runTurns are the limits of which the request holds a turn, at the server that runs it.
	runTurns []*turns
	// runMemory and prefillMemory are the memory that the request uses at the server that
	// runs it and at its prefill engine.
	runMemory, prefillMemory memoryHold
	done                     bool
}

// Send records a request that is about to be sent according to a plan, and returns the
// ticket for its progress.
func (f *Fleet) Send(p Plan, r *Request, now time.Time) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &Ticket{plan: p, prompt: r.Parts, sentAt: now}
	if run := f.servers[p.Run.ID]; run != nil {
		t.takeRunTurn(run, now)
		f.service(run.Service).rates[run.Stage].add(now)
		t.runMemory = f.hold(run, r, now)
		if p.Prefill == nil {
			t.run(run)
		}
	}
	prefiller := f.servers[p.Prefiller().ID]
	if prefiller == nil {
		return t
	}
	if p.Prefill != nil {
		prefiller.takeTurn(now)
		f.service(prefiller.Service).rates[prefiller.Stage].add(now)
		t.prefillMemory = f.hold(prefiller, r, now)
	}
	t.prefillerIdle = !prefiller.busyUntil.After(now)
	prefiller.addBacklog(p.prefillWork, now)
	prefiller.pendingPrefill += p.prefillWork
	f.service(prefiller.Service).prefillWork += p.prefillWork
	t.prefillDue = prefiller.busyUntil
	prefiller.cache.add(r.Parts)
	f.notePartUse(prefiller, sharedParts(r.Parts), now)
	if prefiller.Engine != nil {
		f.queueSend(Send{Backend: prefiller.ID, WorkMS: millis(p.prefillWork), Parts: sharedParts(r.Parts)})
	}
	return t
}

// sharedParts returns all parts but the last, which no other request is expected to share.
func sharedParts(parts []Part) []Part {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// run counts the request on the server that runs it, from the moment it is sent there.
func (t *Ticket) run(s *server) {
	s.running++
	s.cache.add(t.prompt)
	t.plan.Run = s.Backend
	t.running = true
}

// takeRunTurn takes a turn at the server that is to run the request.
func (t *Ticket) takeRunTurn(s *server, now time.Time) {
	t.runTurns = s.takeTurn(now)
}

// giveRunTurnBack returns the turn, where the request was not sent. One that was held for
// long is lost: the request would come together with those of later turns.
func (t *Ticket) giveRunTurnBack(now time.Time) {
	if now.Sub(t.sentAt) <= maxTurnHold {
		for _, held := range t.runTurns {
			held.giveBack()
		}
	}
	t.runTurns = nil
}

func (s *server) addBacklog(work time.Duration, now time.Time) {
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(work)
	if s.busyUntil.After(now.Add(maxBacklog)) {
		s.busyUntil = now.Add(maxBacklog)
	}
}

// maxBacklog bounds the estimated backlog of an engine. Callers do not wait longer than
// that, so a larger value is an estimation error.
const maxBacklog = 5 * time.Second

const (
	// correctionWeight is the share of a prediction's error by which an engine's backlog is
	// corrected.
	correctionWeight = 0.4
	// failureWeight is the smoothing weight of a server's failure rate.
	failureWeight = 0.15
)

// PrefillDone records the end of a prefill call.
func (f *Fleet) PrefillDone(t *Ticket, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endPrefill(t)
	t.prefilledAt = now
	f.observe(t, now.Sub(t.sentAt), StagePrefill, now)
	if s := f.servers[t.plan.Prefiller().ID]; s != nil {
		f.noteResponse(s, t.sentAt, now, t.plan.Prefilled)
	}
}

// endPrefill removes a request from the pending prefill of its engine, because the prompt
// was prefilled or will not be.
func (f *Fleet) endPrefill(t *Ticket) {
	if t.prefillEnded {
		return
	}
	t.prefillEnded = true
	t.prefillMemory.release()
	if prefiller := f.servers[t.plan.Prefiller().ID]; prefiller != nil {
		prefiller.pendingPrefill = max(0, prefiller.pendingPrefill-t.plan.prefillWork)
	}
}

// FirstEvent records the first event of a request.
func (f *Fleet) FirstEvent(t *Ticket, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.firstEvent {
		return
	}
	t.firstEvent = true
	if t.plan.Prefill == nil {
		f.endPrefill(t)
	}
	if t.plan.Prefill == nil && t.plan.Run.Stage == StageDecode {
		k := f.services[t.plan.Run.Service]
		if k != nil {
			f.observe(t, now.Sub(t.sentAt), StageDecode, now)
		}
	}
	if k := f.services[t.plan.Run.Service]; k != nil && !t.prefilledAt.IsZero() && t.plan.Run.Stage == StageDecode {
		k.firstEvent.observe(millis(now.Sub(t.prefilledAt)-t.plan.kvTransfer), false)
	}
	if s := f.servers[t.plan.Run.ID]; s != nil {
		s.silentFailures = 0
		s.suspectUntil = time.Time{}
		if s.Stage != StageNone {
			f.noteResponse(s, t.runSentAt(), now, t.runPredicted())
		}
	}
}

// observe updates the estimates and the engine's backlog from the actual duration of a
// prefill.
func (f *Fleet) observe(t *Ticket, duration time.Duration, stage Stage, now time.Time) {
	s := f.servers[t.plan.Prefiller().ID]
	k := f.services[t.plan.Run.Service]
	if s == nil || k == nil {
		return
	}
	if t.prefillerIdle && t.plan.Fetch == nil {
		k.prefill[stage].observe(t.plan.Uncached, duration)
		if decode := &k.prefill[StageDecode].rate; !decode.converged && len(decode.initial) == 0 && k.prefill[StagePrefill].rate.converged {
			decode.value = k.prefill[StagePrefill].rate.value * f.settings.DecodeRate / f.settings.PrefillRate
		}
	}
	late := t.sentAt.Add(duration - k.prefill[stage].fixed()).Sub(t.prefillDue)
	s.busyUntil = s.busyUntil.Add(time.Duration(correctionWeight * float64(late)))
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
}

// Done records the end of a request.
func (f *Fleet) Done(t *Ticket, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	f.releaseWork(t, now)
	f.endMemory(t, o, now)
	s := f.servers[t.plan.Run.ID]
	if s == nil {
		return
	}
	if t.running {
		s.running--
	} else {
		t.giveRunTurnBack(now)
	}
	s.recordOutcome(o, now)
	if t.running {
		f.noteFailure(s, o, t.runSentAt(), now)
		f.noteEnd(s, t, o, now)
	}
}

// runSentAt returns when the request was sent to the server that runs it.
func (t *Ticket) runSentAt() time.Time { return later(t.sentAt, t.prefilledAt) }

// runPredicted returns the predicted time from then to the first event.
func (t *Ticket) runPredicted() time.Duration {
	if t.plan.Prefill == nil {
		return t.plan.Predicted
	}
	return t.plan.Predicted - t.plan.Prefilled
}

// releaseWork subtracts the remaining work of a request that ended before its prefill from
// the engine's backlog.
func (f *Fleet) releaseWork(t *Ticket, now time.Time) {
	prefiller := f.servers[t.plan.Prefiller().ID]
	if t.firstEvent || t.prefillEnded || prefiller == nil || prefiller.Engine == nil {
		return
	}
	f.endPrefill(t)
	remaining := min(t.plan.prefillWork, max(0, t.prefillDue.Sub(now)))
	prefiller.addBacklog(-remaining, now)
	f.service(prefiller.Service).prefillWork -= remaining
	f.queueSend(Send{Backend: prefiller.ID, WorkMS: -millis(remaining)})
}

// FirstEventSeen reports whether the first event has arrived. It is not synchronised: only
// the sender of the request may call it.
func (t *Ticket) FirstEventSeen() bool { return t.firstEvent }
