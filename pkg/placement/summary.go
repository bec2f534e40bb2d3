package placement

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// RunningAndSlots returns the number of running requests of all hosts on the servers of a
// service, and the number of the servers' slots. Prefill engines and leaving servers are not
// counted.
func (f *Fleet) RunningAndSlots(name model.PoolName) (running, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.services[name]
	if k == nil {
		return 0, 0
	}
	for _, s := range k.servers {
		if s.Leaving || s.evacuated || s.Stage == StagePrefill {
			continue
		}
		running += s.totalRunning()
		slots += s.Slots
	}
	return running, slots
}

// PrefillWork returns the total prefill time of the requests that all hosts have sent to the
// engines of a service so far.
func (f *Fleet) PrefillWork(name model.PoolName) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.services[name]; k != nil {
		return k.prefillWork
	}
	return 0
}

func (s *server) totalRunning() int {
	return s.running + s.peersRunning
}

// Running returns the number of running requests of all hosts on a server.
func (f *Fleet) Running(id model.BackendID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil {
		return s.totalRunning()
	}
	return 0
}

// Summary describes the engines of a service for logs.
type Summary struct {
	Service                  model.PoolName
	Prefillers, Decoders     int
	PrefillRate, DecodeRate  float64
	PrefillWait, DecodeWait  time.Duration
	Running, Slots, Suspects int
	// TokensInUse and Tokens are the memory in use and in total at the decode engines, 0
	// where memory does not limit requests. Unit: tokens.
	TokensInUse, Tokens int
}

// Summaries describes all services that have engines.
func (f *Fleet) Summaries(now time.Time) []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Summary
	for name, k := range f.services {
		s := Summary{Service: name, PrefillRate: k.prefill[StagePrefill].rate.value, DecodeRate: k.prefill[StageDecode].rate.value}
		for _, e := range k.servers {
			if now.Before(e.suspectUntil) {
				s.Suspects++
			}
			if e.Leaving || e.evacuated || e.switching {
				continue
			}
			wait := max(0, e.busyUntil.Sub(now))
			switch e.Stage {
			case StagePrefill:
				s.Prefillers++
				s.PrefillWait += wait
			case StageDecode:
				s.Decoders++
				s.DecodeWait += wait
				s.Running += e.totalRunning()
				s.Slots += e.Slots
				if e.memory != nil {
					s.TokensInUse += e.memoryUsed()
					s.Tokens += e.memory.capacity
				}
			}
		}
		if s.Prefillers+s.Decoders == 0 {
			continue
		}
		s.PrefillWait /= time.Duration(max(1, s.Prefillers))
		s.DecodeWait /= time.Duration(max(1, s.Decoders))
		list = append(list, s)
	}
	return list
}
