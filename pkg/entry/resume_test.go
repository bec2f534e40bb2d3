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

// quick shortens the limits that tests wait for.
func quick(s *Settings) {
	s.ProgressFloor = 150 * time.Millisecond
	s.TokenGap = time.Millisecond
	s.FirstTokenFloor = 300 * time.Millisecond
	s.WriteTimeout = 300 * time.Millisecond
}

// twoEngines returns a host whose requests go to the first engine, which
// misbehaves at token 3, and then to the second.
func twoEngines(t *testing.T, step func(w *engineWriter, token int) bool) (*testHost, *testEngine, *testEngine) {
	h := newTestHost(t, quick)
	bad, good := newTestEngine(t), newTestEngine(t)
	bad.step = func(w *engineWriter, token int) bool { return token != 3 || step(w, token) }
	h.router.add(model.PoolEngine, "bad", bad.URL)
	h.router.add(model.PoolEngine, "good", good.URL)
	return h, bad, good
}

// Guards against lost, repeated and foreign tokens when an engine fails or
// mixes answers up in the middle of a stream.
func TestStreamSurvives(t *testing.T) {
	cases := []struct {
		name    string
		step    func(w *engineWriter, token int) bool
		resumes int
		counter Counter
	}{
		{"dropped", func(w *engineWriter, _ int) bool { w.drop(); return false }, 1, CountResumed},
		{"ended early", func(*engineWriter, int) bool { return false }, 0, CountTokens},
		{"hung", func(w *engineWriter, _ int) bool { w.hang(); return false }, 1, CountNoProgress},
		{"token left out", func(w *engineWriter, token int) bool { w.token(token+1, w.id); return false }, 1, CountResumed},
		{"token repeated", func(w *engineWriter, token int) bool { w.token(token-1, w.id); return false }, 1, CountResumed},
		{"garbage", func(w *engineWriter, _ int) bool { _, _ = fmt.Fprint(w, "data: {\n\n"); return false }, 1, CountResumed},
		{"foreign chunk", func(w *engineWriter, token int) bool { w.token(token, "other"); return true }, 0, CountForeign},
		{"foreign answer", func(w *engineWriter, token int) bool {
			for i := range 70 {
				w.token(token+i, "other")
			}
			return false
		}, 1, CountForeign},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, bad, good := twoEngines(t, c.step)
			if c.name == "ended early" {
				// Its end comes with the index 10 after 3 tokens.
				c.resumes = 1
				bad.step = func(w *engineWriter, token int) bool {
					return token < 3 || func() bool { _, _ = fmt.Fprint(w, "data: [DONE]\n\n"); return false }()
				}
			}
			got := h.stream(t, 10)
			require.True(t, got.done)
			require.Equal(t, words(10), got.text)
			require.Equal(t, 10, got.last.Usage.CompletionTokens)
			require.Equal(t, 1, bad.starts())
			require.Equal(t, c.resumes, good.starts())
			h.settle(t)
			require.Positive(t, h.metrics.get(c.counter))
			require.Equal(t, []logrec.UsageLine{{Organisation: "duelas", Pool: "tasador", Requests: 1, PromptTokens: 7, CachedTokens: 2, OutputTokens: 10}}, h.usage.lines)
		})
	}
}

// Shows that the reader of these tests notices a repeated token, which is what
// a host without the index check would pass on.
func TestCallerCheckFails(t *testing.T) {
	next := 0
	err := checkOrder(&next, engine.ChatChunk{Index: 0, Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: "w0 "}}}})
	require.NoError(t, err)
	err = checkOrder(&next, engine.ChatChunk{Index: 0, Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: "w0 "}}}})
	require.Error(t, err)
}

// Guards against retries without bound and against a wrong statement when no
// engine is left.
func TestRetriesEnd(t *testing.T) {
	h := newTestHost(t, func(s *Settings) { s.RetryBurst, s.RetryRatio = 2, 0 })
	e := newTestEngine(t)
	e.step = func(w *engineWriter, _ int) bool { w.drop(); return false }
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

	// A pooled connection could still take the request, which would be unknown.
	h.engines.Transports().CloseIdle()
	e.Close()
	resp, body = h.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, model.NotRun, errorOf(t, body).Ran, "no connection, so nothing was sent")
}

// Guards against waiting beyond the total time limit, before and within a
// stream, and against an end marker on an incomplete answer.
func TestTotalTimeLimit(t *testing.T) {
	h := newTestHost(t, func(s *Settings) { s.ModelTimeout = 200 * time.Millisecond })
	e := newTestEngine(t)
	var hangAt atomic.Int32
	e.step = func(w *engineWriter, token int) bool {
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
	require.Equal(t, words(2), got.text)
	require.Equal(t, model.WasRun, errorOf(t, got.err).Ran)
	h.settle(t)
	require.NotEmpty(t, e.canceled)
}

// Guards against engines that work on for callers that have gone.
func TestCallerGone(t *testing.T) {
	h := newTestHost(t, nil)
	e := newTestEngine(t)
	e.delay = 5 * time.Millisecond
	h.router.add(model.PoolEngine, "e1", e.URL)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := h.client.Do(h.request("POST", chatPath, chatBody(10000, true)).WithContext(ctx))
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	h.settle(t)
	require.Equal(t, []model.RequestID{model.RequestID(resp.Header.Get(engine.HeaderRequestID))}, e.canceled)
	require.Equal(t, int64(1), h.metrics.get(CountCallersGone))
}

// Guards against a caller that reads nothing holding a stream, and against
// blaming the engine for it.
func TestSlowCaller(t *testing.T) {
	h := newTestHost(t, quick)
	e := newTestEngine(t)
	e.pad = strings.Repeat("x", 8*1024)
	h.router.add(model.PoolEngine, "e1", e.URL)
	resp, err := h.client.Do(h.request("POST", chatPath, chatBody(1500, true)))
	require.NoError(t, err)
	h.settle(t)
	_ = resp.Body.Close()
	require.Equal(t, int64(1), h.metrics.get(CountSlowCallers))
	require.Zero(t, h.metrics.get(CountNoProgress))
	require.False(t, h.router.feedback[0].Failed)
}

// Guards against blaming the engine for a caller that pauses for longer than
// the progress limit but within its own.
func TestPausingCaller(t *testing.T) {
	h := newTestHost(t, func(s *Settings) {
		quick(s)
		s.WriteTimeout = 5 * time.Second
	})
	e := newTestEngine(t)
	e.pad = strings.Repeat("x", 8*1024)
	h.router.add(model.PoolEngine, "e1", e.URL)
	resp, err := h.client.Do(h.request("POST", chatPath, chatBody(1500, true)))
	require.NoError(t, err)
	time.Sleep(600 * time.Millisecond)
	require.True(t, readStream(t, resp).done)
	require.Zero(t, h.metrics.get(CountNoProgress))
	require.Equal(t, 1, e.starts())
}

// Guards against streams that end with their engine's notice period, with and
// without KV transfer, and against lost tokens at the change.
func TestLeavingMovesStreams(t *testing.T) {
	for _, kv := range []bool{true, false} {
		h := newTestHost(t, quick)
		from, to := newTestEngine(t), newTestEngine(t)
		from.delay = 2 * time.Millisecond
		from.noKV = !kv
		h.router.add(model.PoolEngine, "from", from.URL)
		done := make(chan streamed)
		go func() { done <- h.stream(t, 300) }()
		require.Eventually(t, func() bool { return from.starts() == 1 }, time.Second, time.Millisecond)
		h.Leaving("from", time.Now().Add(700*time.Millisecond))
		// The other engine comes later; until then the stream stays.
		time.Sleep(30 * time.Millisecond)
		h.router.add(model.PoolEngine, "to", to.URL)
		got := <-done
		require.True(t, got.done)
		require.Equal(t, words(300), got.text)
		h.settle(t)
		require.Equal(t, 1, to.starts())
		require.Equal(t, kv, to.imported == 1)
		require.Equal(t, int64(1), h.metrics.get(CountMoved))
		require.Zero(t, h.metrics.get(CountRetries))
		require.NotEmpty(t, from.canceled)
	}
}

// Guards against decoding on an engine that is meant for prefill when its KV
// cache can be moved.
func TestHandOver(t *testing.T) {
	h := newTestHost(t, nil)
	prefill, decode := newTestEngine(t), newTestEngine(t)
	prefill.delay = 2 * time.Millisecond
	h.router.add(model.PoolEngine, "prefill", prefill.URL)
	h.router.add(model.PoolEngine, "decode", decode.URL)
	h.router.handOver = "prefill"
	got := h.stream(t, 200)
	require.True(t, got.done)
	require.Equal(t, words(200), got.text)
	h.settle(t)
	require.Equal(t, 1, decode.starts())
	require.Equal(t, int64(1), h.metrics.get(CountHandedOver))
	last := h.router.feedback[len(h.router.feedback)-1]
	require.Equal(t, model.BackendID("prefill"), last.Request.KVFrom)
}

// Guards against a request that crashes engine after engine, also when its
// caller repeats it or another host saw the crashes.
func TestCrashSuspect(t *testing.T) {
	h := newTestHost(t, quick)
	var engines []*testEngine
	for i := range 3 {
		e := newTestEngine(t)
		e.step = func(w *engineWriter, _ int) bool {
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
	h.settle(t)
	require.Equal(t, 2, h.log.count(logrec.KindCrash))
	require.Len(t, h.spread, 2)

	resp, body := h.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)
	require.Equal(t, model.NotRun, errorOf(t, body).Ran)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, engines[2].starts())

	other := newTestHost(t, quick)
	good := newTestEngine(t)
	other.router.add(model.PoolEngine, "good", good.URL)
	for _, crash := range h.spread {
		other.HearCrash(crash)
		other.HearCrash(crash)
	}
	_, body = other.do(t, "POST", chatPath, chatBody(5, true))
	require.Equal(t, model.CodeCrashSuspect, errorOf(t, body).Code)
	require.True(t, other.stream(t, 6).done, "another request is not affected")
}

// Guards against an innocent request that is sent on to the same engine as the one
// that has crashed theirs.
func TestRequestThatSawACrashIsPlacedApart(t *testing.T) {
	h := newTestHost(t, quick)
	crashing, good := newTestEngine(t), newTestEngine(t)
	crashing.step = func(w *engineWriter, _ int) bool {
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
	require.Len(t, h.router.suspects, 2)
	require.Empty(t, h.router.suspects[0])
	require.Equal(t, h.spread[0].Digest, h.router.suspects[1])
}

// Guards against taking a broken connection to a running engine for a crash.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	h, _, _ := twoEngines(t, func(w *engineWriter, _ int) bool { w.drop(); return false })
	require.True(t, h.stream(t, 10).done)
	h.settle(t)
	require.Zero(t, h.log.count(logrec.KindCrash))
}

// Guards against a host that was paused blaming all its engines at once, and
// against a watch that never fires after that.
func TestWatchAfterPause(t *testing.T) {
	w := newProgressWatch(time.Hour, func() {})
	defer w.end()
	require.False(t, w.checkAt(w.due+time.Second), "the host ran late")
	require.True(t, w.checkAt(w.due), "on time the second time")
	w.touch()
	require.False(t, w.checkAt(time.Since(watchBase)))
}
