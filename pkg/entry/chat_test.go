package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Guards against lost or changed tokens when no fault occurs, and against
// forwarding the caller's key to the engine.
func TestChat(t *testing.T) {
	h := newTestHost(t, nil)
	e := newTestEngine(t)
	h.router.add(model.PoolEngine, "e1", e.URL)

	got := h.stream(t, 20)
	require.True(t, got.done)
	require.Equal(t, expectedText(20), got.text)
	require.Equal(t, "duelas", e.headers.Get(engine.HeaderOrganisation))
	require.Equal(t, "3", e.headers.Get(engine.HeaderPriority))
	require.Empty(t, e.headers.Get("Authorization"))
	require.NotContains(t, e.headers, "X-Idempotency-Key")

	resp, body := h.do(t, "POST", chatPath, chatBody(5, false))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var whole engine.ChatResponse
	require.NoError(t, json.Unmarshal([]byte(body), &whole))
	require.Equal(t, expectedText(5), whole.Choices[0].Message.Content)
	require.Equal(t, engine.Usage{PromptTokens: 7, CompletionTokens: 5, TotalTokens: 12, CachedTokens: 2}, whole.Usage)
	require.Equal(t, resp.Header.Get(engine.HeaderRequestID), whole.ID)

	h.waitIdle(t)
	require.Len(t, h.usage.lines, 2)
	require.Equal(t, int64(20), h.usage.lines[0].OutputTokens)
}
