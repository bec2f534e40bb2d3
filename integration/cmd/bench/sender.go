package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/pkg/engine"
)

// recorder collects the results of the requests to one target. It is safe for
// concurrent use.
type recorder struct {
	mu         sync.Mutex
	durations  []time.Duration
	firstToken []time.Duration
	tokenGaps  []time.Duration
	failures   int
	lastError  string
	tokens     atomic.Int64
	completed  atomic.Int64
}

func (r *recorder) add(times *[]time.Duration, values ...time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*times = append(*times, values...)
}

func (r *recorder) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
	r.lastError = err.Error()
}

// quantile returns a quantile of times, or 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// target is a destination of requests: a host, or the engines in turn.
type target struct {
	urls   []string
	key    string
	client *http.Client
	next   atomic.Uint64
}

func newTarget(key string, urls ...string) *target {
	return &target{urls: urls, key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
}

func (f *fixture) targets() (host, direct *target) {
	var urls []string
	for _, url := range f.engineURLs {
		urls = append(urls, url+engine.PathChat)
	}
	return newTarget(f.key, f.Hosts[0].Callers+"/v1/chat/completions"), newTarget("", urls...)
}

func (t *target) open(ctx context.Context, body []byte) (*http.Response, error) {
	url := t.urls[t.next.Add(1)%uint64(len(t.urls))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	request.Header = http.Header{"Content-Type": {"application/json"}}
	if t.key != "" {
		request.Header = example.Header(t.key)
	}
	request.Header.Set(engine.HeaderRequestID, ulid.Make().String())
	response, err := t.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		data, _ := io.ReadAll(response.Body)
		return nil, eris.Errorf("%d %s", response.StatusCode, data)
	}
	return response, nil
}

// nonStreaming sends a request whose response is not streamed and records its duration.
func (t *target) nonStreaming(ctx context.Context, body []byte, r *recorder) error {
	start := time.Now()
	response, err := t.open(ctx, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return eris.Wrap(err, "read response")
	}
	r.add(&r.durations, time.Since(start))
	return nil
}

// stream sends a request whose response is streamed and records the time to the first
// token and the gaps between tokens.
func (t *target) stream(ctx context.Context, body []byte, r *recorder) error {
	start := time.Now()
	response, err := t.open(ctx, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	var last time.Time
	var tokenGaps []time.Duration
	complete := false
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			break
		}
		complete = complete || bytes.Contains(line, []byte("[DONE]"))
		if !bytes.Contains(line, []byte(`"content":"`)) {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			r.add(&r.firstToken, now.Sub(start))
		} else {
			tokenGaps = append(tokenGaps, now.Sub(last))
		}
		last = now
		r.tokens.Add(1)
	}
	r.add(&r.tokenGaps, tokenGaps...)
	if !complete && ctx.Err() == nil {
		return eris.New("the stream ended without [DONE]")
	}
	return nil
}

type sendFunc func(context.Context, []byte, *recorder) error

// generateLoad sends requests at a fixed rate until ctx ends, without waiting for
// responses (open loop), and returns when all requests have ended.
func (f *fixture) generateLoad(ctx context.Context, perSecond float64, stream bool, tokens int, send sendFunc, r *recorder) {
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	for n := 0; ; n++ {
		due := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		body := []byte(f.ChatBody(stream, tokens, fmt.Sprintf("lot %d of the oak staves", n)))
		group.Go(func() {
			if err := send(context.WithoutCancel(ctx), body, r); err != nil {
				r.fail(err)
				return
			}
			r.completed.Add(1)
		})
	}
}
