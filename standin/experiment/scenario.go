package experiment

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Scenario is a workload with the faults that are injected into it.
type Scenario struct {
	Name string
	// HeldOut scenarios were not used for tuning.
	HeldOut bool
	Length  time.Duration
	// Rate is the number of requests per second over all organisations.
	Rate float64
	// MinPhase and MaxPhase bound the length of a phase with one mix of classes.
	MinPhase, MaxPhase time.Duration
	// LevelSwing is the greatest relative change of the rate in a phase.
	LevelSwing float64
	// Cold scenarios have more prompts with a long text that occurs only once.
	Cold bool
	// Burst multiplies the rate of the organisations in BurstOrganisations
	// during random intervals.
	Burst              float64
	BurstOrganisations []model.OrganisationID
	// OpeningHours applies the shops' opening hours.
	OpeningHours bool
	// Planned lets the controller choose the fleet size; otherwise all engines
	// of the deployment run.
	Planned bool
	// Reclaims is the number of times that all preemptible servers of a data
	// centre are reclaimed.
	Reclaims int
	// CrashInChange crashes some engines during role changes, and others at
	// random.
	CrashInChange bool
	// ReportLag is the mean delay of load reports and cache events; ReportLoss
	// and EventLoss are the shares of them that are lost.
	ReportLag  time.Duration
	ReportLoss float64
	EventLoss  float64
	// Trace replaces the generated arrivals.
	Trace []Arrival
}

func defaults(name string) Scenario {
	return Scenario{
		Name:       name,
		Length:     20 * time.Minute,
		Rate:       62,
		MinPhase:   2 * time.Minute,
		MaxPhase:   5 * time.Minute,
		LevelSwing: 0.25,
		Burst:      1,
		ReportLag:  150 * time.Millisecond,
		ReportLoss: 0.01,
		EventLoss:  0.02,
	}
}

// Scenarios returns the scenarios for a deployment.
func Scenarios(d *Deployment) []Scenario {
	shift := defaults("shift")
	shift.Rate = 72

	cold := defaults("cold")
	cold.Cold = true
	cold.Rate = 45

	overload := defaults("overload")
	overload.Rate = 85
	overload.Burst = 4
	overload.BurstOrganisations = []model.OrganisationID{d.Organisations[0].ID, d.Organisations[3].ID}

	hours := defaults("hours")
	hours.Length = 100 * time.Minute
	hours.OpeningHours = true
	hours.Planned = true
	hours.Rate = 42

	reclaim := defaults("reclaim")
	reclaim.Reclaims = 3
	reclaim.Rate = 38
	reclaim.Planned = true

	crash := defaults("crash")
	crash.CrashInChange = true

	lag := defaults("lag")
	lag.ReportLag = 1500 * time.Millisecond
	lag.ReportLoss = 0.3
	lag.EventLoss = 0.3

	market := defaults("market-day")
	market.HeldOut = true
	market.Rate = 74
	market.MinPhase = 60 * time.Second
	market.MaxPhase = 3 * time.Minute
	market.LevelSwing = 0.4
	market.Burst = 3
	market.BurstOrganisations = []model.OrganisationID{d.Organisations[1].ID}
	market.ReportLag = 400 * time.Millisecond

	monsoon := defaults("monsoon")
	monsoon.HeldOut = true
	monsoon.Rate = 40
	monsoon.Planned = true
	monsoon.Reclaims = 2
	monsoon.EventLoss = 0.15
	monsoon.LevelSwing = 0.35
	return []Scenario{shift, cold, overload, hours, reclaim, crash, lag, market, monsoon}
}
