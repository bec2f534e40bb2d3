package logstory

import (
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var logFiles = fstest.MapFS{
	"a.log": {Data: []byte(`{"level":"info","time":"2026-01-01T10:00:00Z","msg":"host starts","host":"a"}
{"level":"info","time":"2026-01-01T10:00:01Z","msg":"backend server seen","backend":"b1"}
{"level":"info","time":"2026-01-01T10:00:03Z","msg":"attempt failed","request":"r1","backend":"b1","error":"reset"}
not json
{"level":"warn","time":"2026-01-01T10:00:04Z","msg":"request not served","request":"r1","status":502,"backend":"b1"}
{"level":"info","time":"2026-01-01T10:00:09Z","msg":"backend server gone","backend":"b1"}
`)},
	"b.log": {Data: []byte(`12.3 host-b {"level":"info","time":"2026-01-01T10:00:02Z","msg":"request finished","request":"r2"}
12.4 host-b {"level":"warn","time":"2026-01-01T10:00:05Z","msg":"store lost","topic":"backends"}
`)},
}

// Guards against lines of other requests, later lines about backend servers, and
// lines that are no JSON objects.
func TestRequestLinesAreInOrder(t *testing.T) {
	lines, skipped, err := ReadAll(logFiles)
	require.NoError(t, err)
	assert.Equal(t, 1, skipped)
	request := RequestLines(lines, "r1")
	require.Len(t, request, 2)
	assert.Equal(t, "attempt failed", request[0].Message)
	assert.Equal(t, "a", request[0].Host)
	backendLines := BackendLines(lines, request)
	require.Len(t, backendLines, 1, "lines after the end of the request do not count")
	assert.Equal(t, "backend server seen", backendLines[0].Message)
	assert.Empty(t, BackendLines(lines, nil))
}

// Guards against lines outside the time range, lines of requests, and a line whose
// host is not taken from its prefix.
func TestSpanHoldsDecisionsAndDependencies(t *testing.T) {
	lines, _, err := ReadAll(logFiles)
	require.NoError(t, err)
	at := func(s int) time.Time { return time.Date(2026, 1, 1, 10, 0, s, 0, time.UTC) }
	span := LinesBetween(lines, at(2), at(6))
	require.Len(t, span, 1)
	assert.Equal(t, "host-b", span[0].Host)
	var out strings.Builder
	require.NoError(t, WriteLines(&out, span))
	assert.Equal(t, "10:00:05.000 host-b               store lost topic=backends\n", out.String())
}

// Guards against a report without outcomes or lost dependencies, and against one
// from no lines.
func TestReportShowsOutcomesAndLostDependencies(t *testing.T) {
	lines, _, err := ReadAll(logFiles)
	require.NoError(t, err)
	var page strings.Builder
	require.NoError(t, WriteReport(&page, lines))
	assert.Equal(t, 6, strings.Count(page.String(), "<svg"), "no request line has a prompt, so there are no heat maps")
	assert.Contains(t, page.String(), "Requests by status")
	assert.Contains(t, page.String(), "store lost topic=backends")
	assert.Error(t, WriteReport(&page, nil))
}

// Guards against wrong prefill times or cache shares of engines.
func TestReportShowsQueueAndCacheOfEachEngine(t *testing.T) {
	const lines = `{"time":"2026-01-01T10:00:00Z","msg":"host starts","host":"a"}
{"time":"2026-01-01T10:00:01Z","msg":"request finished","status":200,"prompt":1000,"uncached":250,"prefill":"p1","backend":"d1","read":"40ms"}
{"time":"2026-01-01T10:00:01Z","msg":"request finished","status":200,"prompt":1000,"uncached":750,"prefill":"p1","backend":"d2","read":"80ms"}
{"time":"2026-01-01T10:00:02Z","msg":"request finished","status":200,"prompt":500,"uncached":500,"backend":"d1"}
{"time":"2026-01-01T10:00:02Z","msg":"request finished","status":200,"backend":"plain"}
{"time":"2026-01-01T10:00:02Z","msg":"request not served","status":429,"organisation":"o1"}
{"time":"2026-01-01T10:00:04Z","msg":"platform calls","calls":{"read configuration ok":3}}
`
	parsed, _, err := Read("a.log", strings.NewReader(lines))
	require.NoError(t, err)
	engines := collectEngineStats(parsed)
	require.Len(t, engines, 2, "services are not engines")
	assert.Equal(t, "p1", engines[1].name)
	assert.Equal(t, 60.0, meanAt(engines[1].prefillMSBySecond, engines[1].prefillsBySecond, 1))
	assert.Equal(t, 0.5, meanAt(engines[1].cachedBySecond, engines[1].promptBySecond, 1))
	var page strings.Builder
	require.NoError(t, WriteReport(&page, parsed))
	assert.Equal(t, 8, strings.Count(page.String(), "<svg"))
	for _, text := range []string{"Queue: mean time", "Cache: expected share", "o1", "read configuration ok"} {
		assert.Contains(t, page.String(), text)
	}
}

// Guards against a chart that drops curves instead of adding up the smallest ones.
func TestChartWithManyCurvesKeepsTheLargest(t *testing.T) {
	c := newChart("t", "u")
	for i, name := range []string{"a", "b", "c", "d"} {
		c.add(name, 1, float64(i))
	}
	kept := c.keepLargest(2)
	assert.Equal(t, map[string]series{"d": {1: 3}, "c": {1: 2}, "others": {1: 1}}, kept.curves)
}
