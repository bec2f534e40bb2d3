package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/standin/enginesim"
)

// latencyRates lists request rates per second and the duration of each measurement.
var latencyRates = []struct {
	perSecond float64
	duration  time.Duration
}{{50, 10 * time.Second}, {200, 5 * time.Second}, {500, 4 * time.Second}}

// Short engine steps keep the noise of the engines low.
const (
	latencyStepMS = 1
	latencyTokens = 4
	// A direct response takes one step for the prompt and one for each token. Above
	// twice that time, the p99 says little about the host.
	maxDirectP99MS = 2 * latencyStepMS * (latencyTokens + 1)
)

// measureLatency sends the same load through the host and directly to the engines, at
// the same time, and reports the differences of the quantiles.
func measureLatency(ctx context.Context, env *environment) error {
	f, err := env.deploy(ctx, 1, enginesim.Config{DecodeStepMS: latencyStepMS})
	if err != nil {
		return err
	}
	defer f.Close()
	for _, rate := range latencyRates {
		nonStreaming := f.compare(ctx, rate.perSecond, rate.duration, false)
		nonStreaming.print(fmt.Sprintf("added_latency_whole_%.0f_rps", rate.perSecond), nonStreaming.host.durations, nonStreaming.direct.durations)
		streaming := f.compare(ctx, rate.perSecond, rate.duration, true)
		streaming.print(fmt.Sprintf("added_latency_first_token_%.0f_rps", rate.perSecond), streaming.host.firstToken, streaming.direct.firstToken)
	}
	return f.shutdown()
}

// comparison holds the results of the same load through the host and directly.
type comparison struct {
	host, direct recorder
}

// compare sends the same load through the host and directly, at the same time.
func (f *fixture) compare(ctx context.Context, perSecond float64, d time.Duration, stream bool) *comparison {
	c := &comparison{}
	host, direct := f.targets()
	sendHost, sendDirect := host.nonStreaming, direct.nonStreaming
	if stream {
		sendHost, sendDirect = host.stream, direct.stream
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { f.generateLoad(ctx, perSecond, stream, latencyTokens, sendHost, &c.host) })
	group.Go(func() { f.generateLoad(ctx, perSecond, stream, latencyTokens, sendDirect, &c.direct) })
	group.Wait()
	return c
}

func (c *comparison) print(name string, host, direct []time.Duration) {
	for _, q := range []struct {
		name     string
		fraction float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		printMetric(name+"_"+q.name, milliseconds(quantile(host, q.fraction)-quantile(direct, q.fraction)), "ms")
	}
	directP99 := milliseconds(quantile(direct, 0.99))
	printMetric(name+"_direct_p99", directP99, "ms")
	if directP99 > maxDirectP99MS {
		fmt.Printf("# %s: direct requests are also slow: the simulated engines, the client or the machine limit this result\n", name)
	}
	printFailures(name, &c.host)
	printFailures(name+"_direct", &c.direct)
}

func printFailures(name string, r *recorder) {
	if r.failures > 0 {
		fmt.Printf("# %s: %d requests failed, the last one with: %s\n", name, r.failures, r.lastError)
		printMetric(name+"_failed", float64(r.failures), "requests")
	}
}
