package standin

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// BenchmarkStreams measures the tokens per second that one simulated engine can
// stream. The engine must not be the bottleneck when a host is measured.
func BenchmarkStreams(b *testing.B) {
	const streams = 64
	const tokens = 200
	d := startTest(b, func(c *Config) {
		c.NoRecording = true
		c.Pools[0].Engine.DecodeStepMS = 0.5
		c.Pools[0].Engine.MaxRunning = streams
	})
	url := d.Addresses().Backends[firstEngine] + engine.PathChat
	for b.Loop() {
		var running sync.WaitGroup
		for i := range streams {
			running.Go(func() {
				_, indexes, err := readStream(postTo(b, url, fmt.Sprintf("r%d", i), chat("lot", tokens, 0)).Body)
				assert.NoError(b, err)
				assert.Len(b, indexes, tokens)
			})
		}
		running.Wait()
	}
	b.ReportMetric(float64(b.N*streams*tokens)/b.Elapsed().Seconds(), "tokens/s")
}
