package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/placequery"
)

// Guards limitedst an answer that differs from where the next request goes, and limitedst
// sending or counting anything for it.
func TestExplainNamesTheServerOfTheNextRequest(t *testing.T) {
	var servers []*backendServer
	var backends []placement.Backend
	for i := range 3 {
		s := startBackend(t, fmt.Sprint("e", i), streamFrom(2, true))
		servers = append(servers, s)
		backends = append(backends, s.engine(placement.StageDecode))
	}
	plain := startBackend(t, "p", respondOK("fine"))
	bed := newTestbed(t, nil, append(backends, plain.plain())...)
	for i := range 12 {
		q := placequery.Query{Host: "h", Path: "/say/", PromptTokens: 3000, Parts: []placement.Part{{ID: uint64(1 + i%3), Tokens: 10}, {ID: uint64(100 + i), Tokens: 10}}}
		before := allRequests(servers)
		var answer placequery.Answer
		for range 3 {
			var err error
			answer, err = bed.gateway.Explain(q)
			require.NoError(t, err)
		}
		require.NotNil(t, answer.Plan)
		assert.Nil(t, answer.Refusal)
		assert.Equal(t, "say", answer.Route)
		assert.EqualValues(t, "model", answer.Service)
		assert.Len(t, answer.Servers, 3)
		assert.Equal(t, before, allRequests(servers), "nothing is sent")
		r := bed.do(t, "POST", "/say/", "x", map[string]string{"X-Tokens": "3000", "X-Parts": fmt.Sprintf("%x,%x", 1+i%3, 100+i)})
		require.Equal(t, http.StatusOK, r.status)
		before[answer.Plan.Run]++
		assert.Equal(t, before, allRequests(servers), "the request goes where the answer said")
	}
	answer, err := bed.gateway.Explain(placequery.Query{Host: "h", Path: "/pay/"})
	require.NoError(t, err)
	assert.EqualValues(t, "p", answer.Plan.Run)
	assert.Empty(t, plain.requests())
}

// allRequests returns the number of requests that each server has got.
func allRequests(servers []*backendServer) map[model.BackendID]int {
	n := map[model.BackendID]int{}
	for _, s := range servers {
		n[model.BackendID(s.id)] = len(s.requests())
	}
	return n
}

// Guards limitedst another refusal than the one that a request gets.
func TestExplainStatesTheRefusalOfTheNextRequest(t *testing.T) {
	server := startBackend(t, "a", respondOK("fine"))
	bed := newTestbed(t, nil, server.plain())
	refusal := func() *placequery.Refusal {
		answer, err := bed.gateway.Explain(placequery.Query{Host: "h", Path: "/pay/"})
		require.NoError(t, err)
		assert.Nil(t, answer.Plan)
		require.NotNil(t, answer.Refusal)
		return answer.Refusal
	}
	backend := server.plain()
	bed.fleet.NoteLimit(&backend, 0.5, time.Now())
	bed.fleet.SetLiveHosts("h", []string{"h"})
	for range 20 {
		if r := bed.do(t, "POST", "/pay/", "x", nil); r.status != http.StatusOK {
			break
		}
	}
	limited := refusal()
	assert.Equal(t, http.StatusServiceUnavailable, limited.Status)
	assert.Equal(t, "the backend servers take no more requests now", limited.Reason)
	assert.Positive(t, limited.RetryAfterMS)
	assert.LessOrEqual(t, limited.RetryAfterMS, 2000.0)
	assert.Equal(t, limited.Status, bed.do(t, "POST", "/pay/", "x", nil).status)

	bed.fleet.Remove("a")
	gone := refusal()
	assert.Equal(t, "no backend server is available", gone.Reason)
	assert.Equal(t, gone.Status, bed.do(t, "POST", "/pay/", "x", nil).status)

	bed.gateway.Stop(time.Now(), time.Now())
	assert.Equal(t, errStopping.Error(), refusal().Reason)
}

// Guards limitedst a plan for a request that would miss its deadline.
func TestExplainStatesThatADeadlineWouldBeMissed(t *testing.T) {
	server := startBackend(t, "a", streamFrom(2, true))
	bed := newTestbed(t, nil, server.engine(placement.StageDecode))
	q := placequery.Query{Host: "h", Path: "/say/", PromptTokens: 60000, Deadline: 500 * time.Millisecond}
	answer, err := bed.gateway.Explain(q)
	require.NoError(t, err)
	require.NotNil(t, answer.Refusal)
	assert.Equal(t, "the request would miss its deadline", answer.Refusal.Reason)
	assert.NotEmpty(t, answer.Plans, "what was compared is stated all the same")
	assert.InDelta(t, 500, answer.DeadlineMS, 200)
	q.PromptTokens = 10
	answer, err = bed.gateway.Explain(q)
	require.NoError(t, err)
	assert.Nil(t, answer.Refusal)
}

// Guards limitedst an error that does not name the field.
func TestExplainErrorsNameTheField(t *testing.T) {
	bed := newTestbed(t, nil)
	c := bed.catalog.Load()
	c.Route("h", "/look/").Split = []catalog.ServiceWeight{{Service: "plain", Weight: 1}, {Service: "model", Weight: 1}}
	for _, q := range []struct {
		query placequery.Query
		field string
	}{
		{placequery.Query{Host: "h", Path: "/none/"}, placequery.FieldPath},
		{placequery.Query{Host: "other", Path: "/pay/"}, placequery.FieldPath},
		{placequery.Query{Host: "h", Path: "/look/"}, placequery.FieldService},
		{placequery.Query{Host: "h", Path: "/pay/", Service: "model"}, placequery.FieldService},
	} {
		_, err := bed.gateway.Explain(q.query)
		var e *placequery.FieldError
		require.ErrorAs(t, err, &e)
		assert.Equal(t, q.field, e.Field, q.query)
	}
	_, err := bed.gateway.Explain(placequery.Query{Host: "h", Path: "/look/", Service: "model"})
	assert.NoError(t, err)
	bed.catalog.Store(nil)
	_, err = bed.gateway.Explain(placequery.Query{Host: "h", Path: "/pay/"})
	assert.ErrorIs(t, err, ErrNoConfiguration)
}
