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

// blockingWriter is a log output that blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *blockingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// Guards against log calls that wait while the log output is stalled, and against a
// full queue that drops warnings before lines below them.
func TestLoggingDoesNotBlockOnAStalledWriter(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	log, flush, err := NewAsyncLogger(output, "info", 0)
	require.NoError(t, err)
	started := time.Now()
	for i := range 3 * queueCapacity {
		log.Info("request finished", zap.Int("n", i))
	}
	for i := range warnQueueReserve / 2 {
		log.Warn("request not served", zap.Int("n", i))
	}
	assert.Less(t, time.Since(started), 5*time.Second)
	close(output.release)
	require.Eventually(t, func() bool { return strings.Count(output.text(), "request not served") == warnQueueReserve/2 },
		5*time.Second, 10*time.Millisecond, "failed requests are kept while finished ones are dropped")
	log.Info("one more")
	flush()
	assert.Contains(t, output.text(), "log lines dropped")
	assert.Less(t, strings.Count(output.text(), "request finished"), 3*queueCapacity)
}

// Guards against a message that exceeds its rate, against warnings that are
// sampled, and against sampled lines that are missing from the count of drops.
func TestLinesBelowWarnAreSampled(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	close(output.release)
	log, flush, err := NewAsyncLogger(output, "info", 10)
	require.NoError(t, err)
	for range 500 {
		log.Info("request finished")
		log.Warn("request not served")
	}
	flush()
	// The loop may span two of the sampler's seconds.
	assert.LessOrEqual(t, strings.Count(output.text(), "request finished"), 20)
	assert.Equal(t, 500, strings.Count(output.text(), "request not served"))
	assert.Contains(t, output.text(), "log lines dropped")
}

// Guards against queued lines that a shutdown loses, and against a panic of a log
// call after it.
func TestFlushWritesQueuedLines(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	close(output.release)
	log, flush, err := NewAsyncLogger(output, "debug", 0)
	require.NoError(t, err)
	for range 100 {
		log.Debug("x")
	}
	flush()
	assert.Equal(t, 100, strings.Count(output.text(), `"msg":"x"`))
	log.Info("after the flush")
}

// BenchmarkRequestLine measures the CPU time of the log line that ends a request.
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
