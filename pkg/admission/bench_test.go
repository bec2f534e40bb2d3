package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// BenchmarkAdmit measures one Admit with its Done, at 500 requests per second,
// for different numbers of active organisations. The mean includes the periodic
// computation of the fair level.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{5, 43, 430, 4300} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			c := NewController(Settings{})
			orgs := make([]model.OrganisationID, n)
			for i := range orgs {
				orgs[i] = model.OrganisationID(fmt.Sprint(i))
				c.SetWeight(orgs[i], float64(i+1))
			}
			r := request("", 1000)
			d := routing.Decision{Predicted: 100 * time.Millisecond}
			now := start
			i := 0
			for b.Loop() {
				i++
				now = now.Add(2 * time.Millisecond)
				r.Organisation = orgs[i%n]
				if c.Admit(r, d, now).OK {
					c.Done(r.Organisation, 1000, 200, now)
				}
			}
		})
	}
}
