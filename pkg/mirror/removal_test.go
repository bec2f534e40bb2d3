package mirror

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a server that stays in use at hosts that are behind, since a host that has
// just started passes its copy on without the removals before its snapshot.
func TestPeerOfATableWithoutOldRemovalsLearnsOfThem(t *testing.T) {
	behind, fresh := NewTable(nil), NewTable(nil)
	behind.Snapshot([]Record{{Key: "gone", Value: []byte("1"), Offset: 4}, {Key: "kept", Value: []byte("1"), Offset: 5}}, 6, now)
	fresh.Snapshot([]Record{{Key: "kept", Value: []byte("2"), Offset: 9}}, 10, now)
	changed := behind.Take(since(t, fresh, behind.End()), now)
	assert.Len(t, changed, 2)
	_, ok := behind.Get("gone")
	assert.False(t, ok)
	r, ok := behind.Get("kept")
	require.True(t, ok)
	assert.Equal(t, "2", string(r.Value))
}

// Guards against the same after the store has dropped its history and after old removals were
// dropped from the table.
func TestPeerThatIsFarBehindLearnsOfDroppedRemovals(t *testing.T) {
	drop := map[string]func(table *Table){
		"new snapshot": func(table *Table) {
			table.Snapshot([]Record{{Key: "kept", Value: []byte("2"), Offset: 9}}, 10, now)
		},
		"trim": func(table *Table) {
			table.Apply([]Record{{Key: "gone", Offset: 7}, {Key: "kept", Value: []byte("2"), Offset: 9}}, 10, now)
			table.Trim(now.Add(2 * removalTTL))
		},
	}
	for name, drop := range drop {
		t.Run(name, func(t *testing.T) {
			behind, table := NewTable(nil), NewTable(nil)
			behind.Snapshot([]Record{{Key: "gone", Value: []byte("1"), Offset: 4}, {Key: "kept", Value: []byte("1"), Offset: 5}}, 6, now)
			table.Snapshot([]Record{{Key: "kept", Value: []byte("1"), Offset: 2}}, 3, now)
			drop(table)
			behind.Take(since(t, table, behind.End()), now)
			_, ok := behind.Get("gone")
			assert.False(t, ok)
		})
	}
}

// Guards against a listing of several pages that passes for complete beyond its first page.
func TestRecordsOfLaterPagesDoNotMoveTheEnd(t *testing.T) {
	table := NewTable(nil)
	table.Snapshot([]Record{{Key: "a", Value: []byte("1"), Offset: 3}, {Key: "b", Value: []byte("1"), Offset: 12}}, 10, now)
	assert.LessOrEqual(t, table.SignificantEnd(), uint64(10))
	assert.LessOrEqual(t, since(t, table, 0).End, uint64(10))
	peer := NewTable(nil)
	peer.Take(since(t, table, 0), now)
	assert.LessOrEqual(t, peer.End(), uint64(10), "the peer reads on from there")
}

// Guards against a removed server that returns, since the reply of a peer that is behind
// arrives after the host's own snapshot, which has no record of the removal.
func TestLateReplyDoesNotReturnARemovedKey(t *testing.T) {
	behind, table := NewTable(nil), NewTable(nil)
	behind.Snapshot([]Record{{Key: "gone", Value: []byte("1"), Offset: 4}, {Key: "kept", Value: []byte("1"), Offset: 5}}, 6, now)
	reply := since(t, behind, 0)
	table.Snapshot([]Record{{Key: "kept", Value: []byte("2"), Offset: 9}}, 10, now)
	assert.Empty(t, table.Take(reply, now))
	_, ok := table.Get("gone")
	assert.False(t, ok)
}

// Guards against a removal just before a snapshot that its table does not announce.
func TestSnapshotAnnouncesItsEnd(t *testing.T) {
	table := NewTable(nil)
	table.Snapshot([]Record{{Key: "kept", Value: []byte("1"), Offset: 5}}, 10, now)
	assert.Equal(t, uint64(10), table.SignificantEnd())
}

// modelLog is a log of which readers see any prefix.
type modelLog struct{ records []Record }

// write appends a value of a key, or its removal.
func (l *modelLog) write(key string, value []byte) {
	l.records = append(l.records, Record{Key: key, Value: value, Offset: uint64(len(l.records))})
}

// newest returns the values of all keys before an offset.
func (l *modelLog) newest(end uint64) map[string]Record {
	state := map[string]Record{}
	for _, r := range l.records[:end] {
		delete(state, r.Key)
		if !r.Removed() {
			state[r.Key] = r
		}
	}
	return state
}

var keys = []string{"a", "b", "c"}

// listing returns the newest records of the keys in the log.
func (l *modelLog) listing() []Record {
	var records []Record
	newest := l.newest(uint64(len(l.records)))
	for _, key := range keys {
		if r, ok := newest[key]; ok {
			records = append(records, r)
		}
	}
	return records
}

// Whatever hosts read themselves and take from each other, a table has all changes before
// its end and before those of the tables that announce nothing newer.
func TestTablesMissNoChangeBeforeTheirEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &modelLog{}
		newTable := func() *Table {
			return NewTable(func(_ string, a, b []byte) bool { return a[0] == b[0] })
		}
		tables := []*Table{newTable(), newTable(), newTable()}
		clock := now
		var onTheWay []func()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(tables)-1).Draw(t, "table")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				value := []byte{byte(rapid.IntRange(1, 2).Draw(t, "value")), byte(len(log.records))}
				log.write(rapid.SampledFrom(keys).Draw(t, "key"), value)
			case 2:
				log.write(rapid.SampledFrom(keys).Draw(t, "key"), nil)
			case 3:
				// A reply of a peer is on its way.
				from, table, other := tables[i].End(), tables[i], tables[rapid.IntRange(0, len(tables)-1).Draw(t, "other")]
				if changes, complete := other.Since(from); complete && other != table {
					onTheWay = append(onTheWay, func() { table.Take(changes, clock) })
				}
			case 4:
				// A response of the store to a read is on its way.
				if table := tables[i]; table.Complete() {
					records, end := log.records[table.End():], uint64(len(log.records))
					onTheWay = append(onTheWay, func() { table.Apply(records, end, clock) })
				}
			case 5:
				// A listing of the store is on its way.
				if rapid.Bool().Draw(t, "restart") {
					tables[i] = newTable()
				}
				table, records, end := tables[i], log.listing(), uint64(len(log.records))
				onTheWay = append(onTheWay, func() { table.Snapshot(records, end, clock) })
			case 6, 7:
				if len(onTheWay) > 0 {
					n := rapid.IntRange(0, len(onTheWay)-1).Draw(t, "arrives")
					onTheWay[n]()
					onTheWay = slices.Delete(onTheWay, n, n+1)
				}
			case 8:
				clock = clock.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "minutes")) * time.Minute)
				tables[i].Trim(clock)
			}
			for _, table := range tables {
				if !table.Complete() {
					continue
				}
				requireAllBefore(t, table, log, table.End())
				for _, other := range tables {
					if other.Complete() && table.End() >= other.SignificantEnd() {
						// A host then counts its table as up to date as of the other's.
						requireAllBefore(t, table, log, max(table.End(), other.End()))
					}
				}
			}
		}
	})
}

// requireAllBefore checks that a table has the state of the log before an offset, but for
// changes that are not significant and for newer records.
func requireAllBefore(t *rapid.T, table *Table, log *modelLog, end uint64) {
	for key, want := range log.newest(end) {
		r, known := table.Newest(key)
		switch {
		case !known:
			t.Fatalf("key %s is missing before %d", key, end)
		case r.Offset < end && (r.Removed() || r.Value[0] != want.Value[0]):
			t.Fatalf("key %s has %v, want %v", key, r, want)
		}
	}
	for _, key := range keys {
		r, ok := table.Get(key)
		if _, exists := log.newest(end)[key]; ok && r.Offset < end && !exists {
			t.Fatalf("key %s was removed before %d", key, end)
		}
	}
}
