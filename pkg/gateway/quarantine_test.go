package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quarantine"
)

// holdPart makes the gateway hold back requests with a part, by the crashes that a peer
// has reported.
func (b *testbed) holdPart(id quarantine.PartID) {
	var crashes []quarantine.Crash
	for i := range 3 {
		crashes = append(crashes, quarantine.Crash{
			Server: model.BackendID(fmt.Sprint("gone", i)), Age: time.Duration(i) * time.Second, Parts: []quarantine.CrashedPart{{ID: id}}})
	}
	b.gateway.MergeCrashEvidence(crashes)
}

func (b *testbed) sendParts(t *testing.T, parts string) result {
	t.Helper()
	return b.do(t, http.MethodPost, "/say/", parts, map[string]string{"X-Tokens": "30", "X-Parts": parts})
}

func TestHeldRequestIsRefusedAsNotRun(t *testing.T) {
	engine := startBackend(t, "a", streamFrom(2, true))
	bed := newTestbed(t, nil, engine.engine(placement.StageDecode))
	bed.holdPart(7)
	for _, parts := range []string{"7,2,3", "1,7,3"} {
		r := bed.sendParts(t, parts)
		assert.Equal(t, http.StatusServiceUnavailable, r.status, parts)
		assert.NotEmpty(t, r.header.Get("Retry-After"))
	}
	assert.Zero(t, engine.runs.Load())
	assert.Equal(t, 200, bed.sendParts(t, "1,2,7").status, "the last part is the request's own")
	assert.Equal(t, 200, bed.sendParts(t, "1,2,3").status)
	state := bed.gateway.QuarantineState()
	require.Len(t, state.Held, 1)
	assert.Equal(t, "7", state.Held[0].Parts)
}

// Guards against sending a request to a decode engine although a part was found to crash
// engines while the prompt was read.
func TestPartThatIsHeldWhileThePromptIsReadReachesNoDecodeEngine(t *testing.T) {
	var bed *testbed
	prefill := startBackend(t, "p", func(_ *backendServer, conn net.Conn, r *http.Request) {
		if r.Header.Get("X-Prefill") != "" {
			bed.holdPart(7)
		}
		_, _ = fmt.Fprintf(conn, signedHead+"Content-Length: 1\r\n\r\nh", r.Header.Get("X-Id"))
	})
	decode := startBackend(t, "d", streamFrom(2, true))
	bed = newTestbed(t, nil, prefill.engine(placement.StagePrefill), decode.engine(placement.StageDecode))
	r := bed.do(t, http.MethodPost, "/say/", "", map[string]string{"X-Tokens": "60000", "X-Parts": "7,3"})
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.NotEmpty(t, prefill.requests())
	assert.Zero(t, decode.runs.Load())
}

// crashOnce ends the server as a crash does, before its first event.
func crashOnce(b *backendServer, conn net.Conn, r *http.Request) {
	b.runs.Add(1)
	_ = b.listener.Close()
	_, _ = fmt.Fprintf(conn, signedHead+"Transfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
	_ = conn.Close()
}

func TestOnlyServersThatRefuseConnectionsHaveCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		do      requestHandler
		crashes int
	}{
		"crash": {crashOnce, 1},
		"reset": {func(_ *backendServer, conn net.Conn, _ *http.Request) { reset(conn) }, 0},
		"cut response": {func(_ *backendServer, conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(conn, signedHead+"Transfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
			_ = conn.Close()
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			engine := startBackend(t, "a", c.do)
			bed := newTestbed(t, nil, engine.engine(placement.StageDecode))
			_ = bed.do(t, http.MethodPost, "/once/", "", map[string]string{"X-Tokens": "30", "X-Parts": "7,3"})
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, c.crashes, bed.gateway.QuarantineState().Suspects["7"])
		})
	}
}

// Guards against blaming requests that an engine was answering when another one crashed it.
func TestRequestThatWasAnsweredIsNoSuspect(t *testing.T) {
	engine := startBackend(t, "a", func(b *backendServer, conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, signedHead+"Transfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
		event := eventText(1)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(startOfAnswer + 50*time.Millisecond)
		_ = b.listener.Close()
		_, _ = io.WriteString(conn, "5\r\n")
		_ = conn.Close()
	})
	bed := newTestbed(t, nil, engine.engine(placement.StageDecode))
	_ = bed.do(t, http.MethodPost, "/once/", "", map[string]string{"X-Tokens": "30", "X-Parts": "7,3"})
	time.Sleep(100 * time.Millisecond)
	assert.Empty(t, bed.gateway.QuarantineState().Suspects)
}

// Guards against leaving a silent engine for a request that no engine may be sent.
func TestStreamWithAPartThatIsHeldMeanwhileStaysAtItsEngine(t *testing.T) {
	log := &workLog{}
	var bed *testbed
	sound := startBackend(t, "sound", func(b *backendServer, conn net.Conn, r *http.Request) {
		bed.holdPart(1)
		log.pauseOnce(silencePoint{events: 2})(b, conn, r)
	})
	bed = others{handlers: []requestHandler{log.serve}}.bed(t, "/say/", decodeEngine(sound), decodeEngine)
	r := bed.do(t, http.MethodPost, "/say/", "", map[string]string{"X-Tokens": "10", "X-Deadline": "1800"})
	assert.NoError(t, r.err)
	assert.Equal(t, eventsUpTo(lastSilentEvent), r.body)
}
