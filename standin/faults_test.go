package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/fault"
	"github.com/redwingpath/redwingpath/standin/record"
	"github.com/redwingpath/redwingpath/standin/servicesim"
)

// Guards against components whose goroutines still run after Close. They would
// accumulate in tests and in dev mode.
func TestCloseLeavesNoGoroutine(t *testing.T) {
	http.DefaultClient.CloseIdleConnections()
	before := goleak.IgnoreCurrent()
	d, err := Start(context.Background(), Config{
		DataCentres: []model.DataCentreID{"a"},
		Pools: []PoolConfig{
			{Name: "m", Kind: model.PoolEngine, Ordinary: 1}, {Name: "s", Kind: model.PoolService, Ordinary: 1},
		},
	})
	require.NoError(t, err)
	r := postTo(t, d.Addresses().Platform+platform.PathLogAppend, "", platform.AppendRequest{Data: []byte(`[]`)})
	// An unread body keeps the client's connection open, whose goroutines belong to
	// the test and not to the deployment.
	require.NoError(t, r.Body.Close())
	require.NoError(t, d.Close())
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before)
}

// Guards against an outage in which calls take effect, and against a silent
// interface that responds.
func TestOutageAndSilence(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Platform
	d.Platform().Faults().Put(fault.Injection{Interface: "log", Outage: true})
	r := postTo(t, base+platform.PathLogAppend, "", platform.AppendRequest{Data: []byte(`[]`)})
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Equal(t, http.StatusServiceUnavailable, getJSON(t, base+platform.PathLogRead+"?from=1", nil))
	d.Platform().Faults().Clear()
	var read platform.ReadResponse
	getJSON(t, base+platform.PathLogRead+"?from=1", &read)
	require.Empty(t, read.Entries)

	d.Platform().Faults().Put(fault.Injection{Interface: fault.Hosts, Silent: true})
	client := http.Client{Timeout: 100 * time.Millisecond}
	_, err := client.Get(base + platform.PathHosts)
	require.Error(t, err)
	require.Equal(t, http.StatusOK, getJSON(t, base+platform.PathBackends, &platform.BackendList{}))
}

// Guards against a KV import after which the engine still prefills the whole prompt.
func TestImportedCacheSavesPrefill(t *testing.T) {
	d := startTest(t, func(c *Config) { c.Pools[0].Engine.PrefillTokensPerS = 10_000 })
	source := d.Addresses().Backends[firstEngine]
	target := d.Addresses().Backends["tasador-pereira-2"]
	long := make([]byte, 12*engine.BlockTokens)
	for i := range long {
		long[i] = 'x'
	}
	request := chat(string(long), 2, 0)
	request.Stream = false
	var whole engine.ChatResponse
	require.NoError(t, json.NewDecoder(postTo(t, source+engine.PathChat, "r1", request).Body).Decode(&whole))
	var blob engine.KVBlob
	exported := postTo(t, source+engine.PathKVExport, "", engine.KVExport{RequestID: "r1"})
	require.NoError(t, json.NewDecoder(exported.Body).Decode(&blob))
	require.Positive(t, blob.Bytes)
	require.Equal(t, http.StatusOK, postTo(t, target+engine.PathKVImport, "", blob).StatusCode)
	began := time.Now()
	request.ResumeFrom = 1
	require.NoError(t, json.NewDecoder(postTo(t, target+engine.PathChat, "r1", request).Body).Decode(&whole))
	// The prefill of 6,000 tokens would take 600 ms.
	require.Less(t, time.Since(began), 400*time.Millisecond)
	require.Equal(t, 3*engine.BlockTokens, whole.Usage.CachedTokens)
}

// Guards against a cancelled request that stays in the batch.
func TestCancelEndsRun(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Backends[firstEngine]
	stream := postTo(t, base+engine.PathChat, "r1", chat("long", 100_000, 0))
	require.Equal(t, http.StatusOK, postTo(t, base+engine.PathCancel, "", engine.CancelRequest{RequestID: "r1"}).StatusCode)
	_, _, err := readStream(stream.Body)
	require.NoError(t, err)
	var report engine.LoadReport
	require.Eventually(t, func() bool {
		getJSON(t, base+engine.PathLoad, &report)
		return report.Running == 0
	}, 2*time.Second, 20*time.Millisecond)
}

// Guards against mismatched responses that carry the ID of the request, so that a
// host could not detect them.
func TestMismatchedAnswerNamesAnotherRequest(t *testing.T) {
	d := startTest(t, nil)
	e, found := d.Engine(firstEngine)
	require.True(t, found)
	e.SetFaults(enginesim.Faults{MismatchProbability: 1})
	r := postTo(t, d.Addresses().Backends[firstEngine]+engine.PathChat, "r1", chat("lot", 2, 0))
	require.NotEqual(t, "r1", r.Header.Get(engine.HeaderRequestID))
}

// Guards against a crash after the execution of a call that loses the record of the
// execution.
func TestServiceCrashKeepsExecution(t *testing.T) {
	d := startTest(t, nil)
	const id = "pedidos-armenia-1"
	s, found := d.Service(id)
	require.True(t, found)
	s.SetFaults(servicesim.Faults{CrashAfterExecution: 1})
	q, err := http.NewRequest(http.MethodPost, d.Addresses().Backends[id]+"/payouts", nil)
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(q)
	require.Error(t, err)
	kinds := map[record.Kind]int{}
	for _, e := range d.Recorder().Since(0) {
		kinds[e.Kind]++
	}
	require.Equal(t, 1, kinds[record.Executed])
	require.Equal(t, 1, kinds[record.Crashed])
}
