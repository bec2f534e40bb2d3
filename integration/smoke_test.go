package integration

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zaptest"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/node"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/standin"
)

const smokeKey = "smoke-test-key"

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func entityChange(t *testing.T, entity logrec.EntityKind, id string, value any) logrec.Change {
	data, err := json.Marshal(value)
	require.NoError(t, err)
	return logrec.Change{Entity: entity, ID: id, Expect: logrec.AnyVersion, Value: data}
}

func smokeConfig(t *testing.T) logrec.Record {
	digest := sha256.Sum256([]byte(smokeKey))
	r, err := logrec.New(logrec.KindConfig, logrec.ConfigChange{Operator: "test", Changes: []logrec.Change{
		entityChange(t, logrec.EntityOrganisation, "cooper", model.Organisation{ID: "cooper", Rate: 100, Burst: 100}),
		entityChange(t, logrec.EntityKey, "k1", model.Key{ID: "k1", Organisation: "cooper", Digest: hex.EncodeToString(digest[:])}),
		entityChange(t, logrec.EntityPool, "tasador", model.Pool{Name: "tasador", Kind: model.PoolEngine}),
		entityChange(t, logrec.EntityPool, "pedidos", model.Pool{Name: "pedidos", Kind: model.PoolService}),
		entityChange(t, logrec.EntityShop, "yard", model.Shop{ID: "yard", Organisation: "cooper"}),
		entityChange(t, logrec.EntityOffer, "o1", model.Offer{ID: "o1", Shop: "yard", Model: "tasador"}),
		entityChange(t, logrec.EntityRoute, "chat", model.Route{ID: "chat", PathPrefix: "/v1/chat/completions", Kind: model.RouteModel}),
		entityChange(t, logrec.EntityRoute, "orders", model.Route{ID: "orders", PathPrefix: "/reservations", Kind: model.RouteService, Pool: "pedidos"}),
	}})
	require.NoError(t, err)
	r.ID, r.Host, r.Incarnation = ulid.Make().String(), "test", "test"
	return r
}

func post(t *testing.T, url, body string, header map[string]string) (int, string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewBufferString(body))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(data)
}

// Guards against any fault that keeps a caller's requests from reaching an engine or
// a plain service.
func TestEndToEndInOneProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// The platform runs until the end of the test, since the host needs it during its
	// shutdown.
	deployment, err := standin.Start(t.Context(), standin.Config{
		Region: "andina", DataCentres: []model.DataCentreID{"armenia", "pereira"},
		Pools: []standin.PoolConfig{
			{Name: "tasador", Kind: model.PoolEngine, Ordinary: 2},
			{Name: "pedidos", Kind: model.PoolService, Ordinary: 2},
		},
	})
	require.NoError(t, err)
	client := platform.NewClient(platform.ClientConfig{Address: deployment.Addresses().Platform})
	data, err := logrec.Encode([]logrec.Record{smokeConfig(t)})
	require.NoError(t, err)
	_, err = client.Append(ctx, data)
	require.NoError(t, err)

	s := settings.Default()
	s.Host = settings.Host{ID: "host-1", Region: "andina", DataCentre: "armenia"}
	s.Listen = settings.Listen{Callers: freeAddress(t), Operators: freeAddress(t), Peers: freeAddress(t)}
	s.Platform.Address = deployment.Addresses().Platform
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, s, zaptest.NewLogger(t)) }()

	base := "http://" + s.Listen.Callers
	auth := map[string]string{"Authorization": "Bearer " + smokeKey}
	chat := `{"model":"tasador","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"price lot 7"}]}`
	require.Eventually(t, func() bool {
		response, err := http.Post(base+"/v1/chat/completions", "application/json", strings.NewReader("{}"))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusUnauthorized
	}, 10*time.Second, 50*time.Millisecond)

	require.Eventually(t, func() bool {
		status, _ := post(t, base+"/v1/chat/completions", fmt.Sprintf(chat, false), auth)
		return status == http.StatusOK
	}, 10*time.Second, 100*time.Millisecond)
	status, body := post(t, base+"/v1/chat/completions", fmt.Sprintf(chat, true), auth)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, 1, strings.Count(body, "[DONE]"), body)
	status, body = post(t, base+"/reservations", `{"lot":7}`, auth)
	require.Less(t, status, 300, body)

	cancel()
	require.NoError(t, <-done)
}
