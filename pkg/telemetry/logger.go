// Package telemetry builds the logger of a process and keeps its metrics:
// counters, gauges and windowed latency percentiles, published as expvar
// variables. The number of label values is bounded everywhere.
package telemetry

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/redwingpath/redwingpath/pkg/settings"
)

// NewLogger builds a logger from settings. The caller must sync it before exit.
func NewLogger(s settings.Logging) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(s.Level)
	if err != nil {
		return nil, eris.Wrap(err, "logging.level")
	}
	config := zap.Config{
		Level:            level,
		Encoding:         string(s.Format),
		EncoderConfig:    encoderConfig(),
		OutputPaths:      []string{s.Output},
		ErrorOutputPaths: []string{"stderr"},
		// Errors of package eris contain the stack trace of their origin, so zap adds
		// none.
		DisableStacktrace: true,
	}
	logger, err := config.Build(zap.WrapCore(withSampling(s.SamplePerSecond)))
	return logger, eris.Wrap(err, "logging")
}

func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return config
}

// withSampling limits the rate of lines for each message, so that a failure that
// repeats on every request does not fill the disk.
func withSampling(perSecond int) func(zapcore.Core) zapcore.Core {
	return func(core zapcore.Core) zapcore.Core {
		if perSecond <= 0 {
			return core
		}
		return zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0)
	}
}
