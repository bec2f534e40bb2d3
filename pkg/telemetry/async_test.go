package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// stuckReader is a reader of the log that stops until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (r *stuckReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(p)
}

func (r *stuckReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.String()
}

func TestLinesNeverWaitForAReaderThatStopped(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	log, flush, err := NewAsyncLogger(reader, "info", 0)
	require.NoError(t, err)
	started := time.Now()
	for i := range 3 * queuedLines {
		log.Info("request finished", zap.Int("n", i))
	}
	for i := range warnReserve / 2 {
		log.Warn("request not served", zap.Int("n", i))
	}
	assert.Less(t, time.Since(started), 5*time.Second)
	close(reader.release)
	require.Eventually(t, func() bool { return strings.Count(reader.text(), "request not served") == warnReserve/2 },
		5*time.Second, 10*time.Millisecond, "failed requests are kept while finished ones are dropped")
	log.Info("one more")
	flush()
	assert.Contains(t, reader.text(), "log lines dropped")
	assert.Less(t, strings.Count(reader.text(), "request finished"), 3*queuedLines)
}

func TestLinesBelowAWarningAreKeptToARate(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	close(reader.release)
	log, flush, err := NewAsyncLogger(reader, "info", 10)
	require.NoError(t, err)
	for range 500 {
		log.Info("request finished")
		log.Warn("request not served")
	}
	flush()
	// The sampler's second may end within the loop.
	assert.LessOrEqual(t, strings.Count(reader.text(), "request finished"), 20)
	assert.Equal(t, 500, strings.Count(reader.text(), "request not served"))
	assert.Contains(t, reader.text(), "log lines dropped")
}

func TestStopWritesWhatIsQueued(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	close(reader.release)
	log, flush, err := NewAsyncLogger(reader, "debug", 0)
	require.NoError(t, err)
	for range 100 {
		log.Debug("x")
	}
	flush()
	assert.Equal(t, 100, strings.Count(reader.text(), `"msg":"x"`))
	log.Info("after the stop")
}

// BenchmarkRequestLine is the processor time of the log line that ends a request.
func BenchmarkRequestLine(b *testing.B) {
	log, flush, err := NewAsyncLogger(io.Discard, "info", 0)
	if err != nil {
		b.Fatal(err)
	}
	defer flush()
	log = log.With(zap.String("request", "9c41d07be2a35f68"))
	for b.Loop() {
		log.Info("request finished", zap.Int("status", 200), zap.Duration("took", time.Second), zap.Int("attempts", 1),
			zap.String("ran", "run"), zap.String("backend", "i-7f3a91c2"), zap.Duration("predicted", time.Second),
			zap.Duration("waiting", 0), zap.Int("uncached", 3720), zap.Int("events", 12), zap.String("route", "r-28m82th"),
			zap.Uint64("configuration", 7), zap.String("organisation", "hule930"), zap.Float64("cost", 17000))
	}
}
