package experiment

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// colours are assigned to variants in order.
var colours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8c, B: 0x21, A: 0xff},
	color.RGBA{R: 0x5b, G: 0x9a, B: 0x3c, A: 0xff},
	color.RGBA{R: 0xb0, G: 0x3a, B: 0x48, A: 0xff},
	color.RGBA{R: 0x7a, G: 0x5a, B: 0xa6, A: 0xff},
	color.RGBA{R: 0x40, G: 0x40, B: 0x40, A: 0xff},
	color.RGBA{R: 0x90, G: 0x90, B: 0x90, A: 0xff},
	color.RGBA{R: 0xc4, G: 0xb0, B: 0x30, A: 0xff},
}

// plotMetric draws one bar per variant and scenario of a deployment.
func plotMetric(dir, deployment, metricName string, rows []Row) (string, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", deployment, metricName)
	p.Y.Min = 0
	var scenarios []string
	for _, row := range rows {
		if row.Deployment == deployment && !containsName(scenarios, row.Scenario) {
			scenarios = append(scenarios, row.Scenario)
		}
	}
	const width = 7
	variants := Variants()
	for i, v := range variants {
		values := make(plotter.Values, len(scenarios))
		for k, s := range scenarios {
			values[k] = meanOf(rows, deployment, s, v.Name, metricName)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return "", err
		}
		bars.Color = colours[i%len(colours)]
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(width * (float64(i) - float64(len(variants)-1)/2))
		p.Add(bars)
		p.Legend.Add(v.Name, bars)
	}
	p.NominalX(scenarios...)
	p.Legend.Top = true
	name := fmt.Sprintf("%s-%s.svg", deployment, fileName(metricName))
	return name, p.Save(15*vg.Inch, 5*vg.Inch, filepath.Join(dir, name))
}

func containsName(names []string, name string) bool {
	return len(names) > 0 && selected(names, name)
}

func meanOf(rows []Row, deployment, scenario, variant, metricName string) float64 {
	for _, row := range rows {
		if row.Deployment == deployment && row.Scenario == scenario && row.Variant == variant {
			return row.Mean[metricName]
		}
	}
	return 0
}

// plotMinutes draws the goodput share per minute of one seed.
func plotMinutes(dir, deployment, scenario string, results []*Result) (string, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s: goodput share per minute, first seed", deployment, scenario)
	p.X.Label.Text = "minute"
	p.Y.Min, p.Y.Max = 0, 1.05
	seen := map[string]bool{}
	for _, r := range results {
		if r.Deployment != deployment || r.Scenario != scenario || seen[r.Variant] {
			continue
		}
		seen[r.Variant] = true
		var points plotter.XYs
		for i, s := range r.minutes {
			if s.Within > 0 {
				points = append(points, plotter.XY{X: float64(i), Y: s.goodShare()})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = colours[(len(seen)-1)%len(colours)]
		p.Add(line)
		p.Legend.Add(r.Variant, line)
	}
	name := fmt.Sprintf("%s-%s-minutes.svg", deployment, scenario)
	return name, p.Save(12*vg.Inch, 4*vg.Inch, filepath.Join(dir, name))
}
