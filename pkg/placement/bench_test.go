package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// BenchmarkPlace measures Place with 192 engines in five data centres that have cached the
// parts of a thousand prompts.
func BenchmarkPlace(b *testing.B) {
	f := NewFleet(DefaultSettings())
	for i := range 192 {
		stage := StagePrefill
		if i%3 == 0 {
			stage = StageDecode
		}
		f.Update(Backend{
			ID: model.BackendID(fmt.Sprintf("i-%08x", i)), Service: "m", Stage: stage, Slots: 12, DataCentre: model.DataCentreID(fmt.Sprint("z", i%5)),
			Engine: &EngineTraits{CacheTokens: 821742, TransferTokensPerMS: 2500},
		})
	}
	f.SetHostPosition(7, 59)
	request := func(i int) *Request {
		return &Request{
			Service: "m", Parts: []Part{{uint64(i % 4), 2500}, {uint64(100 + i%400), 4000}, {uint64(10000 + i), 2900}}, PromptTokens: 9400,
			MaxEventGap: 250 * time.Millisecond,
		}
	}
	now := epoch
	for i := range 1000 {
		r := request(i)
		plan, _ := f.Place(r, now)
		f.Done(f.Send(plan, r, now), Served, now)
		now = now.Add(10 * time.Millisecond)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		f.Place(request(i), now)
	}
}

// BenchmarkPlaceWithMemory measures Place with 90 engines, of which a half are nearly full,
// with and without the estimate of their memory.
func BenchmarkPlaceWithMemory(b *testing.B) {
	for _, limit := range []bool{false, true} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			f := NewFleet(DefaultSettings())
			var load Load
			for i, e := range sortedEngines(newEngines(60, 30)) {
				e.backend.Engine = &EngineTraits{CacheTokens: simMemory, TransferTokensPerMS: 3700, LimitMemory: limit}
				f.Update(e.backend)
				load = append(load, ServerLoad{Backend: e.backend.ID, Running: 9, Tokens: (i % 2) * simMemory * 11 / 10 / tokensPerUnit})
			}
			f.HandleReport("peer", Report{Load: load}, epoch)
			f.SetHostPosition(7, 22)
			now := epoch
			requests := alternatingLoad(1, 3*time.Second, 3)
			place := func(q *loadRequest) (*Request, Plan) {
				r := &Request{Service: "m", Parts: q.parts, PromptTokens: q.prompt, OutputTokens: 300, MaxEventGap: 250 * time.Millisecond}
				plan, _ := f.Place(r, now)
				return r, plan
			}
			for i := range requests {
				r, plan := place(&requests[i])
				f.Done(f.Send(plan, r, now), Served, now)
				now = now.Add(10 * time.Millisecond)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				place(&requests[i%len(requests)])
			}
		})
	}
}
