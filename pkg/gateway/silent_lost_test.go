package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// resetInsideFirstEvent begins a stream and resets the connection inside the first event.
func resetInsideFirstEvent(b *backendServer, conn net.Conn, r *http.Request) {
	b.runs.Add(1)
	_, _ = fmt.Fprintf(conn, signedHead+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 99\nda", r.Header.Get("X-Id"))
	time.Sleep(5 * time.Millisecond)
	reset(conn)
	_ = conn.Close()
}

func oneRetry(s *Settings) { s.RetrySlack, s.RetryRatio = 1, 0 }

// refuseAndDelayOthers makes the first of several engines that gets the request refuse it,
// while the predicted times at the rest of them grow beyond any deadline.
func (l *workLog) refuseAndDelayOthers(bed func() *testbed) requestHandler {
	var once sync.Once
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		refuses := false
		once.Do(func() { refuses = true })
		if !refuses {
			l.serve(b, conn, r)
			return
		}
		fleet := bed().fleet
		for _, other := range fleet.List() {
			if strings.HasPrefix(string(other.ID), "other") && string(other.ID) != b.id {
				delayBackend(fleet, other.ID)
			}
		}
		refuse(b, conn, r)
	}
}

// delayBackend makes the predicted time at an engine longer than any deadline.
func delayBackend(fleet *placement.Fleet, id model.BackendID) {
	request := placement.Request{Service: "model", PromptTokens: 1 << 20}
	for _, other := range fleet.List() {
		if other.ID != id {
			request.Exclude = append(request.Exclude, other.ID)
		}
	}
	if plan, ok := fleet.Place(&request, time.Now()); ok {
		fleet.Send(plan, &request, time.Now())
	}
}

// Guards against cancelling the run of a sound engine for others that do not serve the
// stream.
func TestStreamOfASilentEngineIsNotLostToOthers(t *testing.T) {
	for name, o := range map[string]others{
		"that refuses":                       {handlers: []requestHandler{refuse}},
		"that refuses, four attempts":        {handlers: []requestHandler{refuse}, attempts: 4},
		"that accepts no connection":         {closed: true},
		"that breaks off at once":            {handlers: []requestHandler{closeAfterRun}},
		"that resets inside its first event": {handlers: []requestHandler{resetInsideFirstEvent}},
		"of which five refuse":               {handlers: slices.Repeat([]requestHandler{refuse}, 5), attempts: 8},
		"that uses up the retry budget":      {handlers: slices.Repeat([]requestHandler{refuse}, 2), settings: oneRetry, attempts: 4},
	} {
		t.Run(name, func(t *testing.T) { requireWholeStream(t, "/say/", only(o)) })
	}
	t.Run("whose predicted time has grown", func(t *testing.T) {
		requireWholeStream(t, "/say/", func(l *workLog, bed func() *testbed) others {
			return others{handlers: slices.Repeat([]requestHandler{l.refuseAndDelayOthers(bed)}, 3), attempts: 4}
		})
	})
}

// Guards against cancelling the run of a sound server for others that do not answer.
func TestCallOfASilentServerIsNotLostToOthers(t *testing.T) {
	for name, o := range map[string]others{
		"that refuses":                  {handlers: []requestHandler{refuse}},
		"that accepts no connection":    {closed: true},
		"that breaks off at once":       {handlers: []requestHandler{closeAfterRun}},
		"of which five refuse":          {handlers: slices.Repeat([]requestHandler{refuse}, 5), attempts: 8},
		"that uses up the retry budget": {handlers: slices.Repeat([]requestHandler{refuse}, 2), settings: oneRetry, attempts: 4},
	} {
		t.Run(name, func(t *testing.T) {
			requireWholeAnswer(t, http.MethodGet, "/look/", func(*workLog) others { return o })
		})
	}
}

// Guards against leaving a silent engine because a stream that has begun could be read at
// a prefill engine, which it may not use.
func TestBegunStreamIsNotMovedForAPrefillEngine(t *testing.T) {
	log := &workLog{}
	sound := startBackend(t, "sound", log.pauseOnce(silencePoint{events: 2}))
	other, prefill := startBackend(t, "other", log.serve), startBackend(t, "prefill", respondAfter(500*time.Millisecond, "handle"))
	bed := newTestbed(t, shortStallTimeouts, sound.engine(placement.StageDecode), far(other.engine(placement.StageDecode)), prefill.engine(placement.StagePrefill))
	r := bed.do(t, http.MethodPost, "/say/", "", map[string]string{"X-Tokens": "60000", "X-Deadline": "1800"})
	assert.NoError(t, r.err)
	assert.Equal(t, eventsUpTo(lastSilentEvent), r.body)
	assert.EqualValues(t, 1, sound.runs.Load()+other.runs.Load())
}

// Guards against leaving a server to which the request could not return.
func TestStreamOfALeavingServerStaysThere(t *testing.T) {
	log := &workLog{}
	var bed *testbed
	sound := startBackend(t, "sound", func(b *backendServer, conn net.Conn, r *http.Request) {
		leaving := decodeEngine(b)
		leaving.Leaving = true
		bed.fleet.Update(leaving)
		log.pauseOnce(silencePoint{events: 2})(b, conn, r)
	})
	bed = others{handlers: []requestHandler{refuse}}.bed(t, "/say/", decodeEngine(sound), decodeEngine)
	r := bed.do(t, http.MethodPost, "/say/", "", map[string]string{"X-Tokens": "10", "X-Deadline": "1800"})
	assert.NoError(t, r.err)
	assert.Equal(t, eventsUpTo(lastSilentEvent), r.body)
	assert.EqualValues(t, 1, sound.runs.Load())
}

// Guards against taking a silence inside a failure's body for a crash.
func TestSilenceInsideAFailureIsNoCrash(t *testing.T) {
	var bed *testbed
	refusing := startBackend(t, "b", refuse)
	failing := startBackend(t, "a", func(_ *backendServer, conn net.Conn, r *http.Request) {
		bed.fleet.Update(decodeEngine(refusing))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 X\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nab", r.Header.Get("X-Id"))
		time.Sleep(silence)
		_, _ = fmt.Fprint(conn, "cde")
	})
	bed = newTestbed(t, shortStallTimeouts, decodeEngine(failing))
	r := bed.do(t, http.MethodPost, "/say/", "", map[string]string{"X-Tokens": "10", "X-Deadline": "1800"})
	assert.Equal(t, http.StatusInternalServerError, r.status)
	assert.Equal(t, "abcde", r.body)
	assert.Empty(t, bed.gateway.Suspects())
}

// Guards against an end of a stream that is lost because it comes late after the last event.
func TestEndLongAfterTheLastEventReachesTheCaller(t *testing.T) {
	engine := startBackend(t, "a", func(_ *backendServer, conn net.Conn, r *http.Request) {
		event := eventText(1)
		_, _ = fmt.Fprintf(conn, signedHead+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("X-Id"), len(event), event)
		time.Sleep(silence)
		_, _ = fmt.Fprint(conn, "0\r\n\r\n")
	})
	bed := newTestbed(t, func(s *Settings) { s.WriteTimeout = silence / 2 }, decodeEngine(engine))
	r := bed.do(t, http.MethodPost, "/say/", "", nil)
	assert.NoError(t, r.err)
	assert.Equal(t, eventsUpTo(1), r.body)
}
