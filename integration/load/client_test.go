package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/answer"
)

var testRequest = Request{Tag: "t1", Operation: Chat, Text: "call=t1", MaxTokens: 4}

// writeChunks writes a stream with the given token positions.
func writeChunks(w http.ResponseWriter, done bool, positions ...int) {
	seed := answer.SeedOf(testRequest.chat().Messages)
	w.Header().Set(engine.HeaderRequestID, "r1")
	w.Header().Set("Content-Type", "text/event-stream")
	for _, p := range positions {
		data, _ := json.Marshal(engine.ChatChunk{
			ID: "r1", Index: p, Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: answer.Token(seed, p)}}},
		})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	if done {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func callServer(t *testing.T, handler http.HandlerFunc) check.Call {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	c := NewClient(time.Second, Paths{Chat: "/chat", Model: "m"})
	c.Do(context.Background(), Target{ID: "h1", URL: s.URL}, &testRequest)
	calls := c.Calls()
	require.Len(t, calls, 1)
	return calls[0]
}

// Guards against a client that takes a damaged stream for the expected response.
func TestClientDetectsDamagedStreams(t *testing.T) {
	complete := callServer(t, func(w http.ResponseWriter, _ *http.Request) { writeChunks(w, true, 0, 1, 2, 3) })
	require.Equal(t, check.Complete, complete.Outcome)
	require.Equal(t, complete.Expected, complete.Received)
	require.Equal(t, model.RequestID("r1"), complete.RequestID)
	for name, positions := range map[string][]int{"missing": {0, 1, 3}, "repeated": {0, 1, 1, 2, 3}, "swapped": {0, 2, 1, 3}} {
		call := callServer(t, func(w http.ResponseWriter, _ *http.Request) { writeChunks(w, true, positions...) })
		require.NotEqual(t, call.Expected, call.Received, name)
	}
	cut := callServer(t, func(w http.ResponseWriter, _ *http.Request) { writeChunks(w, false, 0, 1) })
	require.Equal(t, check.Interrupted, cut.Outcome)
}

// Guards against failures that are recorded with a wrong outcome, which would hide
// interruptions or report ones that did not happen.
func TestClientRecordsFailures(t *testing.T) {
	rejected := callServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = fmt.Fprint(w, `{"error":{"code":"rate_exceeded","ran":"not_run","request_id":"r7"}}`)
	})
	require.Equal(t, check.Rejected, rejected.Outcome)
	require.Equal(t, model.CodeRateExceeded, rejected.Code)
	require.Equal(t, model.NotRun, rejected.Ran)
	require.Equal(t, model.RequestID("r7"), rejected.RequestID)
	require.True(t, rejected.RetryAfter)

	dropped := callServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	require.Equal(t, check.NoResponse, dropped.Outcome)

	late := callServer(t, func(_ http.ResponseWriter, q *http.Request) {
		// The server notices that the client closed the connection only once it has
		// read the body.
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
	})
	require.Equal(t, check.Abandoned, late.Outcome)

	var sending sendTrace
	require.Equal(t, check.NotSent, failureOutcome(io.EOF, &sending))
	sending.connected = time.Now()
	sending.written = sending.connected.Add(2 * maxSendTime)
	require.Equal(t, check.NotSent, failureOutcome(io.EOF, &sending))

	c := NewClient(time.Second, Paths{})
	unreachable := c.Do(context.Background(), Target{URL: "http://127.0.0.1:1"}, &testRequest)
	require.Equal(t, check.NotConnected, unreachable.Outcome)
}
