package state_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// logWriter builds log entries for benchmarks.
type logWriter struct {
	tables *state.Tables
	offset model.Offset
	now    time.Time
}

func newLogWriter() *logWriter {
	return &logWriter{tables: state.New(state.Options{}), now: time.Unix(1_700_000_000, 0)}
}

func (w *logWriter) entry(b testing.TB, kind logrec.Kind, body any) platform.LogEntry {
	r, err := logrec.New(kind, body)
	if err != nil {
		b.Fatal(err)
	}
	w.now = w.now.Add(time.Millisecond)
	w.offset++
	r.ID = ulid.MustNew(uint64(w.now.UnixMilli()), ulid.DefaultEntropy()).String()
	r.Host, r.Incarnation = "host-1", "run-1"
	data, err := logrec.Encode([]logrec.Record{r})
	if err != nil {
		b.Fatal(err)
	}
	return platform.LogEntry{Offset: w.offset, TimeMS: w.now.UnixMilli(), Data: data}
}

func (w *logWriter) apply(b testing.TB, e platform.LogEntry) {
	for _, r := range w.tables.Apply(e.Offset, e) {
		if !r.Applied {
			b.Fatalf("record is void: %s %s", r.Reason, r.Detail)
		}
	}
}

func upsert(b testing.TB, entity logrec.EntityKind, id string, value any) logrec.Change {
	data, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	return logrec.Change{Entity: entity, ID: id, Expect: logrec.AnyVersion, Value: data}
}

// organisationChange is the change set that creates an organisation with two
// keys, a shop with opening hours and an offer.
func organisationChange(b testing.TB, i int) logrec.ConfigChange {
	org := model.OrganisationID(fmt.Sprintf("organisation-%05d", i))
	shop := model.ShopID(fmt.Sprintf("shop-%05d", i))
	changes := []logrec.Change{
		upsert(b, logrec.EntityOrganisation, string(org), model.Organisation{ID: org, Rate: 10, Burst: 20}),
		upsert(b, logrec.EntityShop, string(shop), model.Shop{ID: shop, Organisation: org, TimeZone: "UTC",
			Hours: []model.Hours{{Day: 1, OpenMinute: 480, CloseMinute: 1080}}}),
		upsert(b, logrec.EntityOffer, "offer-"+string(shop), model.Offer{ID: "offer-" + string(shop), Shop: shop, Model: "tasador"}),
	}
	for k := range 2 {
		id := model.KeyID(fmt.Sprintf("key-%05d-%d", i, k))
		changes = append(changes, upsert(b, logrec.EntityKey, string(id), model.Key{
			ID: id, Organisation: org, Digest: fmt.Sprintf("%064x", i*2+k),
		}))
	}
	return logrec.ConfigChange{Operator: "bench", Changes: changes}
}

func populatedTables(b testing.TB, organisations int) *logWriter {
	w := newLogWriter()
	w.apply(b, w.entry(b, logrec.KindConfig, logrec.ConfigChange{Operator: "bench", Changes: []logrec.Change{
		upsert(b, logrec.EntityPool, "tasador", model.Pool{Name: "tasador", Kind: model.PoolEngine}),
	}}))
	for i := range organisations {
		w.apply(b, w.entry(b, logrec.KindConfig, organisationChange(b, i)))
	}
	return w
}

// organisationCounts are the sizes on the capacity page; the last one is the
// target.
var organisationCounts = []int{500, 1000, 2000, 4300}

// BenchmarkApplyChange measures applying one configuration change and taking a
// snapshot.
func BenchmarkApplyChange(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			w := populatedTables(b, n)
			entries := make([]platform.LogEntry, b.N)
			for i := range entries {
				org := model.OrganisationID(fmt.Sprintf("organisation-%05d", i%n))
				entries[i] = w.entry(b, logrec.KindConfig, logrec.ConfigChange{Operator: "bench", Changes: []logrec.Change{
					upsert(b, logrec.EntityOrganisation, string(org), model.Organisation{ID: org, Rate: float64(i%50 + 1), Burst: 20}),
				}})
			}
			b.ResetTimer()
			for _, e := range entries {
				w.apply(b, e)
				_ = w.tables.Snapshot()
			}
		})
	}
}

// BenchmarkLookup measures the snapshot lookups made for one request.
func BenchmarkLookup(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			s := populatedTables(b, n).tables.Snapshot()
			for i := 0; b.Loop(); i++ {
				key, ok := s.KeyByDigest(fmt.Sprintf("%064x", i%(2*n)))
				if !ok {
					b.Fatal("key not found")
				}
				_ = s.ShopsOf(key.Organisation)
			}
		})
	}
}

// BenchmarkCheckpointSize measures encoding and restoring the tables, and
// reports the encoded sizes.
func BenchmarkCheckpointSize(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			w := populatedTables(b, n)
			var data []byte
			for b.Loop() {
				var err error
				if data, err = w.tables.Snapshot().Encode(); err != nil {
					b.Fatal(err)
				}
				if _, err = state.Restore(state.Options{}, data); err != nil {
					b.Fatal(err)
				}
			}
			records, err := state.CheckpointRecords(w.tables.Snapshot(), "bench", 1)
			if err != nil {
				b.Fatal(err)
			}
			written, err := logrec.Encode(records)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "encoded_bytes")
			b.ReportMetric(float64(len(written)), "log_bytes")
		})
	}
}

// BenchmarkMemory reports the heap that the tables occupy.
func BenchmarkMemory(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			var kept *logWriter
			before := heapBytes()
			for b.Loop() {
				kept = nil
				before = heapBytes()
				kept = populatedTables(b, n)
			}
			b.ReportMetric(float64(heapBytes()-before), "heap_bytes")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkIdempotencyMemory reports the heap per claimed key with its recorded
// response.
func BenchmarkIdempotencyMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var kept *logWriter
			before := heapBytes()
			for b.Loop() {
				kept = nil
				before = heapBytes()
				kept = newLogWriter()
				for i := range n {
					key, request := fmt.Sprintf("reservation-%08d", i), model.RequestID(ulid.Make().String())
					kept.apply(b, kept.entry(b, logrec.KindIdempotencyClaim, logrec.IdempotencyClaim{
						Organisation: "organisation-00001", Key: key, RequestID: request, Digest: fmt.Sprintf("%064x", i),
					}))
					kept.apply(b, kept.entry(b, logrec.KindIdempotencyOutcome, logrec.IdempotencyOutcome{
						Organisation: "organisation-00001", Key: key, RequestID: request, Ran: model.WasRun,
						Status: 201, ContentType: "application/json", Body: make([]byte, 120),
					}))
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap_bytes/key")
			runtime.KeepAlive(kept)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
