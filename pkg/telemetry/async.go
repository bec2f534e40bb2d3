package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the asynchronous log.
const (
	// queuedLines is the number of lines that wait for a slow reader of the log.
	queuedLines = 4096
	// warnReserve is the part of the queue that is kept for warnings and errors.
	warnReserve = 1024
	// flushWait bounds how long a stop waits for the reader of the log.
	flushWait = 500 * time.Millisecond
)

// asyncWriter writes lines from a queue, so that a log line never waits for the
// reader of the log. Where the queue is full, lines below a warning are dropped
// first; what is dropped is counted and told with the next line that is written.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
}

// NewAsyncLogger returns a logger that writes JSON lines to out without ever
// blocking its callers, and a function that writes what is queued. Lines below a
// warning are kept to linesPerSecond by message; those above are not sampled.
func NewAsyncLogger(out io.Writer, level string, linesPerSecond int) (*zap.Logger, func(), error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, eris.Wrap(err, "log level")
	}
	w := &asyncWriter{out: out, lines: make(chan []byte, queuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	encoder := zapcore.NewJSONEncoder(encoderConfig())
	below := zapcore.NewCore(encoder, levelSink{w, false}, zap.LevelEnablerFunc(func(l zapcore.Level) bool {
		return l >= parsed && l < zapcore.WarnLevel
	}))
	above := zapcore.NewCore(encoder, levelSink{w, true}, zap.LevelEnablerFunc(func(l zapcore.Level) bool {
		return l >= parsed && l >= zapcore.WarnLevel
	}))
	if linesPerSecond > 0 {
		below = zapcore.NewSamplerWithOptions(below, time.Second, linesPerSecond, 0, zapcore.SamplerHook(w.sampled))
	}
	return zap.New(zapcore.NewTee(below, above)), w.flush, nil
}

func (w *asyncWriter) sampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		w.dropped.Add(1)
	}
}

// levelSink is the writer for one range of levels.
type levelSink struct {
	writer *asyncWriter
	urgent bool
}

// Write implements zapcore.WriteSyncer.
func (s levelSink) Write(line []byte) (int, error) {
	w := s.writer
	if !s.urgent && len(w.lines) >= queuedLines-warnReserve {
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

// batchBytes bounds the lines that are written together.
const batchBytes = 32 << 10

// write writes a line and those that wait behind it.
func (w *asyncWriter) write(line []byte) {
	batch := line
	for len(w.lines) > 0 && len(batch) < batchBytes {
		batch = append(batch, <-w.lines...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, droppedLine(n)...)
	}
	if _, err := w.out.Write(batch); err != nil {
		// The log itself is the only place to report to.
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
	case <-time.After(flushWait):
	}
}
