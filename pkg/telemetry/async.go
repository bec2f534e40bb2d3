package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the asynchronous log writer.
const (
	// queueCapacity is the number of lines that can wait for a slow log output.
	queueCapacity = 4096
	// warnQueueReserve is the part of the queue that only warnings and errors use.
	warnQueueReserve = 1024
	// flushTimeout bounds how long a shutdown waits for the log output.
	flushTimeout = 500 * time.Millisecond
)

// asyncWriter writes lines from a queue, so that logging never blocks on the log
// output. As the queue fills up, lines below the warning level are dropped first.
// Dropped lines are counted, and the next write adds a line with the count.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
}

// NewAsyncLogger returns a logger that writes JSON lines to out without blocking
// its callers, and a function that writes the queued lines and stops the writer.
// That function must not be called twice. If linesPerSecond is above 0, lines below
// the warning level are limited to that rate for each message; warnings and errors
// are not.
func NewAsyncLogger(out io.Writer, level string, linesPerSecond int) (*zap.Logger, func(), error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, eris.Wrap(err, "log level")
	}
	w := &asyncWriter{out: out, lines: make(chan []byte, queueCapacity), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	encoder := zapcore.NewJSONEncoder(encoderConfig())
	belowWarn := zapcore.NewCore(encoder, levelSink{w, false}, zap.LevelEnablerFunc(func(l zapcore.Level) bool {
		return l >= parsed && l < zapcore.WarnLevel
	}))
	warnAndAbove := zapcore.NewCore(encoder, levelSink{w, true}, zap.LevelEnablerFunc(func(l zapcore.Level) bool {
		return l >= parsed && l >= zapcore.WarnLevel
	}))
	if linesPerSecond > 0 {
		belowWarn = zapcore.NewSamplerWithOptions(belowWarn, time.Second, linesPerSecond, 0, zapcore.SamplerHook(w.countSampledOut))
	}
	return zap.New(zapcore.NewTee(belowWarn, warnAndAbove)), w.flush, nil
}

// countSampledOut is the sampler's hook; it counts the lines that the sampler drops.
func (w *asyncWriter) countSampledOut(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		w.dropped.Add(1)
	}
}

// levelSink queues the lines of one range of levels.
type levelSink struct {
	writer *asyncWriter
	// useReserve allows the lines into warnQueueReserve.
	useReserve bool
}

// Write implements zapcore.WriteSyncer.
func (s levelSink) Write(line []byte) (int, error) {
	w := s.writer
	if !s.useReserve && len(w.lines) >= queueCapacity-warnQueueReserve {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s levelSink) Sync() error { return nil }

func (w *asyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.quit:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

// batchBytes is the size at which no more lines are added to a batch.
const batchBytes = 32 << 10

// write writes a line together with lines that are queued behind it.
func (w *asyncWriter) write(line []byte) {
	batch := line
	for len(w.lines) > 0 && len(batch) < batchBytes {
		batch = append(batch, <-w.lines...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, droppedLine(n)...)
	}
	if _, err := w.out.Write(batch); err != nil {
		// A failed write can only be reported in the log itself, so it counts as
		// a dropped line.
		w.dropped.Add(1)
	}
}

func droppedLine(n int64) []byte {
	encoder := zapcore.NewJSONEncoder(encoderConfig())
	entry := zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "log lines dropped"}
	buffer, err := encoder.EncodeEntry(entry, []zapcore.Field{zap.Int64("lines", n)})
	if err != nil {
		return nil
	}
	return buffer.Bytes()
}

func (w *asyncWriter) flush() {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
