package placement

import "github.com/redwingpath/redwingpath/pkg/model"

// Speed holds the estimates that a host has learned for the engines of a service. Its
// fields are exported for net/rpc.
type Speed struct {
	// PrefillRate and DecodeRate are the prefill rates on prefill and decode engines, 0
	// until they are learned. Unit: tokens per millisecond.
	PrefillRate, DecodeRate float64
	// PrefillMS and DecodeMS are the parts of a call's duration that do not depend on the
	// prompt. FirstMS is the time from the end of prefill on a prefill engine to the first
	// event. All are 0 until they are learned. Unit: milliseconds.
	PrefillMS, DecodeMS, FirstMS float64
}

// reported returns the value for a report to peers, 0 if the estimate has not converged.
func (e *estimate) reported() float64 {
	if !e.converged {
		return 0
	}
	return quantize(e.value)
}

// adopt takes over a peer's value unless the estimate has converged.
func (e *estimate) adopt(value float64) {
	if value > 0 && !e.converged {
		e.value, e.converged, e.initial = value, true, nil
	}
}

// estimateFields maps the estimates of a service to the fields of s that carry them.
func (k *service) estimateFields(s *Speed) map[*estimate]*float64 {
	prefillEngines, decodeEngines := &k.prefill[StagePrefill], &k.prefill[StageDecode]
	return map[*estimate]*float64{
		&prefillEngines.rate: &s.PrefillRate, &decodeEngines.rate: &s.DecodeRate,
		&prefillEngines.overhead: &s.PrefillMS, &decodeEngines.overhead: &s.DecodeMS, &k.firstEvent: &s.FirstMS,
	}
}

// Speeds returns the estimates this host has learned. Hosts that have just started adopt
// them: they do not know what engines have cached, so their own first samples are wrong.
func (f *Fleet) Speeds() map[model.PoolName]Speed {
	f.mu.Lock()
	defer f.mu.Unlock()
	speeds := map[model.PoolName]Speed{}
	for name, k := range f.services {
		var s Speed
		for e, value := range k.estimateFields(&s) {
			*value = e.reported()
		}
		if s != (Speed{}) {
			speeds[name] = s
		}
	}
	return speeds
}

// AdoptSpeeds adopts the estimates that a peer has learned.
func (f *Fleet) AdoptSpeeds(speeds map[model.PoolName]Speed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range speeds {
		if f.services[name] == nil {
			continue
		}
		for e, value := range f.services[name].estimateFields(&s) {
			e.adopt(*value)
		}
	}
}
