package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

var start = time.Unix(1_800_000_000, 0)

func request(org string, prompt int) *routing.Request {
	return &routing.Request{
		Organisation: model.OrganisationID(org),
		Kind:         model.PoolEngine,
		PromptTokens: prompt,
		MaxTokens:    100,
	}
}

// Guards against admitting requests that will be late, and against a Retry-After
// outside its bounds.
func TestRejectsLateRequests(t *testing.T) {
	c := NewController(Settings{})
	late := routing.Decision{Predicted: 2 * time.Second, Waiting: 2 * time.Second}
	v := c.Admit(request("a", 100), late, start)
	require.False(t, v.OK)
	require.Equal(t, ReasonDeadline, v.Reason)
	require.GreaterOrEqual(t, v.RetryAfter, late.Predicted-740*time.Millisecond)
	require.LessOrEqual(t, v.RetryAfter, 30*time.Second)
}

// Guards against rejections for fairness while the fleet serves all demand, for
// any distribution of usage over organisations.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewController(Settings{})
		now := start
		quick := routing.Decision{Predicted: 700 * time.Millisecond}
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			org := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "org"))
			c.SetWeight(model.OrganisationID(org), rapid.Float64Range(0, 100).Draw(t, "weight"))
			v := c.Admit(request(org, rapid.IntRange(0, 30000).Draw(t, "prompt")), quick, now)
			if !v.OK {
				t.Fatalf("rejected with %q although nothing had been rejected before", v.Reason)
			}
			if rapid.Bool().Draw(t, "done") {
				c.Done(model.OrganisationID(org), 10, rapid.IntRange(0, 900).Draw(t, "output"), now)
			}
		}
	})
}

// Guards against counters that go negative or lose track of running requests.
func TestCountersStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewController(Settings{})
		now := start
		running := map[string]int{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			org := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "org"))
			if running[org] > 0 && rapid.Bool().Draw(t, "done") {
				c.Done(model.OrganisationID(org), rapid.IntRange(0, 9000).Draw(t, "p"), rapid.IntRange(0, 900).Draw(t, "o"), now)
				running[org]--
			} else {
				d := routing.Decision{Predicted: time.Duration(rapid.IntRange(0, 1500).Draw(t, "predicted")) * time.Millisecond}
				if c.Admit(request(org, 500), d, now).OK {
					running[org]++
				}
			}
			for id, a := range c.organisations {
				if a.running != running[string(id)] || a.pending < -1e-6 || a.usage() < -1e-6 || a.rejected < 0 {
					t.Fatalf("usage of %s is inconsistent: %+v, %d running", id, *a, running[string(id)])
				}
				if a.running == 0 && math.Abs(a.pending) > 1e-6 {
					t.Fatalf("usage of %s has pending cost without running requests: %+v", id, *a)
				}
			}
		}
	})
}

// Guards against rejecting a long prompt forever: as long as it is rejected, its
// prefix never enters a cache.
func TestAdmitsLatePromptWhenIdle(t *testing.T) {
	c := NewController(Settings{})
	v := c.Admit(request("a", 20_000), routing.Decision{Predicted: time.Second}, start)
	require.True(t, v.OK)
	require.Equal(t, PriorityLow, v.Priority)
}

// runContention simulates two organisations that share a queue with a fixed
// service rate, and returns the admitted share of each one's requests.
func runContention(c *Controller, perSecond map[string]int) map[string]float64 {
	const served = 100.0
	admitted := map[string]float64{}
	queue := 0.0
	now := start
	for tick := range 6000 {
		now = now.Add(10 * time.Millisecond)
		queue = max(0, queue-served/100)
		for _, org := range []string{"large", "small"} {
			// The rates are multiples of 10 requests per second.
			if tick%(100/min(100, perSecond[org])) != 0 {
				continue
			}
			for range max(1, perSecond[org]/100) {
				wait := time.Duration(queue / served * float64(time.Second))
				if !c.Admit(request(org, 1000), routing.Decision{Predicted: wait, Waiting: wait}, now).OK {
					continue
				}
				queue++
				admitted[org]++
				c.Done(model.OrganisationID(org), 1000, 100, now)
			}
		}
	}
	for org := range perSecond {
		admitted[org] /= 60 * float64(perSecond[org])
	}
	return admitted
}

// Guards against an organisation that exceeds its fair share several times and
// displaces requests of one that stays below its own.
func TestSmallOrganisationIsProtected(t *testing.T) {
	got := runContention(NewController(Settings{}), map[string]int{"large": 300, "small": 20})
	require.Greater(t, got["small"], 0.95)
	require.Greater(t, got["large"], 0.2)
}

// Verifies that the check above fails without fairness.
func TestProtectionCheckFailsWithoutFairness(t *testing.T) {
	unfair := NewController(Settings{ContentionStart: 0.999999})
	got := runContention(unfair, map[string]int{"large": 300, "small": 20})
	require.Less(t, got["small"], 0.95)
}
