package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// These tests guard against backend servers that send bytes without ever completing a
// response. The host has to close the connection and bound its memory.

const signedHeader = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n"

// repeatForever sends the start of a response and then repeats a text until the
// connection is closed.
func repeatForever(start, again string) requestHandler {
	block := strings.Repeat(again, 1+4096/len(again))
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		if strings.Contains(start, "%s") {
			start = fmt.Sprintf(start, r.Header.Get("X-Id"))
		}
		if _, err := io.WriteString(conn, start); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
	}
}

// maxHeapGrowth bounds the memory that one request may use: a small host has 184 MB.
// Unit: bytes.
const maxHeapGrowth = 16 << 20

// heapGrowthDuring returns the largest growth of the heap while do runs.
func heapGrowthDuring(do func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		do()
	}()
	most := uint64(0)
	for {
		select {
		case <-done:
			return most
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&now)
			if now.HeapInuse > before.HeapInuse {
				most = max(most, now.HeapInuse-before.HeapInuse)
			}
		}
	}
}

var endlessResponses = map[string]struct{ start, again string }{
	"head":            {signedHeader + "X-Filler: ", "a"},
	"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"event":           {signedHeader + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "a"},
	"lines of events": {signedHeader + "Content-Type: text/event-stream\r\n\r\n", ": wait\n"},
	"chunk extension": {signedHeader + "Transfer-Encoding: chunked\r\n\r\n1;x=", "a"},
	"body":            {signedHeader + "\r\n", "a"},
}

func TestReadIsRetriedAfterAnEndlessResponse(t *testing.T) {
	for name, a := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			bad, good := startBackend(t, "a", repeatForever(a.start, a.again)), startBackend(t, "b", respondOK("fine"))
			near := bad.plain()
			far := good.plain()
			far.DataCentre = "elsewhere"
			bed := newTestbed(t, nil, near, far)
			var r result
			heap := heapGrowthDuring(func() { r = bed.do(t, http.MethodGet, "/look/x", "", nil) })
			assert.Equal(t, 200, r.status)
			assert.Equal(t, "fine", r.body)
			assert.Less(t, heap, uint64(maxHeapGrowth))
			r = bed.do(t, http.MethodGet, "/look/y", "", map[string]string{"X-Id": "r2"})
			assert.Equal(t, 200, r.status, "other requests are not affected")
		})
	}
}

func TestPaymentWithAnEndlessResponseIsNotReportedAsNotRun(t *testing.T) {
	for name, a := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			bad := startBackend(t, "a", repeatForever(a.start, a.again))
			bed := newTestbed(t, nil, bad.plain())
			var r result
			heap := heapGrowthDuring(func() { r = bed.do(t, http.MethodPost, "/pay/x", "1", nil) })
			assert.Equal(t, http.StatusBadGateway, r.status)
			assert.Empty(t, r.header.Get("Retry-After"))
			assert.EqualValues(t, 1, bad.runs.Load())
			assert.Less(t, heap, uint64(maxHeapGrowth))
		})
	}
}

func TestStreamIsMovedAfterAnEndlessResponse(t *testing.T) {
	for _, name := range []string{"head", "interim answers", "event", "lines of events", "chunk extension"} {
		a := endlessResponses[name]
		t.Run(name, func(t *testing.T) {
			bad, good := startBackend(t, "a", repeatForever(a.start, a.again)), startBackend(t, "b", streamFrom(3, true))
			far := good.engine(placement.StageDecode)
			far.DataCentre = "elsewhere"
			bed := newTestbed(t, nil, bad.engine(placement.StageDecode), far)
			var r result
			heap := heapGrowthDuring(func() { r = bed.do(t, http.MethodPost, "/say/x", "", map[string]string{"X-Tokens": "100"}) })
			assert.NoError(t, r.err)
			assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", r.body)
			assert.Less(t, heap, uint64(maxHeapGrowth))
		})
	}
}

// Only complete events count as progress: a stream of bytes without complete events is
// moved after the gap timeout, and events just within the timeout keep a slow stream at
// its engine.
func TestOnlyCompleteEventsCountAsProgress(t *testing.T) {
	const gap = 200 * time.Millisecond
	limits := func(s *Settings) { s.EventGapTimeout = gap }
	head := func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		_, _ = fmt.Fprintf(conn, signedHeader+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
	}
	chunk := func(conn net.Conn, text string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	trickle := startBackend(t, "a", func(b *backendServer, conn net.Conn, r *http.Request) {
		head(b, conn, r)
		_ = chunk(conn, "id: 1\ndata: e1\n\n")
		for chunk(conn, ":") == nil {
			time.Sleep(gap / 10)
		}
	})
	far := startBackend(t, "b", streamFrom(3, true)).engine(placement.StageDecode)
	far.DataCentre = "elsewhere"
	bed := newTestbed(t, limits, trickle.engine(placement.StageDecode), far)
	began := time.Now()
	r := bed.do(t, http.MethodPost, "/say/x", "", map[string]string{"X-Tokens": "100"})
	assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n", r.body)
	assert.Less(t, time.Since(began), 3*gap)

	slow := startBackend(t, "c", func(b *backendServer, conn net.Conn, r *http.Request) {
		head(b, conn, r)
		for i := 1; i <= 4; i++ {
			for _, part := range strings.Split(fmt.Sprintf("id: %d|\ndata: e|%d\n\n", i, i), "|") {
				time.Sleep(gap * 7 / 30)
				_ = chunk(conn, part)
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	bed = newTestbed(t, limits, slow.engine(placement.StageDecode), far)
	r = bed.do(t, http.MethodPost, "/say/y", "", map[string]string{"X-Tokens": "100", "X-Id": "r2"})
	assert.NoError(t, r.err)
	assert.EqualValues(t, 1, slow.runs.Load())
	assert.Contains(t, r.body, "id: 4\ndata: e4\n\n", "a slow but healthy stream completes at its engine")
	assert.Equal(t, 4, strings.Count(r.body, "id:"))
}
