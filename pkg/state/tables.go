package state

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Retention times, in log time. The first two are defaults of Options.
const (
	// DefaultIdempotencyTTL is how long idempotency keys are kept.
	DefaultIdempotencyTTL = 24 * time.Hour
	// DefaultCrashTTL is how long a crash counts against a request digest.
	DefaultCrashTTL = 10 * time.Minute
	// FailedMemberTTL is how long a member that failed still counts towards
	// the majority.
	FailedMemberTTL = 10 * time.Minute
	// departedTTL is how long a departed incarnation, its batch sequence and
	// deleted configuration are kept.
	departedTTL = 24 * time.Hour
)

// Options are settings of the tables. They must be equal on all hosts, since
// they determine which records are valid.
type Options struct {
	// IdempotencyTTL in log time. 0 means DefaultIdempotencyTTL.
	IdempotencyTTL time.Duration
	// CrashTTL in log time. 0 means DefaultCrashTTL.
	CrashTTL time.Duration
}

func (o Options) withDefaults() Options {
	if o.IdempotencyTTL <= 0 {
		o.IdempotencyTTL = DefaultIdempotencyTTL
	}
	if o.CrashTTL <= 0 {
		o.CrashTTL = DefaultCrashTTL
	}
	return o
}

// Tables holds the state that results from replaying the log. It must be used
// from one goroutine; others read snapshots. The effect of Apply depends only
// on the entries and the options, never on the host or its clock.
type Tables struct {
	options  Options
	handlers map[logrec.Kind]handler
	offset   model.Offset
	// timeMS is the log time: the highest platform time of the entries so far.
	// All expiry is based on it.
	timeMS int64

	config
	memberTables
	intents         table[OpenIntent]
	intentByBackend table[string]
	idempotency     table[IdempotencyEntry]
	crashes         table[crashRow]
	usage           usageTables
	checkpoint      Checkpoint
	seen            seenIDs
	expiry          expiryQueues

	host         model.HostID
	incarnation  model.Incarnation
	ownerResults resultCache
	counters     Counters
}

// New returns empty tables.
func New(o Options) *Tables {
	t := &Tables{
		options:         o.withDefaults(),
		handlers:        defaultHandlers,
		config:          newConfig(),
		memberTables:    newMemberTables(),
		intents:         newTable[OpenIntent](),
		intentByBackend: newTable[string](),
		idempotency:     newTable[IdempotencyEntry](),
		crashes:         newTable[crashRow](),
		usage:           newUsageTables(),
		seen:            newSeenIDs(nil),
	}
	t.SetOwner("", "")
	return t
}

// SetOwner sets the owner of the tables: the incarnation of the host that runs
// them. The results of the owner's records are kept for lookup. SetOwner resets
// these results and the counters.
func (t *Tables) SetOwner(host model.HostID, incarnation model.Incarnation) {
	t.host, t.incarnation = host, incarnation
	t.ownerResults = resultCache{byID: map[string]Result{}}
	t.counters = Counters{Void: map[Reason]uint64{}}
}

// Offset is the last applied offset.
func (t *Tables) Offset() model.Offset { return t.offset }

// TimeMS is the log time, the highest platform time of the applied entries.
func (t *Tables) TimeMS() int64 { return t.timeMS }

// Result returns the result of a recent record of the owner.
func (t *Tables) Result(recordID string) (Result, bool) {
	r, ok := t.ownerResults.byID[recordID]
	return r, ok
}

// position is the offset and the log time of a record.
type position struct {
	offset model.Offset
	timeMS int64
}

// Apply replays one entry. Entries at or below the last applied offset are
// ignored, so that an entry may be delivered more than once, by the log and by
// peers. It returns the result of each record that could be decoded.
func (t *Tables) Apply(offset model.Offset, entry platform.LogEntry) []Result {
	if offset <= t.offset {
		return nil
	}
	t.offset = offset
	t.timeMS = max(t.timeMS, entry.TimeMS)
	t.counters.Entries++
	t.expire()
	records, malformed := logrec.Decode(entry.Data)
	t.counters.Malformed += uint64(malformed)
	results := make([]Result, 0, len(records))
	for i := range records {
		results = append(results, t.applyRecord(&records[i]))
	}
	return results
}

func (t *Tables) applyRecord(r *logrec.Record) Result {
	at := position{offset: t.offset, timeMS: t.timeMS}
	result := Result{RecordID: r.ID, Kind: r.Kind, Offset: at.offset, Applied: true}
	if v := t.validateAndApply(r, at); v != nil {
		result.Applied = false
		result.Reason, result.Detail, result.Winner = v.reason, v.detail, v.winner
		t.counters.Void[v.reason]++
	} else {
		t.counters.Applied++
	}
	if r.Host == t.host && r.Incarnation == t.incarnation {
		t.ownerResults.add(result)
	}
	return result
}

// validateAndApply checks the version and the id of a record and passes it to
// the handler of its kind.
func (t *Tables) validateAndApply(r *logrec.Record, at position) *void {
	if r.Version != logrec.SchemaVersion {
		return newVoid(ReasonUnknownVersion, "")
	}
	if v := t.seen.add(r.ID, at.timeMS); v != nil {
		return v
	}
	apply, ok := t.handlers[r.Kind]
	if !ok {
		return newVoid(ReasonUnknownKind, string(r.Kind))
	}
	return apply(t, r, at)
}

// handler applies records of one kind.
type handler func(t *Tables, r *logrec.Record, at position) *void

// defaultHandlers are the handlers of all kinds of records.
var defaultHandlers = map[logrec.Kind]handler{
	logrec.KindJoin:               typedHandler((*Tables).applyJoin),
	logrec.KindLeave:              typedHandler((*Tables).applyLeave),
	logrec.KindClaim:              typedHandler((*Tables).applyClaim),
	logrec.KindRelease:            typedHandler((*Tables).applyRelease),
	logrec.KindConfig:             typedHandler((*Tables).applyConfig),
	logrec.KindIntent:             typedHandler((*Tables).applyIntent),
	logrec.KindOutcome:            typedHandler((*Tables).applyOutcome),
	logrec.KindUsageBatch:         typedHandler((*Tables).applyUsageBatch),
	logrec.KindUsageSeal:          typedHandler((*Tables).applyUsageSeal),
	logrec.KindUsageReported:      typedHandler((*Tables).applyUsageReported),
	logrec.KindIdempotencyClaim:   typedHandler((*Tables).applyIdempotencyClaim),
	logrec.KindIdempotencyOutcome: typedHandler((*Tables).applyIdempotencyOutcome),
	logrec.KindCrash:              typedHandler((*Tables).applyCrash),
	logrec.KindCheckpointChunk:    typedHandler((*Tables).applyCheckpointChunk),
	logrec.KindCheckpointDone:     typedHandler((*Tables).applyCheckpointDone),
}

// typedHandler returns a handler that decodes the body before it calls apply.
func typedHandler[T any](apply func(*Tables, *logrec.Record, *T, position) *void) handler {
	return func(t *Tables, r *logrec.Record, at position) *void {
		var body T
		if err := json.Unmarshal(r.Body, &body); err != nil {
			return newVoid(ReasonMalformed, err.Error())
		}
		return apply(t, r, &body, at)
	}
}

// Counters returns the counts since the owner was set.
func (t *Tables) Counters() Counters {
	c := t.counters
	c.Void = maps.Clone(c.Void)
	return c
}
