package duty

import "time"

// Term is the right of a host to act as the holder of the duties under one claim.
type Term struct {
	Holder string
	Fence  uint64
	// remaining is set by Elector.Term.
	remaining func() time.Duration
}

// Remaining returns how long the host may still act, 0 if it may not.
func (t Term) Remaining() time.Duration {
	if t.remaining == nil {
		return 0
	}
	return t.remaining()
}

// lease is the time for which the holder may act. Its times are those of Elector.Elapsed.
type lease struct {
	// end is leaseTime after the latest record that is known to be in the log was sent.
	end time.Duration
	// sentID, sentTo and sentAt are the ID, the position and the time of the latest append.
	sentID string
	sentTo uint64
	sentAt time.Duration
}

// sending notes that a record is about to be sent to a position.
func (l *lease) sending(id string, to uint64, now time.Duration) {
	l.sentID, l.sentTo, l.sentAt = id, to, now
}

// written notes that a record of this host is in the log at a position. Only the latest one
// renews the lease, since the times of earlier ones are not kept. A record in another era than
// it was sent to does not: in its own era another host may have claimed before it arrived.
func (l *lease) written(id string, position uint64) {
	if id == l.sentID && position == l.sentTo {
		l.end = max(l.end, l.sentAt+leaseTime)
	}
}

// remaining returns the time until the lease ends, negative if it has ended.
func (l *lease) remaining(now time.Duration) time.Duration { return l.end - now }

// renewalDue reports whether the lease is to be renewed now.
func (l *lease) renewalDue(now time.Duration) bool {
	return l.remaining(now) <= leaseTime-renewInterval && now-l.sentAt >= renewRetryDelay
}

// quietPeriod is a time in which the log does not grow. Since a read returns the end of the
// log as of some time during the read, the period begins with the step after it.
type quietPeriod struct {
	end      uint64
	observed bool
	since    time.Time
}

// observe notes the end of the log that was just read.
func (q *quietPeriod) observe(end uint64) {
	if !q.observed || q.end != end {
		*q = quietPeriod{end: end, observed: true}
	}
}

// begin notes a step that begins after the end of the log was observed.
func (q *quietPeriod) begin(now time.Time) {
	if q.observed && q.since.IsZero() {
		q.since = now
	}
}

// lasts reports whether the period has begun and is not long enough yet.
func (q *quietPeriod) lasts(now time.Time) bool {
	return !q.since.IsZero() && now.Sub(q.since) < logQuietTime
}

// ended reports whether the log, which ends at end after the period, has not grown in it.
func (q *quietPeriod) ended(end uint64) bool { return !q.since.IsZero() && q.end == end }
