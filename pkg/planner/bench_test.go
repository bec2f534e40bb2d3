package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

func benchInput(engines, shops int) *Input {
	in := &Input{DataCentres: make([]model.DataCentreID, 11), Weights: platform.WeightStoreStatus{AvailableNow: 10}}
	for i := range in.DataCentres {
		in.DataCentres[i] = model.DataCentreID(fmt.Sprintf("dc%d", i))
	}
	p := pool(Load{PrefillTokens: 5000 * float64(engines), LongTokens: 4000 * float64(engines), OutputTokens: 400 * float64(engines)})
	p.Config.Maximum = engines
	p.Model, p.Version = "m", "2"
	p.Adapters = map[string]int{"x": engines / 4, "y": engines / 8}
	for i := range shops {
		p.Shops = append(p.Shops, ShopLoad{
			Shop: model.Shop{Hours: []model.Hours{{Day: time.Monday, OpenMinute: 400 + i%200, CloseMinute: 1100}}},
			Load: Load{OutputTokens: 1},
		})
	}
	in.Pools = []Pool{p}
	in.Engines = rows(engines)
	for i := range in.Engines {
		in.Engines[i].DataCentre = in.DataCentres[i%11]
		if i%2 == 0 {
			in.Engines[i].Kind = platform.Preemptible
		}
	}
	return in
}

// BenchmarkPlan measures one tick for one pool.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{18, 120, 1200, 12_000} {
		for _, shops := range []int{0, 4300} {
			b.Run(fmt.Sprintf("engines=%d/shops=%d", n, shops), func(b *testing.B) {
				in := benchInput(n, shops)
				p := NewPlanner(Settings{})
				now := start
				for b.Loop() {
					now = now.Add(time.Second)
					in.Now = now
					p.Plan(in)
				}
			})
		}
	}
}

// BenchmarkPlanAfterLoss measures the tick after the loss of a data centre.
func BenchmarkPlanAfterLoss(b *testing.B) {
	for _, n := range []int{18, 120, 1200, 12_000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			in := benchInput(n, 0)
			for i := range in.Engines {
				in.Engines[i].Live = in.Engines[i].DataCentre != "dc3"
			}
			in.Now = start
			for b.Loop() {
				NewPlanner(Settings{}).Plan(in)
			}
		})
	}
}
