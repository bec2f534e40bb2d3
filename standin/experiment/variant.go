package experiment

import (
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// ControllerKind names a controller of the fleet's size and roles.
type ControllerKind string

// Controllers. Without one, the fleet stays as it is at the start.
const (
	ControllerNone    ControllerKind = ""
	ControllerPlanner ControllerKind = "planner"
	ControllerNaive   ControllerKind = "naive"
)

// Variant is a combination of scheduling policies to compare.
type Variant struct {
	Name       string
	Routing    routing.Policy
	Admission  bool
	Controller ControllerKind
	// Baseline variants are those that the goodput is compared with.
	Baseline bool
	// Ablation variants run in a few scenarios only.
	Ablation bool
	// StaticPrefill is the number of engines with the prefill role; the others
	// decode.
	StaticPrefill int
}

// Full is the name of the variant with the complete scheduling code.
const Full = "full"

// Variants returns the variants to compare: the full scheduling code, the baselines,
// and the full code without one of its parts.
func Variants() []Variant {
	return []Variant{
		{Name: Full, Routing: routing.PolicyScored, Admission: true, Controller: ControllerPlanner},
		{Name: "round-robin", Routing: routing.PolicyRoundRobin, Baseline: true},
		{Name: "least-in-flight", Routing: routing.PolicyLeastInFlight, Baseline: true},
		{Name: "static-roles", Routing: routing.PolicyStaticRoles, StaticPrefill: 6, Baseline: true},
		{Name: "cache-affinity", Routing: routing.PolicyCacheAffinity, Baseline: true},
		{Name: "no-admission", Routing: routing.PolicyScored, Controller: ControllerPlanner, Ablation: true},
		{Name: "no-planner", Routing: routing.PolicyScored, Admission: true, Ablation: true},
		{Name: "naive-controller", Routing: routing.PolicyScored, Admission: true, Controller: ControllerNaive},
	}
}

func (v *Variant) controller() planner.Controller {
	switch v.Controller {
	case ControllerPlanner:
		return planner.NewPlanner(planner.Settings{})
	case ControllerNaive:
		return planner.NewNaive(planner.Settings{})
	}
	return nil
}

// runsOn reports whether a variant runs in a scenario: ablations only in some
// scenarios without faults, and in the long scenario with opening hours only the
// variants that differ in cost and the strongest baseline.
func (v *Variant) runsOn(s *Scenario) bool {
	switch {
	case s.OpeningHours:
		return v.Name == Full || v.Controller == ControllerNaive || v.Routing == routing.PolicyCacheAffinity
	case v.Ablation:
		return s.Name == "shift" || s.Name == "cold" || s.Name == "overload"
	}
	return true
}
