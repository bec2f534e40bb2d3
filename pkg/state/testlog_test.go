package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// applied is a record with its result.
type applied struct {
	record logrec.Record
	result Result
}

// testLog appends records to a log, applies them to tables and keeps the log
// and the results.
type testLog struct {
	t       require.TestingT
	tables  *Tables
	log     []platform.LogEntry
	history []applied
	nowMS   int64
	serial  uint64
}

func newTestLog(t require.TestingT) *testLog {
	return &testLog{t: t, tables: New(Options{}), nowMS: 1_700_000_000_000}
}

// withHandler replaces the handler for one kind of record, to show that a check
// detects a faulty handler.
func (s *testLog) withHandler(kind logrec.Kind, h handler) *testLog {
	s.tables.handlers = maps.Clone(s.tables.handlers)
	s.tables.handlers[kind] = h
	return s
}

func (s *testLog) record(host model.HostID, kind logrec.Kind, body any) logrec.Record {
	r, err := logrec.New(kind, body)
	require.NoError(s.t, err)
	s.serial++
	var id ulid.ULID
	require.NoError(s.t, id.SetTime(uint64(s.nowMS)))
	require.NoError(s.t, id.SetEntropy([]byte(fmt.Sprintf("%010d", s.serial))))
	r.ID, r.Host, r.Incarnation = id.String(), host, model.Incarnation("inc-"+host)
	return r
}

// recordAsHolder builds a record with the fencing token of the claim in force.
func (s *testLog) recordAsHolder(host model.HostID, shard model.ShardName, kind logrec.Kind, body any) logrec.Record {
	r := s.record(host, kind, body)
	current, _ := s.tables.shards.get(string(shard))
	r.Shard, r.Fence = shard, current.Fence
	return r
}

// appendEntry appends the records as one entry and returns the last result.
func (s *testLog) appendEntry(records ...logrec.Record) Result {
	data, err := logrec.Encode(records)
	require.NoError(s.t, err)
	s.nowMS++
	entry := platform.LogEntry{Offset: s.tables.Offset() + 1, TimeMS: s.nowMS, Data: data}
	s.log = append(s.log, entry)
	results := s.tables.Apply(entry.Offset, entry)
	require.Len(s.t, results, len(records))
	for i := range records {
		s.history = append(s.history, applied{record: records[i], result: results[i]})
	}
	return results[len(results)-1]
}

func (s *testLog) join(host model.HostID) Result {
	return s.appendEntry(s.record(host, logrec.KindJoin, logrec.Join{Region: "r"}))
}

func (s *testLog) change(operator string, changes ...logrec.Change) Result {
	return s.appendEntry(s.record("h1", logrec.KindConfig, logrec.ConfigChange{Operator: operator, Changes: changes}))
}

func set(entity logrec.EntityKind, id string, expect model.Offset, value any) logrec.Change {
	data, _ := json.Marshal(value)
	return logrec.Change{Entity: entity, ID: id, Expect: expect, Value: data}
}

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func encoded(t require.TestingT, tables *Tables) string {
	data, err := tables.Snapshot().Encode()
	require.NoError(t, err)
	return string(data)
}

var (
	hostGen  = rapid.SampledFrom([]model.HostID{"h1", "h2", "h3"})
	shardGen = rapid.SampledFrom([]model.ShardName{"fleet/r", "usage/0", "usage/1", "checkpoint", "org/3"})
	idGen    = rapid.SampledFrom([]string{"a", "b", "c"})
)

// appendRandom appends a random record, often a valid one.
func (s *testLog) appendRandom(t *rapid.T) {
	host := hostGen.Draw(t, "host")
	shard := shardGen.Draw(t, "shard")
	id := idGen.Draw(t, "id")
	current, _ := s.tables.shards.get(string(shard))
	if current.Host != "" && rapid.IntRange(0, 3).Draw(t, "holder") > 0 {
		host = current.Host
	}
	switch rapid.IntRange(0, 14).Draw(t, "kind") {
	case 0, 1:
		s.join(host)
	case 2:
		other := hostGen.Draw(t, "leaver")
		s.appendEntry(s.record(host, logrec.KindLeave, logrec.Leave{Host: other, Incarnation: model.Incarnation("inc-" + other)}))
	case 3, 4:
		supersedes := current.Fence
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			supersedes = model.Offset(rapid.Uint64Range(0, uint64(s.tables.Offset())).Draw(t, "supersedes"))
		}
		s.appendEntry(s.record(host, logrec.KindClaim, logrec.Claim{Shard: shard, Supersedes: supersedes}))
	case 5:
		s.appendEntry(s.recordAsHolder(host, shard, logrec.KindRelease, logrec.Release{}))
	case 6:
		s.randomConfig(t, id)
	case 7:
		order, _ := json.Marshal(engine.Order{Kind: engine.OrderSetRole})
		s.appendEntry(s.recordAsHolder(host, "fleet/r", logrec.KindIntent, logrec.Intent{OrderID: fmt.Sprint("o", s.serial), Backend: model.BackendID(id), Order: order}))
	case 8:
		for _, i := range s.tables.Snapshot().OpenIntents() {
			result := rapid.SampledFrom([]logrec.OrderResult{logrec.ResultDone, logrec.ResultUnknown}).Draw(t, "result")
			s.appendEntry(s.recordAsHolder(host, "fleet/r", logrec.KindOutcome, logrec.Outcome{OrderID: i.OrderID, Result: result}))
		}
	case 9, 10:
		s.randomBatch(t, host)
	case 11:
		s.appendEntry(s.recordAsHolder(host, shard, logrec.KindUsageSeal, logrec.UsageSeal{WindowStartMS: s.nowMS}))
		for _, w := range s.tables.Snapshot().Unreported() {
			if rapid.Bool().Draw(t, "report") {
				s.appendEntry(s.record(host, logrec.KindUsageReported, logrec.UsageReported{ReportID: w.ReportID}))
			}
		}
	case 12:
		request := model.RequestID(fmt.Sprint("q", s.serial))
		s.appendEntry(s.record(host, logrec.KindIdempotencyClaim, logrec.IdempotencyClaim{Organisation: "o", Key: id, RequestID: request}),
			s.record(host, logrec.KindIdempotencyOutcome, logrec.IdempotencyOutcome{Organisation: "o", Key: id, RequestID: request, Body: []byte(id)}))
	case 13:
		s.appendEntry(s.record(host, logrec.KindCrash, logrec.Crash{Digest: id, RequestID: model.RequestID(fmt.Sprint(s.serial))}))
	case 14:
		s.nowMS += rapid.SampledFrom([]int64{1, 60_000, 11 * 60_000, 25 * 3_600_000}).Draw(t, "pass")
		if n := len(s.history); n > 0 {
			s.appendEntry(s.history[rapid.IntRange(max(0, n-8), n-1).Draw(t, "repeat")].record)
		}
	}
}

func (s *testLog) randomConfig(t *rapid.T, id string) {
	expect := func(version model.Offset) model.Offset {
		return rapid.SampledFrom([]model.Offset{version, version, version, 0, logrec.AnyVersion, 1}).Draw(t, "expect")
	}
	org, _ := s.tables.organisations.get(id)
	key, _ := s.tables.keys.get(id)
	changes := []logrec.Change{set(logrec.EntityOrganisation, id, expect(org.Version), model.Organisation{ID: model.OrganisationID(id), Rate: float64(s.serial)})}
	if rapid.Bool().Draw(t, "key") {
		owner := model.OrganisationID(idGen.Draw(t, "owner"))
		changes = append(changes, set(logrec.EntityKey, id, expect(key.Version), model.Key{ID: model.KeyID(id), Organisation: owner, Digest: digestOf(id)}))
	}
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		changes[0].Delete, changes[0].Value = true, nil
	}
	s.change(fmt.Sprint("operator ", s.serial), changes...)
}

func (s *testLog) randomBatch(t *rapid.T, host model.HostID) {
	last, _ := s.tables.usage.sequences.get(sequenceKey(host, model.Incarnation("inc-"+host)))
	sequence := last.Last + uint64(rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "step"))
	line := logrec.UsageLine{Organisation: model.OrganisationID(idGen.Draw(t, "org")), Pool: "p", Requests: 1, OutputTokens: int64(s.serial)}
	s.appendEntry(s.record(host, logrec.KindUsageBatch, logrec.UsageBatch{Sequence: sequence, Lines: []logrec.UsageLine{line}}))
}

// appendRandomRecords appends a random number of random records to a prepared
// log.
func appendRandomRecords(t *rapid.T, s *testLog) *testLog {
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		s.appendRandom(t)
	}
	return s
}

// requireDetects runs a check on a faulty variant and fails the test if no run
// returns an error.
func requireDetects(t *testing.T, check func(t *rapid.T) error) {
	t.Helper()
	failed := false
	rapid.Check(t, func(t *rapid.T) {
		if !failed && check(t) != nil {
			failed = true
		}
	})
	require.True(t, failed, "the check passed in all runs of the faulty variant")
}

func timeAt(ms int64) time.Time { return time.UnixMilli(ms) }
