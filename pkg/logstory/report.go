package logstory

import (
	"bytes"
	"cmp"
	"fmt"
	"html"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// series is one curve: a value by second since the first line.
type series map[int]float64

// chart is a plot with its curves by name.
type chart struct {
	title, unit string
	curves      map[string]series
}

func newChart(title, unit string) *chart {
	return &chart{title: title, unit: unit, curves: map[string]series{}}
}

func (c *chart) add(curve string, second int, value float64) {
	if c.curves[curve] == nil {
		c.curves[curve] = series{}
	}
	c.curves[curve][second] += value
}

func (c *chart) set(curve string, second int, value float64) {
	if c.curves[curve] == nil {
		c.curves[curve] = series{}
	}
	c.curves[curve][second] = value
}

// WriteReport writes an HTML page about the log lines of a day: outcomes by second,
// times to the first byte, engines and expected waits as one host logged them,
// requests over a quota, calls to the platform, prefill times and cache use of
// each engine, what was lost and why, and decisions and lost dependencies.
func WriteReport(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		return eris.New("there are no log lines")
	}
	charts := buildCharts(lines)
	if _, err := fmt.Fprintf(w, "<!doctype html><meta charset=\"utf-8\"><title>Day of %s</title><body style=\"font-family:sans-serif\">\n<h1>%s to %s</h1>\n",
		lines[0].Time.Format(time.DateOnly), lines[0].Time.Format(time.TimeOnly), lines[len(lines)-1].Time.Format(time.TimeOnly)); err != nil {
		return eris.Wrap(err, "write the report")
	}
	for _, c := range charts {
		drawn, err := c.draw()
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "<div>%s</div>\n", drawn); err != nil {
			return eris.Wrap(err, "write the report")
		}
	}
	if err := writeEngines(w, lines); err != nil {
		return err
	}
	if err := writeLossesPage(w, lines); err != nil {
		return err
	}
	return writeEvents(w, lines)
}

// buildCharts returns the charts of the lines.
func buildCharts(lines []Line) []*chart {
	outcomes := newChart("Requests by status", "requests/s")
	firstByte := newChart("Mean time to the first byte of a response", "ms")
	engines := newChart("Engines known to the host that logged most engine loads", "engines")
	waits := newChart("Expected mean wait at engines", "ms")
	quotas := newChart("Requests over the quota of their organisation", "requests/s")
	calls := newChart("Calls to the platform", "calls")
	start := lines[0].Time
	loggingHost := hostWithMostLines(lines, "engine load")
	firstByteSums, firstByteCounts := series{}, series{}
	for _, l := range lines {
		second := int(l.Time.Sub(start).Seconds())
		switch l.Message {
		case "request finished", "request not served":
			outcomes.add(fmt.Sprint(number(l, "status")), second, 1)
			if organisation, ok := l.Fields["organisation"].(string); ok && number(l, "status") == http.StatusTooManyRequests {
				quotas.add(organisation, second, 1)
			}
			if d, ok := duration(l, "first_event"); ok {
				firstByteSums[second] += millis(d)
				firstByteCounts[second]++
			}
		case "platform calls":
			byCall, _ := l.Fields["calls"].(map[string]any)
			for call, n := range byCall {
				if count, ok := n.(float64); ok {
					calls.add(call, second, count)
				}
			}
		case "engine load":
			if l.Host != loggingHost {
				continue
			}
			for _, stage := range []string{"prefill", "decode"} {
				engines.set(stage, second, number(l, stage+"_engines"))
				if d, ok := duration(l, stage+"_wait"); ok {
					waits.set(stage, second, millis(d))
				}
			}
		}
	}
	for second, n := range firstByteCounts {
		firstByte.set("first byte", second, firstByteSums[second]/n)
	}
	return []*chart{outcomes, firstByte, engines, waits, quotas.keepLargest(maxCurves), calls.keepLargest(maxCurves)}
}

// maxCurves bounds the curves of a chart that has one for each organisation or call
// in the log lines.
const maxCurves = 8

// keepLargest returns a chart with the limit largest curves by their sums, and one
// more curve that adds up the others.
func (c *chart) keepLargest(limit int) *chart {
	if len(c.curves) <= limit {
		return c
	}
	sums := map[string]float64{}
	names := make([]string, 0, len(c.curves))
	for name, curve := range c.curves {
		names = append(names, name)
		for _, n := range curve {
			sums[name] += n
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b)) })
	kept := newChart(c.title, c.unit)
	for i, name := range names {
		for second, n := range c.curves[name] {
			if i < limit {
				kept.add(name, second, n)
			} else {
				kept.add("others", second, n)
			}
		}
	}
	return kept
}

// hostWithMostLines returns the host that wrote a message most often.
func hostWithMostLines(lines []Line, message string) string {
	counts := map[string]int{}
	best := ""
	for _, l := range lines {
		if l.Message != message {
			continue
		}
		counts[l.Host]++
		if counts[l.Host] > counts[best] {
			best = l.Host
		}
	}
	return best
}

func number(l Line, field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

func duration(l Line, field string) (time.Duration, bool) {
	text, _ := l.Fields[field].(string)
	d, err := time.ParseDuration(text)
	return d, err == nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *chart) draw() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "seconds", c.unit
	p.Legend.Top = true
	names := make([]string, 0, len(c.curves))
	for name := range c.curves {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		line, err := plotter.NewLine(points(c.curves[name]))
		if err != nil {
			return nil, eris.Wrapf(err, "plot %s", c.title)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	return svg(canvas)
}

// svg returns the drawing as an SVG element of an HTML page.
func svg(canvas *vgsvg.Canvas) ([]byte, error) {
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, eris.Wrap(err, "draw a plot")
	}
	// The XML declaration is not allowed within an HTML page.
	if i := bytes.Index(out.Bytes(), []byte("<svg")); i > 0 {
		return out.Bytes()[i:], nil
	}
	return out.Bytes(), nil
}

func points(s series) plotter.XYs {
	seconds := make([]int, 0, len(s))
	for second := range s {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	xys := make(plotter.XYs, len(seconds))
	for i, second := range seconds {
		xys[i].X, xys[i].Y = float64(second), s[second]
	}
	return xys
}

// reportedMessages are the messages that the report lists in full.
var reportedMessages = map[string]bool{
	"host starts": true, "host stops": true, "host stopped": true, "the process stood still": true,
	"store lost": true, "store answers": true, "peer lost": true, "relay does not answer": true, "duties claimed": true, "duties given up": true,
	"configuration in force": true, "backend servers ordered": true, "stage ordered": true, "backend server gone": true,
	"time of day corrected by the peers": true, "log lines dropped": true,
}

func writeEvents(w io.Writer, lines []Line) error {
	var events []Line
	for _, l := range lines {
		if reportedMessages[l.Message] {
			events = append(events, l)
		}
	}
	var text bytes.Buffer
	if err := WriteLines(&text, events); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "<h2>Decisions and dependencies</h2>\n<pre>%s</pre>\n", html.EscapeString(text.String()))
	return eris.Wrap(err, "write the report")
}
