package mirror

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/logpos"
)

// at returns the position of an offset in an era.
func at(era, offset uint64) uint64 {
	p, err := logpos.New(era, offset)
	if err != nil {
		panic(err)
	}
	return p
}

// newVersionedTable returns a table whose higher values outrank lower ones; those with a
// leading v also outrank a removal.
func newVersionedTable() *Table {
	table := NewTable(nil)
	table.KeepOutranking(func(_ string, known, other []byte) bool {
		return string(known) > string(other) && (len(other) > 0 || strings.HasPrefix(string(known), "v"))
	})
	return table
}

func record(key, value string, offset uint64) Record {
	return Record{Key: key, Value: []byte(value), Offset: offset}
}

func value(t *testing.T, table *Table, key string) string {
	t.Helper()
	r, _ := table.Get(key)
	return string(r.Value)
}

// Guards against a table that ignores a restored store because its offsets are lower, and
// against a value that goes back to an older one.
func TestListingOfANewEraReplacesTheTableExceptWhatOutranksIt(t *testing.T) {
	table := newVersionedTable()
	table.Snapshot([]Record{record("config", "v7", 90), record("lost", "1", 80), record("same", "1", 20)}, 100, now)
	changed := table.Snapshot([]Record{record("config", "v5", at(1, 40)), record("same", "1", at(1, 20)), record("returned", "1", at(1, 30))}, at(1, 50), now)
	assert.Equal(t, "v7", value(t, table, "config"))
	assert.Equal(t, "1", value(t, table, "same"))
	assert.Equal(t, "1", value(t, table, "returned"))
	_, ok := table.Get("lost")
	assert.False(t, ok)
	assert.Equal(t, at(1, 50), table.End())
	for _, r := range changed {
		if r.Key == "config" {
			assert.Equal(t, "v7", string(r.Value), "what is passed on is what the table has")
		}
	}
	// The operator writes what the store has lost again, and then goes on.
	table.Apply([]Record{record("config", "v6", at(1, 50)), record("config", "v7", at(1, 51))}, at(1, 52), now)
	assert.Equal(t, "v7", value(t, table, "config"))
	table.Apply([]Record{record("config", "v8", at(1, 52))}, at(1, 53), now)
	assert.Equal(t, "v8", value(t, table, "config"))
	// A second restore goes back further; the configuration is lost altogether.
	table.Snapshot(nil, at(2, 10), now)
	assert.Equal(t, "v8", value(t, table, "config"))
	assert.Empty(t, value(t, table, "same"))
}

// Guards against changes before the first restore, where the newest record counts whatever its
// value.
func TestValuesAreNotRankedInEraZero(t *testing.T) {
	table := newVersionedTable()
	table.Snapshot([]Record{record("config", "v7", 4)}, 5, now)
	table.Apply([]Record{record("config", "v3", 5)}, 6, now)
	assert.Equal(t, "v3", value(t, table, "config"))
	table.Snapshot(nil, 9, now)
	assert.Empty(t, value(t, table, "config"))
}

// Guards against copies of an older era that pass for newer ones: a peer that is behind takes
// over the new era, and one that is ahead takes nothing back.
func TestPeersTakeOverTheNewEra(t *testing.T) {
	behind, ahead := newVersionedTable(), newVersionedTable()
	before := []Record{record("config", "v7", 90), record("lost", "1", 80)}
	behind.Snapshot(before, 100, now)
	ahead.Snapshot(before, 100, now)
	ahead.Snapshot([]Record{record("config", "v5", at(1, 40))}, at(1, 50), now)
	assert.False(t, behind.ConfirmUpToDate(ahead.Status().SignificantEnd, now))
	assert.True(t, ahead.ConfirmUpToDate(behind.Status().SignificantEnd, now))

	ahead.Take(since(t, behind, 0), now)
	_, ok := ahead.Get("lost")
	assert.False(t, ok, "a copy of an older era returns nothing")
	behind.Take(since(t, ahead, behind.End()), now)
	assert.Equal(t, at(1, 50), behind.End())
	assert.Equal(t, "v7", value(t, behind, "config"))
	_, ok = behind.Get("lost")
	assert.False(t, ok)
}

// Guards against a host that starts after the restore and stays with the configuration of the
// older copy, whose end is that of its peers' copies.
func TestHostThatStartsAfterTheRestoreTakesOverWhatOutranksItsListing(t *testing.T) {
	listing := []Record{record("config", "v5", at(1, 40))}
	running, fresh := newVersionedTable(), newVersionedTable()
	running.Snapshot([]Record{record("config", "v7", 90)}, 100, now)
	running.Snapshot(listing, at(1, 50), now)
	fresh.applyListing(listing, at(1, 50), now, now)
	require.True(t, fresh.WantsMerge("running"))
	changed := fresh.Take(since(t, running, 0), now)
	fresh.Merged("running")
	assert.Equal(t, "v7", value(t, fresh, "config"))
	assert.Len(t, changed, 1)
	assert.False(t, fresh.WantsMerge("running"))
	assert.True(t, fresh.WantsMerge("another"))
	fresh.Merged("another")
	assert.False(t, fresh.WantsMerge("third"))

	// A host that ran had not learned of the newest version when it was lost.
	behind := newVersionedTable()
	behind.Snapshot([]Record{record("config", "v6", 80)}, 90, now)
	require.False(t, behind.WantsMerge("running"))
	behind.applyListing(listing, at(1, 50), now, now)
	require.True(t, behind.WantsMerge("running"))
	assert.Equal(t, "v6", value(t, behind, "config"))
	behind.Take(since(t, running, 0), now)
	assert.Equal(t, "v7", value(t, behind, "config"))

	// A copy that still is of the earlier era has the value as well.
	late, old := newVersionedTable(), newVersionedTable()
	old.Snapshot([]Record{record("config", "v7", 90), record("lost", "1", 80)}, 100, now)
	late.applyListing(listing, at(1, 50), now, now)
	late.Take(since(t, old, 0), now)
	assert.Equal(t, "v7", value(t, late, "config"))
	_, ok := late.Get("lost")
	assert.False(t, ok)
}

// restoredStore is a store that answers reads of the first era with ErrDropped.
type restoredStore struct{ reads, listings int }

func (s *restoredStore) Newest(context.Context, string) ([]Record, uint64, error) {
	s.listings++
	return []Record{record("config", "v5", at(1, 4))}, at(1, 6), nil
}

func (s *restoredStore) Read(_ context.Context, _ string, from uint64, _ time.Duration) (Page, error) {
	s.reads++
	if logpos.Era(from) == 0 {
		return Page{}, ErrDropped
	}
	return Page{Next: from, End: from}, nil
}

// Guards against a follower that goes on reading from an offset of the earlier era.
func TestFollowerListsARestoredStore(t *testing.T) {
	store, table := &restoredStore{}, newVersionedTable()
	table.Snapshot([]Record{record("config", "v7", 9)}, 10, now)
	f := &Follower{Table: table, Store: store, Log: zap.NewNop()}
	require.NoError(t, f.readOnce(t.Context()))
	require.NoError(t, f.readOnce(t.Context()))
	assert.Equal(t, 2, store.reads)
	assert.Equal(t, 1, store.listings)
	assert.Equal(t, uint64(1), table.Era())
	assert.Equal(t, "v7", value(t, table, "config"))
}
