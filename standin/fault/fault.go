// Package fault injects faults into the interfaces of the simulated platform.
package fault

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Interface names an interface of the platform, such as "log.append", or a group of
// them: "log" stands for all interfaces whose name begins with "log." and that have
// no faults of their own.
type Interface string

// Interfaces of the platform.
const (
	LogAppend    Interface = "log.append"
	LogRead      Interface = "log.read"
	FleetList    Interface = "fleet.list"
	FleetOrder   Interface = "fleet.order"
	FleetStatus  Interface = "fleet.status"
	Hosts        Interface = "hosts.list"
	UsageReport  Interface = "usage.report"
	UsageStatus  Interface = "usage.status"
	Weights      Interface = "weights.status"
	WeightsFetch Interface = "weights.fetch"
)

// Injection selects the faults to inject into one interface or group. Zero values mean
// no fault.
type Injection struct {
	Interface Interface `json:"interface"`
	// Outage responds to every call with 503 and does not execute it.
	Outage bool `json:"outage,omitempty"`
	// Silent neither executes calls nor responds to them. Each lasts until its
	// caller disconnects.
	Silent bool `json:"silent,omitempty"`
	// DelayMS delays every call before it takes effect, in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseNext drops the responses to the next n calls after they took effect.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseProbability is the probability, 0 to 1, that a response is dropped after
	// the call took effect.
	LoseProbability float64 `json:"lose_probability,omitempty"`
}

// Set holds the faults of all interfaces. It is safe for concurrent use.
type Set struct {
	mu         sync.Mutex
	injections map[Interface]*Injection
	random     *rand.Rand
}

// NewSet returns a set without faults. The seed is that of the generator for
// LoseProbability.
func NewSet(seed uint64) *Set {
	return &Set{injections: map[Interface]*Injection{}, random: rand.New(rand.NewPCG(seed, 1))}
}

// Put replaces the faults of an interface or group. If w selects none, they are
// cleared.
func (s *Set) Put(injection Injection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if injection == (Injection{Interface: injection.Interface}) {
		delete(s.injections, injection.Interface)
		return
	}
	s.injections[injection.Interface] = &injection
}

// Clear removes all faults.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.injections)
}

// find returns the faults of an interface or else those of its group, or nil. The
// caller holds s.mu.
func (s *Set) find(i Interface) *Injection {
	if injection := s.injections[i]; injection != nil {
		return injection
	}
	group, _, _ := strings.Cut(string(i), ".")
	return s.injections[Interface(group)]
}

// faultsBeforeCall returns the faults that apply before a call takes effect.
func (s *Set) faultsBeforeCall(i Interface) (outage, silent bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	injection := s.find(i)
	if injection == nil {
		return false, false, 0
	}
	return injection.Outage, injection.Silent, time.Duration(injection.DelayMS) * time.Millisecond
}

// losesResponse reports whether the response to the current call is dropped.
func (s *Set) losesResponse(i Interface) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	injection := s.find(i)
	if injection == nil {
		return false
	}
	if injection.LoseNext > 0 {
		injection.LoseNext--
		return true
	}
	return injection.LoseProbability > 0 && s.random.Float64() < injection.LoseProbability
}

// Wrap returns a handler that applies the faults of an interface to the calls of next.
func (s *Set) Wrap(i Interface, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		outage, silent, delay := s.faultsBeforeCall(i)
		if silent {
			// net/http detects a disconnected caller only after the body was read.
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if delay > 0 && !sleep(q, delay) {
			return
		}
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !s.losesResponse(i) {
			next(w, q)
			return
		}
		next(&discardWriter{header: http.Header{}}, q)
		panic(http.ErrAbortHandler)
	}
}

// sleep waits for a duration. It reports false if the caller disconnects first.
func sleep(q *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}

// discardWriter is a response writer that drops the response.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
