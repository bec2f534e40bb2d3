package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// metric is a named figure of a result with its print format.
type metric struct {
	name   string
	format string
	value  func(r *Result) float64
}

var metrics = []metric{
	{"goodput", "%.3f", func(r *Result) float64 { return r.Goodput }},
	{"bound", "%.3f", func(r *Result) float64 { return r.BoundShare }},
	{"of bound", "%.3f", func(r *Result) float64 { return r.OfBound }},
	{"worst/mean", "%.3f", func(r *Result) float64 { return r.WorstOfMean }},
	{"ttft p95 ms", "%.0f", func(r *Result) float64 { return r.FirstTokenP95MS }},
	{"gap p95 ms", "%.1f", func(r *Result) float64 { return r.TokenGapP95MS }},
	{"refused %", "%.2f", func(r *Result) float64 { return 100 * ratio(float64(r.Refused), float64(r.Offered-r.RateLimited)) }},
	{"wrongly %", "%.3f", func(r *Result) float64 {
		return 100 * ratio(float64(r.RefusedWrongly), float64(r.Offered-r.RateLimited))
	}},
	{"repeat ok %", "%.0f", func(r *Result) float64 {
		return 100 * ratio(float64(r.Repeats-r.RepeatsRefused), float64(r.Repeats))
	}},
	{"role changes", "%.1f", func(r *Result) float64 { return float64(r.RoleChanges) }},
	{"cost", "%.2f", func(r *Result) float64 { return r.Cost }},
	{"cost/bound", "%.2f", func(r *Result) float64 { return r.CostOfBound }},
	{"preempt %", "%.0f", func(r *Result) float64 { return 100 * r.PreemptibleShare }},
	{"moved", "%.0f", func(r *Result) float64 { return float64(r.Moved) }},
	{"cut", "%.1f", func(r *Result) float64 { return float64(r.MovedCut) }},
	{"late", "%.1f", func(r *Result) float64 { return float64(r.MovedLate) }},
	{"cached", "%.2f", func(r *Result) float64 { return r.CachedShare }},
}

// Row is the mean and the standard deviation of each metric over the seeds.
type Row struct {
	Deployment string             `json:"deployment"`
	Scenario   string             `json:"scenario"`
	HeldOut    bool               `json:"held_out"`
	Variant    string             `json:"variant"`
	Seeds      int                `json:"seeds"`
	Mean       map[string]float64 `json:"mean"`
	Deviation  map[string]float64 `json:"deviation"`
}

// Summarise groups results by deployment, scenario and variant.
func Summarise(results []*Result) []Row {
	type key struct{ deployment, scenario, variant string }
	groups := map[key][]*Result{}
	var order []key
	for _, r := range results {
		k := key{r.Deployment, r.Scenario, r.Variant}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	var rows []Row
	for _, k := range order {
		group := groups[k]
		row := Row{
			Deployment: k.deployment,
			Scenario:   k.scenario,
			Variant:    k.variant,
			HeldOut:    group[0].HeldOut,
			Seeds:      len(group),
			Mean:       map[string]float64{},
			Deviation:  map[string]float64{},
		}
		for _, m := range metrics {
			values := make([]float64, len(group))
			for i, r := range group {
				values[i] = m.value(r)
			}
			mean, deviation := stat.MeanStdDev(values, nil)
			if math.IsNaN(deviation) {
				deviation = 0
			}
			row.Mean[m.name] = mean
			row.Deviation[m.name] = deviation
		}
		rows = append(rows, row)
	}
	return rows
}

// metricsWithDeviation lists the metrics that are printed with their standard
// deviation.
var metricsWithDeviation = []string{"goodput", "of bound", "worst/mean"}

// WriteTable prints rows as aligned text.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprint(t, "deployment\tscenario\tvariant")
	for _, m := range metrics {
		fmt.Fprintf(t, "\t%s", m.name)
	}
	fmt.Fprintln(t)
	for _, row := range rows {
		name := row.Scenario
		if row.HeldOut {
			name += "*"
		}
		fmt.Fprintf(t, "%s\t%s\t%s", row.Deployment, name, row.Variant)
		for _, m := range metrics {
			fmt.Fprintf(t, "\t"+m.format, row.Mean[m.name])
			if slices.Contains(metricsWithDeviation, m.name) {
				fmt.Fprintf(t, "±"+m.format, row.Deviation[m.name])
			}
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
