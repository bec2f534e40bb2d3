package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/answer"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/fault"
	"github.com/redwingpath/redwingpath/standin/platformsim"
	"github.com/redwingpath/redwingpath/standin/record"
)

func startTest(t testing.TB, change func(*Config)) *Deployment {
	t.Helper()
	c := Config{
		Region:      "andina",
		DataCentres: []model.DataCentreID{"armenia", "pereira"},
		Platform:    platformsim.Config{StartDelayMS: 20, ListLagMS: 1, ReclaimNoticeMS: 50, AppendsPerS: 100_000},
		Pools: []PoolConfig{
			{Name: "tasador", Kind: model.PoolEngine, Ordinary: 2, Preemptible: 2, Engine: enginesim.Config{
				DecodeStepMS: 2, RoleChangeMS: 20, LoadModelMS: 20, LoadLagMS: 1, EventLagMS: 1, RestartMS: 20, ChecksFencing: true,
			}},
			{Name: "pedidos", Kind: model.PoolService, Ordinary: 1},
		},
	}
	if change != nil {
		change(&c)
	}
	d, err := Start(context.Background(), c)
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Close() })
	return d
}

const firstEngine = "tasador-armenia-1"

func chat(text string, tokens, from int) engine.ChatRequest {
	return engine.ChatRequest{
		Model: "tasador", Messages: []engine.Message{{Role: "user", Content: text}},
		MaxTokens: tokens, Stream: true, ResumeFrom: from,
	}
}

func postTo(t testing.TB, url, id string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	q, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	require.NoError(t, err)
	q.Header.Set(engine.HeaderRequestID, id)
	q.Header.Set(engine.HeaderOrganisation, "org-1")
	r, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.Body.Close() })
	return r
}

// readStream returns the text and the token indexes of a stream, and the error that
// ended it, if any.
func readStream(body io.Reader) (text string, indexes []int, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, indexes, nil
		}
		var chunk engine.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text, indexes, err
		}
		text += chunk.Choices[0].Delta.Content
		indexes = append(indexes, chunk.Index)
	}
	return text, indexes, fmt.Errorf("stream ended early: %w", scanner.Err())
}

// Guards against output that a client cannot predict, including after a resume.
func TestStreamGivesExpectedTokens(t *testing.T) {
	d := startTest(t, nil)
	url := d.Addresses().Backends[firstEngine] + engine.PathChat
	request := chat("price lot call=c1", 12, 0)
	whole, _, err := readStream(postTo(t, url, "r1", request).Body)
	require.NoError(t, err)
	require.Equal(t, answer.Expected(&request), whole)
	rest, indexes, err := readStream(postTo(t, url, "r1", chat("price lot call=c1", 12, 5)).Body)
	require.NoError(t, err)
	require.Equal(t, 5, indexes[0])
	require.Equal(t, answer.Expected(&request), answer.Text(answer.SeedOf(request.Messages), 0, 5)+rest)
	var ended []record.Event
	for _, e := range d.Recorder().Since(0) {
		if e.Kind == record.RunEnded {
			ended = append(ended, e)
		}
	}
	require.Len(t, ended, 2)
	require.Equal(t, "c1", ended[1].CallTag)
	require.Equal(t, 5, ended[1].From)
}

// Guards against a prefix cache that is never used or never published.
func TestPrefixCacheIsUsedAndPublished(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Backends[firstEngine]
	request := chat(strings.Repeat("a long dossier ", 2000), 1, 0)
	request.Stream = false
	var response engine.ChatResponse
	for range 2 {
		require.NoError(t, json.NewDecoder(postTo(t, base+engine.PathChat, "r1", request).Body).Decode(&response))
	}
	require.Equal(t, 3*engine.BlockTokens, response.Usage.CachedTokens)
	time.Sleep(5 * time.Millisecond)
	var events engine.CacheEvents
	getJSON(t, base+engine.PathCacheEvents+"?from=1", &events)
	require.Len(t, events.Events, 3)
}

func getJSON(t *testing.T, url string, into any) int {
	t.Helper()
	r, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode == http.StatusOK {
		require.NoError(t, json.NewDecoder(r.Body).Decode(into))
	}
	return r.StatusCode
}

// Guards against an order with an old fencing token that takes effect, and against
// a role change that does not end the running requests.
func TestOrdersAreFencedAndInterrupt(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Backends[firstEngine]
	running := postTo(t, base+engine.PathChat, "r1", chat("long", 10_000, 0))
	order := engine.Order{OrderID: "o1", Host: "h1", Fence: 7, Kind: engine.OrderSetRole, Role: engine.RolePrefill}
	require.Equal(t, http.StatusOK, postTo(t, base+engine.PathOrders, "", order).StatusCode)
	_, _, err := readStream(running.Body)
	require.Error(t, err)
	old := engine.Order{OrderID: "o2", Host: "h2", Fence: 6, Kind: engine.OrderSetRole, Role: engine.RoleDecode}
	require.Equal(t, http.StatusConflict, postTo(t, base+engine.PathOrders, "", old).StatusCode)
	require.Eventually(t, func() bool {
		var s engine.State
		getJSON(t, base+engine.PathState, &s)
		return s.Role == engine.RolePrefill && !s.Changing && s.Fence == 7
	}, 2*time.Second, 5*time.Millisecond)
}

// Guards against a crashed engine that still responds or never restarts.
func TestMarkedRequestCrashesEngine(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Backends[firstEngine]
	data, err := json.Marshal(chat("CRASH-ENGINE", 3, 0))
	require.NoError(t, err)
	q, err := http.NewRequest(http.MethodPost, base+engine.PathChat, bytes.NewReader(data))
	require.NoError(t, err)
	q.Header.Set(engine.HeaderRequestID, "r1")
	_, err = http.DefaultClient.Do(q)
	require.Error(t, err)
	require.Eventually(t, func() bool {
		r, err := http.Get(base + engine.PathState)
		return err == nil && r.Body.Close() == nil
	}, 2*time.Second, 10*time.Millisecond)
}

// Guards against a hang that closes the open connections or also affects new ones.
func TestHangSilencesOpenConnectionsOnly(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Backends[firstEngine]
	open := postTo(t, base+engine.PathChat, "r1", chat("long", 100, 0))
	e, found := d.Engine(firstEngine)
	require.True(t, found)
	e.Hang()
	ended := make(chan struct{})
	go func() {
		_, _, _ = readStream(open.Body)
		close(ended)
	}()
	request := chat("new", 3, 0)
	fresh := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	data, _ := json.Marshal(request)
	q, _ := http.NewRequest(http.MethodPost, base+engine.PathChat, bytes.NewReader(data))
	q.Header.Set(engine.HeaderRequestID, "r2")
	r, err := fresh.Do(q)
	require.NoError(t, err)
	text, _, err := readStream(r.Body)
	require.NoError(t, err)
	require.Equal(t, answer.Expected(&request), text)
	select {
	case <-ended:
		t.Fatal("the silent stream ended")
	case <-time.After(300 * time.Millisecond):
	}
}

// Guards against a lost response to an append whose entry is lost as well.
func TestLostAppendAnswerTookEffect(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Platform
	d.Platform().Faults().Put(fault.Injection{Interface: fault.LogAppend, LoseNext: 1})
	data, _ := json.Marshal(platform.AppendRequest{Data: []byte(`[]`)})
	q, _ := http.NewRequest(http.MethodPost, base+platform.PathLogAppend, bytes.NewReader(data))
	q.GetBody = nil
	_, err := http.DefaultClient.Do(q)
	require.Error(t, err)
	var read platform.ReadResponse
	getJSON(t, base+platform.PathLogRead+"?from=1&max=10&wait_ms=1000", &read)
	require.Len(t, read.Entries, 1)
	require.Equal(t, model.Offset(2), read.Next)
}

// Guards against reads at a dropped offset that return later entries without an error.
func TestDroppedOffsetIsGone(t *testing.T) {
	d := startTest(t, func(c *Config) { c.Platform.RetentionEntries = 2 })
	base := d.Addresses().Platform
	for range 5 {
		postTo(t, base+platform.PathLogAppend, "", platform.AppendRequest{Data: []byte(`[]`)})
	}
	require.Equal(t, http.StatusGone, getJSON(t, base+platform.PathLogRead+"?from=3", nil))
	var read platform.ReadResponse
	require.Equal(t, http.StatusOK, getJSON(t, base+platform.PathLogRead+"?from=4", &read))
	require.Len(t, read.Entries, 2)
}

// Guards against ordered backend servers that never become live, repeated orders that
// add backend servers, and a reclaim that leaves preemptible ones running.
func TestOrderAndReclaim(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Platform
	order := platform.BackendOrder{
		OrderID: "o1", Action: platform.ActionAdd, Pool: "tasador", DataCentre: "armenia", Kind: platform.Preemptible, Count: 2,
	}
	for range 2 {
		var status platform.BackendOrderStatus
		require.NoError(t, json.NewDecoder(postTo(t, base+platform.PathBackendOrder, "", order).Body).Decode(&status))
		require.Len(t, status.Backends, 2)
	}
	count := func(state platform.BackendState) (n int) {
		var list platform.BackendList
		getJSON(t, base+platform.PathBackends, &list)
		for _, b := range list.Backends {
			if b.State == state {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return count(platform.BackendLive) == 7 }, 2*time.Second, 5*time.Millisecond)
	require.Len(t, d.Platform().Reclaim("armenia", 0), 3)
	require.Eventually(t, func() bool { return count(platform.BackendGone) == 3 }, 2*time.Second, 5*time.Millisecond)
}

// Guards against a usage window that is accepted again with other figures, and against
// a report with an old fencing token.
func TestUsageWindowIsReportedOnce(t *testing.T) {
	d := startTest(t, nil)
	url := d.Addresses().Platform + platform.PathUsageReport
	report := platform.UsageReport{ReportID: "u1", Shard: "usage/0", WindowStartMS: 1, Fence: 5, Lines: []platform.UsageLine{{Requests: 3}}}
	require.Equal(t, http.StatusOK, postTo(t, url, "", report).StatusCode)
	require.Equal(t, http.StatusOK, postTo(t, url, "", report).StatusCode)
	report.Lines = []platform.UsageLine{{Requests: 4}}
	require.Equal(t, http.StatusConflict, postTo(t, url, "", report).StatusCode)
	old := platform.UsageReport{ReportID: "u2", Shard: "usage/0", WindowStartMS: 2, Fence: 4}
	require.Equal(t, http.StatusConflict, postTo(t, url, "", old).StatusCode)
}

// Guards against a service that deduplicates calls and so hides repeated executions
// from the checkers.
func TestServiceRecordsEachExecution(t *testing.T) {
	d := startTest(t, nil)
	base := d.Addresses().Backends["pedidos-armenia-1"]
	for range 2 {
		r := postTo(t, base+"/pedidos/reservations", "r1", map[string]string{"lot": "call=k1"})
		require.Equal(t, http.StatusCreated, r.StatusCode)
	}
	executed := 0
	for _, e := range d.Recorder().Since(0) {
		if e.Kind == record.Executed && e.CallTag == "k1" {
			executed++
		}
	}
	require.Equal(t, 2, executed)
}
