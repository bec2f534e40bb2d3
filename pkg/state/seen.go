package state

import (
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
)

// MaxIDSkew is the largest difference between the time in a record id and the
// log time of its entry. Records beyond the limit are void. The limit bounds
// how long record ids must be kept: an id is dropped once a further copy of its
// record would be void because of the limit.
const MaxIDSkew = 5 * time.Minute

// seenBucketMS is the length in milliseconds of the interval of log time whose
// record ids share a bucket. The ids of a bucket are dropped together.
const seenBucketMS = 60_000

// seenBucket holds the ids of records that were read within one interval of log
// time.
type seenBucket struct {
	StartMS int64       `json:"start_ms"`
	IDs     []ulid.ULID `json:"ids"`
}

// seenIDs detects duplicate record ids. Ids are only appended to a bucket, so
// that a snapshot can share the slices.
type seenIDs struct {
	buckets []seenBucket
	index   map[ulid.ULID]struct{}
}

func newSeenIDs(buckets []seenBucket) seenIDs {
	s := seenIDs{index: map[ulid.ULID]struct{}{}}
	for _, b := range buckets {
		s.buckets = append(s.buckets, b)
		for _, id := range b.IDs {
			s.index[id] = struct{}{}
		}
	}
	return s
}

// add records an id. It returns why the record is void, or nil.
func (s *seenIDs) add(text string, nowMS int64) *void {
	id, err := ulid.ParseStrict(text)
	if err != nil {
		return newVoid(ReasonMalformed, "record id is not a ULID")
	}
	skew := int64(id.Time()) - nowMS
	if skew > MaxIDSkew.Milliseconds() || skew < -MaxIDSkew.Milliseconds() {
		return newVoid(ReasonStaleID, "the time in the record id is too far from the log time")
	}
	if _, ok := s.index[id]; ok {
		return newVoid(ReasonDuplicate, "")
	}
	s.index[id] = struct{}{}
	start := nowMS - nowMS%seenBucketMS
	if n := len(s.buckets); n == 0 || s.buckets[n-1].StartMS != start {
		s.buckets = append(s.buckets, seenBucket{StartMS: start})
	}
	last := &s.buckets[len(s.buckets)-1]
	last.IDs = append(last.IDs, id)
	return nil
}

// removeExpired drops the ids of records whose copies would be void by age: the
// time in the id of a record read at time t is at most t+MaxIDSkew, so that its
// copies are void after t+2*MaxIDSkew.
func (s *seenIDs) removeExpired(nowMS int64) {
	for len(s.buckets) > 0 {
		end := s.buckets[0].StartMS + seenBucketMS
		if end+2*MaxIDSkew.Milliseconds() >= nowMS {
			return
		}
		for _, id := range s.buckets[0].IDs {
			delete(s.index, id)
		}
		s.buckets = slices.Clone(s.buckets[1:])
	}
}

// freeze returns a copy of the list of buckets that shares their ids.
func (s *seenIDs) freeze() []seenBucket { return slices.Clone(s.buckets) }
