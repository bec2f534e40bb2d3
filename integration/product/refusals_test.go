package product

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Limits of the host under test. limitTolerance is the longest time from the end of
// a time limit to the rejection.
const (
	testLimits     = `"limits": {"header_time": "1s", "body_time": "1s", "body_bytes": 65536, "header_bytes": 8192},`
	readTimeLimit  = time.Second
	bodyLimit      = 65536
	limitTolerance = 3 * time.Second
)

// rejections are the rejections of the caller interface that a single call causes.
var rejections = []struct {
	name   string
	path   string
	body   string
	change func(http.Header)
	status int
	code   model.ErrorCode
}{
	{name: "malformed JSON", body: `{"model":`, status: 400, code: model.CodeBadRequest},
	{name: "no model", body: `{"messages":[{"role":"user","content":"x"}]}`, status: 400, code: model.CodeBadRequest},
	{name: "no messages", body: `{"model":"tasador"}`, status: 400, code: model.CodeBadRequest},
	{name: "resume by a caller", body: `{"model":"tasador","resume_from":3,"messages":[{"role":"user","content":"x"}]}`, status: 400, code: model.CodeBadRequest},
	{name: "too many tokens", body: `{"model":"tasador","max_tokens":99999999,"messages":[{"role":"user","content":"x"}]}`, status: 400, code: model.CodeBadRequest},
	{name: "oversized", body: strings.Repeat("x", bodyLimit+1), status: 413, code: model.CodeTooLarge},
	{name: "unknown model", body: `{"model":"none","messages":[{"role":"user","content":"x"}]}`, status: 404, code: model.CodeUnknownModel},
	{name: "unknown adapter", body: `{"model":"tasador","adapter":"none","messages":[{"role":"user","content":"x"}]}`, status: 403, code: model.CodeNotOffered},
	{name: "wrong content type", change: func(h http.Header) { h.Set("Content-Type", "text/plain") }, status: 415, code: model.CodeWrongContentType},
	{name: "no key", change: func(h http.Header) { h.Del("Authorization") }, status: 401, code: model.CodeMissingKey},
	{name: "wrong key", change: func(h http.Header) { h.Set("Authorization", "Bearer rw_nobody") }, status: 401, code: model.CodeInvalidKey},
	{name: "two keys", change: func(h http.Header) { h.Set("X-Api-Key", "rw_other") }, status: 401, code: model.CodeInvalidKey},
	{name: "key in the query", path: chatPath + "?api_key=rw_nobody", status: 400, code: model.CodeBadRequest},
	{name: "unknown path", path: "/v2/none", status: 404, code: model.CodeUnknownRoute},
	{name: "dots in the path", path: "/v1/../v1/chat/completions", status: 400, code: model.CodeBadRequest},
	{name: "shop of another organisation", change: func(h http.Header) { h.Set("X-Shop", "toledo-pereira") }, status: 404, code: model.CodeUnknownShop},
}

// Guards against rejections that differ from the documented form or state wrongly
// whether the call ran, and against a host that stops serving after an invalid call.
func TestRejections(t *testing.T) {
	d, keys := start(t, example.Config{Example: example.Duelas, Limits: testLimits})
	runControl(t, d.Hosts[0], "run", "change shop roble-centro hours always")
	host, key := d.Hosts[0], keys["roble-1"]
	good := d.ChatBody(false, 2, "lot")
	_, err := d.AwaitChat(timeoutContext(t), host, key, good)
	require.NoError(t, err)
	for _, c := range rejections {
		t.Run(c.name, func(t *testing.T) {
			header, path, body := example.Header(key), c.path, c.body
			if c.change != nil {
				c.change(header)
			}
			if path == "" {
				path = chatPath
			}
			if body == "" {
				body = good
			}
			response, err := d.Call(timeoutContext(t), host.Callers+path, body, header)
			require.NoError(t, err)
			requireRejected(t, c.status, c.code, response)
		})
	}
	t.Run("sockets", func(t *testing.T) { testRawRequests(t, strings.TrimPrefix(host.Callers, "http://"), key) })
	t.Run("configuration", func(t *testing.T) { testConfigurationRejections(t, d, keys) })
	requireServes(t, d, host, key)
}

// requireServes checks that a request succeeds. Shards move to hosts that have just
// joined, and a new rate coordinator issues no grants for 4 s (freshness time and
// longest grant term). Until then, only a rejection for the rate is allowed.
func requireServes(t *testing.T, d *example.Deployment, host *example.Host, key string) {
	t.Helper()
	const takeOver = 4 * time.Second
	var response example.Response
	for began := time.Now(); time.Since(began) < takeOver+limitTolerance; time.Sleep(pollInterval) {
		var err error
		response, err = d.Call(timeoutContext(t), host.Callers+chatPath, d.ChatBody(false, 2, "lot"), example.Header(key))
		require.NoError(t, err)
		if response.Status != http.StatusTooManyRequests {
			break
		}
		requireRejected(t, http.StatusTooManyRequests, model.CodeRateExceeded, response)
	}
	require.Equal(t, http.StatusOK, response.Status, response.Body)
}

// testRawRequests sends requests that an HTTP client cannot send.
func testRawRequests(t *testing.T, address, key string) {
	head := "POST " + chatPath + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nAuthorization: Bearer " + key + "\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", bodyLimit+1, strings.Repeat("x", bodyLimit+1))
	t.Run("truncated body", func(t *testing.T) {
		response, _ := sendRaw(t, address, head+"Content-Length: 100\r\n\r\n{\"model\":", true)
		requireRejected(t, http.StatusBadRequest, model.CodeBadRequest, response)
	})
	t.Run("oversized body without a length", func(t *testing.T) {
		response, _ := sendRaw(t, address, head+"Transfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n", false)
		requireRejected(t, http.StatusRequestEntityTooLarge, model.CodeTooLarge, response)
	})
	t.Run("slow body", func(t *testing.T) {
		response, took := sendRaw(t, address, head+"Content-Length: 100\r\n\r\n{", false)
		requireRejected(t, http.StatusRequestTimeout, model.CodeTimeout, response)
		require.Less(t, took, readTimeLimit+limitTolerance)
	})
	// net/http itself rejects an incomplete, oversized or malformed header, in its own
	// form.
	t.Run("slow header", func(t *testing.T) {
		_, took := sendRaw(t, address, "POST "+chatPath+" HTTP/1.1\r\nHost: h\r\n", false)
		require.Less(t, took, readTimeLimit+limitTolerance)
	})
	t.Run("oversized header", func(t *testing.T) {
		response, _ := sendRaw(t, address, head+"X-Long: "+strings.Repeat("x", 1<<20)+"\r\n\r\n", false)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.Status)
	})
	t.Run("malformed request line", func(t *testing.T) {
		response, _ := sendRaw(t, address, "CHAT\r\n\r\n", false)
		require.Equal(t, http.StatusBadRequest, response.Status)
	})
}

// sendRaw writes text to a new connection, closes the sending side if closeWrite is
// set, and reads one response. Status 0 means that the host closed the connection
// without a response.
func sendRaw(t *testing.T, address, text string, closeWrite bool) (example.Response, time.Duration) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	began := time.Now()
	require.NoError(t, connection.SetDeadline(began.Add(stopTimeout)))
	// The host may respond and close the connection before it has read the whole text,
	// so that the write may fail.
	_, _ = io.WriteString(connection, text)
	if closeWrite {
		require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	took := time.Since(began)
	if err != nil {
		return example.Response{}, took
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return example.Response{Status: response.StatusCode, Header: response.Header, Body: string(data)}, took
}

// testConfigurationRejections checks the rejections that depend on the configuration
// in force.
func testConfigurationRejections(t *testing.T, d *example.Deployment, keys map[model.KeyID]string) {
	host, body := d.Hosts[0], d.ChatBody(false, 1, "lot")
	call := func(header http.Header) example.Response {
		response, err := d.Call(timeoutContext(t), host.Callers+chatPath, body, header)
		require.NoError(t, err)
		return response
	}
	t.Run("closed shop", func(t *testing.T) {
		day := strings.ToLower(time.Now().UTC().AddDate(0, 0, 3).Weekday().String()[:3])
		runControl(t, host, "run", "change shop sur-manizales zone UTC hours "+day+" 10:00-11:00")
		r := requireRejected(t, http.StatusForbidden, model.CodeShopClosed, call(shopHeader(keys["sur-1"], "sur-manizales")))
		require.Positive(t, *r.Error.RetryAfterMS)
	})
	t.Run("revoked key", func(t *testing.T) {
		runControl(t, host, "run", "revoke key cauca-1")
		requireRejected(t, http.StatusUnauthorized, model.CodeRevokedKey, call(example.Header(keys["cauca-1"])))
	})
	t.Run("rate exceeded", func(t *testing.T) {
		runControl(t, host, "run", "change shop niza-taller hours always; change org taller-niza rate 0.5 burst 2")
		var last example.Response
		// Burst 2 and 0.5 requests/s allow fewer than 20 requests in 30 s.
		for range 20 {
			if last = call(example.Header(keys["niza-1"])); last.Status == http.StatusTooManyRequests {
				break
			}
		}
		r := requireRejected(t, http.StatusTooManyRequests, model.CodeRateExceeded, last)
		require.Positive(t, *r.Error.RetryAfterMS)
	})
}
