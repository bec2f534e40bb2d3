package rate

import "time"

// StaticSplit is the baseline that assigns every host an equal share of the rate
// and of the burst. It needs no messages.
type StaticSplit struct {
	buckets []bucket
}

type bucket struct {
	limits  Limits
	level   float64
	updated time.Time
}

// NewStaticSplit divides limits among hosts.
func NewStaticSplit(hosts int, l Limits, now time.Time) *StaticSplit {
	share := Limits{Rate: l.Rate / float64(hosts), Burst: l.Burst / float64(hosts)}
	s := &StaticSplit{buckets: make([]bucket, hosts)}
	for i := range s.buckets {
		s.buckets[i] = bucket{limits: share, level: share.Burst, updated: now}
	}
	return s
}

// Take spends cost units at a host and reports whether the host had them.
func (s *StaticSplit) Take(host int, cost float64, now time.Time) bool {
	return s.buckets[host].take(cost, now)
}

func (b *bucket) take(cost float64, now time.Time) bool {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level = min(b.level+b.limits.Rate*elapsed.Seconds(), b.limits.Burst)
		b.updated = now
	}
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

// PerRequest is the baseline that calls one coordinator for every request. It
// rejects all requests while the coordinator is unreachable.
type PerRequest struct {
	bucket bucket
	// Down reports whether the coordinator is unreachable.
	Down func(now time.Time) bool
}

// NewPerRequest returns the baseline with a full bucket.
func NewPerRequest(l Limits, now time.Time, down func(time.Time) bool) *PerRequest {
	return &PerRequest{bucket: bucket{limits: l, level: l.Burst, updated: now}, Down: down}
}

// Take spends cost units and reports whether the coordinator granted them.
func (p *PerRequest) Take(cost float64, now time.Time) bool {
	return !p.Down(now) && p.bucket.take(cost, now)
}
