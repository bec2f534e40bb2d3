package operator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/opslang/viewtest"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/state"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeHost implements the interfaces of Dependencies with a viewtest.View.
type fakeHost struct {
	view    *viewtest.View
	history *History
	// applyError is returned once, by the next ApplyConfig.
	applyError error
	// concurrentChanges are applied for another operator before the next change.
	concurrentChanges []logrec.Change
	ready             bool
}

func (h *fakeHost) View() state.View { return h.view }
func (h *fakeHost) Dump() any        { return map[string]int{"tick": 7} }

func (h *fakeHost) Ready() (bool, string) {
	if h.ready {
		return true, ""
	}
	return false, "shutting down"
}

func (h *fakeHost) Backends() []routing.Backend {
	return []routing.Backend{
		{ID: "runner-1", Pool: "tasador", DataCentre: "armenia", Available: true, Adapters: []string{"roble"}},
		{ID: "runner-2", Pool: "tasador", DataCentre: "pereira", Reason: "leaving"},
		{ID: "orders-1", Pool: "pedidos", DataCentre: "armenia", Available: true},
	}
}

func (h *fakeHost) ApplyConfig(_ context.Context, operator string, changes []logrec.Change) (ApplyResult, error) {
	if err := h.applyError; err != nil {
		h.applyError = nil
		return ApplyResult{}, err
	}
	if h.concurrentChanges != nil {
		winner := h.concurrentChanges
		h.concurrentChanges = nil
		if _, err := h.ApplyConfig(context.Background(), "rosa", winner); err != nil {
			return ApplyResult{}, err
		}
	}
	err := h.view.Apply(changes...)
	var conflict *viewtest.Conflict
	if errors.As(err, &conflict) {
		c := conflict.Change
		return ApplyResult{}, eris.Wrap(&ConflictError{Entity: c.Entity, ID: c.ID, Expect: c.Expect, Current: conflict.Current}, "apply")
	}
	h.history.Record(h.view.At, time.Now(), &logrec.ConfigChange{Operator: operator, Changes: changes})
	return ApplyResult{Offset: h.view.At}, err
}

type fixture struct {
	host    *fakeHost
	journal *journal.Journal
	logs    *observer.ObservedLogs
	url     string
	client  *Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	token, digest, err := NewToken()
	require.NoError(t, err)
	core, logs := observer.New(zapcore.InfoLevel)
	f := &fixture{
		host:    &fakeHost{view: viewtest.New(), history: NewHistory(100), ready: true},
		journal: journal.New(100),
		logs:    logs,
	}
	server := httptest.NewServer(NewHandler(Dependencies{
		Host: "h1", Views: f.host, Config: f.host, Backends: f.host, History: f.host.history,
		Health: f.host, Dumper: f.host, Journal: f.journal, Metrics: new(expvar.Map),
		PrometheusHandler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4")
			_, _ = io.WriteString(w, "redwingpath_log_offset{of=\"total\"} 17\n")
		}),
		Operators: []settings.Operator{{Name: "none", TokenSHA256: Digest("")}, {Name: "lucia", TokenSHA256: digest}},
		Logger:    zap.New(core),
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.Client().CloseIdleConnections)
	f.url = server.URL
	f.client, err = NewClient(server.URL, token, server.Client())
	require.NoError(t, err)
	return f
}

func (f *fixture) run(t *testing.T, script string) *RunResponse {
	t.Helper()
	response, err := f.client.Run(t.Context(), script)
	require.NoError(t, err)
	return response
}

const setupScript = `
create org casa-toledo rate 40 burst 80; create pool tasador kind engine
create shop norte org casa-toledo; create offer o1 shop norte model tasador adapter roble
grant key k1 org casa-toledo`

// Guards against access without an operator's token, and against tokens of which
// only a part matches.
func TestWrongTokenIsRefused(t *testing.T) {
	f := newFixture(t)
	for _, token := range []string{"", "wrong", f.client.token + "x", Digest(f.client.token)} {
		client, err := NewClient(f.url, token, f.client.http)
		require.NoError(t, err)
		_, err = client.Run(t.Context(), "create org x rate 1 burst 1")
		var failure *Error
		require.ErrorAs(t, err, &failure)
		assert.Equal(t, http.StatusUnauthorized, failure.Status)
		assert.Equal(t, CodeUnauthorized, failure.Code)
		_, err = client.Dump(t.Context())
		assert.Error(t, err)
		_, err = client.Metrics(t.Context())
		assert.Error(t, err)
		ready, err := client.Ready(t.Context())
		require.NoError(t, err)
		assert.True(t, ready.Ready)
	}
	assert.Empty(t, f.host.view.Organisations())
	assert.Equal(t, 12, f.logs.FilterMessage("operator refused").Len())
	assert.NotContains(t, logText(f.logs), f.client.token)
}

// Guards against a key's secret that is stored or written to the log or journal.
func TestGrantedKeyIsShownOnce(t *testing.T) {
	f := newFixture(t)
	change := f.run(t, setupScript).Change
	assert.Equal(t, 5, change.Entities)
	require.Len(t, change.Granted, 1)
	secret := change.Granted[0].Secret
	key, ok := f.host.view.KeyByDigest(Digest(secret))
	require.True(t, ok)
	assert.EqualValues(t, "k1", key.ID)

	tables, err := json.Marshal(f.run(t, "show keys of org casa-toledo; history key k1"))
	require.NoError(t, err)
	for _, text := range []string{string(tables), logText(f.logs), journalText(f.journal)} {
		assert.NotContains(t, text, secret)
	}
	assert.Contains(t, logText(f.logs), "lucia")
	assert.Contains(t, journalText(f.journal), "create org casa-toledo")
}

func logText(logs *observer.ObservedLogs) string {
	var text strings.Builder
	for _, entry := range logs.All() {
		for _, field := range entry.Context {
			text.WriteString(field.String + "\n")
		}
	}
	return text.String()
}

func journalText(j *journal.Journal) string {
	var text strings.Builder
	for _, entry := range j.Recent("") {
		text.WriteString(entry.Subject + " " + entry.Decision + " " + entry.Reason + "\n")
	}
	return text.String()
}

// Guards against a lost update, and against a conflict error that does not name
// the change in force.
func TestConflictNamesTheWinner(t *testing.T) {
	f := newFixture(t)
	f.run(t, setupScript)
	f.host.concurrentChanges = []logrec.Change{{
		Entity: logrec.EntityOrganisation, ID: "casa-toledo", Expect: 1,
		Value: json.RawMessage(`{"id":"casa-toledo","rate":5,"burst":5}`),
	}}
	for _, script := range []string{"change org casa-toledo rate 9", "change org casa-toledo rate 9 if version 1"} {
		_, err := f.client.Run(t.Context(), script)
		var failure *Error
		require.ErrorAs(t, err, &failure)
		assert.Equal(t, http.StatusConflict, failure.Status)
		assert.Equal(t, model.NotRun, failure.Ran)
		require.NotNil(t, failure.Conflict)
		assert.EqualValues(t, 2, failure.Conflict.Current)
		assert.Equal(t, "rosa", failure.Conflict.Winner.Operator)
		assert.Contains(t, failure.Message, `"rate":5`)
	}
	org, _, _ := f.host.view.Organisation("casa-toledo")
	assert.EqualValues(t, 5, org.Rate)
}

// Guards against a malformed script that is run in part, and against findings that
// are reported only one at a time.
func TestMalformedScript(t *testing.T) {
	f := newFixture(t)
	_, err := f.client.Run(t.Context(), "create org x rate 1 burst 1\nfrob\ncreate org y rate q burst 1")
	var failure *Error
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, http.StatusBadRequest, failure.Status)
	require.Len(t, failure.Findings, 2)
	assert.Equal(t, 2, failure.Findings[0].Line)
	assert.Equal(t, 3, failure.Findings[1].Line)
	assert.Empty(t, f.host.view.Organisations())

	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+PathRun, strings.NewReader("{"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+f.client.token)
	response, err := f.client.http.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// Guards against an error that reports a change as not run when it may have been
// applied.
func TestFailuresTellWhetherTheChangeRan(t *testing.T) {
	cases := []struct {
		err    error
		status int
		ran    model.Ran
	}{
		{ErrNotAccepted, http.StatusServiceUnavailable, model.NotRun},
		{eris.Wrap(platform.ErrRateLimited, "append"), http.StatusTooManyRequests, model.NotRun},
		{eris.Wrap(platform.ErrUnavailable, "append"), http.StatusGatewayTimeout, model.RanUnknown},
		{context.DeadlineExceeded, http.StatusGatewayTimeout, model.RanUnknown},
		{errors.New("broken"), http.StatusInternalServerError, model.RanUnknown},
	}
	for _, c := range cases {
		f := newFixture(t)
		f.host.applyError = c.err
		_, err := f.client.Run(t.Context(), "create org x rate 1 burst 1")
		var failure *Error
		require.ErrorAs(t, err, &failure, c.err)
		assert.Equal(t, c.status, failure.Status, c.err)
		assert.Equal(t, c.ran, failure.Ran, c.err)
	}
}

func TestQueries(t *testing.T) {
	f := newFixture(t)
	f.host.view.ShardList = []state.Shard{{Name: "org/7", Host: "h1", Fence: 12}}
	f.host.view.IntentList = []state.OpenIntent{{Intent: logrec.Intent{OrderID: "o9", Backend: "runner-2", Reason: "less prefill"}, Host: "h1", Fence: 12}}
	f.journal.Add(journal.Entry{Kind: journal.KindRequest, Subject: "01J", Decision: "routed", Reason: "best cache match"})
	f.run(t, setupScript+"; drain backend runner-2 reason \"bad disk\"")
	tables := f.run(t, `show backends of model tasador in armenia
		show where org casa-toledo runs
		show shards; show orders of backend runner-1; explain request 01J; explain backend runner-2
		explain order o9; history backend runner-2; show status; show hosts
		show orgs; show keys; show shops; show offers of org other; show routes; show pools; show drains`).Tables
	require.Len(t, tables, 17)
	assert.Len(t, tables[0].Rows, 1)
	require.Len(t, tables[1].Rows, 2)
	assert.Equal(t, []string{"norte", "o1", "tasador", "roble", "runner-1", "armenia", "yes", "available"}, tables[1].Rows[0])
	assert.Equal(t, [][]string{{"org/7", "h1", "", "12"}}, tables[2].Rows)
	assert.Empty(t, tables[3].Rows)
	assert.Equal(t, "best cache match", tables[4].Rows[0][2])
	require.Len(t, tables[5].Rows, 3)
	assert.Equal(t, "leaving", tables[5].Rows[0][1])
	assert.Contains(t, tables[5].Rows[2][2], "less prefill")
	assert.Len(t, tables[6].Rows, 1)
	assert.Equal(t, "lucia", tables[7].Rows[0][2])
	assert.Len(t, tables[12].Rows, 1)
	assert.Empty(t, tables[13].Rows)
	for i, table := range tables {
		for _, row := range table.Rows {
			assert.Len(t, row, len(table.Columns), "table %d", i)
		}
	}
}

func TestDumpExplainMetricsReady(t *testing.T) {
	f := newFixture(t)
	dump, err := f.client.Dump(t.Context())
	require.NoError(t, err)
	assert.JSONEq(t, `{"tick": 7}`, string(dump))
	metrics, err := f.client.Metrics(t.Context())
	require.NoError(t, err)
	assert.JSONEq(t, `{}`, string(metrics))
	f.journal.Add(journal.Entry{Kind: journal.KindRequest, Subject: "01J", Decision: "routed"})
	entries, err := f.client.Explain(t.Context(), "01J")
	require.NoError(t, err)
	assert.Len(t, entries, 1)
	f.host.ready = false
	ready, err := f.client.Ready(t.Context())
	require.NoError(t, err)
	assert.Equal(t, ReadyResponse{Ready: false, Reason: "shutting down"}, ready)
}

// Guards against a history that loses its order once the ring buffer has wrapped.
func TestHistoryKeepsTheNewest(t *testing.T) {
	h := NewHistory(3)
	for i := range 5 {
		h.Record(model.Offset(i), time.Now(), &logrec.ConfigChange{Changes: []logrec.Change{{Entity: "org", ID: "x"}}})
	}
	var versions []model.Offset
	for _, e := range h.History("org", "x") {
		versions = append(versions, e.Version)
	}
	assert.Equal(t, []model.Offset{2, 3, 4}, versions)
}

// Guards against Prometheus metrics that are served without an operator's token.
func TestTextMetricsNeedAToken(t *testing.T) {
	f := newFixture(t)
	get := func(token string) (int, string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+PathPrometheus, nil)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+token)
		resp, err := f.client.http.Do(r)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(body)
	}
	status, body := get("wrong")
	assert.Equal(t, http.StatusUnauthorized, status)
	assert.NotContains(t, body, "redwingpath_log_offset")
	status, body = get(f.client.token)
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, body, "redwingpath_log_offset")
}
