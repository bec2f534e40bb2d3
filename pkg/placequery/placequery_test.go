package placequery

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

func TestQueryIsReadFromItsFields(t *testing.T) {
	q, err := ParseRaw("host=h&path=/say/1&service=model&prompt_tokens=17000&output_tokens=400&parts=1f:13300,+9C41:3700&deadline_ms=1500&exclude=i-1,i-2")
	require.NoError(t, err)
	assert.Equal(t, Query{
		Host: "h", Path: "/say/1", Service: "model", PromptTokens: 17000, OutputTokens: 400, Deadline: 1500 * time.Millisecond,
		Parts: []placement.Part{{ID: 0x1f, Tokens: 13300}, {ID: 0x9c41, Tokens: 3700}}, Exclude: []model.BackendID{"i-1", "i-2"},
	}, q)
}

// Guards against ignoring a field that cannot be used, and against an error that does not
// name it.
func TestErrorsNameTheField(t *testing.T) {
	const good = "host=h&path=/say/1"
	for raw, field := range map[string]string{
		"":                                  FieldHost,
		"path=/x":                           FieldHost,
		"host=h":                            FieldPath,
		"host=h&path=x":                     FieldPath,
		good + "&prompt_tokens=-1":          FieldPromptTokens,
		good + "&prompt_tokens=1.5":         FieldPromptTokens,
		good + "&prompt_tokens=99999999":    FieldPromptTokens,
		good + "&output_tokens=many":        FieldOutputTokens,
		good + "&deadline_ms=1s":            FieldDeadline,
		good + "&deadline_ms=86400001":      FieldDeadline,
		good + "&parts=1f":                  FieldParts,
		good + "&parts=1f:1,":               FieldParts,
		good + "&parts=xyz:1":               FieldParts,
		good + "&parts=1f:-1":               FieldParts,
		good + "&parts=11111111111111111:1": FieldParts,
		good + "&parts=1:1" + strings.Repeat(",1:1", 1000): FieldParts,
		good + "&exclude=a" + strings.Repeat(",a", 100):    FieldExclude,
		good + "&tokens=1": "tokens",
		good + "&host=g":   FieldHost,
		"host=%zz":         "",
	} {
		_, err := ParseRaw(raw)
		var e *FieldError
		require.ErrorAs(t, err, &e, raw)
		assert.Equal(t, field, e.Field, raw)
		assert.NotEmpty(t, e.Message)
	}
}

func explanation(now time.Time) placement.Explanation {
	engine := placement.Backend{ID: "i-1", DataCentre: "a", Stage: placement.StageDecode, Slots: 8, Engine: &placement.EngineTraits{CacheTokens: 444000}}
	plan := placement.Plan{Run: engine, Predicted: 300 * time.Millisecond, Waiting: 50 * time.Millisecond, Prefilled: 200 * time.Millisecond, Uncached: 3700}
	e := placement.Explanation{Placed: true, Plan: plan, Servers: []placement.ServerExplanation{{
		Backend: engine, Running: 2, PeersRunning: 3, QueueWait: 50 * time.Millisecond, Cached: 13300,
		Excluded: placement.ExcludedLimit, ExcludedUntil: now.Add(time.Second), ColdUntil: now.Add(4 * time.Second),
		Limits: []placement.LimitExplanation{{Kind: placement.LimitCold, PerSecond: 4, Available: 0.5}},
	}}}
	for range maxPlans + 7 {
		e.Plans = append(e.Plans, placement.CandidatePlan{Plan: plan, Cost: 400 * time.Millisecond})
	}
	return e
}

// Guards against wrong units and stages, and against an answer without a bound.
func TestAnswerStatesTimesByStage(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := NewAnswer(explanation(now), now)
	require.Len(t, a.Plans, maxPlans)
	assert.Equal(t, 7, a.OtherPlans)
	assert.Equal(t, Plan{Run: "i-1", CostMS: 400, PredictedMS: 300, WaitMS: 50, PrefillMS: 150, FirstEventMS: 100, Uncached: 3700}, a.Plans[0])
	assert.Equal(t, Server{
		ID: "i-1", DataCentre: "a", Stage: "decode", Excluded: placement.ExcludedLimit, ExcludedForMS: 1000, Running: 2, PeersRunning: 3, Slots: 8,
		QueueMS: 50, KVTokens: 444000, Cached: 13300, ColdForMS: 4000, Limits: []Limit{{Kind: placement.LimitCold, PerSecond: 4, Available: 0.5}},
	}, a.Servers[0])
	var text strings.Builder
	a.Route, a.Service = "say", "model"
	a.Refusal = &Refusal{Status: 503, Reason: "no turn", RetryAfterMS: 250}
	require.NoError(t, a.Write(&text))
	for _, want := range []string{"route say, service model", "refused with 503: no turn; come back after 250 ms", "and 7 dearer plans", "2+3", "444000", "at a limit", "cold 4.00/s, 0.5 now"} {
		assert.Contains(t, text.String(), want)
	}
}

// Guards against an error of the host without its field, and against taking another port's
// response for an answer.
func TestAsk(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != Path {
			http.NotFound(w, r)
			return
		}
		if r.URL.Query().Get(FieldPath) == "/bad" {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(`{"error":{"field":"path","message":"no route"}}`))
			return
		}
		_, _ = w.Write([]byte(`{"route":"say"}`))
	}))
	defer server.Close()
	ask := func(base, path string) (*Answer, error) {
		return Ask(t.Context(), server.Client(), base, url.Values{FieldHost: {"h"}, FieldPath: {path}})
	}
	a, err := ask(server.URL+"/", "/say/")
	require.NoError(t, err)
	assert.Equal(t, "say", a.Route)
	_, err = ask(server.URL, "/bad")
	var field *FieldError
	require.ErrorAs(t, err, &field)
	assert.Equal(t, FieldError{Field: "path", Message: "no route"}, *field)
	_, err = ask(server.URL+"/other", "/say/")
	assert.ErrorContains(t, err, "metrics port")
}
