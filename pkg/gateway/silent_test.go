package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Scaled times of a sound server that falls silent and goes on: longer than the stall
// timeouts, far shorter than the deadline.
const (
	shortStallTimeout = 100 * time.Millisecond
	silence           = 260 * time.Millisecond
	lastSilentEvent   = 6
	// maxOverlap is how long two servers may work on one request.
	maxOverlap = 100 * time.Millisecond
)

// workLog records when the fake servers of a test work on its request.
type workLog struct {
	mu    sync.Mutex
	spans []*workSpan
}

type workSpan struct{ began, ended time.Time }

// begin records the beginning of a run. The run ends with the handler or when the gateway
// closes the connection, whichever is earlier.
func (l *workLog) begin(conn net.Conn) (end func()) {
	span := &workSpan{began: time.Now()}
	l.mu.Lock()
	l.spans = append(l.spans, span)
	l.mu.Unlock()
	end = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if span.ended.IsZero() {
			span.ended = time.Now()
		}
	}
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		end()
	}()
	return end
}

// longestOverlap returns the longest time for which two runs were at work.
func (l *workLog) longestOverlap() (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endOf := func(s *workSpan) time.Time {
		if s.ended.IsZero() {
			return time.Now()
		}
		return s.ended
	}
	for i, a := range l.spans {
		for _, b := range l.spans[i+1:] {
			from, until := a.began, endOf(a)
			if b.began.After(from) {
				from = b.began
			}
			if endOf(b).Before(until) {
				until = endOf(b)
			}
			longest = max(longest, until.Sub(from))
		}
	}
	return longest
}

func TestWorkLogFindsTheLongestOverlap(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1000 + ms)) }
	apart := workLog{spans: []*workSpan{{at(0), at(10)}, {at(10), at(500)}}}
	assert.LessOrEqual(t, apart.longestOverlap(), time.Duration(0))
	both := workLog{spans: []*workSpan{{at(0), at(50)}, {at(100), at(500)}, {at(200), at(350)}}}
	assert.Equal(t, 150*time.Millisecond, both.longestOverlap())
}

// A silencePoint is where the response of a server that falls silent stops for a while.
type silencePoint struct {
	beforeHead bool
	events     int
}

var silencePoints = map[string]silencePoint{
	"before the response": {beforeHead: true},
	"before an event":     {},
	"after two events":    {events: 2},
}

// pauseOnce falls silent at a point of the first response and then serves all responses to
// their end.
func (l *workLog) pauseOnce(at silencePoint) requestHandler {
	var mu sync.Mutex
	var until time.Time
	pause := func() {
		mu.Lock()
		if until.IsZero() {
			until = time.Now().Add(silence)
		}
		left := time.Until(until)
		mu.Unlock()
		time.Sleep(left)
	}
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		defer func() { _ = conn.Close() }()
		b.runs.Add(1)
		defer l.begin(conn)()
		if at.beforeHead {
			pause()
		}
		_, _ = fmt.Fprintf(conn, signedHead+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
		after, _ := strconv.Atoi(r.Header.Get("X-After"))
		for i := after + 1; i <= lastSilentEvent; i++ {
			if i > at.events {
				pause()
			}
			event := eventText(i)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// serve serves a whole stream.
func (l *workLog) serve(b *backendServer, conn net.Conn, r *http.Request) {
	defer func() { _ = conn.Close() }()
	defer l.begin(conn)()
	streamFrom(lastSilentEvent, true)(b, conn, r)
}

var refuse = status(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n")

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

func eventsUpTo(last int) string {
	var text strings.Builder
	for i := 1; i <= last; i++ {
		text.WriteString(eventText(i))
	}
	return text.String()
}

// closedAddress returns an address at which no connection is accepted.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func shortStallTimeouts(s *Settings) {
	s.EventGapTimeout, s.MinStallTimeout, s.StallTimeoutFactor = shortStallTimeout, shortStallTimeout, 0
}

// others are the servers beside the one that falls silent.
type others struct {
	handlers []requestHandler
	// closed adds a server that accepts no connection.
	closed bool
	// settings may be nil.
	settings func(*Settings)
	// attempts is the MaxAttempts of the route, if not 0.
	attempts int
}

// far returns a backend that is less preferred than those of the host's data centre.
func far(b placement.Backend) placement.Backend {
	b.DataCentre = "elsewhere"
	return b
}

func (o others) bed(t *testing.T, route string, first placement.Backend, kind func(*backendServer) placement.Backend) *testbed {
	t.Helper()
	backends := []placement.Backend{first}
	for i, handler := range o.handlers {
		backends = append(backends, far(kind(startBackend(t, fmt.Sprint("other", i), handler))))
	}
	if o.closed {
		backends = append(backends, far(kind(&backendServer{id: "closed", address: closedAddress(t)})))
	}
	bed := newTestbed(t, func(s *Settings) {
		shortStallTimeouts(s)
		if o.settings != nil {
			o.settings(s)
		}
	}, backends...)
	if o.attempts > 0 {
		bed.catalog.Load().Route("h", route).MaxAttempts = o.attempts
	}
	return bed
}

func decodeEngine(b *backendServer) placement.Backend { return b.engine(placement.StageDecode) }

// requireWholeStream has a sound engine fall silent beside other engines and go on.
func requireWholeStream(t *testing.T, path string, others func(*workLog, func() *testbed) others) {
	for name, point := range silencePoints {
		t.Run(name, func(t *testing.T) {
			log := &workLog{}
			sound := startBackend(t, "sound", log.pauseOnce(point))
			var bed *testbed
			bed = others(log, func() *testbed { return bed }).bed(t, path, decodeEngine(sound), decodeEngine)
			r := bed.do(t, http.MethodPost, path, "", map[string]string{"X-Tokens": "10", "X-Deadline": "1800"})
			assert.NoError(t, r.err)
			assert.Equal(t, http.StatusOK, r.status)
			assert.Equal(t, eventsUpTo(lastSilentEvent), r.body)
			assert.Less(t, log.longestOverlap(), maxOverlap, "the request is at work at two engines")
		})
	}
}

func only(o others) func(*workLog, func() *testbed) others {
	return func(*workLog, func() *testbed) others { return o }
}

func TestSilentEngineWithoutOthersGoesOn(t *testing.T) {
	requireWholeStream(t, "/say/", only(others{}))
}

func TestSilentEngineWithoutARetryBudgetGoesOn(t *testing.T) {
	requireWholeStream(t, "/say/", func(l *workLog, _ func() *testbed) others {
		return others{handlers: []requestHandler{l.serve}, settings: func(s *Settings) { s.RetrySlack, s.RetryRatio = 0, 0 }}
	})
}

func TestStreamOfASilentEngineGoesOnAtASoundOne(t *testing.T) {
	requireWholeStream(t, "/say/", func(l *workLog, _ func() *testbed) others { return others{handlers: []requestHandler{l.serve}} })
}

func TestStreamGoesOnThoughAllEnginesFallSilent(t *testing.T) {
	for _, attempts := range []int{2, 4} {
		t.Run(fmt.Sprint(attempts, " attempts"), func(t *testing.T) {
			requireWholeStream(t, "/say/", func(l *workLog, _ func() *testbed) others {
				return others{attempts: attempts, handlers: []requestHandler{
					l.pauseOnce(silencePoint{beforeHead: true}), l.pauseOnce(silencePoint{}), l.pauseOnce(silencePoint{events: 4})}}
			})
		})
	}
}

// A stream that may not be resumed must not leave a silent engine.
func TestStreamThatMayNotBeResumedStaysAtASilentEngine(t *testing.T) {
	requireWholeStream(t, "/once/", func(l *workLog, _ func() *testbed) others {
		return others{attempts: 3, handlers: []requestHandler{l.serve, refuse}}
	})
}

// silentPlain falls silent once before or inside the body of its response, for more than
// half of the time that is left, and then goes on.
func (l *workLog) silentPlain(insideBody bool) requestHandler {
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		defer func() { _ = conn.Close() }()
		again := b.runs.Add(1) > 1
		defer l.begin(conn)()
		text := fmt.Sprintf(signedHead+"Content-Length: 5\r\n\r\nwhole", r.Header.Get("X-Id"))
		if insideBody {
			_, _ = io.WriteString(conn, text[:len(text)-3])
			text = text[len(text)-3:]
		}
		if !again {
			time.Sleep(plainSilence)
		}
		_, _ = io.WriteString(conn, text)
	}
}

const plainDeadline, plainSilence = 900 * time.Millisecond, 550 * time.Millisecond

// requireWholeAnswer has a sound server fall silent beside other servers and go on. It
// returns how often that server ran the request.
func requireWholeAnswer(t *testing.T, method, path string, others func(*workLog) others) {
	for name, insideBody := range map[string]bool{"before the response": false, "inside the body": true} {
		t.Run(name, func(t *testing.T) {
			log := &workLog{}
			sound := startBackend(t, "sound", log.silentPlain(insideBody))
			bed := others(log).bed(t, path, sound.plain(), (*backendServer).plain)
			r := bed.do(t, method, path, "", map[string]string{"X-Deadline": strconv.FormatInt(plainDeadline.Milliseconds(), 10)})
			assert.NoError(t, r.err)
			assert.Equal(t, http.StatusOK, r.status)
			assert.Equal(t, "whole", r.body)
			assert.Less(t, log.longestOverlap(), maxOverlap, "the request is at work at two servers")
		})
	}
}

func (l *workLog) servePlain(b *backendServer, conn net.Conn, r *http.Request) {
	defer func() { _ = conn.Close() }()
	defer l.begin(conn)()
	respondOK("whole")(b, conn, r)
}

func TestCallOfASilentServerGetsAWholeAnswer(t *testing.T) {
	for name, others := range map[string]func(*workLog) others{
		"alone": func(*workLog) others { return others{} },
		"without a budget": func(l *workLog) others {
			return others{handlers: []requestHandler{l.servePlain}, settings: func(s *Settings) { s.RetrySlack, s.RetryRatio = 0, 0 }}
		},
		"beside a sound": func(l *workLog) others { return others{handlers: []requestHandler{l.servePlain}} },
	} {
		t.Run(name, func(t *testing.T) { requireWholeAnswer(t, http.MethodGet, "/look/", others) })
	}
}

// Guards against running a request that may run once at a second server.
func TestNonIdempotentCallStaysAtASilentServer(t *testing.T) {
	var second *workLog
	requireWholeAnswer(t, http.MethodPost, "/pay/", func(l *workLog) others {
		second = l
		return others{attempts: 3, handlers: []requestHandler{l.servePlain, refuse}, closed: true}
	})
	assert.Len(t, second.spans, 1, "runs")
}
