package telemetry

import (
	"testing"
	"time"
)

// BenchmarkObserve measures one observation under contention on one series. A
// host at ten times its target load records up to 140,000 token gaps a second.
func BenchmarkObserve(b *testing.B) {
	l := NewLatency(time.Now)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Observe("chat", "casa-toledo", 12*time.Millisecond)
		}
	})
}

// BenchmarkCountError measures counting one error under contention.
func BenchmarkCountError(b *testing.B) {
	m := New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.CountError("rate_exceeded")
		}
	})
}
