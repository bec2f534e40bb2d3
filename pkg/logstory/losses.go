package logstory

import (
	"cmp"
	"fmt"
	"html"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// loss is the reason for which a request was not served in time.
type loss string

// Losses. A late request has the loss of the stage that took longest beyond what the stage
// needs on an idle engine.
const (
	lossNone     loss = "in time"
	lossLength   loss = "late: long prompt"
	lossWait     loss = "late: expected wait"
	lossMeeting  loss = "late: met others"
	lossPrefill  loss = "late: slow prefill"
	lossDecode   loss = "late: first event"
	lossAttempts loss = "late: attempts before"
	lossPause    loss = "late: pauses"
	lossQuota    loss = "refused: quota"
	lossDenied   loss = "refused: not allowed"
	lossRefused  loss = "refused: other"
	lossFailed   loss = "failed"
)

// allLosses are the losses in the order of the report.
var allLosses = []loss{
	lossNone, lossLength, lossWait, lossMeeting, lossPrefill, lossDecode, lossAttempts, lossPause,
	lossQuota, lossDenied, lossRefused, lossFailed,
}

// lossPeriod is the length of the periods of the report.
const lossPeriod = 2 * time.Second

// outcome is what a log line tells about the end of a request.
type outcome struct {
	Line
	kind  string
	start time.Time
	// prefill is the prefill engine, empty if the prompt was not prefilled apart.
	prefill string
	// prefillStart and prefillEnd bound the latest prefill call.
	prefillStart, prefillEnd time.Time
	// took, firstEvent, read and sent are the fields of these names, 0 if they are missing.
	took, firstEvent, read, sent time.Duration
	loss                         loss
}

// meetingShare is the share of the unexpected time of a prefill call from which on it counts
// as spent on the prefills of others.
const meetingShare = 0.5

// collectOutcomes returns the ends of the requests and their losses.
func collectOutcomes(lines []Line) []*outcome {
	var list []*outcome
	byEngine := map[string][]*outcome{}
	for _, l := range lines {
		if l.Message != "request finished" && l.Message != "request not served" {
			continue
		}
		o := newOutcome(l)
		list = append(list, o)
		if o.read > 0 {
			byEngine[o.prefill] = append(byEngine[o.prefill], o)
		}
	}
	for _, o := range list {
		o.loss = o.classify(byEngine[o.prefill])
	}
	return list
}

func newOutcome(l Line) *outcome {
	o := &outcome{Line: l}
	o.kind, _ = l.Fields["route"].(string)
	o.prefill, _ = l.Fields["prefill"].(string)
	o.took, _ = duration(l, "took")
	o.firstEvent, _ = duration(l, "first_event")
	o.read, _ = duration(l, "read")
	o.sent, _ = duration(l, "sent")
	o.start = l.Time.Add(-o.took)
	o.prefillEnd = o.start.Add(o.sent)
	o.prefillStart = o.prefillEnd.Add(-o.read)
	return o
}

// classify returns the loss of a request. others are the requests that its prefill engine
// has prefilled.
func (o *outcome) classify(others []*outcome) loss {
	switch status := int(number(o.Line, "status")); {
	case status == http.StatusTooManyRequests:
		return lossQuota
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		return lossDenied
	case status == http.StatusServiceUnavailable:
		return lossRefused
	case o.Message == "request not served" || status >= http.StatusInternalServerError:
		return lossFailed
	}
	target, _ := duration(o.Line, "target")
	if target <= 0 {
		return lossNone
	}
	if max(o.firstEvent, 0) <= target {
		pause, _ := duration(o.Line, "longest_pause")
		if limit, _ := duration(o.Line, "max_pause"); limit > 0 && pause > limit {
			return lossPause
		}
		return lossNone
	}
	return o.lateStage(others)
}

// lateStage returns the stage of a late request that took longest.
func (o *outcome) lateStage(others []*outcome) loss {
	waiting, _ := duration(o.Line, "waiting")
	predictedRead, _ := duration(o.Line, "predicted_read")
	stages := map[loss]time.Duration{lossWait: waiting, lossLength: predictedRead - waiting}
	if o.read > 0 {
		unexpected := o.read - predictedRead
		stages[lossPrefill] = unexpected
		if met := o.timeOfOthers(others); float64(met) > meetingShare*float64(unexpected) {
			stages[lossPrefill], stages[lossMeeting] = 0, unexpected
		}
		stages[lossDecode] = o.firstEvent - o.sent
		stages[lossAttempts] = o.sent - o.read
	} else {
		stages[lossPrefill] = o.firstEvent - o.sent - predictedRead
		stages[lossAttempts] = o.sent
	}
	worst := lossLength
	for _, stage := range allLosses {
		if stages[stage] > stages[worst] {
			worst = stage
		}
	}
	return worst
}

// timeOfOthers returns the predicted prefill time, without waits, of the requests whose
// prefill overlapped with that of o on its engine.
func (o *outcome) timeOfOthers(others []*outcome) time.Duration {
	sum := time.Duration(0)
	for _, other := range others {
		overlap := minTime(other.prefillEnd, o.prefillEnd).Sub(maxTime(other.prefillStart, o.prefillStart))
		if other == o || overlap <= 0 {
			continue
		}
		read, _ := duration(other.Line, "predicted_read")
		waiting, _ := duration(other.Line, "waiting")
		sum += min(overlap, read-waiting)
	}
	return sum
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lossTable counts losses by a key.
type lossTable map[string]map[loss]int

func (t lossTable) add(key string, l loss) {
	if t[key] == nil {
		t[key] = map[loss]int{}
	}
	t[key][l]++
}

// total returns the number of requests of a row.
func (t lossTable) total(key string) int {
	n := 0
	for _, count := range t[key] {
		n += count
	}
	return n
}

// write prints the rows with as many requests as least, in order of their keys, in parts per
// hundred of their requests.
func (t lossTable) write(w io.Writer, title string, least int) {
	used := map[loss]bool{}
	for _, row := range t {
		for l := range row {
			used[l] = true
		}
	}
	fmt.Fprintf(w, "%-28s %8s", title, "requests")
	for _, l := range allLosses {
		if used[l] {
			fmt.Fprintf(w, "  %s", l)
		}
	}
	fmt.Fprintln(w)
	for _, key := range slices.Sorted(maps.Keys(t)) {
		total := t.total(key)
		if total < least {
			continue
		}
		fmt.Fprintf(w, "%-28s %8d", key, total)
		for _, l := range allLosses {
			if used[l] {
				fmt.Fprintf(w, "  %*.1f", len(l), 100*float64(t[key][l])/float64(total))
			}
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
}

// minPeriodRequests is the number of requests from which on a period or an organisation is
// listed by itself.
const minPeriodRequests = 10

// WriteLosses prints what was lost and why: by kind of request (route), by period, by
// organisation, the failed attempts, and predictions against outcomes.
func WriteLosses(w io.Writer, lines []Line) error {
	outcomes := collectOutcomes(lines)
	if len(outcomes) == 0 {
		return eris.New("there are no log lines of requests")
	}
	start := outcomes[0].start
	for _, o := range outcomes {
		start = minTime(start, o.start)
	}
	kinds, periods, organisations := lossTable{}, lossTable{}, lossTable{}
	for _, o := range outcomes {
		kinds.add(o.kind, o.loss)
		period := o.start.Sub(start).Truncate(lossPeriod)
		periods.add(fmt.Sprintf("%4.0f s %s", period.Seconds(), o.kind), o.loss)
		if organisation, ok := o.Fields["organisation"].(string); ok {
			organisations.add(organisation, o.loss)
		}
	}
	out := &strings.Builder{}
	fmt.Fprintln(out, "Shares of requests in parts per hundred.")
	kinds.write(out, "route", 1)
	organisations.write(out, "organisation", minPeriodRequests)
	periods.write(out, "second, route", minPeriodRequests)
	writeFailures(out, lines)
	writePredictions(out, outcomes)
	_, err := io.WriteString(w, out.String())
	return eris.Wrap(err, "write the losses")
}

// writeFailures prints the number of failed attempts and prefill calls by error.
func writeFailures(w io.Writer, lines []Line) {
	counts := map[string]int{}
	for _, l := range lines {
		if l.Message == "attempt failed" || l.Message == "prefill failed" {
			cause, _ := l.Fields["error"].(string)
			counts[l.Message+": "+cause]++
		}
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	fmt.Fprintln(w, "failed attempts")
	for _, name := range names[:min(len(names), maxFailures)] {
		fmt.Fprintf(w, "%8d  %s\n", counts[name], name)
	}
	fmt.Fprintln(w)
}

// maxFailures bounds the errors that are listed.
const maxFailures = 12

// writePredictions prints the predicted and the actual times of served requests.
func writePredictions(w io.Writer, outcomes []*outcome) {
	type stage struct{ name, predicted, actual string }
	fmt.Fprintf(w, "%-28s %-12s %8s  %26s  %26s\n", "route", "stage", "requests", "predicted, 50th 90th [ms]", "actual, 50th 90th [ms]")
	for _, s := range []stage{{"first event", "predicted", "first_event"}, {"prefill call", "predicted_read", "read"}} {
		predicted, actual := map[string][]float64{}, map[string][]float64{}
		for _, o := range outcomes {
			p, known := duration(o.Line, s.predicted)
			a, measured := duration(o.Line, s.actual)
			if known && measured {
				predicted[o.kind] = append(predicted[o.kind], millis(p))
				actual[o.kind] = append(actual[o.kind], millis(a))
			}
		}
		for _, kind := range slices.Sorted(maps.Keys(actual)) {
			fmt.Fprintf(w, "%-28s %-12s %8d  %13.0f %12.0f  %13.0f %12.0f\n", kind, s.name, len(actual[kind]),
				quantile(predicted[kind], 0.5), quantile(predicted[kind], 0.9), quantile(actual[kind], 0.5), quantile(actual[kind], 0.9))
		}
	}
}

// quantile returns a quantile of values, which it sorts.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// writeLossesPage writes the losses as a section of the report.
func writeLossesPage(w io.Writer, lines []Line) error {
	var text strings.Builder
	if err := WriteLosses(&text, lines); err != nil {
		// A report may cover a time without requests.
		return nil
	}
	_, err := fmt.Fprintf(w, "<h2>Losses</h2>\n<pre>%s</pre>\n", html.EscapeString(text.String()))
	return eris.Wrap(err, "write the report")
}
