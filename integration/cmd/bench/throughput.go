package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/standin/enginesim"
)

// A request of the target size streams 280 tokens, so that 50 requests/s stream
// 14,000 tokens/s.
const (
	streamStepMS          = 10
	streamTokens          = 280
	settleTime            = 4 * time.Second
	measurementTime       = 6 * time.Second
	directPerSecond       = 25
	maxAddedLatency       = 2 * time.Millisecond
	nonStreamingTokens    = 1
	nonStreamingPerSecond = 1000
	nonStreamingDuration  = 5 * time.Second
)

var streamRates = []float64{50, 125, 250, 375, 500}

// measureThroughput streams at rising rates through one host, and at a low rate
// directly from the engines for comparison.
func measureThroughput(ctx context.Context, env *environment) error {
	f, err := env.deploy(ctx, 1, enginesim.Config{DecodeStepMS: streamStepMS})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.nonStreamingPerCore(ctx); err != nil {
		return err
	}
	best, unreliable := 0.0, 0
	for _, rate := range streamRates {
		r, err := f.streamAt(ctx, rate)
		if err != nil {
			return err
		}
		r.print(rate)
		if r.unreliable() {
			unreliable++
		}
		if r.withinLimit() {
			best = max(best, r.tokensPerSecond)
		}
	}
	if unreliable > 0 {
		fmt.Printf("# direct streams were also slow at %d of %d rates; the next metric leaves these rates out\n", unreliable, len(streamRates))
	}
	printMetric("highest_streamed_tokens_with_added_p99_under_2ms", best, "tokens/s")
	return f.shutdown()
}

// nonStreamingPerCore measures how many non-streaming requests the host serves per
// core.
func (f *fixture) nonStreamingPerCore(ctx context.Context) error {
	host, _ := f.targets()
	before, err := processorTime(f.Hosts[0].Process.PID())
	if err != nil {
		return err
	}
	var r recorder
	bounded, cancel := context.WithTimeout(ctx, nonStreamingDuration)
	defer cancel()
	f.generateLoad(bounded, nonStreamingPerSecond, false, nonStreamingTokens, host.nonStreaming, &r)
	after, err := processorTime(f.Hosts[0].Process.PID())
	if err != nil {
		return err
	}
	printMetric("whole_requests_per_core", float64(r.completed.Load())/(after-before).Seconds(), "requests/s/core")
	printFailures("whole_requests", &r)
	return nil
}

// rateResult holds the results at one rate. firstToken and tokenGap are the p99 times
// that the host adds.
type rateResult struct {
	tokensPerSecond float64
	hostCores       float64
	simulatedCores  float64
	firstToken      time.Duration
	tokenGap        time.Duration
	directTokenGap  time.Duration
	host            *recorder
	direct          *recorder
}

func (f *fixture) streamAt(ctx context.Context, rate float64) (*rateResult, error) {
	host, direct := f.targets()
	r := &rateResult{host: &recorder{}, direct: &recorder{}}
	loading, stop := context.WithTimeout(ctx, settleTime+measurementTime)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { f.generateLoad(loading, rate, true, streamTokens, host.stream, r.host) })
	group.Go(func() { f.generateLoad(loading, directPerSecond, true, streamTokens, direct.stream, r.direct) })
	time.Sleep(settleTime)
	err := r.measure(f.Deployment)
	stop()
	group.Wait()
	r.firstToken = quantile(r.host.firstToken, 0.99) - quantile(r.direct.firstToken, 0.99)
	r.directTokenGap = quantile(r.direct.tokenGaps, 0.99)
	r.tokenGap = quantile(r.host.tokenGaps, 0.99) - r.directTokenGap
	return r, err
}

// measure measures tokens per second and the processor time of the host and of the
// simulated components.
func (r *rateResult) measure(d *example.Deployment) error {
	pids := []int{d.Hosts[0].Process.PID(), d.StandInPID()}
	start := time.Now()
	tokens := r.host.tokens.Load()
	var before [2]time.Duration
	for i, pid := range pids {
		var err error
		if before[i], err = processorTime(pid); err != nil {
			return err
		}
	}
	time.Sleep(measurementTime)
	seconds := time.Since(start).Seconds()
	r.tokensPerSecond = float64(r.host.tokens.Load()-tokens) / seconds
	for i, cores := range []*float64{&r.hostCores, &r.simulatedCores} {
		after, err := processorTime(pids[i])
		if err != nil {
			return err
		}
		*cores = (after - before[i]).Seconds() / seconds
	}
	return nil
}

// withinLimit reports whether the host failed no request and added less than
// maxAddedLatency. It is false for an unreliable result, which shows neither that the
// host keeps the limit nor that it does not: the difference of two quantiles that are
// both too high is noise.
func (r *rateResult) withinLimit() bool {
	return !r.unreliable() && r.firstToken < maxAddedLatency && r.tokenGap < maxAddedLatency && r.host.failures == 0
}

// unreliable reports whether the engines, the clients or the machine are too slow for
// the rate even without the host.
func (r *rateResult) unreliable() bool { return milliseconds(r.directTokenGap) > maxDirectGapMS }

// maxDirectGapMS is the direct p99 token gap above which the engines or the clients
// themselves fall behind: their steps take 1.5 times as long as configured.
const maxDirectGapMS = streamStepMS * 1.5

func (r *rateResult) print(rate float64) {
	name := fmt.Sprintf("stream_%.0f_rps", rate)
	printMetric(name+"_tokens", r.tokensPerSecond, "tokens/s")
	printMetric(name+"_host_cores", r.hostCores, "cores")
	printMetric(name+"_tokens_per_core", r.tokensPerSecond/r.hostCores, "tokens/s/core")
	printMetric(name+"_requests_per_core", rate/r.hostCores, "requests/s/core")
	printMetric(name+"_added_first_token_p99", milliseconds(r.firstToken), "ms")
	printMetric(name+"_added_token_gap_p99", milliseconds(r.tokenGap), "ms")
	printMetric(name+"_direct_token_gap_p99", milliseconds(r.directTokenGap), "ms")
	printMetric(name+"_simulated_components_cores", r.simulatedCores, "cores")
	if r.unreliable() {
		fmt.Printf("# %s: the simulated engines, the client or the machine limit this rate: direct token gaps are also too long\n", name)
	}
	printFailures(name, r.host)
	printFailures(name+"_direct", r.direct)
}
