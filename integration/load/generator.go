package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Caller is an organisation that sends calls at a mean rate.
type Caller struct {
	Keys []check.Key
	// CallsPerS is the mean rate of the Poisson arrivals.
	CallsPerS float64
}

// Mix holds the relative frequencies of operations.
type Mix map[Operation]float64

// DefaultMix is mostly model requests, with some lookups and calls with side effects.
func DefaultMix() Mix {
	return Mix{Chat: 6, Reservation: 2, Payout: 1, Stock: 1}
}

// Config describes the workload of a generator.
type Config struct {
	// Seed drives arrivals, operations and texts.
	Seed    uint64
	Callers []Caller
	Mix     Mix
	// Targets returns the hosts that accept calls at the moment.
	Targets func() []Target
	// PromptBytes and MaxTokens are upper bounds; sizes are uniformly distributed
	// below them.
	PromptBytes int
	MaxTokens   int
	// KeyedShare is the share of calls with side effects that carry an Idempotency-Key.
	KeyedShare float64
	// Attempts is the maximum number of attempts of a call with an Idempotency-Key.
	// The attempts end once the call has completed or is known to have run. At least 1.
	Attempts int
	// RetryDelay is the time between the attempts.
	RetryDelay time.Duration
}

// Generator sends calls in an open loop: arrivals do not wait for responses.
type Generator struct {
	config Config
	client *Client
	calls  sync.WaitGroup
}

// NewGenerator returns a generator that sends through a client.
func NewGenerator(c Config, client *Client) *Generator {
	return &Generator{config: c, client: client}
}

// Run sends calls until ctx is done and then waits for the calls in progress.
func (g *Generator) Run(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range g.config.Callers {
		callers.Go(func() { g.runCaller(ctx, i) })
	}
	callers.Wait()
	g.calls.Wait()
}

func (g *Generator) runCaller(ctx context.Context, index int) {
	caller := &g.config.Callers[index]
	if caller.CallsPerS <= 0 || len(caller.Keys) == 0 {
		return
	}
	random := rand.New(rand.NewPCG(g.config.Seed, uint64(index)))
	for n := 0; ; n++ {
		gap := time.Duration(random.ExpFloat64() / caller.CallsPerS * float64(time.Second))
		if !sleep(ctx, gap) {
			return
		}
		tag := fmt.Sprintf("s%d-c%d-n%d", g.config.Seed, index, n)
		request := g.request(random, caller, tag)
		first := random.Uint64()
		// Calls that have been sent continue after ctx is done.
		g.calls.Go(func() { g.sendWithRetries(context.WithoutCancel(ctx), request, first) })
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWithRetries sends a call and retries one with an Idempotency-Key through other
// hosts while its outcome is unknown.
func (g *Generator) sendWithRetries(ctx context.Context, r *Request, first uint64) {
	for attempt := range max(g.config.Attempts, 1) {
		targets := g.config.Targets()
		if len(targets) == 0 {
			return
		}
		target := targets[(first+uint64(attempt))%uint64(len(targets))]
		call := g.client.Do(ctx, target, r)
		if call.Outcome == check.Complete || r.IdempotencyKey == "" || call.Ran == model.WasRun {
			return
		}
		time.Sleep(g.config.RetryDelay)
	}
}

func (g *Generator) request(random *rand.Rand, caller *Caller, tag string) *Request {
	r := &Request{
		Tag:       tag,
		Operation: g.config.Mix.pick(random),
		Key:       caller.Keys[random.IntN(len(caller.Keys))],
		Text:      "call=" + tag,
	}
	switch {
	case r.Operation == Chat || r.Operation == PublicChat:
		r.Text = prompt(random, tag, g.config.PromptBytes)
		r.MaxTokens = 1 + random.IntN(max(g.config.MaxTokens, 1))
		r.Whole = random.IntN(4) == 0
	case r.Operation.hasSideEffects() && random.Float64() < g.config.KeyedShare:
		r.IdempotencyKey = "key-" + tag
	}
	if r.Operation.public() {
		r.Key = check.Key{}
	}
	return r
}

// sharedPrefixes is the number of different prompt prefixes, which lets the engines'
// prefix caches have hits.
const sharedPrefixes = 8

func prompt(random *rand.Rand, tag string, size int) string {
	prefix := fmt.Sprintf("dossier %d stave inspection ", random.IntN(sharedPrefixes))
	length := random.IntN(max(size, 1))
	return strings.Repeat(prefix, length/len(prefix)) + "call=" + tag
}

// operationOrder fixes the order of iteration over a Mix, so that a seed always gives
// the same operations.
var operationOrder = []Operation{Chat, PublicChat, Reservation, Payout, Stock, PublicStock}

func (m Mix) pick(random *rand.Rand) Operation {
	total := 0.0
	for _, weight := range m {
		total += weight
	}
	remaining := random.Float64() * total
	for _, o := range operationOrder {
		remaining -= m[o]
		if remaining < 0 {
			return o
		}
	}
	return Chat
}
