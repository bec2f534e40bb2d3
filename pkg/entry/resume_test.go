package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// shortLimits shortens the time limits that tests wait for.
func shortLimits(s *Settings) {
	s.MinTokenGapLimit = 150 * time.Millisecond
	s.ExpectedTokenGap = time.Millisecond
	s.MinFirstTokenLimit = 300 * time.Millisecond
	s.WriteTimeout = 300 * time.Millisecond
}

// twoEngines returns a host whose requests go first to an engine that calls
// beforeToken at token 3, and then to a good one.
func twoEngines(t *testing.T, beforeToken func(w *engineWriter, token int) bool) (*testHost, *testEngine, *testEngine) {
	h := newTestHost(t, shortLimits)
	bad, good := newTestEngine(t), newTestEngine(t)
	bad.beforeToken = func(w *engineWriter, token int) bool { return token != 3 || beforeToken(w, token) }
	h.router.add(model.PoolEngine, "bad", bad.URL)
	h.router.add(model.PoolEngine, "good", good.URL)
	return h, bad, good
}

// Guards against lost, repeated and foreign tokens when an engine fails or
// mixes up responses in the middle of a stream.
func TestStreamResumesAfterEngineFault(t *testing.T) {
	cases := []struct {
		name        string
		beforeToken func(w *engineWriter, token int) bool
		resumes     int
		counter     Counter
	}{
		{"dropped", func(w *engineWriter, _ int) bool { w.drop(); return false }, 1, CountStreamsResumed},
		{"ended early", func(*engineWriter, int) bool { return false }, 0, CountTokensDelivered},
		{"hung", func(w *engineWriter, _ int) bool { w.hang(); return false }, 1, CountStreamsWithoutProgress},
		{"token left out", func(w *engineWriter, token int) bool { w.token(token+1, w.id); return false }, 1, CountStreamsResumed},
		{"token repeated", func(w *engineWriter, token int) bool { w.token(token-1, w.id); return false }, 1, CountStreamsResumed},
		{"garbage", func(w *engineWriter, _ int) bool { _, _ = fmt.Fprint(w, "data: {\n\n"); return false }, 1, CountStreamsResumed},
		{"foreign chunk", func(w *engineWriter, token int) bool { w.token(token, "other"); return true }, 0, CountForeignResponses},
		{"foreign response", func(w *engineWriter, token int) bool {
			for i := range 70 {
				w.token(token+i, "other")
			}
			return false
		}, 1, CountForeignResponses},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, bad, good := twoEngines(t, c.beforeToken)
			if c.name == "ended early" {
				// The stream ends with the [DONE] marker after 3 of 10 tokens.
				c.resumes = 1
				bad.beforeToken = func(w *engineWriter, token int) bool {
					return token < 3 || func() bool { _, _ = fmt.Fprint(w, "data: [DONE]\n\n"); return false }()
				}
			}
			got := h.stream(t, 10)
			require.True(t, got.done)
			require.Equal(t, expectedText(10), got.text)
			require.Equal(t, 10, got.last.Usage.CompletionTokens)
			require.Equal(t, 1, bad.starts())
			require.Equal(t, c.resumes, good.starts())
			h.waitIdle(t)
			require.Positive(t, h.metrics.get(c.counter))
			require.Equal(t, []logrec.UsageLine{{Organisation: "duelas", Pool: "tasador", Requests: 1, PromptTokens: 7, CachedTokens: 2, OutputTokens: 10}}, h.usage.lines)
		})
	}
}

// Shows that checkOrder detects a repeated token, which a host without the
// index check would relay.
func TestCheckOrderDetectsRepeatedToken(t *testing.T) {
	next := 0
	err := checkOrder(&next, engine.ChatChunk{Index: 0, Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: "w0 "}}}})
	require.NoError(t, err)
	err = checkOrder(&next, engine.ChatChunk{Index: 0, Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: "w0 "}}}})
	require.Error(t, err)
}

// Guards against unlimited retries, and against a wrong run state in the error
// when no engine is left.
func TestRetryLimits(t *testing.T) {
	h := newTestHost(t, func(s *Settings) { s.RetryBurst, s.RetryRatio = 2, 0 })
	e := newTestEngine(t)
	e.beforeToken = func(w *engineWriter, _ int) bool { w.drop(); return false }
	h.router.add(model.PoolEngine, "e1", e.URL)
	resp, body := h.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	require.Equal(t, model.RanUnknown, errorOf(t, body).Ran)
	require.Equal(t, 3, e.starts())
	require.Equal(t, int64(1), h.metrics.get(CountRetriesRefused))
	_, body = h.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, model.CodeBackendFailed, errorOf(t, body).Code)
	require.Equal(t, 4, e.starts(), "the budget is used up")

	// On a pooled connection the request could be sent; its outcome would be unknown.
	h.engines.Transports().CloseIdle()
	e.Close()
	resp, body = h.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, model.NotRun, errorOf(t, body).Ran, "no connection, so nothing was sent")
}

// Guards against exceeding the total time limit, before and during a stream,
// and against an end marker on an incomplete response.
func TestTotalTimeLimit(t *testing.T) {
	h := newTestHost(t, func(s *Settings) { s.ModelTimeout = 200 * time.Millisecond })
	e := newTestEngine(t)
	var hangAt atomic.Int32
	e.beforeToken = func(w *engineWriter, token int) bool {
		if token == int(hangAt.Load()) {
			w.hang()
		}
		return token != int(hangAt.Load())
	}
	h.router.add(model.PoolEngine, "e1", e.URL)
	resp, body := h.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.Equal(t, model.CodeTimeout, errorOf(t, body).Code)
	hangAt.Store(2)
	got := h.stream(t, 5)
	require.False(t, got.done)
	require.Equal(t, expectedText(2), got.text)
	require.Equal(t, model.WasRun, errorOf(t, got.err).Ran)
	h.waitIdle(t)
	require.NotEmpty(t, e.canceled)
}

// Guards against engines that keep working for callers that have disconnected.
func TestCallerGone(t *testing.T) {
	h := newTestHost(t, nil)
	e := newTestEngine(t)
	e.tokenDelay = 5 * time.Millisecond
	h.router.add(model.PoolEngine, "e1", e.URL)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := h.client.Do(h.request("POST", chatPath, chatBody(10000, true)).WithContext(ctx))
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	h.waitIdle(t)
	require.Equal(t, []model.RequestID{model.RequestID(resp.Header.Get(engine.HeaderRequestID))}, e.canceled)
	require.Equal(t, int64(1), h.metrics.get(CountCallersGone))
}

// Guards against a caller that reads nothing holding a stream open, and against
// blaming the engine for it.
func TestSlowCaller(t *testing.T) {
	h := newTestHost(t, shortLimits)
	e := newTestEngine(t)
	e.padding = strings.Repeat("x", 8*1024)
	h.router.add(model.PoolEngine, "e1", e.URL)
	resp, err := h.client.Do(h.request("POST", chatPath, chatBody(1500, true)))
	require.NoError(t, err)
	h.waitIdle(t)
	_ = resp.Body.Close()
	require.Equal(t, int64(1), h.metrics.get(CountCallersTooSlow))
	require.Zero(t, h.metrics.get(CountStreamsWithoutProgress))
	require.False(t, h.router.feedback[0].Failed)
}

// Guards against blaming the engine for a caller that pauses for longer than
// the progress limit but within the write timeout.
func TestPausingCaller(t *testing.T) {
	h := newTestHost(t, func(s *Settings) {
		shortLimits(s)
		// Under the race detector the host needs over 150 ms to grow its copy of the
		// text at 10 MB.
		s.MinTokenGapLimit = 500 * time.Millisecond
		s.WriteTimeout = 5 * time.Second
	})
	e := newTestEngine(t)
	e.padding = strings.Repeat("x", 8*1024)
	h.router.add(model.PoolEngine, "e1", e.URL)
	resp, err := h.client.Do(h.request("POST", chatPath, chatBody(1500, true)))
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	require.True(t, readStream(t, resp).done)
	require.Zero(t, h.metrics.get(CountStreamsWithoutProgress))
	require.Equal(t, 1, e.starts())
}

// Guards against streams that end with their engine's notice period, with and
// without KV transfer, and against tokens lost in the move.
func TestLeavingMovesStreams(t *testing.T) {
	for _, kv := range []bool{true, false} {
		h := newTestHost(t, shortLimits)
		from, to := newTestEngine(t), newTestEngine(t)
		from.tokenDelay = 2 * time.Millisecond
		from.kvUnavailable = !kv
		h.router.add(model.PoolEngine, "from", from.URL)
		done := make(chan streamResult)
		go func() { done <- h.stream(t, 300) }()
		require.Eventually(t, func() bool { return from.starts() == 1 }, time.Second, time.Millisecond)
		h.BackendLeaving("from", time.Now().Add(700*time.Millisecond))
		// The stream stays until the other engine is available.
		time.Sleep(30 * time.Millisecond)
		h.router.add(model.PoolEngine, "to", to.URL)
		got := <-done
		require.True(t, got.done)
		require.Equal(t, expectedText(300), got.text)
		h.waitIdle(t)
		require.Equal(t, 1, to.starts())
		require.Equal(t, kv, to.imported == 1)
		require.Equal(t, int64(1), h.metrics.get(CountStreamsMoved))
		require.Zero(t, h.metrics.get(CountRetries))
		require.NotEmpty(t, from.canceled)
	}
}

// Guards against decoding on a prefill engine although the KV cache can be
// transferred.
func TestHandOver(t *testing.T) {
	h := newTestHost(t, nil)
	prefill, decode := newTestEngine(t), newTestEngine(t)
	prefill.tokenDelay = 2 * time.Millisecond
	h.router.add(model.PoolEngine, "prefill", prefill.URL)
	h.router.add(model.PoolEngine, "decode", decode.URL)
	h.router.handOver = "prefill"
	got := h.stream(t, 200)
	require.True(t, got.done)
	require.Equal(t, expectedText(200), got.text)
	h.waitIdle(t)
	require.Equal(t, 1, decode.starts())
	require.Equal(t, int64(1), h.metrics.get(CountStreamsHandedOver))
	last := h.router.feedback[len(h.router.feedback)-1]
	require.Equal(t, model.BackendID("prefill"), last.Request.KVFrom)
}

// Guards against a request that crashes one engine after another, also when its
// caller repeats it or another host saw the crashes.
func TestCrashSuspect(t *testing.T) {
	h := newTestHost(t, shortLimits)
	var engines []*testEngine
	for i := range 3 {
		e := newTestEngine(t)
		e.beforeToken = func(w *engineWriter, _ int) bool {
			go e.Close()
			_ = e.Listener.Close()
			w.drop()
			return false
		}
		engines = append(engines, e)
		h.router.add(model.PoolEngine, model.BackendID(fmt.Sprint("e", i)), e.URL)
	}
	_, body := h.do(t, "POST", chatPath, chatBody(5, true))
	got := errorOf(t, body)
	require.Equal(t, model.CodeCrashSuspect, got.Code)
	require.Equal(t, model.RanUnknown, got.Ran)
	require.Zero(t, engines[2].starts())
	h.waitIdle(t)
	require.Equal(t, 2, h.log.count(logrec.KindCrash))
	require.Len(t, h.broadcastCrashes, 2)

	resp, body := h.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)
	require.Equal(t, model.NotRun, errorOf(t, body).Ran)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, engines[2].starts())

	other := newTestHost(t, shortLimits)
	good := newTestEngine(t)
	other.router.add(model.PoolEngine, "good", good.URL)
	for _, crash := range h.broadcastCrashes {
		other.RecordPeerCrash(crash)
		other.RecordPeerCrash(crash)
	}
	_, body = other.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, model.CodeCrashSuspect, errorOf(t, body).Code)
	require.True(t, other.stream(t, 6).done, "another request is not affected")
}

// Guards against a missing suspect digest on a request that was running when its
// engine crashed. Without it, the router could resume an innocent request on the
// same engine as the one that caused the crash.
func TestRequestRunningDuringCrashIsMarkedSuspect(t *testing.T) {
	h := newTestHost(t, shortLimits)
	crashing, good := newTestEngine(t), newTestEngine(t)
	crashing.beforeToken = func(w *engineWriter, _ int) bool {
		go crashing.Close()
		_ = crashing.Listener.Close()
		w.drop()
		return false
	}
	h.router.add(model.PoolEngine, "crashing", crashing.URL)
	h.router.add(model.PoolEngine, "good", good.URL)
	require.True(t, h.stream(t, 5).done)
	h.router.mu.Lock()
	defer h.router.mu.Unlock()
	require.Len(t, h.router.seenSuspects, 2)
	require.Empty(t, h.router.seenSuspects[0])
	require.Equal(t, h.broadcastCrashes[0].Digest, h.router.seenSuspects[1])
}

// Guards against taking a broken connection to a running engine for a crash.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	h, _, _ := twoEngines(t, func(w *engineWriter, _ int) bool { w.drop(); return false })
	require.True(t, h.stream(t, 10).done)
	h.waitIdle(t)
	require.Zero(t, h.log.count(logrec.KindCrash))
}

// Guards against a paused host blaming all its engines at once, and against a
// watchdog that never fires afterwards.
func TestProgressWatchdogAfterHostPause(t *testing.T) {
	w := newProgressWatchdog(time.Hour, func() {})
	defer w.stop()
	require.False(t, w.checkAt(w.nextCheck+time.Second), "the host ran late")
	require.True(t, w.checkAt(w.nextCheck), "on time the second time")
	w.recordProgress()
	require.False(t, w.checkAt(time.Since(monotonicBase)))
}
