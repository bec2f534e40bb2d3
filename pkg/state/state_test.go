package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// checkAuthority checks the history: each applied claim supersedes the claim in
// force, and applied releases, intents and usage seals come from the holder.
func checkAuthority(s *testLog) error {
	type claim struct {
		offset model.Offset
		host   model.HostID
	}
	last := map[model.ShardName]claim{}
	for _, a := range s.history {
		if !a.result.Applied {
			continue
		}
		switch a.record.Kind {
		case logrec.KindClaim:
			body, err := logrec.DecodeBody[logrec.Claim](&a.record)
			if err != nil {
				return err
			}
			if body.Supersedes != last[body.Shard].offset {
				return fmt.Errorf("claim at %d of %s supersedes %d, in force is %d", a.result.Offset, body.Shard, body.Supersedes, last[body.Shard].offset)
			}
			last[body.Shard] = claim{offset: a.result.Offset, host: a.record.Host}
		case logrec.KindRelease, logrec.KindIntent, logrec.KindUsageSeal:
			if now := last[a.record.Shard]; now.offset != a.record.Fence || now.host != a.record.Host {
				return fmt.Errorf("%s at %d by %s under %d, in force is %v", a.record.Kind, a.result.Offset, a.record.Host, a.record.Fence, now)
			}
		}
	}
	return nil
}

// Guards against two holders of one shard.
func TestClaimsFollowLogOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, checkAuthority(appendRandomRecords(t, newTestLog(t))))
	})
}

func TestClaimCheckNoticesMissingSupersedesCheck(t *testing.T) {
	faulty := typedHandler(func(t *Tables, r *logrec.Record, body *logrec.Claim, at position) *void {
		current, _ := t.shards.get(string(body.Shard))
		body.Supersedes = current.Fence
		return t.applyClaim(r, body, at)
	})
	requireDetects(t, func(t *rapid.T) error {
		return checkAuthority(appendRandomRecords(t, newTestLog(t).withHandler(logrec.KindClaim, faulty)))
	})
}

func TestAuthorityCheckNoticesMissingHolderCheck(t *testing.T) {
	faulty := typedHandler(func(t *Tables, r *logrec.Record, _ *logrec.Release, _ position) *void { return nil })
	requireDetects(t, func(t *rapid.T) error {
		return checkAuthority(appendRandomRecords(t, newTestLog(t).withHandler(logrec.KindRelease, faulty)))
	})
}

// checkConfig checks against a model of versions that a change set conflicts
// exactly when one of its versions differs, that it is applied as a whole, and
// that the references of applied sets exist.
func checkConfig(s *testLog) error {
	type entity struct {
		kind logrec.EntityKind
		id   string
	}
	versions := map[entity]model.Offset{}
	owners := map[string]string{}
	for _, a := range s.history {
		if a.record.Kind != logrec.KindConfig || a.result.Reason == ReasonDuplicate || a.result.Reason == ReasonStaleID {
			continue
		}
		body, err := logrec.DecodeBody[logrec.ConfigChange](&a.record)
		if err != nil {
			return err
		}
		conflict := false
		for _, c := range body.Changes {
			if c.Expect != logrec.AnyVersion && c.Expect != versions[entity{c.Entity, c.ID}] {
				conflict = true
			}
		}
		if conflict && a.result.Applied {
			return fmt.Errorf("change set at %d was applied over a conflict", a.result.Offset)
		}
		if !conflict && a.result.Reason == ReasonConflict {
			return fmt.Errorf("change set at %d: conflict although all versions match", a.result.Offset)
		}
		if !a.result.Applied {
			continue
		}
		for _, c := range body.Changes {
			versions[entity{c.Entity, c.ID}] = a.result.Offset
			if c.Delete {
				delete(versions, entity{c.Entity, c.ID})
			}
			if c.Entity == logrec.EntityKey {
				var k model.Key
				if err := json.Unmarshal(c.Value, &k); err != nil {
					return err
				}
				owners[c.ID] = string(k.Organisation)
			}
		}
		for key, owner := range owners {
			if versions[entity{logrec.EntityOrganisation, owner}] == 0 {
				return fmt.Errorf("key %s belongs to %s, which does not exist", key, owner)
			}
		}
	}
	for _, o := range s.tables.Snapshot().Organisations() {
		_, version, _ := s.tables.Snapshot().Organisation(o.ID)
		if version != versions[entity{logrec.EntityOrganisation, string(o.ID)}] {
			return fmt.Errorf("organisation %s has version %d", o.ID, version)
		}
	}
	return nil
}

// Guards against lost updates, half applied change sets and dangling references.
func TestConfigChangesAreOrderedAndAtomic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestLog(t)
		for range 30 {
			s.randomConfig(t, idGen.Draw(t, "id"))
		}
		require.NoError(t, checkConfig(s))
	})
}

func TestConfigCheckNoticesMissingVersionCheck(t *testing.T) {
	faulty := typedHandler(func(t *Tables, r *logrec.Record, body *logrec.ConfigChange, at position) *void {
		for i := range body.Changes {
			body.Changes[i].Expect = logrec.AnyVersion
		}
		return t.applyConfig(r, body, at)
	})
	requireDetects(t, func(t *rapid.T) error {
		s := newTestLog(t).withHandler(logrec.KindConfig, faulty)
		for range 30 {
			s.randomConfig(t, idGen.Draw(t, "id"))
		}
		return checkConfig(s)
	})
}

// Guards against a conflict that does not show the operator which change won.
func TestConflictNamesWinner(t *testing.T) {
	s := newTestLog(t)
	first := s.change("ana", set(logrec.EntityOrganisation, "o", 0, model.Organisation{ID: "o", Rate: 1}))
	require.True(t, first.Applied)
	s.change("ben", set(logrec.EntityOrganisation, "o", first.Offset, model.Organisation{ID: "o", Rate: 2}))
	s.tables.SetOwner("h1", "inc-h1")
	lost := s.change("cyd", set(logrec.EntityOrganisation, "o", first.Offset, model.Organisation{ID: "o", Rate: 3}))
	require.Equal(t, ReasonConflict, lost.Reason)
	require.Equal(t, "ben", lost.Winner.Operator)
	require.Contains(t, string(lost.Winner.Change.Value), `"rate":2`)
	kept, ok := s.tables.Result(lost.RecordID)
	require.True(t, ok)
	require.Equal(t, lost, kept)

	_, version, _ := s.tables.Snapshot().Organisation("o")
	s.change("dan", logrec.Change{Entity: logrec.EntityOrganisation, ID: "o", Expect: version, Delete: true})
	lost = s.change("eve", set(logrec.EntityOrganisation, "o", version, model.Organisation{ID: "o"}))
	require.Equal(t, "dan", lost.Winner.Operator)
	require.True(t, lost.Winner.Change.Delete)
}

// checkUsage checks that each numbered batch is counted once, in one window.
func checkUsage(s *testLog) error {
	type batch struct {
		host     model.HostID
		sequence uint64
	}
	counted := map[batch]bool{}
	var want, got int64
	for _, a := range s.history {
		if a.record.Kind != logrec.KindUsageBatch || !a.result.Applied {
			continue
		}
		body, err := logrec.DecodeBody[logrec.UsageBatch](&a.record)
		if err != nil {
			return err
		}
		if counted[batch{a.record.Host, body.Sequence}] {
			return fmt.Errorf("batch %d of %s counts twice", body.Sequence, a.record.Host)
		}
		counted[batch{a.record.Host, body.Sequence}] = true
		want += body.Lines[0].Requests
	}
	view := s.tables.Snapshot()
	for n := range uint64(UsageShardCount) {
		for _, l := range view.OpenUsage(numberedShard(usagePrefix, n)) {
			got += l.Requests
		}
	}
	for _, w := range view.Unreported() {
		for _, l := range w.Lines {
			got += l.Requests
		}
	}
	if got != want {
		return fmt.Errorf("the windows hold %d requests, the batches %d", got, want)
	}
	return nil
}

func appendRandomUsage(t *rapid.T, s *testLog) *testLog {
	for _, h := range []model.HostID{"h1", "h2"} {
		s.join(h)
	}
	for n := range uint64(UsageShardCount) {
		s.appendEntry(s.record("h1", logrec.KindClaim, logrec.Claim{Shard: numberedShard(usagePrefix, n)}))
	}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			s.appendEntry(s.recordAsHolder("h1", numberedShard(usagePrefix, rapid.Uint64Range(0, UsageShardCount-1).Draw(t, "shard")), logrec.KindUsageSeal, logrec.UsageSeal{WindowStartMS: s.nowMS}))
		case 1:
			s.appendEntry(s.history[len(s.history)-1].record)
		default:
			s.randomBatch(t, hostGen.Draw(t, "host"))
		}
	}
	return s
}

// Guards against usage that is counted twice or lost between windows.
func TestUsageCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, checkUsage(appendRandomUsage(t, newTestLog(t)))) })
}

func TestUsageCheckNoticesMissingSequenceCheck(t *testing.T) {
	faulty := typedHandler(func(t *Tables, _ *logrec.Record, body *logrec.UsageBatch, _ position) *void {
		t.addUsage(body.Lines[0])
		return nil
	})
	requireDetects(t, func(t *rapid.T) error {
		return checkUsage(appendRandomUsage(t, newTestLog(t).withHandler(logrec.KindUsageBatch, faulty)))
	})
}

// checkCheckpoint restores a checkpoint of a random offset from the lines that
// keep accepts, replays the rest of the log and compares the tables with those
// of a full replay.
func checkCheckpoint(t *rapid.T, keep func(line string) bool) error {
	s := appendRandomRecords(t, newTestLog(t))
	cut := rapid.IntRange(0, len(s.log)).Draw(t, "cut")
	early := New(Options{})
	for _, e := range s.log[:cut] {
		early.Apply(e.Offset, e)
	}
	var data []byte
	for line := range strings.Lines(encoded(t, early)) {
		if keep(line) {
			data = append(data, line...)
		}
	}
	restored, err := Restore(Options{}, data)
	require.NoError(t, err)
	for _, e := range s.log[cut:] {
		restored.Apply(e.Offset, e)
	}
	if encoded(t, restored) != encoded(t, s.tables) {
		return fmt.Errorf("tables differ after a checkpoint at offset %d of %d", cut, len(s.log))
	}
	return nil
}

// Guards against tables that differ between hosts because one started from a
// checkpoint.
func TestReplayFromCheckpointEqualsReplayFromZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, checkCheckpoint(t, func(string) bool { return true })) })
}

func TestCheckpointCheckNoticesMissingRecordIDs(t *testing.T) {
	requireDetects(t, func(t *rapid.T) error {
		return checkCheckpoint(t, func(line string) bool { return !strings.HasPrefix(line, `{"t":"seen"`) })
	})
}

// Guards against snapshots that change after they were published.
func TestSnapshotsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := appendRandomRecords(t, newTestLog(t))
		view := s.tables.Snapshot()
		before, err := view.Encode()
		require.NoError(t, err)
		appendRandomRecords(t, s)
		after, err := view.Encode()
		require.NoError(t, err)
		require.Equal(t, string(before), string(after))
	})
}

// Guards against a malformed entry that stops a host, or after which restored
// tables differ from the original ones.
func FuzzApply(f *testing.F) {
	s := newTestLog(f)
	s.join("h1")
	s.appendEntry(s.record("h1", logrec.KindClaim, logrec.Claim{Shard: "usage/0"}))
	s.change("ana", set(logrec.EntityOrganisation, "o", 0, model.Organisation{ID: "o"}))
	for _, e := range s.log {
		f.Add(e.Data, e.TimeMS)
	}
	f.Add([]byte(`[{"v":2,"id":"x","kind":"join"},{"v":1,"id":"x","kind":"none"},7]`), int64(0))
	f.Fuzz(func(t *testing.T, data []byte, ms int64) {
		tables := New(Options{})
		for _, e := range s.log {
			tables.Apply(e.Offset, e)
		}
		offset := tables.Offset() + 1
		tables.Apply(offset, platform.LogEntry{Offset: offset, TimeMS: ms, Data: data})
		restored, err := Restore(Options{}, []byte(encoded(t, tables)))
		require.NoError(t, err)
		require.Equal(t, encoded(t, tables), encoded(t, restored))
	})
}

// Guards against expiry that depends on anything but log time.
func TestExpiry(t *testing.T) {
	s := newTestLog(t)
	claim := func() Result {
		return s.appendEntry(s.record("h1", logrec.KindIdempotencyClaim, logrec.IdempotencyClaim{Organisation: "o", Key: "k", RequestID: "q"}))
	}
	crash := func(q model.RequestID) {
		s.appendEntry(s.record("h1", logrec.KindCrash, logrec.Crash{Digest: "d", RequestID: q}))
	}
	require.True(t, claim().Applied)
	require.Equal(t, ReasonClaimed, claim().Reason)
	crash("q1")
	crash("q2")
	require.Equal(t, 2, s.tables.Snapshot().Crashes("d", timeAt(s.nowMS)))
	require.Zero(t, s.tables.Snapshot().Crashes("d", timeAt(s.nowMS).Add(DefaultCrashTTL)))
	s.nowMS += DefaultIdempotencyTTL.Milliseconds() + 1
	require.True(t, claim().Applied)
	require.Zero(t, s.tables.crashes.txn.Commit().Len())
}

// Guards against routes that match within a path segment.
func TestMatchRoute(t *testing.T) {
	s := newTestLog(t)
	for _, prefix := range []string{"/", "/v1", "/v1/orders/"} {
		r := s.change("ana", set(logrec.EntityRoute, prefix, 0, model.Route{ID: model.RouteID(prefix), PathPrefix: prefix, Kind: model.RouteModel}))
		require.True(t, r.Applied, r.Detail)
	}
	for path, want := range map[string]model.RouteID{"/v1": "/v1", "/v1/x": "/v1", "/v10": "/", "/v1/orders/7": "/v1/orders/", "/v1/orders": "/v1"} {
		r, ok := s.tables.Snapshot().MatchRoute(path)
		require.True(t, ok, path)
		require.Equal(t, want, r.ID, path)
	}
}

// Guards against a key that stays blocked although its call is known not to
// have run, and against one that is freed after a call that may have run.
func TestIdempotencyKeyIsFreeAfterNotRun(t *testing.T) {
	for ran, free := range map[model.Ran]bool{model.NotRun: true, model.WasRun: false, model.RanUnknown: false} {
		s := newTestLog(t)
		claim := func(request model.RequestID) Result {
			return s.appendEntry(s.record("h1", logrec.KindIdempotencyClaim, logrec.IdempotencyClaim{Organisation: "o", Key: "k", RequestID: request}))
		}
		require.True(t, claim("first").Applied)
		s.appendEntry(s.record("h1", logrec.KindIdempotencyOutcome, logrec.IdempotencyOutcome{Organisation: "o", Key: "k", RequestID: "first", Ran: ran}))
		require.Equal(t, free, claim("second").Applied, ran)
	}
}
