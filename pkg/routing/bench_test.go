package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// fleet returns a table with engines in 11 data centres. Every tenth engine is
// preemptible, and each has 100 cached blocks. The engines of the first data
// centre report their load, the others have load summaries.
func fleet(engines int) *Table {
	t := NewTable(Settings{DataCentre: "dc0"})
	for i := range engines {
		b := Backend{
			ID:         model.BackendID(fmt.Sprintf("e%05d", i)),
			Pool:       "m",
			PoolKind:   model.PoolEngine,
			DataCentre: model.DataCentreID(fmt.Sprintf("dc%d", i%11)),
			Kind:       platform.Ordinary,
			Available:  true,
			Load:       engine.LoadReport{PrefillTokensPerS: 10_000, MaxRunning: 64, DecodeStepMS: 15},
		}
		if i%10 == 0 {
			b.Kind = platform.Preemptible
		}
		if i%11 == 0 {
			b.LoadAt = start
		}
		t.UpdateBackend(b)
		events := make([]engine.CacheEvent, 100)
		for k := range events {
			events[k] = engine.CacheEvent{Hash: uint64((i*37 + k) % (engines * 20)), Stored: true}
		}
		t.CacheEvents(b.ID, events, false)
	}
	for dc := range 11 {
		t.UpdateLoadSummary(LoadSummary{
			DataCentre: model.DataCentreID(fmt.Sprintf("dc%d", dc)),
			Pool:       "m",
			Engines:    engines / 11,
			Mean:       engine.LoadReport{PrefillTokensPerS: 10_000, MaxRunning: 64},
			At:         start,
		})
	}
	return t
}

var fleetSizes = []int{18, 120, 1200, 12_000}

// BenchmarkSelect measures one routing decision with its feedback, and the
// load report that follows, at 50 requests per second.
func BenchmarkSelect(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			t := fleet(n)
			r := request(1)
			r.PromptTokens = 9000
			report := engine.LoadReport{PrefillTokensPerS: 10_000, MaxRunning: 64, DecodeStepMS: 15}
			now := start
			i := 0
			for b.Loop() {
				i++
				now = now.Add(20 * time.Millisecond)
				first := uint64(i * 7919 % (n * 20))
				r.Prefix = []uint64{first, first + 1, first + 2, first + 3}
				d, err := t.Select(r, now)
				if err != nil {
					b.Fatal(err)
				}
				t.FirstToken(r.ID, d.Backend, now)
				t.Done(&Feedback{Request: *r, Backend: d.Backend, Sent: now, FirstToken: now, Done: now, CachedTokens: d.CachedTokens, OutputTokens: 100})
				t.UpdateLoad(d.Backend, report, now)
			}
		})
	}
}

// BenchmarkUpdateLoad measures one load report.
func BenchmarkUpdateLoad(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			t := fleet(n)
			report := engine.LoadReport{PrefillTokensPerS: 10_000}
			i := 0
			for b.Loop() {
				i++
				t.UpdateLoad(model.BackendID(fmt.Sprintf("e%05d", i%n)), report, start.Add(time.Duration(i)))
			}
		})
	}
}

// BenchmarkSubset measures the choice of a host's subset of the engines.
func BenchmarkSubset(b *testing.B) {
	for _, n := range fleetSizes {
		ids := make([]model.BackendID, n)
		for i := range ids {
			ids[i] = model.BackendID(fmt.Sprintf("e%05d", i))
		}
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			for b.Loop() {
				Subset("host", ids, 64)
			}
		})
	}
}

// BenchmarkRackChange measures 40 engines that leave the table and return.
func BenchmarkRackChange(b *testing.B) {
	for _, n := range fleetSizes[1:] {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			t := fleet(n)
			all := t.Backends()[:40]
			for b.Loop() {
				for i := range all {
					t.RemoveBackend(all[i].ID)
				}
				for i := range all {
					t.UpdateBackend(all[i])
				}
			}
		})
	}
}

// BenchmarkDataCentreLoss measures the loss and return of one of eleven data
// centres.
func BenchmarkDataCentreLoss(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			t := fleet(n)
			var lost []Backend
			for _, e := range t.Backends() {
				if e.DataCentre == "dc3" {
					lost = append(lost, e)
				}
			}
			for b.Loop() {
				for _, available := range []bool{false, true} {
					for i := range lost {
						lost[i].Available = available
						t.UpdateBackend(lost[i])
					}
				}
			}
		})
	}
}
