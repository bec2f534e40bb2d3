package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

func TestMain(m *testing.M) {
	if role := os.Getenv(processRoleEnv); role != "" {
		runProcessRole(role)
		return
	}
	goleak.VerifyTestMain(m)
}

const testKey = "secret-key-of-duelas"

// testEngine streams the words w0 w1 ... of a request. beforeToken, if set, is
// called before each token; it may violate the protocol, and returns false to
// end the response.
type testEngine struct {
	*httptest.Server
	mu            sync.Mutex
	started       int
	canceled      []model.RequestID
	exported      int
	imported      int
	tokenDelay    time.Duration
	kvUnavailable bool
	// padding is added to each token.
	padding     string
	headers     http.Header
	beforeToken func(w *engineWriter, token int) (goOn bool)
}

type engineWriter struct {
	http.ResponseWriter
	r  *http.Request
	id string
	// padding is added to the text of each token.
	padding string
}

func (w *engineWriter) token(index int, id string) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"tasador\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d %s\"},\"finish_reason\":null}],\"token_index\":%d}\n\n", id, index, w.padding, index)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// drop closes the connection without completing the response.
func (w *engineWriter) drop() { panic(http.ErrAbortHandler) }

// hang sends nothing more until the host disconnects.
func (w *engineWriter) hang() { <-w.r.Context().Done() }

func newTestEngine(t testing.TB) *testEngine {
	e := &testEngine{}
	mux := http.NewServeMux()
	mux.HandleFunc(engine.PathChat, e.chat)
	mux.HandleFunc(engine.PathCancel, func(_ http.ResponseWriter, r *http.Request) {
		var c engine.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&c)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.canceled = append(e.canceled, c.RequestID)
	})
	mux.HandleFunc(engine.PathLoad, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })
	mux.HandleFunc(engine.PathKVExport, func(w http.ResponseWriter, r *http.Request) {
		var x engine.KVExport
		_ = json.NewDecoder(r.Body).Decode(&x)
		if e.kvUnavailable {
			http.NotFound(w, r)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.exported++
		_ = json.NewEncoder(w).Encode(engine.KVBlob{RequestID: x.RequestID})
	})
	mux.HandleFunc(engine.PathKVImport, func(http.ResponseWriter, *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.imported++
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *testEngine) chat(w http.ResponseWriter, r *http.Request) {
	var chat engine.ChatRequest
	_ = json.NewDecoder(r.Body).Decode(&chat)
	e.mu.Lock()
	e.started++
	e.headers = r.Header.Clone()
	e.mu.Unlock()
	id := r.Header.Get(engine.HeaderRequestID)
	out := &engineWriter{ResponseWriter: w, r: r, id: id, padding: e.padding}
	w.Header().Set(engine.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := chat.ResumeFrom; i < chat.MaxTokens && r.Context().Err() == nil; i++ {
		if e.tokenDelay > 0 {
			time.Sleep(e.tokenDelay)
		}
		if e.beforeToken != nil && !e.beforeToken(out, i) {
			return
		}
		out.token(i, id)
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"token_index\":%d,\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":%d,\"cached_tokens\":2}}\n\ndata: [DONE]\n\n",
		id, chat.MaxTokens, chat.MaxTokens-chat.ResumeFrom)
}

func (e *testEngine) starts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// testHost is a handler behind a real listener, with fake dependencies.
type testHost struct {
	*Handler
	server           *httptest.Server
	view             *fakeView
	log              *fakeLog
	router           *fakeRouter
	limiter          *fakeLimiter
	admission        *fakeAdmission
	usage            *fakeUsage
	metrics          *fakeMetrics
	stale            bool
	broadcastCrashes []Crash
	client           http.Client
}

func newTestHost(t testing.TB, change func(*Settings)) *testHost {
	h := &testHost{
		view: &fakeView{
			orgs: map[model.OrganisationID]model.Organisation{"duelas": {ID: "duelas", MaxStreams: 10000}},
			keys: map[string]model.Key{digestOf(testKey): {ID: "k1", Organisation: "duelas", Digest: digestOf(testKey)}},
			shops: map[model.ShopID]model.Shop{
				"s1": {ID: "s1", Organisation: "duelas"},
				"s9": {ID: "s9", Organisation: "other"},
			},
			offers: []model.Offer{{ID: "o1", Shop: "s1", Model: "tasador"}},
			routes: []model.Route{
				{ID: "chat", PathPrefix: chatPath, Kind: model.RouteModel},
				{ID: "orders", PathPrefix: "/orders", Kind: model.RouteService, Pool: "pedidos"},
				{ID: "stock", PathPrefix: "/stock", Kind: model.RouteService, Pool: "pedidos", Idempotent: true},
				{ID: "public", PathPrefix: "/public", Kind: model.RouteService, Pool: "pedidos", Public: true},
			},
			idempotency: map[string]state.IdempotencyEntry{},
			members:     []state.Member{{Host: "h1", Incarnation: "i1"}},
		},
		router:    &fakeRouter{down: map[model.BackendID]bool{}},
		limiter:   &fakeLimiter{},
		admission: &fakeAdmission{},
		usage:     &fakeUsage{},
		metrics:   &fakeMetrics{counts: map[Counter]int64{}},
	}
	h.log = &fakeLog{view: h.view}
	settings := DefaultSettings()
	if change != nil {
		change(&settings)
	}
	transports := engine.NewTransports(engine.DefaultTransportSettings())
	var err error
	h.Handler, err = New(settings, Deps{
		View:           func() state.View { return h.view },
		Fresh:          func() bool { return !h.stale },
		Router:         h.router,
		Limiter:        h.limiter,
		Admission:      h.admission,
		Writer:         h.log,
		Usage:          h.usage,
		Engines:        engine.NewClient(engine.DefaultClientSettings(), transports),
		BroadcastCrash: h.recordCrash,
		Metrics:        h.metrics,
	})
	require.NoError(t, err)
	h.server = httptest.NewUnstartedServer(nil)
	h.server.Config = NewServer(h.Handler, settings)
	h.server.Start()
	h.client.Transport = &http.Transport{MaxIdleConnsPerHost: 2000}
	t.Cleanup(func() {
		h.client.CloseIdleConnections()
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		defer stop()
		require.NoError(t, h.Drain(ctx))
		h.server.Close()
		require.Zero(t, h.router.openSelections, "selections that were not ended")
		require.Empty(t, h.streams.snapshot())
		transports.CloseIdle()
	})
	return h
}

func (h *testHost) recordCrash(c Crash) {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	h.broadcastCrashes = append(h.broadcastCrashes, c)
}

func (h *testHost) request(method, path, body string, headers ...string) *http.Request {
	req, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	return req
}

func (h *testHost) do(t testing.TB, method, path, body string, headers ...string) (*http.Response, string) {
	resp, err := h.client.Do(h.request(method, path, body, headers...))
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp, string(data)
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"tasador","messages":[{"role":"user","content":"price the lot"}],"max_tokens":%d,"stream":%t}`, tokens, stream)
}

func expectedText(n int) string {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

// streamResult is what a caller received of a stream.
type streamResult struct {
	text string
	done bool
	err  string
	last engine.ChatChunk
}

// readStream reads a stream and checks the request ID and the order of its
// chunks.
func readStream(t testing.TB, resp *http.Response) streamResult {
	defer func() { _ = resp.Body.Close() }()
	id := resp.Header.Get(engine.HeaderRequestID)
	var s streamResult
	var text strings.Builder
	next := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			s.done = true
			continue
		case strings.HasPrefix(data, `{"error"`):
			s.err = data
			continue
		}
		s.last = engine.ChatChunk{}
		require.NoError(t, json.Unmarshal([]byte(data), &s.last))
		require.Equal(t, id, s.last.ID)
		require.NoError(t, checkOrder(&next, s.last))
		text.WriteString(s.last.Choices[0].Delta.Content)
	}
	s.text = text.String()
	return s
}

// checkOrder checks that a chunk with text carries the next token.
func checkOrder(next *int, chunk engine.ChatChunk) error {
	if chunk.Choices[0].Delta.Content == "" {
		return nil
	}
	if chunk.Index != *next {
		return fmt.Errorf("token %d instead of %d", chunk.Index, *next)
	}
	*next++
	return nil
}

func (h *testHost) stream(t testing.TB, tokens int) streamResult {
	resp, err := h.client.Do(h.request("POST", chatPath, chatBody(tokens, true)))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return readStream(t, resp)
}

// waitIdle waits until all requests and their background work have ended.
func (h *testHost) waitIdle(t testing.TB) {
	require.Eventually(t, func() bool { return len(h.calls.list()) == 0 }, 5*time.Second, time.Millisecond)
	h.background.Wait()
}

// errorOf decodes an error response.
func errorOf(t testing.TB, body string) errorFields {
	var e errorBody
	require.NoError(t, json.Unmarshal([]byte(body), &e), body)
	return e.Error
}
