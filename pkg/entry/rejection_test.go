package entry

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

const chatPath = "/v1/chat/completions"

// Guards against serving requests that must be rejected, and against rejections
// without the error code, the run state or the retry delay that callers rely
// on.
func TestRejections(t *testing.T) {
	ok := chatBody(3, true)
	cases := []struct {
		name    string
		set     func(h *testHost)
		method  string
		path    string
		body    string
		headers []string
		status  int
		code    model.ErrorCode
		retry   string
	}{
		{"no key", nil, "POST", chatPath, ok, []string{"Authorization", ""}, 401, model.CodeMissingKey, ""},
		{"wrong key", nil, "POST", chatPath, ok, []string{"Authorization", "Bearer wrong"}, 401, model.CodeInvalidKey, ""},
		{"basic", nil, "POST", chatPath, ok, []string{"Authorization", "Basic " + testKey}, 401, model.CodeInvalidKey, ""},
		{"two keys", nil, "POST", chatPath, ok, []string{"X-Api-Key", "other"}, 401, model.CodeInvalidKey, ""},
		{"revoked", func(h *testHost) { h.view.revoke(testKey) }, "POST", chatPath, ok, nil, 401, model.CodeRevokedKey, ""},
		{"no organisation", func(h *testHost) { delete(h.view.orgs, "duelas") }, "POST", chatPath, ok, nil, 401, model.CodeInvalidKey, ""},
		{"key in query", nil, "GET", "/stock/1?api_key=x", "", nil, 400, model.CodeBadRequest, ""},
		{"key in query under another name", nil, "GET", "/public/1?q=" + testKey, "", nil, 400, model.CodeBadRequest, ""},
		{"key as idempotency key", nil, "POST", "/orders/1", "", []string{"Idempotency-Key", testKey}, 400, model.CodeBadRequest, ""},
		{"stale", func(h *testHost) { h.stale = true }, "POST", chatPath, ok, nil, 503, model.CodeStaleView, "1"},
		{"no route", nil, "GET", "/nowhere", "", nil, 404, model.CodeUnknownRoute, ""},
		{"dots", nil, "GET", "/public/../orders", "", nil, 400, model.CodeBadRequest, ""},
		{"encoded dots", nil, "GET", "/public/%2e%2e/orders", "", nil, 400, model.CodeBadRequest, ""},
		{"encoded slash", nil, "GET", "/public/..%2forders", "", nil, 400, model.CodeBadRequest, ""},
		{"double slash", nil, "GET", "/public//orders", "", nil, 400, model.CodeBadRequest, ""},
		{"content type", nil, "POST", chatPath, ok, []string{"Content-Type", "text/plain"}, 415, model.CodeWrongContentType, ""},
		{"method", nil, "GET", chatPath, "", nil, 405, model.CodeBadRequest, ""},
		{"no JSON", nil, "POST", chatPath, "{", nil, 400, model.CodeBadRequest, ""},
		{"no messages", nil, "POST", chatPath, `{"model":"tasador"}`, nil, 400, model.CodeBadRequest, ""},
		{"resume", nil, "POST", chatPath, strings.Replace(ok, "{", `{"resume_from":1,`, 1), nil, 400, model.CodeBadRequest, ""},
		{"max tokens", nil, "POST", chatPath, chatBody(1<<20, true), nil, 400, model.CodeBadRequest, ""},
		{"too large", nil, "POST", chatPath, strings.Repeat(" ", 70000), nil, 413, model.CodeTooLarge, ""},
		{"unknown model", nil, "POST", chatPath, strings.Replace(ok, "tasador", "gpt", 1), nil, 404, model.CodeUnknownModel, ""},
		{"not offered", func(h *testHost) { h.view.offers = nil }, "POST", chatPath, ok, nil, 403, model.CodeNotOffered, ""},
		{"adapter not offered", nil, "POST", chatPath, strings.Replace(ok, "{", `{"adapter":"a",`, 1), nil, 403, model.CodeNotOffered, ""},
		{"other shop", nil, "POST", chatPath, ok, []string{"X-Shop", "s9"}, 404, model.CodeUnknownShop, ""},
		{"rate", func(h *testHost) { h.limiter.reject = true }, "POST", chatPath, ok, nil, 429, model.CodeRateExceeded, "2"},
		{"admission", func(h *testHost) { h.admission.reject = true }, "POST", chatPath, ok, nil, 503, model.CodeOverloaded, "2"},
		{"no engine", func(h *testHost) { h.router.down["e1"] = true }, "POST", chatPath, ok, nil, 503, model.CodeNoBackend, "1"},
		{"crash suspect", func(h *testHost) { h.view.crashes = 2 }, "POST", chatPath, ok, nil, 422, model.CodeCrashSuspect, "600"},
		{"streams", func(h *testHost) {
			h.view.orgs["duelas"] = model.Organisation{ID: "duelas", MaxStreams: 1}
			h.streams.open("duelas", 0, 0)
		}, "POST", chatPath, ok, nil, 429, model.CodeTooManyStreams, "1"},
		{"draining", func(h *testHost) { h.calls.drain() }, "POST", chatPath, ok, nil, 503, model.CodeShuttingDown, "1"},
		{"long idempotency key", nil, "POST", "/orders/1", "", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, model.CodeBadRequest, ""},
		{"public idempotency key", nil, "POST", "/public/1", "", []string{"Idempotency-Key", "k"}, 400, model.CodeBadRequest, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost(t, func(s *Settings) { s.MaxBodyBytes = 64 * 1024 })
			e, s := newTestEngine(t), newTestService(t)
			h.router.add(model.PoolEngine, "e1", e.URL)
			h.router.add(model.PoolService, "p1", s.URL)
			if c.set != nil {
				c.set(h)
			}
			resp, body := h.do(t, c.method, c.path, c.body, c.headers...)
			require.Equal(t, c.status, resp.StatusCode, body)
			got := errorOf(t, body)
			require.Equal(t, c.code, got.Code, body)
			require.Equal(t, model.NotRun, got.Ran)
			require.Equal(t, c.retry, resp.Header.Get("Retry-After"))
			require.NotEmpty(t, got.RequestID)
			require.Equal(t, string(got.RequestID), resp.Header.Get(engine.HeaderRequestID))
			require.NotContains(t, body, testKey)
			require.Zero(t, e.starts()+s.count(), "rejected requests must not run")
			h.streams.close("duelas")
		})
	}
}

// Guards against serving a closed shop, omitting its opening time, and
// rejecting public routes because the view is stale.
func TestShopsAndPublicRoutes(t *testing.T) {
	h := newTestHost(t, nil)
	e, s := newTestEngine(t), newTestService(t)
	h.router.add(model.PoolEngine, "e1", e.URL)
	h.router.add(model.PoolService, "p1", s.URL)
	opens := time.Now().UTC().Add(25 * time.Hour).Truncate(time.Minute)
	minute := opens.Hour()*60 + opens.Minute()
	h.view.shops["s1"] = model.Shop{ID: "s1", Organisation: "duelas", Hours: []model.Hours{{Day: opens.Weekday(), OpenMinute: minute, CloseMinute: minute + 1}}}
	resp, body := h.do(t, "POST", chatPath, chatBody(3, true))
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
	require.Equal(t, model.CodeShopClosed, errorOf(t, body).Code)
	require.Contains(t, errorOf(t, body).Message, opens.Format(time.RFC3339))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	h.view.shops["s2"] = model.Shop{ID: "s2", Organisation: "duelas"}
	h.view.offers = append(h.view.offers, model.Offer{ID: "o2", Shop: "s2", Model: "tasador"})
	require.True(t, h.stream(t, 3).done, "one open shop is enough")

	h.stale = true
	resp, _ = h.do(t, "GET", "/public/1", "", "Authorization", "")
	require.Equal(t, http.StatusCreated, resp.StatusCode)
}

// Guards against serving a request whose key is revoked while its body is being
// uploaded.
func TestRevokedDuringUpload(t *testing.T) {
	h := newTestHost(t, nil)
	e := newTestEngine(t)
	h.router.add(model.PoolEngine, "e1", e.URL)
	body := &revokingBody{rest: strings.NewReader(chatBody(3, true)), h: h}
	req := h.request("POST", chatPath, "")
	req.Body, req.ContentLength = body, -1
	resp, err := h.client.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Zero(t, e.starts())
}

type revokingBody struct {
	rest *strings.Reader
	h    *testHost
}

func (b *revokingBody) Read(p []byte) (int, error) {
	if b.rest.Len() == 0 {
		time.Sleep(50 * time.Millisecond)
		b.h.view.revoke(testKey)
	}
	return b.rest.Read(p)
}

func (b *revokingBody) Close() error { return nil }

// Guards against uploads that never end.
func TestBodyTimeout(t *testing.T) {
	h := newTestHost(t, func(s *Settings) { s.BodyTimeout = 100 * time.Millisecond })
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	req := h.request("POST", chatPath, "").WithContext(ctx)
	req.Body, req.ContentLength = &hangingBody{ctx}, 100
	resp, err := h.client.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
}

type hangingBody struct{ ctx context.Context }

func (b *hangingBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *hangingBody) Close() error { return nil }

// Guards against interrupting streams at shutdown, accepting new requests
// meanwhile, and exposing keys in the state dump.
func TestDrain(t *testing.T) {
	h := newTestHost(t, nil)
	e := newTestEngine(t)
	e.tokenDelay = time.Millisecond
	h.router.add(model.PoolEngine, "e1", e.URL)
	done := make(chan streamResult)
	go func() { done <- h.stream(t, 100) }()
	require.Eventually(t, func() bool { return e.starts() == 1 }, time.Second, time.Millisecond)
	dump := h.Dump()
	require.Equal(t, map[model.OrganisationID]int{"duelas": 1}, dump.OpenStreams)
	require.Len(t, dump.Requests, 1)
	require.Equal(t, model.BackendID("e1"), dump.Requests[0].Backend)
	require.Equal(t, model.KeyID("k1"), dump.Requests[0].Key)
	short, stop := context.WithTimeout(context.Background(), time.Millisecond)
	defer stop()
	require.Error(t, h.Drain(short))
	resp, _ := h.do(t, "POST", chatPath, chatBody(3, true))
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NoError(t, h.Drain(context.Background()))
	require.True(t, (<-done).done)
}

// Guards against panics on any body or path, and against paths that reach a
// backend server in another form than the one that was matched.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(chatBody(3, true)), "/public/../orders?x=%zz")
	f.Add([]byte(`{"model":"m","messages":[{}],"max_tokens":-1}`), "/orders/%2e%2e%2f")
	f.Fuzz(func(t *testing.T, body []byte, target string) {
		if chat, err := decodeChat(body); err == nil {
			require.NotEmpty(t, chat.Messages)
			require.Zero(t, chat.ResumeFrom)
			require.GreaterOrEqual(t, chat.MaxTokens, 0)
		}
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		r := &http.Request{URL: u}
		queryHasKeyParameter(r)
		if isCanonicalPath(r) {
			again, err := url.ParseRequestURI(u.EscapedPath())
			require.NoError(t, err)
			require.Equal(t, u.Path, again.Path)
			require.NotContains(t, u.Path, "/../")
			require.NotContains(t, u.Path, "//")
		}
	})
}
