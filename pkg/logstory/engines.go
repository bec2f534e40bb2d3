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

// engineDay is what request lines tell of one engine.
type engineDay struct {
	name               string
	requests, prefills int
	prompt, uncached   float64
	// read is the sum of the times of reading, by second, and reads their number.
	read, reads series
	// kept and asked are the tokens found in the cache and those of all prompts, by
	// second.
	kept, asked series
}

// enginesOf sums up the request lines by the engine that read the prompt.
func enginesOf(lines []Line) []*engineDay {
	if len(lines) == 0 {
		return nil
	}
	start := lines[0].Time
	byName := map[string]*engineDay{}
	for _, l := range lines {
		prompt := number(l, "prompt")
		if l.Message != "request finished" && l.Message != "request not served" || prompt == 0 {
			continue
		}
		name, split := l.Fields["prefill"].(string)
		if !split {
			name, _ = l.Fields["backend"].(string)
		}
		if name == "" {
			continue
		}
		e := byName[name]
		if e == nil {
			e = &engineDay{name: name, read: series{}, reads: series{}, kept: series{}, asked: series{}}
			byName[name] = e
		}
		second := int(l.Time.Sub(start).Seconds())
		uncached := min(number(l, "uncached"), prompt)
		e.requests++
		e.prompt += prompt
		e.uncached += uncached
		e.kept[second] += prompt - uncached
		e.asked[second] += prompt
		if d, ok := duration(l, "read"); ok && split {
			e.prefills++
			e.read[second] += millis(d)
			e.reads[second]++
		}
	}
	list := make([]*engineDay, 0, len(byName))
	for _, e := range byName {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engineDay) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// heat is a value by engine and second, for a heat map.
type heat struct {
	engines []*engineDay
	seconds int
	value   func(e *engineDay, second int) float64
}

// Dims implements plotter.GridXYZ.
func (h heat) Dims() (c, r int) { return h.seconds, len(h.engines) }

// Z implements plotter.GridXYZ.
func (h heat) Z(c, r int) float64 { return h.value(h.engines[r], c) }

// X implements plotter.GridXYZ.
func (h heat) X(c int) float64 { return float64(c) }

// Y implements plotter.GridXYZ.
func (h heat) Y(r int) float64 { return float64(r) }

// ratio is a mean by second, and no value where nothing was counted.
func ratio(sum, count series, second int) float64 {
	if count[second] == 0 {
		return math.NaN()
	}
	return sum[second] / count[second]
}

// draw draws the heat map; most is the value at the end of the scale.
func (h heat) draw(title string, most float64) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", "engines"
	colours := moreland.SmoothBlueRed()
	colours.SetMin(0)
	colours.SetMax(most)
	grid := plotter.NewHeatMap(h, colours.Palette(64))
	grid.Min, grid.Max = 0, most
	p.Add(grid)
	canvas := vgsvg.New(plotWidth, plotHeight/2+rowHeight*vg.Length(len(h.engines)))
	p.Draw(draw.New(canvas))
	return svg(canvas)
}

// readScale is the reading time at the end of the scale: that of a long prompt at
// an idle engine. Unit: milliseconds.
const readScale = 400

// writeEngines writes the queue and the cache of each engine, as the requests
// showed them.
func writeEngines(w io.Writer, lines []Line) error {
	engines := enginesOf(lines)
	if len(engines) == 0 {
		return nil
	}
	seconds := int(lines[len(lines)-1].Time.Sub(lines[0].Time).Seconds()) + 1
	maps := []struct {
		title string
		most  float64
		value func(e *engineDay, second int) float64
	}{
		{fmt.Sprintf("Queue: mean time of a prefill call, blue 0 to red %d ms", readScale), readScale,
			func(e *engineDay, s int) float64 { return min(ratio(e.read, e.reads, s), readScale) }},
		{"Cache: expected share of the prompts' tokens that was kept, blue none to red all", 1,
			func(e *engineDay, s int) float64 { return ratio(e.kept, e.asked, s) }},
	}
	for _, m := range maps {
		drawn, err := heat{engines, seconds, m.value}.draw(m.title, m.most)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "<div>%s</div>\n", drawn); err != nil {
			return eris.Wrap(err, "write the report")
		}
	}
	var table bytes.Buffer
	table.WriteString("<h2>Engines, from the bottom row up</h2>\n<pre>engine                requests   prefills  tokens read  kept\n")
	for _, e := range engines {
		fmt.Fprintf(&table, "%-20s %9d  %9d  %11.0f  %4.2f\n", e.name, e.requests, e.prefills, e.uncached, 1-e.uncached/e.prompt)
	}
	table.WriteString("</pre>\n")
	_, err := w.Write(table.Bytes())
	return eris.Wrap(err, "write the report")
}
