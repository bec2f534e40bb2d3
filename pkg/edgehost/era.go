package edgehost

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// A restore of the store from an older copy begins a new era. Copies and the log of the duties
// learn of it from positions (package logpos). What the store has lost is resolved where it
// belongs: by mirror.Table, the registry, lostEvacuations and duty.Elector.

// eraObserver tells when the store's era changes.
type eraObserver struct {
	mu    sync.Mutex
	known bool
	era   uint64
}

// observe notes an era that the host has learned of. It reports whether the era has changed,
// and the former one. The first era that a host learns of is no change.
func (o *eraObserver) observe(era uint64) (former uint64, changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	former, changed = o.era, o.known && era > o.era
	if !o.known || changed {
		o.known, o.era = true, era
	}
	return former, changed
}

// noteEra notes the era of the complete copies. It must be called before records of a copy are
// applied.
func (h *Host) noteEra() {
	newest, complete := uint64(0), false
	for _, t := range h.tables {
		if t.Complete() {
			complete = true
			newest = max(newest, t.Era())
		}
	}
	if !complete {
		return
	}
	if backends := h.tables[TopicBackends]; backends.Complete() {
		h.registry.noteEra(backends.Era(), time.Now())
	}
	former, changed := h.era.observe(newest)
	h.metrics.storeEra.Set(float64(newest))
	if !changed {
		return
	}
	h.metrics.storeEraChanges.Inc()
	h.log.Warn("the store was restored from an older copy", zap.Uint64("former_era", former), zap.Uint64("era", newest))
	select {
	case h.rewriteEntry <- struct{}{}:
	default:
	}
}
