package routing

import (
	"errors"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// ErrNoBackend is returned when no backend server can take the request.
var ErrNoBackend = errors.New("no backend server available")

// Settings of a Table. Zero fields take their defaults.
type Settings struct {
	// DataCentre of this host.
	DataCentre model.DataCentreID
	// Seed of the random source. 0 is a valid seed.
	Seed uint64
	// RandomCandidates is the number of random candidates per price class and
	// role. Default 2.
	RandomCandidates int
	// CacheCandidates is the number of candidates drawn from the engines that
	// hold the longest known prefix. Default 2.
	CacheCandidates int
	// HomeCandidates is the number of candidates taken from the hash ring by the
	// prompt's prefix, per price class and role. Default 1.
	HomeCandidates int
	// HomeCachedShare is the expected share of a prefix in the cache of its home
	// engine while this host has no information about it. Default 0.3.
	HomeCachedShare float64
	// UncachedWorkWeight is the weight with which the prefill time of uncached
	// tokens is added to the score, because it delays later requests. Default 2.
	UncachedWorkWeight float64
	// LocalSendWeight multiplies the tokens that this host sent since an engine's
	// load report, to account for the requests of other hosts. Default 2.
	LocalSendWeight float64
	// WideCandidates is the number of candidates drawn when the first ones would
	// miss FirstTokenLimit or TokenGapLimit, so that a request is not rejected
	// because of an unlucky draw. Default 12.
	WideCandidates int
	// FirstTokenLimit is the target for the time to first token. Default 740 ms.
	FirstTokenLimit time.Duration
	// TokenGapLimit is the target for the time between tokens. Default 28 ms.
	TokenGapLimit time.Duration
	// StaleAfter is the age beyond which a load report or summary is ignored. Only
	// the prefill rate of an old report is still used. Default 3 s.
	StaleAfter time.Duration
	// DefaultPrefillRate, in tokens/s, is used until an engine reports its rate.
	// Default 8000.
	DefaultPrefillRate float64
	// KVBytesPerToken is the KV cache size of one prompt token. Default 100,000.
	KVBytesPerToken float64
	// KVBytesPerSecond is the transfer rate of KV caches between engines.
	// Default 10 GB/s.
	KVBytesPerSecond float64
	// CrossDataCentreDelay is the one-way delay to another data centre. Default 1 ms.
	CrossDataCentreDelay time.Duration
	// PreemptiblePreference is the additional wait accepted to run resumable work
	// on a preemptible server. Default 120 ms.
	PreemptiblePreference time.Duration
	// CacheEntriesPerBackend bounds the prefix index of one engine, in blocks.
	// Default 4096.
	CacheEntriesPerBackend int
	// BreakerMinOpen is how long the circuit breaker of a backend server stays
	// open the first time. The time doubles with each opening up to
	// BreakerMaxOpen. A random jitter of up to 100% is added to both.
	// Defaults 1 s and 30 s.
	BreakerMinOpen time.Duration
	BreakerMaxOpen time.Duration
	// NoProgressTimeout is the time without any progress after which a backend
	// server with waiting requests counts as unhealthy. Default 2.5 s.
	NoProgressTimeout time.Duration
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.RandomCandidates, 2)
	orDefault(&s.CacheCandidates, 2)
	orDefault(&s.HomeCandidates, 1)
	orDefault(&s.HomeCachedShare, 0.3)
	orDefault(&s.UncachedWorkWeight, 2)
	orDefault(&s.LocalSendWeight, 2)
	orDefault(&s.WideCandidates, 12)
	orDefault(&s.FirstTokenLimit, 740*time.Millisecond)
	orDefault(&s.TokenGapLimit, 28*time.Millisecond)
	orDefault(&s.StaleAfter, 3*time.Second)
	orDefault(&s.DefaultPrefillRate, 8000)
	orDefault(&s.KVBytesPerToken, 100_000)
	orDefault(&s.KVBytesPerSecond, 10e9)
	orDefault(&s.CrossDataCentreDelay, time.Millisecond)
	orDefault(&s.PreemptiblePreference, 120*time.Millisecond)
	orDefault(&s.CacheEntriesPerBackend, 4096)
	orDefault(&s.BreakerMinOpen, time.Second)
	orDefault(&s.BreakerMaxOpen, 30*time.Second)
	orDefault(&s.NoProgressTimeout, 2500*time.Millisecond)
	return s
}
