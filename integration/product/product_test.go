// Package product tests the built programs end to end: real processes with the
// settings of examples/ and calls over sockets.
package product

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/pkg/model"
)

const (
	root = "../.."
	// startTimeout includes the time to load the adapters on a busy machine.
	startTimeout = 60 * time.Second
	stopTimeout  = 30 * time.Second
	chatPath     = "/v1/chat/completions"
	// changeTimeout is the time by which the design requires a change to be in force on
	// all hosts.
	changeTimeout = 5 * time.Second
	pollInterval  = 50 * time.Millisecond
	engineCount   = 4
	serviceCount  = 2
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	code, err := runTests(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func runTests(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "product-")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if binaries, err = harness.Build(context.Background(), dir); err != nil {
		return 1, err
	}
	return m.Run(), nil
}

// start runs an example with two hosts, applies its configuration and returns the
// keys that it grants.
func start(t *testing.T, c example.Config) (*example.Deployment, map[model.KeyID]string) {
	t.Helper()
	d := startSimulators(t, c)
	require.NoError(t, d.StartHosts(timeoutContext(t)))
	keys, err := d.Configure(timeoutContext(t), d.Hosts[0])
	require.NoError(t, err)
	return d, keys
}

// startSimulators starts the simulated components of an example, but no host.
func startSimulators(t *testing.T, c example.Config) *example.Deployment {
	t.Helper()
	c.Binaries, c.Root, c.Dir, c.Hosts, c.Engines, c.Services = binaries, root, t.TempDir(), 2, engineCount, serviceCount
	d, err := example.Start(c)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

func timeoutContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	t.Cleanup(cancel)
	return ctx
}

// rejection is the documented body of a rejection.
type rejection struct {
	Error struct {
		Code         model.ErrorCode `json:"code"`
		Message      string          `json:"message"`
		Ran          model.Ran       `json:"ran"`
		RetryAfterMS *int64          `json:"retry_after_ms"`
		RequestID    model.RequestID `json:"request_id"`
	} `json:"error"`
}

// requireRejected checks that a response is a rejection in the documented form.
func requireRejected(t *testing.T, status int, code model.ErrorCode, response example.Response) rejection {
	t.Helper()
	require.Equal(t, status, response.Status, response.Body)
	require.Equal(t, "application/json", response.Header.Get("Content-Type"))
	var r rejection
	require.NoError(t, json.Unmarshal([]byte(response.Body), &r), response.Body)
	require.Equal(t, code, r.Error.Code, response.Body)
	require.Equal(t, model.NotRun, r.Error.Ran)
	require.NotEmpty(t, r.Error.Message)
	require.NotNil(t, r.Error.RetryAfterMS)
	require.NotEmpty(t, r.Error.RequestID)
	require.Equal(t, *r.Error.RetryAfterMS > 0, response.Header.Get("Retry-After") != "", "retry_after_ms and Retry-After agree")
	return r
}

// requireStream checks that a streamed response is complete.
func requireStream(t *testing.T, tokens int, body string) {
	t.Helper()
	require.Equal(t, 1, strings.Count(body, "data: [DONE]"), body)
	for i := range tokens {
		require.Contains(t, body, fmt.Sprintf(`"token_index":%d`, i))
	}
}

// runControl runs redwingctl, requires that it succeeds and returns its output.
func runControl(t *testing.T, h *example.Host, args ...string) string {
	t.Helper()
	out, err := h.ControlUntilAccepted(timeoutContext(t), args...)
	require.NoError(t, err)
	return out
}

// shopHeader returns the header of a call with a key and a shop.
func shopHeader(key, shop string) http.Header {
	header := example.Header(key)
	header.Set("X-Shop", shop)
	return header
}
