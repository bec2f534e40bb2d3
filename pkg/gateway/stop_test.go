package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// silentFor responds after a while.
func silentFor(d time.Duration) requestHandler {
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		time.Sleep(d)
		respondOK("x")(b, conn, r)
	}
}

func TestLateRequestIsRefusedWhenTheStopCouldCutIt(t *testing.T) {
	s := startBackend(t, "s1", respondOK("x"))
	engine := startBackend(t, "e1", streamFrom(2, true))
	b := newTestbed(t, nil, s.plain(), engine.engine(placement.StageDecode))
	b.gateway.Stop(time.Now(), time.Now().Add(800*time.Millisecond))
	for _, path := range []string{"/pay/", "/look/", "/say/", "/once/"} {
		r := b.do(t, "POST", path, "x", nil)
		assert.Equal(t, 503, r.status, path)
		assert.NotEmpty(t, r.header.Get("Retry-After"), path)
		assert.True(t, r.closes, path)
	}
	assert.Empty(t, s.requests())
	assert.Empty(t, engine.requests())
	r := b.do(t, "POST", "/pay/", "x", map[string]string{"X-Deadline": "400"})
	assert.Equal(t, 200, r.status, "the request ends before the stop in any case")
}

func TestRequestsOfTheLoadBalancersShareAreServed(t *testing.T) {
	s := startBackend(t, "s1", silentFor(300*time.Millisecond))
	engine := startBackend(t, "e1", streamFrom(2, true))
	b := newTestbed(t, nil, s.plain(), engine.engine(placement.StageDecode))
	b.gateway.Stop(time.Now().Add(600*time.Millisecond), time.Now().Add(900*time.Millisecond))
	for _, path := range []string{"/pay/", "/say/"} {
		r := b.do(t, "POST", path, "x", nil)
		assert.Equal(t, 200, r.status, path)
		assert.True(t, r.closes, path)
	}
}

func TestRunningCallsAreAnsweredBeforeTheStopEnds(t *testing.T) {
	for _, path := range []string{"/pay/", "/look/", "/say/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			s := startBackend(t, "s1", silentFor(5*time.Second))
			b := newTestbed(t, nil, s.plain(), s.engine(placement.StageDecode))
			if path == "/say/" || path == "/once/" {
				b.fleet.Update(s.engine(placement.StageDecode))
			} else {
				b.fleet.Update(s.plain())
			}
			results := make(chan result, 1)
			go func() { results <- b.do(t, "POST", path, "x", nil) }()
			require.Eventually(t, func() bool { return len(s.requests()) == 1 }, time.Second, time.Millisecond)
			end := time.Now().Add(250 * time.Millisecond)
			b.gateway.Stop(time.Now(), end)
			r := <-results
			assert.Equal(t, 504, r.status)
			assert.Empty(t, r.header.Get("Retry-After"), "the request may have run")
			assert.True(t, r.closes)
			assert.WithinDuration(t, end, time.Now(), 100*time.Millisecond)
		})
	}
}

func TestBackendServersGetNoTimeBeyondTheStop(t *testing.T) {
	s := startBackend(t, "s1", respondOK("x"))
	b := newTestbed(t, nil, s.plain())
	b.gateway.Stop(time.Now().Add(time.Second), time.Now().Add(500*time.Millisecond))
	assert.Equal(t, 200, b.do(t, "POST", "/pay/", "x", nil).status)
	ms, err := strconv.Atoi(s.requests()[0].Header.Get("X-Deadline"))
	require.NoError(t, err)
	assert.LessOrEqual(t, ms, 500)
}

func (b *testbed) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	return conn
}

// sendSlowly sends a request whose body takes a while and returns the response.
func (b *testbed) sendSlowly(t *testing.T, path string, pause time.Duration) *http.Response {
	t.Helper()
	conn := b.dial(t)
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 10\r\n\r\nfirst", path)
	require.NoError(t, err)
	go func() {
		time.Sleep(pause)
		_, _ = io.Copy(conn, strings.NewReader("later"))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestLateRequestAfterAStreamThatBeganBeforeTheStopIsRefused(t *testing.T) {
	s := startBackend(t, "s1", respondOK("x"))
	engine := startBackend(t, "e1", func(b *backendServer, conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n", r.Header.Get("X-Id"))
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	b := newTestbed(t, nil, s.plain(), engine.engine(placement.StageDecode))
	conn := b.dial(t)
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	b.gateway.Stop(time.Now(), time.Now().Add(900*time.Millisecond))
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.False(t, resp.Close, "the response began before the stop")
	_, err = io.WriteString(conn, "POST /pay/ HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, 503, resp.StatusCode)
	assert.True(t, resp.Close)
	assert.Empty(t, s.requests())
}

func TestSlowlySentRequestIsRefusedWhenTheStopCouldCutIt(t *testing.T) {
	for name, pause := range map[string]time.Duration{"whole before the end": 200 * time.Millisecond, "not whole": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", silentFor(time.Second))
			b := newTestbed(t, nil, s.plain())
			b.gateway.Stop(time.Now().Add(100*time.Millisecond), time.Now().Add(400*time.Millisecond))
			started := time.Now()
			resp := b.sendSlowly(t, "/pay/", pause)
			assert.Equal(t, 503, resp.StatusCode)
			assert.NotEmpty(t, resp.Header.Get("Retry-After"))
			assert.True(t, resp.Close)
			assert.Less(t, time.Since(started), 600*time.Millisecond)
			assert.Empty(t, s.requests())
		})
	}
}

func TestStreamThatRunsAtTheEndOfAStopDoesNotLookComplete(t *testing.T) {
	s := startBackend(t, "s1", func(b *backendServer, conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n", r.Header.Get("X-Id"))
		time.Sleep(5 * time.Second)
	})
	b := newTestbed(t, nil, s.engine(placement.StageDecode))
	time.AfterFunc(100*time.Millisecond, func() { b.gateway.Stop(time.Now(), time.Now().Add(200*time.Millisecond)) })
	started := time.Now()
	r := b.do(t, "POST", "/once/", "x", nil)
	assert.Equal(t, 200, r.status)
	assert.Error(t, r.err)
	assert.Less(t, time.Since(started), 600*time.Millisecond)
}
