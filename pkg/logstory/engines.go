package logstory

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// rowHeight is the height of an engine's row in a heat map.
const rowHeight = 0.3 * vg.Centimeter

// engineStats holds what the request lines show of one engine.
type engineStats struct {
	name               string
	requests, prefills int
	// prompt and uncached are the tokens of all prompts, and those of them that
	// were not expected in the cache.
	prompt, uncached float64
	// prefillMSBySecond is the total duration of the prefill calls in milliseconds,
	// and prefillsBySecond their number.
	prefillMSBySecond, prefillsBySecond series
	// cachedBySecond are the prompt tokens that were expected in the cache, and
	// promptBySecond all prompt tokens.
	cachedBySecond, promptBySecond series
}

// collectEngineStats sums up the request lines by the engine that ran the prefill,
// and sorts the engines by name. Prefill times are known only for requests whose
// prefill and decode ran on different engines.
func collectEngineStats(lines []Line) []*engineStats {
	if len(lines) == 0 {
		return nil
	}
	start := lines[0].Time
	byName := map[string]*engineStats{}
	for _, l := range lines {
		prompt := number(l, "prompt")
		if l.Message != "request finished" && l.Message != "request not served" || prompt == 0 {
			continue
		}
		name, separatePrefill := l.Fields["prefill"].(string)
		if !separatePrefill {
			name, _ = l.Fields["backend"].(string)
		}
		if name == "" {
			continue
		}
		e := byName[name]
		if e == nil {
			e = &engineStats{name: name, prefillMSBySecond: series{}, prefillsBySecond: series{}, cachedBySecond: series{}, promptBySecond: series{}}
			byName[name] = e
		}
		second := int(l.Time.Sub(start).Seconds())
		uncached := min(number(l, "uncached"), prompt)
		e.requests++
		e.prompt += prompt
		e.uncached += uncached
		e.cachedBySecond[second] += prompt - uncached
		e.promptBySecond[second] += prompt
		if d, ok := duration(l, "read"); ok && separatePrefill {
			e.prefills++
			e.prefillMSBySecond[second] += millis(d)
			e.prefillsBySecond[second]++
		}
	}
	list := make([]*engineStats, 0, len(byName))
	for _, e := range byName {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engineStats) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// heatMap is the data of a heat map with a row per engine and a column per second.
type heatMap struct {
	engines []*engineStats
	seconds int
	value   func(e *engineStats, second int) float64
}

// Dims implements plotter.GridXYZ.
func (h heatMap) Dims() (c, r int) { return h.seconds, len(h.engines) }

// Z implements plotter.GridXYZ.
func (h heatMap) Z(c, r int) float64 { return h.value(h.engines[r], c) }

// X implements plotter.GridXYZ.
func (h heatMap) X(c int) float64 { return float64(c) }

// Y implements plotter.GridXYZ.
func (h heatMap) Y(r int) float64 { return float64(r) }

// meanAt returns the mean at a second, NaN if nothing was counted then.
func meanAt(sum, count series, second int) float64 {
	if count[second] == 0 {
		return math.NaN()
	}
	return sum[second] / count[second]
}

// draw renders the heat map as SVG; maximum is the value at the end of the scale.
func (h heatMap) draw(title string, maximum float64) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", "engines"
	colours := moreland.SmoothBlueRed()
	colours.SetMin(0)
	colours.SetMax(maximum)
	grid := plotter.NewHeatMap(h, colours.Palette(64))
	grid.Min, grid.Max = 0, maximum
	p.Add(grid)
	canvas := vgsvg.New(plotWidth, plotHeight/2+rowHeight*vg.Length(len(h.engines)))
	p.Draw(draw.New(canvas))
	return svg(canvas)
}

// prefillScaleMS is the prefill time at the end of the scale: that of a long prompt
// on an idle engine.
const prefillScaleMS = 400

// writeEngines writes the prefill times and the cache use of each engine, as the
// request lines show them.
func writeEngines(w io.Writer, lines []Line) error {
	engines := collectEngineStats(lines)
	if len(engines) == 0 {
		return nil
	}
	seconds := int(lines[len(lines)-1].Time.Sub(lines[0].Time).Seconds()) + 1
	maps := []struct {
		title   string
		maximum float64
		value   func(e *engineStats, second int) float64
	}{
		{fmt.Sprintf("Queue: mean time of a prefill call, blue 0 to red %d ms", prefillScaleMS), prefillScaleMS,
			func(e *engineStats, s int) float64 {
				return min(meanAt(e.prefillMSBySecond, e.prefillsBySecond, s), prefillScaleMS)
			}},
		{"Cache: expected share of the prompt tokens in the cache, blue none to red all", 1,
			func(e *engineStats, s int) float64 { return meanAt(e.cachedBySecond, e.promptBySecond, s) }},
	}
	for _, m := range maps {
		drawn, err := heatMap{engines, seconds, m.value}.draw(m.title, m.maximum)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "<div>%s</div>\n", drawn); err != nil {
			return eris.Wrap(err, "write the report")
		}
	}
	var table bytes.Buffer
	table.WriteString("<h2>Engines, from the bottom row up</h2>\n<pre>engine                requests   prefills     uncached  cached\n")
	for _, e := range engines {
		fmt.Fprintf(&table, "%-20s %9d  %9d  %11.0f  %4.2f\n", e.name, e.requests, e.prefills, e.uncached, 1-e.uncached/e.prompt)
	}
	table.WriteString("</pre>\n")
	_, err := w.Write(table.Bytes())
	return eris.Wrap(err, "write the report")
}
