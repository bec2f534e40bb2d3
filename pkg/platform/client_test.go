package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against status codes that map to the wrong error, such as one that says
// that a call had no effect when it may have had one.
func TestErrorMapping(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusTooManyRequests:     ErrRateLimited,
		http.StatusServiceUnavailable:  ErrUnavailable,
		http.StatusInternalServerError: ErrUnavailable,
		http.StatusConflict:            ErrRefused,
		http.StatusNotFound:            ErrUnknown,
		http.StatusGone:                ErrDropped,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(ReadResponse{First: 9})
		}))
		c := NewClient(ClientConfig{Address: server.URL})
		_, err := c.Append(t.Context(), []byte("x"))
		require.ErrorIs(t, err, want)
		r, err := c.Read(t.Context(), 1, 1, 0)
		require.ErrorIs(t, err, want)
		require.EqualValues(t, 9, r.First)
		server.Close()
		_, err = c.Append(t.Context(), []byte("x"))
		require.ErrorIs(t, err, ErrUnavailable)
	}
}

// Guards against calls without a timeout, and against further calls to a log
// address that does not respond.
func TestTimeoutMovesToNextLogAddress(t *testing.T) {
	release := make(chan struct{})
	var appends atomic.Int32
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		appends.Add(1)
		<-release
	}))
	defer slow.Close()
	defer close(release)
	quick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(AppendResponse{Offset: 7})
	}))
	defer quick.Close()
	c := NewClient(ClientConfig{Address: "http://127.0.0.1:1", LogAddresses: []string{slow.URL, quick.URL}, Timeout: 50 * time.Millisecond})
	_, err := c.Append(t.Context(), []byte("x"))
	require.ErrorIs(t, err, ErrUnavailable)
	offset, err := c.Append(t.Context(), []byte("x"))
	require.NoError(t, err)
	require.EqualValues(t, 7, offset)
	require.EqualValues(t, 1, appends.Load(), "a call is never repeated by the client")
}

// Guards against orders and reports that reach the platform without their fencing token.
func TestFencingHeader(t *testing.T) {
	var fences []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fences = append(fences, r.Header.Get(HeaderFencingToken))
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	c := NewClient(ClientConfig{Address: server.URL + "/"})
	_, err := c.Order(t.Context(), BackendOrder{Fence: 5})
	require.NoError(t, err)
	require.NoError(t, c.Report(t.Context(), UsageReport{Fence: 6}))
	require.Equal(t, []string{"5", "6"}, fences)
}
