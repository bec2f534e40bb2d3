package state

import (
	"cmp"
	"slices"
	"time"
)

// expiryItem refers to a table entry that may expire a fixed time after timeMS.
type expiryItem struct {
	timeMS int64
	key    string
}

// expiryQueue holds items in log time order.
type expiryQueue struct {
	items []expiryItem
	// head is the index of the first item that has not expired.
	head int
}

func (q *expiryQueue) push(timeMS int64, key string) {
	q.items = append(q.items, expiryItem{timeMS: timeMS, key: key})
}

// popExpired removes all items older than ttl and passes them to expired.
func (q *expiryQueue) popExpired(nowMS int64, ttl time.Duration, expired func(expiryItem)) {
	for q.head < len(q.items) && q.items[q.head].timeMS+ttl.Milliseconds() <= nowMS {
		expired(q.items[q.head])
		q.items[q.head] = expiryItem{}
		q.head++
	}
	// Compacting only when over half of the slice is unused makes its cost per
	// push constant on average.
	if q.head > 64 && q.head*2 > len(q.items) {
		q.items = slices.Clone(q.items[q.head:])
		q.head = 0
	}
}

func (q *expiryQueue) sort() {
	slices.SortStableFunc(q.items, func(a, b expiryItem) int { return cmp.Compare(a.timeMS, b.timeMS) })
}

// expiryQueues order the table entries that expire. They are derived from the
// tables and are rebuilt when a checkpoint is restored.
type expiryQueues struct {
	idempotency expiryQueue
	crashes     expiryQueue
	failures    expiryQueue
	departures  expiryQueue
	deletions   expiryQueue
	batches     expiryQueue
}

// expire removes entries that are too old at the current log time. If an entry was
// rewritten after its item was queued, the item has no effect: the rewrite has
// queued a newer item.
func (t *Tables) expire() {
	now := t.timeMS
	t.seen.removeExpired(now)
	t.expiry.idempotency.popExpired(now, t.options.IdempotencyTTL, func(i expiryItem) {
		if e, ok := t.idempotency.get(i.key); ok && e.ClaimedAt.UnixMilli() == i.timeMS {
			t.idempotency.delete(i.key)
		}
	})
	t.expiry.crashes.popExpired(now, t.options.CrashTTL, t.expireCrash)
	t.expiry.failures.popExpired(now, FailedMemberTTL, func(i expiryItem) {
		if f, ok := t.failed.get(i.key); ok && f.FailedMS == i.timeMS {
			t.failed.delete(i.key)
		}
	})
	t.expiry.departures.popExpired(now, departedTTL, func(i expiryItem) {
		if row, ok := t.incarnations.get(i.key); ok && row.DepartedMS == i.timeMS {
			t.incarnations.delete(i.key)
		}
	})
	t.expiry.deletions.popExpired(now, departedTTL, func(i expiryItem) {
		if d, ok := t.deleted.get(i.key); ok && d.TimeMS == i.timeMS {
			t.deleted.delete(i.key)
		}
	})
	t.expiry.batches.popExpired(now, departedTTL, t.expireSequence)
}

// rebuildExpiry fills the queues from the restored tables.
func (t *Tables) rebuildExpiry() {
	q := &expiryQueues{}
	forEach(t.idempotency.freeze(), func(k string, e IdempotencyEntry) { q.idempotency.push(e.ClaimedAt.UnixMilli(), k) })
	forEach(t.crashes.freeze(), func(k string, r crashRow) {
		for _, c := range r.Crashes {
			q.crashes.push(c.TimeMS, k)
		}
	})
	forEach(t.failed.freeze(), func(k string, f FailedMember) { q.failures.push(f.FailedMS, k) })
	forEach(t.incarnations.freeze(), func(k string, r incarnationRow) {
		if r.DepartedMS != 0 {
			q.departures.push(r.DepartedMS, k)
		}
	})
	forEach(t.deleted.freeze(), func(k string, d deletedRow) { q.deletions.push(d.TimeMS, k) })
	forEach(t.usage.sequences.freeze(), func(k string, s sequenceRow) { q.batches.push(s.CheckMS, k) })
	for _, queue := range []*expiryQueue{&q.idempotency, &q.crashes, &q.failures, &q.departures, &q.deletions, &q.batches} {
		queue.sort()
	}
	t.expiry = *q
}
