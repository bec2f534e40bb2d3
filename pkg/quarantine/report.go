package quarantine

import "time"

// Report returns the evidence for the peers: what has changed of late and, if older is
// set, some of the rest, the next ones each time. Evidence of peers is passed on as well,
// so that hosts that start later receive that of hosts that have gone.
func (t *Tracker) Report(older bool, now time.Time) []Crash {
	t.expire(now)
	var report []Crash
	for i := len(t.crashes) - 1; i >= 0 && len(report) < t.settings.MaxFresh; i-- {
		if c := t.crashes[i]; now.Before(c.freshUntil) {
			report = append(report, t.reported(c, now))
		}
	}
	if !older {
		return report
	}
	for range min(t.settings.MaxRepeated, len(t.crashes)) {
		t.repeated = (t.repeated + 1) % len(t.crashes)
		if c := t.crashes[t.repeated]; !now.Before(c.freshUntil) {
			report = append(report, t.reported(c, now))
		}
	}
	return report
}

func (t *Tracker) reported(c *crash, now time.Time) Crash {
	out := Crash{Server: c.key.server, Age: now.Sub(c.at), Parts: make([]CrashedPart, len(c.parts))}
	for i, id := range c.parts {
		out.Parts[i].ID = id
		if at, ok := t.answered.at(id); ok {
			out.Parts[i].Answered, out.Parts[i].AnswerAge = true, now.Sub(at)
		}
	}
	return out
}

// Merge adds the evidence that a peer has reported.
func (t *Tracker) Merge(report []Crash, now time.Time) {
	for _, reported := range report {
		parts := make([]PartID, len(reported.Parts))
		for i, p := range reported.Parts {
			parts[i] = p.ID
		}
		at := now.Add(-max(reported.Age, 0))
		c := t.add(reported.Server, parts, at, now)
		for _, p := range reported.Parts {
			if p.Answered {
				t.recordAnswer(p.ID, now.Add(-max(p.AnswerAge, 0)), now)
			}
		}
		if c == nil {
			c = t.find(reported.Server, parts, at)
		}
		if c != nil && !c.own {
			t.refresh(c, &reported, now)
		}
	}
}

// refresh decides whether this host reports a crash that a peer has reported: it does if
// it knows of an answer that the peer does not, for a part that may be held.
func (t *Tracker) refresh(c *crash, reported *Crash, now time.Time) {
	c.freshUntil = time.Time{}
	for _, p := range reported.Parts {
		peerClears := p.Answered && t.clears(now.Add(-p.AnswerAge), c.at)
		if !peerClears && t.cleared(p.ID, c.at) && t.crashed[p.ID] >= t.settings.Limit-1 {
			c.freshUntil = now.Add(t.settings.FreshFor)
		}
	}
}
