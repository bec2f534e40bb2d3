package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/membudget"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// noLimit gives leases without a limit.
var noLimit *membudget.Budget

const (
	smallHostBytes = 184 << 20
	// maxHostHeapGrowth bounds the memory of all requests together: half of that of a small
	// host. Unit: bytes.
	maxHostHeapGrowth = smallHostBytes / 2
	// manyCallers is the number of requests at the faulty servers at the same time.
	manyCallers   = 300
	faultyServers = 30
)

// boundMemory gives the testbed the budget of a small host.
func boundMemory(bed *testbed) {
	budget := membudget.New(smallHostBytes * 15 / 100)
	settings := upstream.DefaultSettings()
	settings.Memory = budget
	bed.gateway.deps.Pool = upstream.NewPool(settings)
	bed.gateway.deps.ResponseMemory = budget
}

// inPieces sends the start of a response and then pieces with pauses until the connection is
// closed, so that many responses grow at the same time.
func inPieces(start, piece string) requestHandler {
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		if strings.Contains(start, "%s") {
			_, _ = fmt.Fprintf(conn, start, r.Header.Get("X-Id"))
		} else {
			_, _ = io.WriteString(conn, start)
		}
		for {
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against a host that runs out of memory, since many requests at a faulty server each
// hold as much as one may.
func TestManyEndlessResponsesTogetherAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ start, piece, method, path string }{
		"body":         {signedHeader + "\r\n", strings.Repeat("a", 24<<10), "GET", "/look/x"},
		"chunked body": {signedHeader + "Transfer-Encoding: chunked\r\n\r\n", "6000\r\n" + strings.Repeat("a", 24<<10) + "\r\n", "GET", "/look/x"},
		"payment":      {signedHeader + "\r\n", strings.Repeat("a", 24<<10), "POST", "/pay/x"},
		"failure":      {strings.Replace(signedHeader, "200 OK", "500 X", 1) + "\r\n", strings.Repeat("a", 24<<10), "POST", "/pay/x"},
		"refusal":      {"HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\n\r\n", strings.Repeat("a", 24<<10), "POST", "/pay/x"},
		"event":        {signedHeader + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", strings.Repeat("a", 24<<10), "POST", "/once/x"},
		"head":         {signedHeader + "X-Filler: ", strings.Repeat("a", 2<<10), "GET", "/look/x"},
	} {
		t.Run(name, func(t *testing.T) {
			sound := startBackend(t, "sound", respondOK(strings.Repeat("x", 50<<10)))
			bed := newTestbed(t, nil)
			for i := range faultyServers {
				faulty := startBackend(t, fmt.Sprint("a", i), inPieces(c.start, c.piece))
				if c.path == "/once/x" {
					bed.fleet.Update(faulty.engine(placement.StageDecode))
				} else {
					bed.fleet.Update(faulty.plain())
				}
			}
			boundMemory(bed)
			budget := bed.gateway.deps.ResponseMemory
			heap := heapGrowthDuring(func() {
				var group sync.WaitGroup
				for i := range manyCallers {
					group.Go(func() {
						bed.do(t, c.method, c.path, "", map[string]string{"X-Id": fmt.Sprint("r", i), "X-Deadline": "4000"})
					})
				}
				group.Wait()
			})
			t.Logf("the heap grew by %d MiB", heap>>20)
			assert.Less(t, heap, uint64(maxHostHeapGrowth))
			assert.Eventually(t, func() bool { return budget.Used() == 0 }, 3*time.Second, 10*time.Millisecond, "all memory is returned")
			for i := range faultyServers {
				bed.fleet.Remove(model.BackendID(fmt.Sprint("a", i)))
			}
			bed.fleet.Update(sound.plain())
			r := bed.do(t, http.MethodGet, "/look/y", "", map[string]string{"X-Id": "sound"})
			assert.Equal(t, 200, r.status, "other requests are not affected")
			assert.Len(t, r.body, 50<<10)
		})
	}
}

// Guards against requests and parts of prompts that are held for crashes, since the host gave
// up responses of sound servers.
func TestResponseThatTheHostGivesUpIsNoCrash(t *testing.T) {
	for _, err := range []error{readError(membudget.ErrExhausted), eris.Wrap(membudget.ErrExhausted, "read the answer")} {
		assert.False(t, brokenConnection(t.Context(), err))
	}
	assert.True(t, brokenConnection(t.Context(), readError(io.ErrUnexpectedEOF)))
}
