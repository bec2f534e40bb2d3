package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// A streamRun is one response of an engine: the events up to last, in chunks unless it is
// unframed, and its end.
type streamRun struct {
	unframed bool
	last     int
	end      streamEnd
}

type streamEnd int

const (
	// whole ends the stream: with the last chunk, or with the connection if it is unframed.
	whole streamEnd = iota
	// insideEvent closes the connection inside an event.
	insideEvent
	// resetAfterEvent resets the connection after a whole event.
	resetAfterEvent
	// keepOpen leaves the connection open after a whole event.
	keepOpen
)

func (s streamRun) write(conn net.Conn, r *http.Request) {
	framing := "Transfer-Encoding: chunked\r\n"
	write := func(text string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }
	if s.unframed {
		framing = ""
		write = func(text string) { _, _ = io.WriteString(conn, text) }
	}
	_, _ = fmt.Fprintf(conn, signedHead+"Content-Type: text/event-stream\r\n%s\r\n", r.Header.Get("X-Id"), framing)
	after, _ := strconv.Atoi(r.Header.Get("X-After"))
	for i := after + 1; i <= s.last; i++ {
		write(eventText(i))
	}
	switch {
	case s.end == keepOpen:
		return
	case s.end == insideEvent:
		write("id: 99\nda")
	case s.end == resetAfterEvent:
		time.Sleep(5 * time.Millisecond)
		reset(conn)
	case s.end == whole && !s.unframed:
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	_ = conn.Close()
}

// A streamResult is what a caller and the host know of a stream.
type streamResult struct {
	status  int
	chunked bool
	body    string
	// err is set if the response doesn't look complete.
	err  error
	runs int
	// crashes counts the runs that the host takes for crashes of their engines.
	crashes int
}

// runStreams has the successive runs of a stream respond as stated at whichever engine gets
// them. There is one engine more, which would serve the whole stream.
func runStreams(t *testing.T, path string, successive ...streamRun) streamResult {
	t.Helper()
	more := streamRun{last: successive[len(successive)-1].last}
	return streamAt(t, path, len(successive)+1, append(successive, more)...)
}

// streamAt is like runStreams with a number of engines.
func streamAt(t *testing.T, path string, engines int, successive ...streamRun) streamResult {
	t.Helper()
	var runs atomic.Int64
	var backends []placement.Backend
	for i := range engines {
		backends = append(backends, startBackend(t, fmt.Sprint("e", i), func(_ *backendServer, conn net.Conn, r *http.Request) {
			n := int(runs.Add(1))
			successive[min(n, len(successive))-1].write(conn, r)
		}).engine(placement.StageDecode))
	}
	bed := newTestbed(t, nil, backends...)
	bed.catalog.Load().Route("h", path).MaxAttempts = engines
	result := streamResult{}
	result.status, result.chunked, result.body, result.err = readStream(t, bed, path)
	result.runs = int(runs.Load())
	for _, n := range bed.gateway.Suspects() {
		result.crashes += n
	}
	return result
}

// readStream reads the response to a stream from the raw connection, since http.Transport
// hides how a connection has ended. err is set if the response doesn't look complete.
func readStream(t *testing.T, bed *testbed, path string) (status int, chunked bool, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", bed.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nX-Tokens: 10\r\nContent-Length: 0\r\n\r\n", path)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(resp.TransferEncoding) > 0, string(raw), err
}

// requireWhole checks that the caller has got a whole stream from a number of runs, of which
// some broke off.
func requireWhole(t *testing.T, r streamResult, last, runs, broken int) {
	t.Helper()
	require.NoError(t, r.err)
	assert.Equal(t, http.StatusOK, r.status)
	assert.Equal(t, eventsUpTo(last), r.body)
	assert.Equal(t, runs, r.runs)
	assert.Equal(t, broken, r.crashes, "a whole run is no crash")
}

// Guards against running a whole stream again because it has no framing.
func TestUnframedStreamIsWhole(t *testing.T) {
	for _, path := range []string{"/say/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			r := runStreams(t, path, streamRun{unframed: true, last: 4})
			requireWhole(t, r, 4, 1, 0)
			assert.True(t, r.chunked)
		})
	}
}

func TestUnframedStreamIsResumed(t *testing.T) {
	t.Run("by a framed run", func(t *testing.T) {
		r := runStreams(t, "/say/", streamRun{unframed: true, last: 2, end: insideEvent}, streamRun{last: 4})
		requireWhole(t, r, 4, 2, 1)
		assert.True(t, r.chunked)
	})
	t.Run("by a framed run without events", func(t *testing.T) {
		requireWhole(t, runStreams(t, "/say/", streamRun{unframed: true, last: 2, end: insideEvent}, streamRun{last: 2}), 2, 2, 1)
	})
	t.Run("by an unframed run", func(t *testing.T) {
		r := runStreams(t, "/say/", streamRun{unframed: true, last: 2, end: insideEvent}, streamRun{unframed: true, last: 4})
		requireWhole(t, r, 4, 2, 1)
		assert.True(t, r.chunked)
	})
	t.Run("after a reset", func(t *testing.T) {
		requireWhole(t, runStreams(t, "/say/", streamRun{unframed: true, last: 2, end: resetAfterEvent}, streamRun{last: 4}), 4, 2, 1)
	})
	t.Run("by a framed run after two", func(t *testing.T) {
		r := runStreams(t, "/say/", streamRun{last: 2, end: insideEvent}, streamRun{unframed: true, last: 3, end: insideEvent}, streamRun{last: 4})
		requireWhole(t, r, 4, 3, 2)
	})
	t.Run("by a framed run after a resumed one was reset", func(t *testing.T) {
		r := runStreams(t, "/say/", streamRun{last: 2, end: insideEvent}, streamRun{unframed: true, last: 3, end: resetAfterEvent}, streamRun{last: 4})
		requireWhole(t, r, 4, 3, 2)
	})
}

// Guards against a broken stream that looks complete, since its last run has no framing.
func TestBrokenUnframedStreamDoesNotLookComplete(t *testing.T) {
	for name, end := range map[string]streamEnd{"inside an event": insideEvent, "reset after an event": resetAfterEvent} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/say/", "/once/"} {
				r := streamAt(t, path, 1, streamRun{unframed: true, last: 3, end: end})
				assert.Error(t, r.err, path)
			}
			for _, firstUnframed := range []bool{true, false} {
				r := streamAt(t, "/say/", 2, streamRun{unframed: firstUnframed, last: 2, end: insideEvent}, streamRun{unframed: true, last: 3, end: end})
				assert.Error(t, r.err)
				assert.Equal(t, 2, r.runs)
			}
		})
	}
}

// Guards against taking a reset body for a whole one.
func TestUnframedAnswerThatIsResetIsAskedForAgain(t *testing.T) {
	for name, broken := range map[string]bool{"whole": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			text := func(id string) string { return fmt.Sprintf(signedHead+"\r\nwhole", id) }
			first := startBackend(t, "a", cutAfter(1<<10, broken, text))
			second := startBackend(t, "b", cutAfter(1<<10, false, text))
			bed := newTestbed(t, nil, first.plain(), far(second.plain()))
			answer, err := rawResponse(t, bed, http.MethodGet, "/look/")
			require.NoError(t, err)
			assert.True(t, strings.HasPrefix(answer, "HTTP/1.1 200") && strings.HasSuffix(answer, "\r\n\r\nwhole"), answer)
			assert.EqualValues(t, 1, first.runs.Load())
			assert.Equal(t, broken, second.runs.Load() == 1)
		})
	}
}

// Guards against taking a whole resumed run for a broken one, since it has no framing.
func TestResumedUnframedRunIsWhole(t *testing.T) {
	for name, last := range map[string]int{"with events": 4, "with none left": 2} {
		t.Run("after a framed one/"+name, func(t *testing.T) {
			r := runStreams(t, "/say/", streamRun{last: 2, end: insideEvent}, streamRun{unframed: true, last: last})
			requireWhole(t, r, last, 2, 1)
			assert.True(t, r.chunked)
		})
		t.Run("after a framed one/"+name+" and no other engine", func(t *testing.T) {
			r := streamAt(t, "/say/", 2, streamRun{last: 2, end: insideEvent}, streamRun{unframed: true, last: last})
			requireWhole(t, r, last, 2, 1)
			assert.True(t, r.chunked)
		})
	}
	t.Run("after an unframed one/with none left", func(t *testing.T) {
		r := runStreams(t, "/say/", streamRun{unframed: true, last: 2, end: insideEvent}, streamRun{unframed: true, last: 2})
		requireWhole(t, r, 2, 2, 1)
		assert.True(t, r.chunked)
	})
	t.Run("after an unframed one/with none left and no other engine", func(t *testing.T) {
		r := streamAt(t, "/say/", 2, streamRun{unframed: true, last: 2, end: insideEvent}, streamRun{unframed: true, last: 2})
		requireWhole(t, r, 2, 2, 1)
		assert.True(t, r.chunked)
	})
}

// Guards against a stream that looks complete although its engine crashed.
func TestUnframedRunOfAnEngineThatCrashedDoesNotLookComplete(t *testing.T) {
	for name, last := range map[string]int{"after an event": 3, "before its first event": 2} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			do := func(b *backendServer, conn net.Conn, r *http.Request) {
				run := streamRun{last: 2, end: insideEvent}
				if runs.Add(1) > 1 {
					_ = b.listener.Close()
					run = streamRun{unframed: true, last: last}
				}
				run.write(conn, r)
			}
			one, two := startBackend(t, "a", do), startBackend(t, "b", do)
			bed := newTestbed(t, nil, one.engine(placement.StageDecode), two.engine(placement.StageDecode))
			_, _, body, err := readStream(t, bed, "/say/")
			assert.Error(t, err)
			assert.Equal(t, eventsUpTo(last), body)
			assert.EqualValues(t, 2, runs.Load())
		})
	}
}
