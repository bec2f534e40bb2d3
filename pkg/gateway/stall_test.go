package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// respondAfter responds after a delay.
func respondAfter(span time.Duration, body string) requestHandler {
	ok := respondOK(body)
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		time.Sleep(span)
		ok(b, conn, r)
	}
}

func TestSlowServerKeepsItsRequestUnlessAnotherCanServeIt(t *testing.T) {
	deadline := map[string]string{"X-Deadline": "1000"}
	t.Run("alone", func(t *testing.T) {
		slow := startBackend(t, "a", respondAfter(650*time.Millisecond, "slow"))
		bed := newTestbed(t, nil, slow.plain())
		r := bed.do(t, http.MethodGet, "/look/x", "", deadline)
		assert.Equal(t, 200, r.status)
		assert.EqualValues(t, 1, slow.runs.Load())
	})
	t.Run("without a budget", func(t *testing.T) {
		slow, other := startBackend(t, "a", respondAfter(650*time.Millisecond, "slow")), startBackend(t, "b", respondOK("quick"))
		far := other.plain()
		far.DataCentre = "elsewhere"
		bed := newTestbed(t, func(s *Settings) { s.RetryRatio, s.RetrySlack = 0, 0 }, slow.plain(), far)
		r := bed.do(t, http.MethodGet, "/look/x", "", deadline)
		assert.Equal(t, 200, r.status)
		assert.Equal(t, "slow", r.body)
	})
	t.Run("for another one", func(t *testing.T) {
		slow, other := startBackend(t, "a", respondAfter(830*time.Millisecond, "slow")), startBackend(t, "b", respondOK("quick"))
		far := other.plain()
		far.DataCentre = "elsewhere"
		bed := newTestbed(t, nil, slow.plain(), far)
		began := time.Now()
		r := bed.do(t, http.MethodGet, "/look/x", "", deadline)
		assert.Equal(t, 200, r.status)
		assert.Equal(t, "quick", r.body)
		assert.Less(t, time.Since(began), 750*time.Millisecond)
	})
	t.Run("stream", func(t *testing.T) {
		const gap = 100 * time.Millisecond
		slow := startBackend(t, "a", func(b *backendServer, conn net.Conn, r *http.Request) {
			b.runs.Add(1)
			_, _ = fmt.Fprintf(conn, signedHeader+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
			for i := 1; i <= 2; i++ {
				event := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(3 * gap)
			}
			_, _ = fmt.Fprint(conn, "0\r\n\r\n")
		})
		bed := newTestbed(t, func(s *Settings) { s.EventGapTimeout = gap }, slow.engine(placement.StageDecode))
		r := bed.do(t, http.MethodPost, "/say/x", "", map[string]string{"X-Tokens": "100"})
		assert.NoError(t, r.err)
		assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", r.body)
		assert.EqualValues(t, 1, slow.runs.Load())
	})
}

// A stalled stream that no other engine can serve ends at its deadline, even if bytes
// that complete no event keep arriving.
func TestStalledStreamWithoutAnotherEngineEndsWithItsDeadline(t *testing.T) {
	const gap, deadline = 100 * time.Millisecond, 800 * time.Millisecond
	for name, event := range map[string]string{"before its first event": "", "after an event": "id: 1\ndata: e1\n\n"} {
		t.Run(name, func(t *testing.T) {
			trickle := startBackend(t, "a", func(b *backendServer, conn net.Conn, r *http.Request) {
				b.runs.Add(1)
				_, _ = fmt.Fprintf(conn, signedHeader+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
				for text := event + ":"; ; text = ":" {
					if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
						return
					}
					time.Sleep(gap / 5)
				}
			})
			bed := newTestbed(t, func(s *Settings) { s.EventGapTimeout = gap }, trickle.engine(placement.StageDecode))
			began := time.Now()
			r := bed.do(t, http.MethodPost, "/say/x", "", map[string]string{"X-Tokens": "100", "X-Deadline": fmt.Sprint(deadline.Milliseconds())})
			assert.InDelta(t, float64(deadline), float64(time.Since(began)), float64(300*time.Millisecond))
			assert.EqualValues(t, 1, trickle.runs.Load())
			if event == "" {
				assert.Equal(t, http.StatusGatewayTimeout, r.status)
				assert.Empty(t, r.header.Get("Retry-After"), "the request has run")
				return
			}
			assert.Error(t, r.err, "an interrupted stream must not look complete")
			assert.Equal(t, event, r.body)
		})
	}
}

// Where a service's calls usually take most of their time limit, a server that is still
// running a call is not treated as stalled.
func TestUsualTimeOfAServiceIsLearned(t *testing.T) {
	a, b := startBackend(t, "a", respondAfter(580*time.Millisecond, "a")), startBackend(t, "b", respondAfter(580*time.Millisecond, "b"))
	bed := newTestbed(t, nil, a.plain(), b.plain())
	var group sync.WaitGroup
	served := make(chan int, 12)
	ask := func(n int) {
		for i := range n {
			group.Go(func() {
				served <- bed.do(t, http.MethodGet, "/look/x", "", map[string]string{"X-Deadline": "1000", "X-Id": fmt.Sprint("r", n, i)}).status
			})
		}
		group.Wait()
	}
	ask(2)
	before := a.runs.Load() + b.runs.Load()
	for range 2 {
		<-served
	}
	ask(10)
	for range 10 {
		assert.Equal(t, 200, <-served)
	}
	time.Sleep(time.Second)
	assert.LessOrEqual(t, a.runs.Load()+b.runs.Load()-before, int64(10+2), "each call runs once; the cancelled attempts of the first two may end late")
}

func TestMeanDurationFollowsRecentCalls(t *testing.T) {
	var u meanDurations
	assert.Zero(t, u.get("s"))
	u.add("s", time.Second)
	assert.Equal(t, time.Second, u.get("s"))
	for range 200 {
		u.add("s", 100*time.Millisecond)
	}
	assert.InDelta(t, float64(100*time.Millisecond), float64(u.get("s")), float64(5*time.Millisecond))
	assert.Zero(t, u.get("t"))
}

// Guards against leaving sound servers that pause for about a second.
func TestStreamsStayAtAPausingServerWithinTheirCallersPatience(t *testing.T) {
	bed := newTestbed(t, nil)
	for _, c := range []struct{ target, gap, patience time.Duration }{
		{0, 0, 2 * time.Second},
		{300 * time.Millisecond, 150 * time.Millisecond, 2 * time.Second},
		{600 * time.Millisecond, 150 * time.Millisecond, 2400 * time.Millisecond},
		{600 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
		{4 * time.Second, 0, 16 * time.Second},
	} {
		limit := (&call{g: bed.gateway, route: &catalog.Route{TargetLatency: c.target, TargetGap: c.gap}}).eventGapTimeout()
		assert.Greater(t, limit, 1100*time.Millisecond)
		assert.LessOrEqual(t, limit, 2*time.Second)
		assert.LessOrEqual(t, limit, c.patience*3/5)
	}
}
