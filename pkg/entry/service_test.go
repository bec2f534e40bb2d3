package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// testService counts the calls that it runs. onCall, if set, may handle a call
// itself and violate the protocol.
type testService struct {
	*httptest.Server
	mu      sync.Mutex
	runs    int
	headers http.Header
	onCall  func(w http.ResponseWriter, r *http.Request, run int) (handled bool)
}

func newTestService(t testing.TB) *testService {
	s := &testService{}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

// ServeHTTP implements http.Handler.
func (s *testService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.runs++
	run := s.runs
	s.headers = r.Header.Clone()
	s.mu.Unlock()
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	if s.onCall != nil && s.onCall(w, r, run) {
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Set-Cookie", "session=1")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "%s %s %s run %d", r.Method, r.URL.RequestURI(), body, run)
}

func (s *testService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// Guards against changing a forwarded call, and against forwarding headers that
// are not on the lists.
func TestServiceForwarded(t *testing.T) {
	h := newTestHost(t, nil)
	s := newTestService(t)
	h.router.add(model.PoolService, "p1", s.URL)

	resp, body := h.do(t, "POST", "/orders/7?size=2", `{"lot":1}`, "Cookie", "a=b", "X-Api-Key", testKey, "Prefer", "minimal")
	require.Equal(t, http.StatusCreated, resp.StatusCode)
	require.Equal(t, `POST /orders/7?size=2 {"lot":1} run 1`, body)
	require.Empty(t, resp.Header.Get("Set-Cookie"))
	require.Equal(t, "minimal", s.headers.Get("Prefer"))
	for _, name := range []string{"Authorization", "X-Api-Key", "Cookie"} {
		require.NotContains(t, s.headers, name)
	}
	require.Equal(t, "duelas", s.headers.Get(engine.HeaderOrganisation))

	_, body = h.do(t, "GET", "/public/hours", "", "Authorization", "")
	require.Equal(t, "GET /public/hours  run 2", body)
}

// dropConnection drops the connection instead of responding to a call that was
// run.
func dropConnection(http.ResponseWriter, *http.Request, int) bool { panic(http.ErrAbortHandler) }

// firstOnly applies onCall only to the first call of a service.
func firstOnly(onCall func(http.ResponseWriter, *http.Request, int) bool) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, r *http.Request, run int) bool { return run == 1 && onCall(w, r, run) }
}

// Guards against running a non-idempotent call twice, reporting a lost call as
// not run, and failing a call that may be repeated.
func TestServiceFailures(t *testing.T) {
	foreign := func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		w.Header().Set(engine.HeaderRequestID, "other")
		_, _ = io.WriteString(w, "response to another call")
		return true
	}
	half := func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		return true
	}
	hang := func(_ http.ResponseWriter, r *http.Request, _ int) bool { <-r.Context().Done(); return true }
	cases := []struct {
		name   string
		onCall func(http.ResponseWriter, *http.Request, int) bool
		path   string
		status int
		ran    model.Ran
		runs   int
	}{
		{"lost", dropConnection, "/orders/1", 502, model.RanUnknown, 1},
		{"lost, idempotent", dropConnection, "/stock/1", 201, "", 2},
		{"foreign", foreign, "/orders/1", 502, model.RanUnknown, 1},
		{"foreign, idempotent", foreign, "/stock/1", 201, "", 2},
		{"half", half, "/orders/1", 502, model.WasRun, 1},
		{"half, idempotent", half, "/stock/1", 201, "", 2},
		{"hung", hang, "/orders/1", 504, model.RanUnknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(s *Settings) { s.ServiceTimeout = 300 * time.Millisecond })
			bad, good := newTestService(t), newTestService(t)
			bad.onCall = c.onCall
			h.router.add(model.PoolService, "bad", bad.URL)
			h.router.add(model.PoolService, "good", good.URL)
			resp, body := h.do(t, "POST", c.path, "{}")
			require.Equal(t, c.status, resp.StatusCode, body)
			if c.ran != "" {
				require.Equal(t, c.ran, errorOf(t, body).Ran)
			}
			require.Equal(t, c.runs, bad.count()+good.count())
		})
	}
}

// Guards against failing a call that could not be sent, whether idempotent or
// not.
func TestUnsentServiceCallIsRetried(t *testing.T) {
	h := newTestHost(t, nil)
	gone, good := newTestService(t), newTestService(t)
	gone.Close()
	h.router.add(model.PoolService, "gone", gone.URL)
	h.router.add(model.PoolService, "good", good.URL)
	resp, _ := h.do(t, "POST", "/orders/1", "{}")
	require.Equal(t, http.StatusCreated, resp.StatusCode)
	require.Equal(t, 1, good.count())
	h.router.down["good"] = true
	resp, body := h.do(t, "POST", "/orders/1", "{}")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, model.NotRun, errorOf(t, body).Ran)
}

// Guards against relaying a truncated response as a complete one, and against
// responses without a size limit.
func TestServiceLongResponses(t *testing.T) {
	h := newTestHost(t, func(s *Settings) { s.MaxResponseBytes = 1 << 20 })
	s := newTestService(t)
	size := 512 * 1024
	s.onCall = func(w http.ResponseWriter, _ *http.Request, run int) bool {
		_, _ = w.Write(make([]byte, size))
		if run == 2 {
			panic(http.ErrAbortHandler)
		}
		return true
	}
	h.router.add(model.PoolService, "p1", s.URL)
	_, body := h.do(t, "GET", "/stock/1", "")
	require.Len(t, body, size)
	for range 2 {
		resp, err := h.client.Do(h.request("GET", "/stock/1", ""))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		require.Error(t, err)
		size = 2 << 20
	}
}

// postWithKey posts an order with an idempotency key.
func (h *testHost) postWithKey(t *testing.T, body string) (*http.Response, string) {
	return h.do(t, "POST", "/orders/1", body, "Idempotency-Key", "k")
}

// Guards against running a duplicate of a call, and against responding to it
// with anything but the outcome of the first call.
func TestIdempotencyKey(t *testing.T) {
	h := newTestHost(t, nil)
	s := newTestService(t)
	h.router.add(model.PoolService, "p1", s.URL)
	first, firstBody := h.postWithKey(t, "{}")
	require.Equal(t, http.StatusCreated, first.StatusCode)
	require.NotEmpty(t, first.Header.Get(headerIdempotencyKeyExpires))
	h.waitIdle(t)
	again, againBody := h.postWithKey(t, "{}")
	require.Equal(t, http.StatusCreated, again.StatusCode)
	require.Equal(t, firstBody, againBody)
	require.Equal(t, "true", again.Header.Get(headerReplayed))
	require.Equal(t, first.Header.Get(headerIdempotencyKeyExpires), again.Header.Get(headerIdempotencyKeyExpires))
	resp, body := h.postWithKey(t, "{ }")
	require.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)
	require.Equal(t, model.CodeIdempotencyMismatch, errorOf(t, body).Code)
	require.Equal(t, 1, s.count())
}

// Guards against a second run after a lost response, a failed host or a
// response that is too large to keep, and while the first run is in progress.
func TestIdempotencyKeyOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		onCall func(http.ResponseWriter, *http.Request, int) bool
		set    func(h *testHost)
		code   model.ErrorCode
		ran    model.Ran
		runs   int
	}{
		{"lost response", dropConnection, nil, model.CodeOutcomeUnknown, model.RanUnknown, 1},
		{"large response", func(w http.ResponseWriter, _ *http.Request, _ int) bool {
			_, _ = w.Write(make([]byte, 20*1024))
			return true
		}, nil, model.CodeOutcomeUnknown, model.WasRun, 1},
		{"outcome not logged", nil, func(h *testHost) { h.removeOutcome() }, model.CodeInProgress, model.RanUnknown, 1},
		{"host gone", nil, func(h *testHost) {
			h.removeOutcome()
			h.view.members = nil
		}, model.CodeOutcomeUnknown, model.RanUnknown, 1},
		{"log down", nil, func(h *testHost) {
			h.view.idempotency = map[string]state.IdempotencyEntry{}
			h.log.err = platform.ErrRateLimited
		}, model.CodeLogUnavailable, model.NotRun, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, nil)
			s := newTestService(t)
			s.onCall = c.onCall
			h.router.add(model.PoolService, "p1", s.URL)
			_, _ = h.postWithKey(t, "{}")
			h.waitIdle(t)
			if c.set != nil {
				c.set(h)
			}
			_, body := h.postWithKey(t, "{}")
			require.Equal(t, c.code, errorOf(t, body).Code, body)
			require.Equal(t, c.ran, errorOf(t, body).Ran)
			require.Equal(t, c.runs, s.count())
		})
	}
}

// Guards against rejecting a duplicate as not run because of the rate limit
// although the first call ran (found by the soak test, seed 21).
func TestIdempotencyKeyDuplicateOverRateLimit(t *testing.T) {
	h := newTestHost(t, nil)
	s := newTestService(t)
	h.router.add(model.PoolService, "p1", s.URL)
	_, _ = h.postWithKey(t, "{}")
	h.waitIdle(t)
	h.limiter.reject = true
	again, _ := h.postWithKey(t, "{}")
	require.Equal(t, http.StatusCreated, again.StatusCode)
	require.Equal(t, "true", again.Header.Get(headerReplayed))
	require.Equal(t, 1, s.count())
}

// removeOutcome removes the outcome of the only key, as if it had never been
// logged.
func (h *testHost) removeOutcome() {
	e := h.view.idempotency["duelas/k"]
	e.Outcome = nil
	h.view.idempotency["duelas/k"] = e
}

// Guards against a second run when a call and its duplicates arrive at the same
// time.
func TestIdempotencyKeyConcurrent(t *testing.T) {
	h := newTestHost(t, nil)
	s := newTestService(t)
	s.onCall = func(http.ResponseWriter, *http.Request, int) bool { time.Sleep(20 * time.Millisecond); return false }
	h.router.add(model.PoolService, "p1", s.URL)
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() { _, _ = h.postWithKey(t, "{}") })
	}
	callers.Wait()
	require.Equal(t, 1, s.count())
}

// Guards against a key that stays blocked because the response to the append of
// its claim was lost, and against interrupting a call whose caller has
// disconnected.
func TestIdempotencyKeyLateClaim(t *testing.T) {
	h := newTestHost(t, nil)
	s := newTestService(t)
	s.onCall = firstOnly(func(http.ResponseWriter, *http.Request, int) bool { time.Sleep(100 * time.Millisecond); return false })
	h.router.add(model.PoolService, "p1", s.URL)
	h.log.err = platform.ErrUnavailable
	resp, body := h.postWithKey(t, "{}")
	require.Equal(t, model.CodeLogUnavailable, errorOf(t, body).Code)
	require.Equal(t, model.NotRun, errorOf(t, body).Ran)
	h.log.err = nil
	claim, err := logrec.New(logrec.KindIdempotencyClaim, logrec.IdempotencyClaim{
		Organisation: "duelas", Key: "k", RequestID: model.RequestID(resp.Header.Get(engine.HeaderRequestID)),
	})
	require.NoError(t, err)
	_, err = h.log.Append(context.Background(), claim)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.log.count(logrec.KindIdempotencyOutcome) == 1 }, 5*time.Second, 10*time.Millisecond)

	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err = h.client.Do(h.request("POST", "/orders/1", "{}", "Idempotency-Key", "k").WithContext(ctx))
	require.Error(t, err)
	h.waitIdle(t)
	resp, _ = h.postWithKey(t, "{}")
	require.Equal(t, "true", resp.Header.Get(headerReplayed))
	require.Equal(t, 1, s.count())
}

// Guards against a body that ends with the caller's connection, so that the end of the host
// would look like its end, and against keeping a body without a framing as the outcome of an
// idempotency key.
func TestServiceResponseWithoutFraming(t *testing.T) {
	h := newTestHost(t, nil)
	s := newTestService(t)
	s.onCall = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, "part")
		return true
	}
	h.router.add(model.PoolService, "p1", s.URL)
	for _, path := range []string{"/stock/1", "/orders/1"} {
		resp, body := h.do(t, "POST", path, "{}")
		require.Equal(t, "part", body)
		require.True(t, resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	}
	h.postWithKey(t, "{}")
	h.waitIdle(t)
	resp, _ := h.postWithKey(t, "{}")
	require.NotEqual(t, http.StatusOK, resp.StatusCode, "the outcome has no complete body")
	require.Equal(t, 3, s.count())
}

// Guards against a part of a body that looks whole, since its service has crashed.
func TestServiceResponseThatEndsWithItsServiceIsNotWhole(t *testing.T) {
	for _, path := range []string{"/stock/1", "/orders/1"} {
		h := newTestHost(t, nil)
		s := newTestService(t)
		s.onCall = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "part")
			_ = s.Listener.Close()
			return true
		}
		h.router.add(model.PoolService, "p1", s.URL)
		resp, err := h.client.Do(h.request("POST", path, "{}"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		require.True(t, err != nil || resp.StatusCode >= 500, path)
	}
}

// Guards against a body without a length for a caller that knows no chunks: the end of the
// host would look like its end.
func TestServiceResponseForHTTP10HasALength(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		h := newTestHost(t, nil)
		s := newTestService(t)
		s.onCall = func(w http.ResponseWriter, _ *http.Request, _ int) bool {
			if unframed {
				w.Header().Set("Transfer-Encoding", "identity")
			}
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			return true
		}
		h.router.add(model.PoolService, "p1", s.URL)
		for _, path := range []string{"/stock/1", "/orders/1"} {
			req := h.request("POST", path, "{}")
			conn, err := net.Dial("tcp", req.URL.Host)
			require.NoError(t, err)
			var raw bytes.Buffer
			require.NoError(t, req.Write(&raw))
			_, err = io.WriteString(conn, strings.Replace(raw.String(), "HTTP/1.1", "HTTP/1.0", 1))
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "part", string(body))
			require.EqualValues(t, 4, resp.ContentLength, path)
			require.NoError(t, conn.Close())
		}
	}
}
