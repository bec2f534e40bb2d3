package product

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/enginesim"
)

// exampleEntities are the entities of an example that the tests use.
type exampleEntities struct {
	key     model.KeyID
	shop    string
	service string
}

var entitiesOfExample = map[string]exampleEntities{
	example.Duelas:       {"toledo-1", "toledo-pereira", "/v1/reservations"},
	example.RefundOffice: {"kathmandu-1", "asan-haat", "/v1/payouts"},
}

// Guards against an example deployment that does not start, whose settings or
// configuration are not accepted, or that does not serve requests. One example runs
// without TLS, the other with TLS on all listeners.
func TestExamplesServe(t *testing.T) {
	for name, entities := range entitiesOfExample {
		t.Run(name, func(t *testing.T) {
			d, keys := start(t, example.Config{Example: name})
			key := keys[entities.key]
			require.NotEmpty(t, key)
			runControl(t, d.Hosts[1], "run", "change shop "+entities.shop+" hours always")
			for _, h := range d.Hosts {
				_, err := d.AwaitChat(timeoutContext(t), h, key, d.ChatBody(false, 4, "first lot"))
				require.NoError(t, err)
				response, err := d.AwaitChat(timeoutContext(t), h, key, d.ChatBody(true, 8, "second lot"))
				require.NoError(t, err)
				requireStream(t, 8, response.Body)
			}
			requireOneExecution(t, d, entities, key)
			requireDump(t, d, keys)
			require.NoError(t, d.StopHosts(stopTimeout))
		})
	}
}

// requireOneExecution sends a call with the same Idempotency-Key through two hosts.
// The second must return the recorded response of the first.
func requireOneExecution(t *testing.T, d *example.Deployment, entities exampleEntities, key string) {
	t.Helper()
	header := example.Header(key)
	header.Set("Idempotency-Key", "order-7")
	first, err := d.Call(timeoutContext(t), d.Hosts[0].Callers+entities.service, `{"lot":7}`, header)
	require.NoError(t, err)
	require.Less(t, first.Status, http.StatusMultipleChoices, first.Body)
	require.Eventually(t, func() bool {
		second, err := d.Call(t.Context(), d.Hosts[1].Callers+entities.service, `{"lot":7}`, header)
		if err != nil || second.Status == http.StatusConflict {
			return false
		}
		return second.Status == first.Status && second.Body == first.Body
	}, stopTimeout, 100*time.Millisecond)
}

// requireDump checks that a dump describes the host and contains no API key.
func requireDump(t *testing.T, d *example.Deployment, keys map[model.KeyID]string) {
	t.Helper()
	out := runControl(t, d.Hosts[0], "dump")
	var dump struct {
		Control struct {
			Host    model.HostID      `json:"host"`
			Fresh   bool              `json:"fresh"`
			Members []json.RawMessage `json:"members"`
		} `json:"control"`
		Backends []json.RawMessage `json:"backends"`
	}
	require.NoError(t, json.Unmarshal([]byte(out), &dump), out)
	require.Equal(t, d.Hosts[0].ID, dump.Control.Host)
	require.True(t, dump.Control.Fresh)
	require.Len(t, dump.Control.Members, len(d.Hosts))
	require.GreaterOrEqual(t, len(dump.Backends), engineCount+serviceCount)
	for _, secret := range keys {
		require.NotContains(t, out, secret)
	}
	var metrics map[string]any
	require.NoError(t, json.Unmarshal([]byte(runControl(t, d.Hosts[0], "dump", "-metrics")), &metrics))
	require.Contains(t, metrics, "counters")
}

// Guards against a planned stop that interrupts streams.
func TestStreamsCompleteOnSIGTERM(t *testing.T) {
	const streams, tokens = 10, 200
	d, keys := start(t, example.Config{Example: example.Duelas, Engine: enginesim.Config{DecodeStepMS: 20}})
	runControl(t, d.Hosts[0], "run", "change shop roble-centro hours always")
	key, host := keys["roble-1"], d.Hosts[0]
	_, err := d.AwaitChat(timeoutContext(t), host, key, d.ChatBody(false, 1, "first lot"))
	require.NoError(t, err)
	responses := make([]example.Response, streams)
	errs := make([]error, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			responses[i], errs[i] = d.Call(t.Context(), host.Callers+chatPath, d.ChatBody(true, tokens, "long lot"), example.Header(key))
		})
	}
	// The streams last 4 s, so that they are open when the host receives SIGTERM, and
	// also when it closes its listener 2 s later.
	time.Sleep(time.Second)
	require.NoError(t, host.Process.Terminate())
	group.Wait()
	for i := range streams {
		require.NoError(t, errs[i])
		require.Equal(t, http.StatusOK, responses[i].Status, responses[i].Body)
		requireStream(t, tokens, responses[i].Body)
	}
	require.NoError(t, host.Process.Wait(stopTimeout))
}

// Guards against a check of a settings file that stops at the first finding or does
// not report the position of a finding.
func TestCheckReportsAllFindings(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "examples", example.Duelas, "host.jsonc"))
	require.NoError(t, err)
	text := string(data)
	for _, change := range [][2]string{
		{`"id": "duelas-1"`, `"id": ""`},
		{`"usage_window": "1m"`, `"usage_window": 60`},
		{`"level": "info"`, `"levle": "info"`},
		{`"address": "http://10.20.0.5:7000"`, `"address": "ftp:///"`},
	} {
		require.Contains(t, text, change[0])
		text = strings.Replace(text, change[0], change[1], 1)
	}
	path := filepath.Join(t.TempDir(), "host.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	out, code := runHostProgram(t, "check", path)
	require.Equal(t, 3, code, out)
	for _, field := range []string{"host.id", "timings.usage_window", "logging.levle", "platform.address"} {
		require.Regexp(t, `host\.jsonc:\d+:\d+: `+strings.ReplaceAll(field, ".", `\.`)+": ", out)
	}
	out, code = runHostProgram(t, "serve", "-settings", path)
	require.Equal(t, 3, code, out)
}
