package logrec_test

import (
	"fmt"
	"testing"

	"github.com/oklog/ulid/v2"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// encodeEntry encodes records of one host as a log entry.
func encodeEntry(b *testing.B, kind logrec.Kind, bodies ...any) []byte {
	var records []logrec.Record
	for _, body := range bodies {
		r, err := logrec.New(kind, body)
		if err != nil {
			b.Fatal(err)
		}
		r.ID, r.Host, r.Incarnation = ulid.Make().String(), "host-armenia-017", model.Incarnation(ulid.Make().String())
		records = append(records, r)
	}
	data, err := logrec.Encode(records)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkUsageEntryBytes reports the size of a usage batch by number of
// lines.
func BenchmarkUsageEntryBytes(b *testing.B) {
	for _, lines := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprintf("lines=%d", lines), func(b *testing.B) {
			batch := logrec.UsageBatch{Sequence: 123456}
			for i := range lines {
				batch.Lines = append(batch.Lines, logrec.UsageLine{
					Organisation: model.OrganisationID(fmt.Sprintf("organisation-%05d", i)), Pool: "tasador",
					Requests: 12, PromptTokens: 48_000, CachedTokens: 30_000, OutputTokens: 3_300,
				})
			}
			var data []byte
			for b.Loop() {
				data = encodeEntry(b, logrec.KindUsageBatch, batch)
			}
			b.ReportMetric(float64(len(data)), "entry_bytes")
		})
	}
}

// BenchmarkIdempotencyEntryBytes reports the size of an entry by number of
// idempotency claims.
func BenchmarkIdempotencyEntryBytes(b *testing.B) {
	for _, claims := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			var bodies []any
			for range claims {
				bodies = append(bodies, logrec.IdempotencyClaim{
					Organisation: "organisation-00001", Key: ulid.Make().String(),
					RequestID: model.RequestID(ulid.Make().String()), Digest: fmt.Sprintf("%064x", 1),
				})
			}
			var data []byte
			for b.Loop() {
				data = encodeEntry(b, logrec.KindIdempotencyClaim, bodies...)
			}
			b.ReportMetric(float64(len(data)), "entry_bytes")
		})
	}
}

// BenchmarkConfigEntryBytes reports the size of a change to one organisation.
func BenchmarkConfigEntryBytes(b *testing.B) {
	change := logrec.ConfigChange{Operator: "marta", Changes: []logrec.Change{{
		Entity: logrec.EntityOrganisation, ID: "organisation-00001", Expect: 123456,
		Value: []byte(`{"id":"organisation-00001","rate":12.5,"burst":40,"weight":1}`),
	}}}
	var data []byte
	for b.Loop() {
		data = encodeEntry(b, logrec.KindConfig, change)
	}
	b.ReportMetric(float64(len(data)), "entry_bytes")
}
