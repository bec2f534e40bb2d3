package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// largeTables returns tables of the target size: 4,300 organisations with two
// keys and four shops each, and the given number of idempotency keys.
func largeTables(b *testing.B, idempotencyKeys int) *Tables {
	t := New(Options{})
	by := origin{Version: 1}
	apply := func(c logrec.Change) {
		if v := t.config.applyChange(&c, by); v != nil {
			b.Fatal(v.reason, v.detail)
		}
	}
	for i := range 4300 {
		org := model.OrganisationID(fmt.Sprintf("organisation-%04d", i))
		apply(set(logrec.EntityOrganisation, string(org), 0, model.Organisation{ID: org, Rate: 10, Burst: 20}))
		for k := range 2 {
			id := fmt.Sprintf("key-%04d-%d", i, k)
			apply(set(logrec.EntityKey, id, 0, model.Key{ID: model.KeyID(id), Organisation: org, Digest: digestOf(id)}))
		}
		for k := range 4 {
			id := fmt.Sprintf("shop-%04d-%d", i, k)
			apply(set(logrec.EntityShop, id, 0, model.Shop{ID: model.ShopID(id), Organisation: org}))
		}
	}
	r := logrec.Record{Host: "h"}
	for i := range idempotencyKeys {
		claim := logrec.IdempotencyClaim{Organisation: "organisation-0001", Key: ulid.Make().String(), RequestID: "q", Digest: "d"}
		if v := t.applyIdempotencyClaim(&r, &claim, position{timeMS: int64(i)}); v != nil {
			b.Fatal(v.reason)
		}
	}
	return t
}

// BenchmarkChangeAndSnapshot applies one configuration change and publishes a
// snapshot, at the target size with 200,000 idempotency keys.
func BenchmarkChangeAndSnapshot(b *testing.B) {
	t := largeTables(b, 200_000)
	entries := make([]platform.LogEntry, 0, b.N)
	for i := range b.N {
		value, err := json.Marshal(model.Organisation{ID: "organisation-0007", Rate: float64(i)})
		require.NoError(b, err)
		r, err := logrec.New(logrec.KindConfig, logrec.ConfigChange{Changes: []logrec.Change{
			{Entity: logrec.EntityOrganisation, ID: "organisation-0007", Expect: logrec.AnyVersion, Value: value}}})
		require.NoError(b, err)
		r.ID = ulid.Make().String()
		data, err := logrec.Encode([]logrec.Record{r})
		require.NoError(b, err)
		id := ulid.MustParse(r.ID)
		entries = append(entries, platform.LogEntry{Offset: model.Offset(i + 1), TimeMS: int64(id.Time()), Data: data})
	}
	// The idempotency keys were claimed at log time 0. Without this the first
	// entry would expire all of them.
	t.expiry.idempotency = expiryQueue{}
	b.ReportAllocs()
	b.ResetTimer()
	for _, e := range entries {
		if results := t.Apply(e.Offset, e); !results[0].Applied {
			b.Fatal(results[0].Reason, results[0].Detail)
		}
		_ = t.Snapshot()
	}
}

// BenchmarkCheckpoint encodes the tables at the target size.
func BenchmarkCheckpoint(b *testing.B) {
	view := largeTables(b, 200_000).Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		records, err := CheckpointRecords(view, "c", 1)
		require.NoError(b, err)
		b.ReportMetric(float64(len(records)), "records")
	}
}
