package orders

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// Guards against an order that counts as refused or unknown although the engine has
// reported neither.
func TestNewEnginesReturnsSentinelOnlyForItsStatus(t *testing.T) {
	status := http.StatusConflict
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()
	e := NewEngines(engine.NewClient(engine.DefaultClientSettings(), engine.NewTransports(engine.DefaultTransportSettings())))
	_, err := e.Order(t.Context(), server.URL, engine.Order{})
	require.ErrorIs(t, err, ErrOrderRefused)
	_, err = e.OrderStatus(t.Context(), server.URL, "o")
	require.NotErrorIs(t, err, ErrOrderUnknown)
	status = http.StatusNotFound
	_, err = e.OrderStatus(t.Context(), server.URL, "o")
	require.ErrorIs(t, err, ErrOrderUnknown)
	_, err = e.Order(t.Context(), server.URL, engine.Order{})
	require.NotErrorIs(t, err, ErrOrderRefused)
	require.NotErrorIs(t, err, ErrOrderUnknown)
	server.Close()
	_, err = e.OrderStatus(t.Context(), server.URL, "o")
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrOrderUnknown)
}
